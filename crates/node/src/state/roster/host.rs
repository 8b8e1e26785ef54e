//! A worker as connections and attempts refer to it: its address, and whether work may be sent to it.
use corkbay::WorkerId;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// One worker. A new name at a known address is another worker, with its own connections.
#[derive(Debug)]
pub struct Host {
    /// Id of the worker.
    pub id: WorkerId,
    /// Name of the worker.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    blocked: AtomicBool,
    suspended: AtomicBool,
}

impl Host {
    /// A host that accepts work.
    pub fn new(id: WorkerId, name: &str, address: SocketAddr) -> Arc<Self> {
        let (blocked, suspended) = (AtomicBool::new(false), AtomicBool::new(false));
        Arc::new(Host { id, name: name.to_string(), address, blocked, suspended })
    }

    /// Whether no new work may be sent to it, as it is draining, gone or suspended.
    pub fn is_blocked(&self) -> bool {
        self.blocked.load(Ordering::Acquire)
    }

    /// Sets whether new work is blocked.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::Release);
    }

    /// Sets whether operators have suspended it.
    pub fn suspend(&self, suspended: bool) {
        self.suspended.store(suspended, Ordering::Release);
    }

    /// Whether operators have suspended it: nothing new may be sent to it, not even probes.
    pub fn suspended(&self) -> bool {
        self.suspended.load(Ordering::Acquire)
    }
}
