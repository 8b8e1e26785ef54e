//! The client side of replication: pushes this node's writes to a peer and periodically compares records with it.
use super::error::ReplicationError;
use super::mesh::Mesh;
use super::messages::{Hello, Reply, Request, PROTOCOL_VERSION};
use super::STALL_TIMEOUT;
use crate::state::record::Record;
use crate::timers;
use crate::wire::framing::FramingError;
use crate::wire::socket::Socket;
use may::sync::mpsc;
use std::net::SocketAddr;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum pause before records are pushed again to a peer that could not be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A connection to a peer after the exchange of greetings.
struct PeerConnection {
    socket: Socket,
    node: Arc<str>,
}

/// Replicates to one peer.
pub struct ReplicationClient {
    mesh: Arc<Mesh>,
    peer: SocketAddr,
    interval: Duration,
    connection: Option<PeerConnection>,
    is_reachable: bool,
    last_attempt: Instant,
}

impl ReplicationClient {
    /// Creates a client for the peer at that address, which compares at each interval if that is due.
    pub fn new(mesh: Arc<Mesh>, peer: SocketAddr, interval: Duration) -> Self {
        ReplicationClient {
            mesh,
            peer,
            interval,
            connection: None,
            is_reachable: true,
            last_attempt: Instant::now(),
        }
    }

    /// Compares at each interval and pushes local writes at once, until the sender of `local_writes` is dropped. Records of a
    /// failed push are replicated by the next comparison.
    pub fn run(mut self, local_writes: &mpsc::Receiver<Record>) {
        let result = self.receive_all();
        self.note_result(&result);
        self.mesh.record_first_attempt(self.peer);
        loop {
            let result = self.compare_if_due();
            self.note_result(&result);
            if !self.push_until(Instant::now() + self.interval, local_writes) {
                return;
            }
        }
    }

    /// Pushes local writes until `next`, or until an unreachable peer may be retried. Returns false once the sender of
    /// `local_writes` is dropped.
    fn push_until(&mut self, mut next: Instant, local_writes: &mpsc::Receiver<Record>) -> bool {
        loop {
            match timers::receive(local_writes, next.saturating_duration_since(Instant::now())) {
                Ok(first) => {
                    let batch = std::iter::once(first).chain(local_writes.try_iter()).collect();
                    let retry_at = self.last_attempt + RETRY_PAUSE;
                    if self.is_reachable || Instant::now() >= retry_at {
                        let result = self.push_and_catch_up(batch);
                        self.note_result(&result);
                    } else {
                        // The batch is dropped; the next comparison replicates it.
                        next = next.min(retry_at);
                    }
                }
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
            if Instant::now() >= next {
                return true;
            }
        }
    }

    fn note_result(&mut self, result: &Result<(), ReplicationError>) {
        if let Err(error) = result {
            self.connection = None;
            if self.is_reachable {
                tracing::warn!(peer = %self.peer, %error, "replication");
            }
        }
        self.is_reachable = result.is_ok();
        self.last_attempt = Instant::now();
    }

    /// Pushes records. A peer that was unreachable before missed earlier pushes, so a comparison follows.
    fn push_and_catch_up(&mut self, records: Vec<Record>) -> Result<(), ReplicationError> {
        self.push(records)?;
        if self.is_reachable {
            return Ok(());
        }
        self.compare_if_due()
    }

    fn push(&mut self, records: Vec<Record>) -> Result<(), ReplicationError> {
        let mesh = self.mesh.clone();
        let connection = self.connection()?;
        mesh.send(&mut connection.socket.with_read_timeout(STALL_TIMEOUT), &Request::Push(records))
    }

    /// Compares until the peer has no further record that this node lacks.
    fn receive_all(&mut self) -> Result<(), ReplicationError> {
        let mesh = self.mesh.clone();
        while self.connection()?.compare(&mesh)? > 0 {}
        Ok(())
    }

    fn compare_if_due(&mut self) -> Result<(), ReplicationError> {
        let mesh = self.mesh.clone();
        let connection = self.connection()?;
        if !mesh.is_due(&connection.node) {
            return Ok(());
        }
        connection.compare(&mesh).map(drop)
    }

    /// The connection to the peer; reconnects if there is none or the peer has closed it.
    fn connection(&mut self) -> Result<&mut PeerConnection, ReplicationError> {
        let reusable = self.connection.take().filter(|connection| !connection.socket.is_closed_by_peer());
        let connection = match reusable {
            Some(connection) => connection,
            None => PeerConnection::open(&self.mesh, &self.peer)?,
        };
        self.mesh.record_peer(self.peer, &connection.node);
        Ok(self.connection.insert(connection))
    }
}

impl PeerConnection {
    fn open(mesh: &Mesh, peer: &SocketAddr) -> Result<Self, ReplicationError> {
        let socket = Socket::connect(peer, CONNECT_TIMEOUT, STALL_TIMEOUT)?;
        let hello = Hello { version: PROTOCOL_VERSION, node: mesh.node().into() };
        mesh.send(&mut socket.with_read_timeout(STALL_TIMEOUT), &Request::Hello(hello))?;
        let reply = match mesh.receive::<Reply>(&mut socket.with_read_timeout(STALL_TIMEOUT)) {
            Err(ReplicationError::Framing(error)) if error.is_closed() => {
                return Err(ReplicationError::NotGreeted);
            }
            // A node of the earlier version replies with a message that this version doesn't know.
            Err(ReplicationError::Framing(FramingError::Malformed(_))) => {
                return Err(ReplicationError::EarlierVersion);
            }
            reply => reply?.message,
        };
        match reply {
            Reply::Hello(Hello { version: PROTOCOL_VERSION, node }) => Ok(PeerConnection { socket, node }),
            Reply::Hello(Hello { version, .. }) => Err(ReplicationError::UnknownVersion(version)),
            _ => Err(ReplicationError::UnexpectedMessage),
        }
    }

    /// Compares hashes and exchanges the records that either side lacks in the buckets that differ. Returns the number of
    /// records that were new to this node.
    fn compare(&self, mesh: &Mesh) -> Result<usize, ReplicationError> {
        let root_hash = mesh.root_hash();
        let peer_hashes = match self.request(mesh, &Request::Compare(root_hash))? {
            Reply::Equal => {
                mesh.record_agreement(&self.node, root_hash);
                return Ok(0);
            }
            Reply::Buckets(peer_hashes) => peer_hashes,
            _ => return Err(ReplicationError::UnexpectedMessage),
        };
        let mut differing = mesh.bucket_hashes().differing(&peer_hashes);
        if differing.is_empty() {
            return Ok(0);
        }
        // A message may not hold all differing buckets. A random start prevents buckets that stay different from blocking
        // the others forever.
        let start = rand::random_range(0..differing.len());
        differing.rotate_left(start);
        let own_contents = mesh.bucket_contents(differing.into_iter());
        let Reply::Difference { records, held } = self.request(mesh, &Request::Held(own_contents))? else {
            return Err(ReplicationError::UnexpectedMessage);
        };
        // Computed before the received records are stored, so that these are not sent back.
        let missing = mesh.records_missing_at(&held);
        let received = mesh.store_records(records)?;
        if missing.is_empty() {
            return Ok(received);
        }
        match self.request(mesh, &Request::Records(missing))? {
            Reply::Taken => Ok(received),
            _ => Err(ReplicationError::UnexpectedMessage),
        }
    }

    fn request(&self, mesh: &Mesh, request: &Request) -> Result<Reply, ReplicationError> {
        mesh.send(&mut self.socket.with_read_timeout(STALL_TIMEOUT), request)?;
        Ok(mesh.receive(&mut self.socket.with_read_timeout(STALL_TIMEOUT))?.message)
    }
}
