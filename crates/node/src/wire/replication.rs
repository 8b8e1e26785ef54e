//! Anti-entropy replication over TCP between the stores of a few nodes that are all configured as peers of each other.
//!
//! A node keeps a connection to each peer and pushes its own writes at once. At each interval it compares a hash over all
//! records with the peer's, unless the two were found equal recently. If the hashes differ, the nodes determine the buckets
//! that differ, then the records in them, and exchange those that the other lacks.
mod agreements;
mod client;
mod error;
mod mesh;
mod messages;
mod server;
mod settled;

pub use error::ReplicationError;
pub use mesh::Mesh;

use super::accept::{Acceptor, ConnectionLimits};
use super::record_changes::OnRecordChanges;
use crate::core::peer_lines;
use crate::lifecycle::spawn;
use crate::state::store::Store;
use client::ReplicationClient;
use corkbay_ledger::Purpose;
use may::sync::mpsc;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// A message fails if the other side accepts or sends no bytes for this long.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of incoming connections in addition to one per peer.
const MAX_OTHER_CONNECTIONS: usize = 32;

/// Opens the listener for connections from other nodes; `peers` is the number of configured peers.
pub fn open(address: SocketAddr, store: &Store, peers: usize) -> io::Result<Arc<Acceptor>> {
    let account = store.ledger().account(Purpose::Replication).clone();
    Acceptor::open(
        address,
        ConnectionLimits {
            max_connections: peers + MAX_OTHER_CONNECTIONS,
            write_timeout: STALL_TIMEOUT,
            account,
        },
    )
}

/// Starts replication for as long as the process lives: serves other nodes, and pushes to and compares with the peers. Must
/// be called before anything else writes to the store.
pub fn start(
    store: &Arc<Store>,
    acceptor: Arc<Acceptor>,
    peers: &[SocketAddr],
    interval: Duration,
    on_record_changes: OnRecordChanges,
) -> Arc<Mesh> {
    let (mesh, changes) = Mesh::new(store.clone(), peers, on_record_changes);
    let indexing = mesh.clone();
    spawn(move || indexing.follow_changes(&changes));
    accept_peers(mesh.clone(), acceptor);
    let mut write_senders = Vec::new();
    for peer in peers {
        let (sender, local_writes) = mpsc::channel();
        write_senders.push(sender);
        let client = ReplicationClient::new(mesh.clone(), *peer, interval);
        spawn(move || client.run(&local_writes));
    }
    store.on_write(write_senders);
    mesh
}

fn accept_peers(mesh: Arc<Mesh>, acceptor: Arc<Acceptor>) {
    spawn(move || {
        acceptor.accept(move |connection| {
            // Counted as busy for its lifetime, so that an idle peer connection is not evicted.
            connection.request_started();
            if let Err(error) = server::serve(&mesh, &connection) {
                if peer_lines().take() {
                    tracing::warn!(%error, "replication: a caller");
                }
            }
            connection.shut(Shutdown::Both);
        });
    });
}
