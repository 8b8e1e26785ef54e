//! Records when this node and each peer were last found to hold the same records.
use corkbay::Ms;
use std::collections::HashMap;
use std::sync::Arc;

/// Peers with equal records compare again after this time.
const PAUSE_MS: Ms = 10_000.0;
/// The pause of the node with the greater name. It is longer so that the other node compares first and one exchange serves
/// both.
const GREATER_NAME_PAUSE_MS: Ms = 15_000.0;
/// Maximum number of remembered peers; the table is cleared when a further one is added.
const MAX_PEERS: usize = 1024;

/// An equal comparison: the hash over all records, and when it was found, in milliseconds.
struct Agreement {
    root_hash: u64,
    found_at: Ms,
}

/// The last equal comparison with each peer, by the peer's name, and the last one that found no difference but records that
/// one of the two has no room for.
#[derive(Default)]
pub struct Agreements {
    by_peer: HashMap<Arc<str>, Agreement>,
    settled_by_peer: HashMap<Arc<str>, Agreement>,
}

impl Agreements {
    /// Records that a peer holds the same records as this node, with the given hash over all of them.
    pub fn record(&mut self, peer: &Arc<str>, root_hash: u64, now: Ms) {
        insert(&mut self.by_peer, peer, Agreement { root_hash, found_at: now });
    }

    /// Records that nothing can be exchanged with a peer although its records differ from those of this node, which have
    /// the given hash.
    pub fn record_settled(&mut self, peer: &Arc<str>, root_hash: u64, now: Ms) {
        insert(&mut self.settled_by_peer, peer, Agreement { root_hash, found_at: now });
    }

    /// When a peer was last found to hold the same records, in milliseconds; `None` if never.
    pub fn found_at(&self, peer: &str) -> Option<Ms> {
        self.by_peer.get(peer).map(|agreement| agreement.found_at)
    }

    /// Whether a comparison with a peer is due: at once if the hash over this node's records has changed since the last
    /// equal comparison, otherwise after a pause.
    pub fn is_due(&self, own_name: &str, peer: &str, root_hash: u64, now: Ms) -> bool {
        let pause = if own_name < peer { PAUSE_MS } else { GREATER_NAME_PAUSE_MS };
        let found =
            [&self.by_peer, &self.settled_by_peer].into_iter().filter_map(|by_peer| by_peer.get(peer));
        let mut found = found.filter(|found| found.root_hash == root_hash && now - found.found_at < pause);
        found.next().is_none()
    }
}

fn insert(by_peer: &mut HashMap<Arc<str>, Agreement>, peer: &Arc<str>, agreement: Agreement) {
    if by_peer.len() >= MAX_PEERS && !by_peer.contains_key(peer) {
        by_peer.clear();
    }
    by_peer.insert(peer.clone(), agreement);
}

#[cfg(test)]
mod tests;
