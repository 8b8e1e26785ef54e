//! Which node should own what, by rendezvous hashing (highest random weight) over the live nodes, and which
//! nodes count as live.
use crate::Instant;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

/// Returns the node that should own a name: the same on every node that knows the same live nodes. When a node
/// joins or leaves, only the names that it gains or loses move.
pub fn owner(name: &str, live_nodes: impl IntoIterator<Item = u64>) -> Option<u64> {
    let weight = |node: u64| {
        // Keys of zero give the same hash in every process and release.
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        hasher.write_u8(0xff);
        hasher.write_u64(node);
        hasher.finish()
    };
    live_nodes.into_iter().max_by_key(|node| (weight(*node), *node))
}

/// Tracks which nodes are live. A node counts as live only after a minimum time of heartbeats, and until a
/// timeout without any, so an unstable node owns nothing and causes no moves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LivenessTracker {
    min_uptime: Duration,
    timeout: Duration,
    nodes: BTreeMap<u64, HeartbeatTimes>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeartbeatTimes {
    continuous_since: Instant,
    last: Instant,
}

impl LivenessTracker {
    /// A node becomes live after heartbeats for `min_uptime` without a gap longer than `timeout`, and ceases to
    /// be live after such a gap.
    pub fn new(min_uptime: Duration, timeout: Duration) -> Self {
        LivenessTracker { min_uptime, timeout, nodes: BTreeMap::new() }
    }

    /// Records a heartbeat of a node.
    pub fn record_heartbeat(&mut self, now: Instant, node: u64) {
        let timeout = self.timeout;
        let times = self.nodes.entry(node).or_insert(HeartbeatTimes { continuous_since: now, last: now });
        if now > times.last + timeout {
            times.continuous_since = now;
        }
        times.last = times.last.max(now);
    }

    /// Iterates over the nodes that are live at `now`.
    pub fn live_nodes(&self, now: Instant) -> impl Iterator<Item = u64> + '_ {
        let is_live = move |times: &HeartbeatTimes| {
            now <= times.last + self.timeout && now >= times.continuous_since + self.min_uptime
        };
        self.nodes.iter().filter(move |entry| is_live(entry.1)).map(|entry| *entry.0)
    }

    /// Removes a node that was removed from the cluster for good.
    pub fn forget(&mut self, node: u64) {
        self.nodes.remove(&node);
    }
}
