//! The roles of a node in the distribution of configuration, as the deploy file gives them.
//!
//! A control node serves the change feed (`[feed]`); a follower follows one control node at a time (`[follow]`). A node
//! with neither keeps its configuration by itself or among its `[replication]` peers.
use super::config::ConfigError;
use super::deploy::Deploy;
use crate::wire::accept::CONNECTION_BYTES;
use crate::wire::feed::{ControlAddress, FollowOptions};
use corkbay_feed::FeedLimits;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Least that a copy of the configuration may be sent at, in bytes a second.
const LEAST_BYTES_PER_S: f64 = 1024.0;
/// Part of the replication account that the connections of followers may take; the rest is for messages.
const CONNECTIONS_PART: usize = 2;

/// `[feed]`: this node serves its configuration to followers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FeedSettings {
    /// Where followers connect.
    pub listen: SocketAddr,
    /// Most followers at a time.
    #[serde(default = "followers")]
    pub followers: usize,
    /// Most copies (whole or of differing buckets) that are sent at a time.
    #[serde(default = "full_copies")]
    pub full_copies: usize,
    /// Bytes a second that all copies together are sent at.
    #[serde(default = "bytes_per_s")]
    pub bytes_per_s: f64,
    /// Changes that are remembered, so that a follower that was away goes on without a copy.
    #[serde(default = "history")]
    pub history: usize,
}

/// `[follow]`: this node takes its configuration from a control node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FollowSettings {
    /// The follower's own zone; that of the node where it is not given.
    pub zone: Option<String>,
    /// Invokers that share the workers, this one among them.
    #[serde(default = "one")]
    pub invokers: usize,
    /// After one to three times so long at another than its first choice, the follower tries that again, in seconds.
    #[serde(default = "return_s")]
    pub return_s: f64,
    /// The control nodes.
    #[serde(rename = "control", default)]
    pub controls: Vec<ControlEntry>,
}

/// `[[follow.control]]`: one control node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlEntry {
    /// Where it serves its feed.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Where its invoke API listens: callers that want to change the configuration are sent there.
    pub api: Option<SocketAddr>,
}

/// A zone, where it has a name.
fn named(zone: &str) -> Option<String> {
    (!zone.is_empty()).then(|| zone.to_string())
}

fn one() -> usize {
    1
}

fn return_s() -> f64 {
    60.0
}

fn followers() -> usize {
    100
}

fn full_copies() -> usize {
    8
}

fn bytes_per_s() -> f64 {
    4_000_000.0
}

fn history() -> usize {
    4096
}

impl FeedSettings {
    /// The bounds of the feed.
    pub fn limits(&self) -> FeedLimits {
        FeedLimits {
            followers: self.followers,
            full_copies: self.full_copies,
            waiting_copies: self.followers,
            bytes_per_s: self.bytes_per_s,
            history: self.history,
            ..FeedLimits::default()
        }
    }

    /// Checks the bounds against the sockets and the bytes for replication that the node has.
    pub fn check(&self, sockets: usize, replication_bytes: usize) -> Result<(), ConfigError> {
        for (key, value) in [
            ("feed.followers", self.followers),
            ("feed.full_copies", self.full_copies),
            ("feed.history", self.history),
        ] {
            if value == 0 {
                return Err(ConfigError::new(key, "not above 0"));
            }
        }
        if !self.bytes_per_s.is_finite() || self.bytes_per_s < LEAST_BYTES_PER_S {
            return Err(ConfigError::new("feed.bytes_per_s", format!("below {LEAST_BYTES_PER_S}")));
        }
        if self.followers > sockets / 2 {
            let what = format!("{} are more than half of the {sockets} sockets", self.followers);
            return Err(ConfigError::new("feed.followers", what));
        }
        let room = replication_bytes / CONNECTIONS_PART / CONNECTION_BYTES;
        if self.followers > room {
            let what = format!(
                "{} connections of {CONNECTION_BYTES} bytes take more than half of the {replication_bytes} bytes for \
                 replication (memory_mb, memory.shares.replication)",
                self.followers
            );
            return Err(ConfigError::new("feed.followers", what));
        }
        Ok(())
    }
}

impl FollowSettings {
    /// Whom a node in `own_zone` follows.
    pub fn options(&self, own_zone: &str) -> FollowOptions {
        let zone = self.zone.as_deref().unwrap_or(own_zone);
        let control = |entry: &ControlEntry| ControlAddress {
            address: entry.address,
            zone: named(&entry.zone),
            api: entry.api,
        };
        FollowOptions {
            zone: named(zone),
            controls: self.controls.iter().map(control).collect(),
            return_ms: self.return_s * 1000.0,
        }
    }

    /// Checks that the node takes its configuration from its control nodes alone.
    pub fn check(&self, deploy: &Deploy) -> Result<(), ConfigError> {
        if self.controls.is_empty() {
            return Err(ConfigError::new("follow.control", "no control node"));
        }
        if self.invokers == 0 {
            return Err(ConfigError::new("follow.invokers", "not above 0"));
        }
        if !self.return_s.is_finite() || self.return_s <= 0.0 {
            return Err(ConfigError::new("follow.return_s", "not above 0"));
        }
        let mut seen = BTreeSet::new();
        for control in &self.controls {
            if control.address.port() == 0 {
                return Err(ConfigError::new("follow.control.address", "port 0"));
            }
            if !seen.insert(control.address) {
                let what = format!("{} stands twice", control.address);
                return Err(ConfigError::new("follow.control.address", what));
            }
        }
        for (key, is_present) in [
            ("function", !deploy.functions.is_empty()),
            ("workers_file", deploy.workers_file.is_some()),
            ("worker", !deploy.workers.is_empty()),
            ("replication", deploy.replication.is_some()),
            ("feed", deploy.feed.is_some()),
        ] {
            if is_present {
                let what =
                    "does not go with [follow]: a follower has its configuration from its control nodes";
                return Err(ConfigError::new(key, what));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
