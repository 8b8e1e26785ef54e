//! The roles of a node in the distribution of configuration, as set in the deploy file.
//!
//! A control node serves the change feed (`[feed]`); a follower follows one control node at a time (`[follow]`). A node
//! with neither role keeps its configuration on its own or replicates it with its `[replication]` peers.
use super::config::ConfigError;
use super::deploy::Deploy;
use crate::wire::accept::CONNECTION_BYTES;
use crate::wire::feed::{ControlAddress, FollowOptions};
use corkbay_feed::FeedLimits;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Minimum rate limit for copies of the configuration, in bytes per second.
const MIN_BYTES_PER_S: f64 = 1024.0;
/// The connections of followers may take one part in this many of the replication account; the rest is for messages.
const CONNECTION_MEMORY_DIVISOR: usize = 2;

/// `[feed]`: this node is a control node, which serves its configuration to followers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FeedSettings {
    /// Listen address for followers.
    pub listen: SocketAddr,
    /// Maximum number of concurrent followers.
    #[serde(default = "default_followers")]
    pub followers: usize,
    /// Maximum number of copies (whole or of differing buckets) sent concurrently.
    #[serde(default = "default_full_copies")]
    pub full_copies: usize,
    /// Rate limit of all copies together, in bytes per second.
    #[serde(default = "default_bytes_per_s")]
    pub bytes_per_s: f64,
    /// Number of changes kept, so that a follower that reconnects can continue without a copy.
    #[serde(default = "default_history")]
    pub history: usize,
}

/// `[follow]`: this node is a follower, which receives its configuration from a control node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FollowSettings {
    /// The follower's zone; by default the zone of the node.
    pub zone: Option<String>,
    /// Number of invokers that share the workers, including this one.
    #[serde(default = "default_invokers")]
    pub invokers: usize,
    /// A follower that is connected to another control node than its first choice tries that one again after a random
    /// time of one to three times this value, in seconds.
    #[serde(default = "default_return_s")]
    pub return_s: f64,
    /// The control nodes.
    #[serde(rename = "control", default)]
    pub controls: Vec<ControlEntry>,
}

/// `[[follow.control]]`: one control node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlEntry {
    /// Address of its feed.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Address of its invoke API. Followers name it when they refuse a request to change the configuration.
    pub api: Option<SocketAddr>,
}

/// The zone, or none if its name is empty.
fn non_empty(zone: &str) -> Option<String> {
    (!zone.is_empty()).then(|| zone.to_string())
}

fn default_invokers() -> usize {
    1
}

fn default_return_s() -> f64 {
    60.0
}

fn default_followers() -> usize {
    100
}

fn default_full_copies() -> usize {
    8
}

fn default_bytes_per_s() -> f64 {
    4_000_000.0
}

fn default_history() -> usize {
    4096
}

impl FeedSettings {
    /// The limits of the feed.
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

    /// Checks the limits against the node's file descriptors and the size of its replication account, in bytes.
    pub fn check(&self, sockets: usize, replication_bytes: usize) -> Result<(), ConfigError> {
        for (key, value) in [
            ("feed.followers", self.followers),
            ("feed.full_copies", self.full_copies),
            ("feed.history", self.history),
        ] {
            if value == 0 {
                return Err(ConfigError::new(key, "must be above 0"));
            }
        }
        if !self.bytes_per_s.is_finite() || self.bytes_per_s < MIN_BYTES_PER_S {
            return Err(ConfigError::new("feed.bytes_per_s", format!("must be at least {MIN_BYTES_PER_S}")));
        }
        if self.followers > sockets / 2 {
            let reason = format!("{} exceeds half of the {sockets} sockets", self.followers);
            return Err(ConfigError::new("feed.followers", reason));
        }
        let max_followers = replication_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        if self.followers > max_followers {
            let reason = format!(
                "{} connections of {CONNECTION_BYTES} bytes exceed half of the {replication_bytes} bytes for \
                 replication (memory_mb, memory.shares.replication)",
                self.followers
            );
            return Err(ConfigError::new("feed.followers", reason));
        }
        Ok(())
    }
}

impl FollowSettings {
    /// The options of a follower in `own_zone`.
    pub fn options(&self, own_zone: &str) -> FollowOptions {
        let zone = self.zone.as_deref().unwrap_or(own_zone);
        let control = |entry: &ControlEntry| ControlAddress {
            address: entry.address,
            zone: non_empty(&entry.zone),
            api: entry.api,
        };
        FollowOptions {
            zone: non_empty(zone),
            controls: self.controls.iter().map(control).collect(),
            return_ms: self.return_s * 1000.0,
        }
    }

    /// Checks that the node receives its configuration only from its control nodes.
    pub fn check(&self, deploy: &Deploy) -> Result<(), ConfigError> {
        if self.controls.is_empty() {
            return Err(ConfigError::new("follow.control", "at least one control node is required"));
        }
        if self.invokers == 0 {
            return Err(ConfigError::new("follow.invokers", "must be above 0"));
        }
        if !self.return_s.is_finite() || self.return_s <= 0.0 {
            return Err(ConfigError::new("follow.return_s", "must be above 0"));
        }
        let mut seen = BTreeSet::new();
        for control in &self.controls {
            if control.address.port() == 0 {
                return Err(ConfigError::new("follow.control.address", "port must not be 0"));
            }
            if !seen.insert(control.address) {
                let reason = format!("duplicate address {}", control.address);
                return Err(ConfigError::new("follow.control.address", reason));
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
                let reason =
                    "can't be combined with [follow]: a follower receives its configuration from its control nodes";
                return Err(ConfigError::new(key, reason));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
