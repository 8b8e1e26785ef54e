//! The server side of replication: answers the requests of a peer that connected to this node.
use super::error::ReplicationError;
use super::mesh::{Mesh, MissingRecords};
use super::messages::{Hello, Opening, Reply, Request, PROTOCOL_VERSION};
use super::STALL_TIMEOUT;
use crate::wire::accept::Connection;
use std::sync::Arc;
use std::time::Duration;

/// Maximum silence of a peer. A peer with equal records still compares well within this time.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Answers a peer's requests until it closes the connection.
pub fn serve(mesh: &Mesh, connection: &Connection) -> Result<(), ReplicationError> {
    let peer = greet(mesh, connection)?;
    loop {
        let request = match mesh.receive::<Request>(&mut connection.with_read_timeout(SILENCE_TIMEOUT)) {
            Err(ReplicationError::Framing(error)) if error.is_closed() => return Ok(()),
            request => request?,
        };
        let Some(reply) = handle(mesh, &peer, request.message)? else { continue };
        mesh.send(&mut connection.with_read_timeout(STALL_TIMEOUT), &reply)?;
    }
}

/// Exchanges greetings with a peer; returns its name.
fn greet(mesh: &Mesh, connection: &Connection) -> Result<Arc<str>, ReplicationError> {
    let opening = mesh.receive::<Opening>(&mut connection.with_read_timeout(STALL_TIMEOUT))?;
    let hello = match opening.message {
        Opening::Hello(hello) => hello,
        Opening::Digest(_) | Opening::Push(_) => return Err(ReplicationError::EarlierVersion),
    };
    let own_hello = Hello { version: PROTOCOL_VERSION, node: mesh.node().into() };
    mesh.send(&mut connection.with_read_timeout(STALL_TIMEOUT), &Reply::Hello(own_hello))?;
    if hello.version != PROTOCOL_VERSION {
        return Err(ReplicationError::UnknownVersion(hello.version));
    }
    Ok(hello.node)
}

/// Handles a request and returns the reply, if it has one.
fn handle(mesh: &Mesh, peer: &Arc<str>, request: Request) -> Result<Option<Reply>, ReplicationError> {
    let reply = match request {
        Request::Hello(_) => return Err(ReplicationError::UnexpectedMessage),
        Request::Push(records) => {
            mesh.store_records(records)?;
            return Ok(None);
        }
        Request::Compare(root_hash) if root_hash == mesh.root_hash() => {
            mesh.record_agreement(peer, root_hash);
            Reply::Equal
        }
        Request::Compare(_) => Reply::Buckets(mesh.bucket_hashes()),
        Request::Held(peer_held) => {
            let MissingRecords { records, without_room, .. } = mesh.records_missing_at(&peer_held);
            let held = mesh.bucket_contents(peer_held.bucket_numbers());
            Reply::Difference { records, held, without_room }
        }
        Request::Records(records) => {
            mesh.store_records(records)?;
            Reply::Taken
        }
    };
    Ok(Some(reply))
}
