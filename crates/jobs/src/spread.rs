//! Which node ought to own what: highest random weight over the living, and who counts as living.
use crate::Instant;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

/// The node that ought to own a name: the same at every node that knows the same living ones. When a node comes or goes,
/// only names move that it gains or loses.
pub fn owner(name: &str, living: impl IntoIterator<Item = u64>) -> Option<u64> {
    let weight = |node: u64| {
        // With keys of zero: the same in every process and release.
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        hasher.write_u8(0xff);
        hasher.write_u64(node);
        hasher.finish()
    };
    living.into_iter().max_by_key(|node| (weight(*node), *node))
}

/// Who counts as living. A node is taken in only after it was heard for a while, and left out only after a silence, so
/// that one which comes and goes owns nothing and nothing moves with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Presence {
    steady: Duration,
    silence: Duration,
    nodes: BTreeMap<u64, Heard>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Heard {
    since: Instant,
    last: Instant,
}

impl Presence {
    /// A node is taken in once it was heard for `steady` without a gap of `silence`, and left out after such a gap.
    pub fn new(steady: Duration, silence: Duration) -> Self {
        Presence { steady, silence, nodes: BTreeMap::new() }
    }

    /// A sign of life.
    pub fn heard(&mut self, now: Instant, node: u64) {
        let silence = self.silence;
        let heard = self.nodes.entry(node).or_insert(Heard { since: now, last: now });
        if now > heard.last + silence {
            heard.since = now;
        }
        heard.last = heard.last.max(now);
    }

    /// Those who count as living now.
    pub fn living(&self, now: Instant) -> impl Iterator<Item = u64> + '_ {
        let lives = move |heard: &Heard| now <= heard.last + self.silence && now >= heard.since + self.steady;
        self.nodes.iter().filter(move |entry| lives(entry.1)).map(|entry| *entry.0)
    }

    /// Forgets a node that was removed for good.
    pub fn forget(&mut self, node: u64) {
        self.nodes.remove(&node);
    }
}
