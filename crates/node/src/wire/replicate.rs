//! Anti-entropy between the stores of a few nodes that all name each other as peers, over TCP.
//!
//! A node keeps a connection to each peer. What it writes is pushed at once. At each interval it compares one hash
//! over all records with the peer's, if that is due: nodes that hold the same pause. Where the hashes differ, the two
//! find the buckets that do, then the records in them, and swap what each lacks.
mod agreements;
mod answerer;
mod caller;
mod error;
mod mesh;
mod messages;

pub use error::ReplicationError;
pub use mesh::Mesh;

use super::accept::{Acceptor, ConnectionLimits};
use super::news::OnNews;
use crate::life::spawn;
use crate::memory::store::Store;
use caller::Caller;
use corkbay_ledger::Purpose;
use may::sync::mpsc;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// How long the other side may take or send nothing of a message.
const STALL: Duration = Duration::from_secs(5);
/// Nodes that may be connected beside the peers.
const OTHER_CALLERS: usize = 32;

/// Listens for other nodes, of which so many are expected.
pub fn open(address: SocketAddr, store: &Store, peers: usize) -> io::Result<Arc<Acceptor>> {
    let account = store.ledger().account(Purpose::Replication).clone();
    Acceptor::open(address, ConnectionLimits { most: peers + OTHER_CALLERS, stall: STALL, account })
}

/// Answers other nodes and follows peers for as long as the process lives. To be called before the store is written to
/// by others.
pub fn start(
    store: &Arc<Store>,
    acceptor: Arc<Acceptor>,
    peers: &[SocketAddr],
    interval: Duration,
    on_news: OnNews,
) -> Arc<Mesh> {
    let (mesh, changes) = Mesh::new(store.clone(), on_news);
    let indexed = mesh.clone();
    spawn(move || indexed.follow_changes(&changes));
    listen(mesh.clone(), acceptor);
    let mut listeners = Vec::new();
    for peer in peers {
        let (writes, written) = mpsc::channel();
        listeners.push(writes);
        let caller = Caller::new(mesh.clone(), *peer, interval);
        spawn(move || caller.run(&written));
    }
    store.on_write(listeners);
    mesh
}

fn listen(mesh: Arc<Mesh>, acceptor: Arc<Acceptor>) {
    spawn(move || {
        acceptor.accept(move |connection| {
            // It keeps its place while it says nothing.
            connection.opened();
            if let Err(error) = answerer::answer(&mesh, &connection) {
                tracing::warn!(%error, "replication: a caller");
            }
            connection.shut(Shutdown::Both);
        });
    });
}
