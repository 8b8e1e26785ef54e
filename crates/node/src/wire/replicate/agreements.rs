//! When this node and each of its peers last found that they hold the same.
use corkbay::Ms;
use std::collections::HashMap;
use std::sync::Arc;

/// Peers with the same records compare again after this.
const PAUSE_MS: Ms = 10_000.0;
/// Of two nodes that call each other, the one with the greater name leaves the other so much more time to ask, so
/// that one exchange serves both.
const SECOND_PAUSE_MS: Ms = 15_000.0;
/// Most peers that are remembered.
const MOST_PEERS: usize = 1024;

struct Agreement {
    root: u64,
    at: Ms,
}

/// The last agreement with each peer by name.
#[derive(Default)]
pub struct Agreements {
    by_peer: HashMap<Arc<str>, Agreement>,
}

impl Agreements {
    /// Notes that a peer holds what this node does.
    pub fn note(&mut self, peer: &Arc<str>, root: u64, now: Ms) {
        if self.by_peer.len() >= MOST_PEERS && !self.by_peer.contains_key(peer) {
            self.by_peer.clear();
        }
        self.by_peer.insert(peer.clone(), Agreement { root, at: now });
    }

    /// Whether a node that holds `root` now is to compare with a peer: at once where its records are not those that
    /// both agreed on, and after a pause otherwise.
    pub fn is_due(&self, own: &str, peer: &str, root: u64, now: Ms) -> bool {
        let Some(agreement) = self.by_peer.get(peer) else { return true };
        let pause = if own < peer { PAUSE_MS } else { SECOND_PAUSE_MS };
        agreement.root != root || now - agreement.at >= pause
    }
}

#[cfg(test)]
mod tests;
