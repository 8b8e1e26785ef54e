//! Protocol between the rig and a process of headless followers: one JSON message per line.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Configuration of a process of headless followers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostConfig {
    /// Deploy files of the followers, one each.
    pub deploy_files: Vec<PathBuf>,
}

/// A request from the rig.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRequest {
    /// Asks for the state of each follower.
    Status,
    /// Waits until each follower holds all these functions with the given memory, and asks when it did.
    WaitForFunctions {
        /// The names of the functions.
        functions: Vec<String>,
        /// The memory that the functions must have, in MB.
        memory_mb: f64,
        /// Longest wait, in milliseconds.
        limit_ms: f64,
    },
    /// Asks for the memory of a function at each follower.
    MemoryOf {
        /// The name of the function.
        function: String,
    },
}

/// The response to a [`HostRequest`], or the message that the process sends after its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostResponse {
    /// All followers have started; they may not have a copy yet.
    Started,
    /// The state of each follower.
    Status(Vec<FollowerSummary>),
    /// Unix time, in milliseconds, at which each follower held the functions; `None` if it didn't within the limit.
    HeldSince(Vec<Option<f64>>),
    /// Memory of the function at each follower, in MB; `None` where the function is unknown.
    Memory(Vec<Option<f64>>),
}

/// State of a follower.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowerSummary {
    /// Address of its current control node.
    pub control: Option<SocketAddr>,
    /// Whether it follows the feed (its copy is complete).
    pub is_following: bool,
    /// Bytes of messages received since its start.
    pub received_bytes: u64,
    /// Bytes of messages sent since its start.
    pub sent_bytes: u64,
}
