//! The answering side of a peer's connection.
use super::error::ReplicationError;
use super::mesh::Mesh;
use super::messages::{Hello, Opening, Reply, Request, VERSION};
use super::STALL;
use crate::wire::accept::Connection;
use std::sync::Arc;
use std::time::Duration;

/// Longest silence of a peer; one that holds the same says something well within it.
const SILENCE: Duration = Duration::from_secs(60);

/// Answers a peer until it leaves.
pub fn answer(mesh: &Mesh, connection: &Connection) -> Result<(), ReplicationError> {
    let peer = greet(mesh, connection)?;
    loop {
        let request = match mesh.receive::<Request>(&mut connection.patient(SILENCE)) {
            Err(ReplicationError::Framing(error)) if error.is_closed() => return Ok(()),
            request => request?,
        };
        let Some(reply) = reply(mesh, &peer, request.message)? else { continue };
        mesh.send(&mut connection.patient(STALL), &reply)?;
    }
}

/// Swaps names with a peer; returns its name.
fn greet(mesh: &Mesh, connection: &Connection) -> Result<Arc<str>, ReplicationError> {
    let opening = mesh.receive::<Opening>(&mut connection.patient(STALL))?;
    let hello = match opening.message {
        Opening::Hello(hello) => hello,
        Opening::Digest(_) | Opening::Push(_) => return Err(ReplicationError::EarlierVersion),
    };
    let ours = Hello { version: VERSION, node: mesh.node().into() };
    mesh.send(&mut connection.patient(STALL), &Reply::Hello(ours))?;
    if hello.version != VERSION {
        return Err(ReplicationError::UnknownVersion(hello.version));
    }
    Ok(hello.node)
}

/// What is answered, if anything is.
fn reply(mesh: &Mesh, peer: &Arc<str>, request: Request) -> Result<Option<Reply>, ReplicationError> {
    let reply = match request {
        Request::Hello(_) => return Err(ReplicationError::OutOfTurn),
        Request::Push(records) => {
            mesh.take(records)?;
            return Ok(None);
        }
        Request::Compare(root) if root == mesh.root() => {
            mesh.agreed(peer, root);
            Reply::Equal
        }
        Request::Compare(_) => Reply::Buckets(mesh.hashes()),
        Request::Held(theirs) => {
            let records = mesh.lacking(&theirs);
            let held = mesh.held(theirs.bucket_numbers());
            Reply::Difference { records, held }
        }
        Request::Records(records) => {
            mesh.take(records)?;
            Reply::Taken
        }
    };
    Ok(Some(reply))
}
