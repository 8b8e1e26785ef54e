//! What the rig and a process of hollow followers say to each other: JSON, one message a line.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a process of hollow followers is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostConfig {
    /// The deploy files of its followers.
    pub deploy_files: Vec<PathBuf>,
}

/// From the rig.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRequest {
    /// How does each follower stand?
    Status,
    /// When did each follower hold all these functions with that memory?
    WaitForFunctions {
        /// The names of the functions.
        functions: Vec<String>,
        /// The memory that they are to have, in MB.
        memory_mb: f64,
        /// After so many milliseconds no more is waited for.
        limit_ms: f64,
    },
    /// The memory of a function at each follower, in MB.
    MemoryOf {
        /// The name of the function.
        function: String,
    },
}

/// The answer to a [`HostRequest`], or the first word of the process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostResponse {
    /// All followers have been started; they may still be without a copy.
    Started,
    /// How each follower stands.
    Status(Vec<FollowerSummary>),
    /// Unix times in milliseconds; nothing for a follower that did not come to hold them.
    HeldSince(Vec<Option<f64>>),
    /// Memory in MB; nothing where the function is unknown.
    Memory(Vec<Option<f64>>),
}

/// How a follower stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowerSummary {
    /// The address of the control node that it has to do with.
    pub control: Option<SocketAddr>,
    /// It is following.
    pub is_following: bool,
    /// Bytes of messages received since its start.
    pub received_bytes: u64,
    /// Bytes of messages sent since its start.
    pub sent_bytes: u64,
}
