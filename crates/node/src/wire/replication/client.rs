//! The client side of replication: pushes this node's writes to a peer and periodically compares records with it.
use super::error::ReplicationError;
use super::mesh::Mesh;
use super::messages::{Held, Hello, Reply, Request, PROTOCOL_VERSION};
use super::settled::SettledBuckets;
use super::STALL_TIMEOUT;
use crate::core::monotonic_ms;
use crate::state::record::Record;
use crate::timers;
use crate::wire::framing::FramingError;
use crate::wire::socket::Socket;
use corkbay_feed::{BucketHashes, BucketNumber};
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
    address: SocketAddr,
    socket: Socket,
    node: Arc<str>,
    settled: SettledBuckets,
}

/// The result of an exchange of some buckets.
struct ExchangeOutcome {
    /// Number of records that were new to this node.
    received: usize,
    /// Whether the peer lacks further records that it has room for.
    has_more_to_send: bool,
    /// Number of the peer's records that this node lacks and has no room for.
    without_room: usize,
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
            Reply::Hello(Hello { version: PROTOCOL_VERSION, node }) => {
                Ok(PeerConnection { address: *peer, socket, node, settled: SettledBuckets::default() })
            }
            Reply::Hello(Hello { version, .. }) => Err(ReplicationError::UnknownVersion(version)),
            _ => Err(ReplicationError::UnexpectedMessage),
        }
    }

    /// Compares hashes and exchanges the records that either side lacks in the buckets that differ. Returns the number of
    /// records that were new to this node.
    fn compare(&mut self, mesh: &Mesh) -> Result<usize, ReplicationError> {
        let root_hash = mesh.root_hash();
        let peer_hashes = match self.request(mesh, &Request::Compare(root_hash))? {
            Reply::Equal => {
                mesh.record_agreement(&self.node, root_hash);
                mesh.record_more_at_peer(self.address, false);
                return Ok(0);
            }
            Reply::Buckets(peer_hashes) => peer_hashes,
            _ => return Err(ReplicationError::UnexpectedMessage),
        };
        let own_hashes = mesh.bucket_hashes();
        let mut differing = own_hashes.differing(&peer_hashes);
        if differing.is_empty() {
            return Ok(0);
        }
        self.settled.refresh(mesh.room_bytes(), monotonic_ms());
        differing.retain(|bucket| !self.settled.contains(*bucket, &own_hashes, &peer_hashes));
        if differing.is_empty() {
            mesh.record_settled(&self.node, root_hash);
            return Ok(0);
        }
        // A random start prevents a bucket whose exchange fails from blocking the others forever.
        let start = rand::random_range(0..differing.len());
        differing.rotate_left(start);
        self.exchange_all(mesh, &differing, &own_hashes, &peer_hashes)
    }

    /// Exchanges the records of buckets, as many buckets at a time as fit into a message. Returns the number of records that
    /// were new to this node.
    fn exchange_all(
        &mut self,
        mesh: &Mesh,
        mut buckets: &[BucketNumber],
        own_hashes: &BucketHashes,
        peer_hashes: &BucketHashes,
    ) -> Result<usize, ReplicationError> {
        let (mut received, mut without_room) = (0, 0);
        while !buckets.is_empty() {
            let own_contents = mesh.bucket_contents(buckets.iter().copied());
            let (exchanged, rest) = buckets.split_at(own_contents.buckets.len());
            let outcome = self.exchange(mesh, own_contents)?;
            if outcome.received == 0 && !outcome.has_more_to_send {
                // If the peer has kept a record that it was sent, the hash of its bucket changes.
                exchanged.iter().for_each(|bucket| self.settled.note(*bucket, own_hashes, peer_hashes));
            }
            received += outcome.received;
            without_room += outcome.without_room;
            buckets = rest;
        }
        if without_room > 0 {
            mesh.record_more_at_peer(self.address, true);
        }
        Ok(received)
    }

    /// Exchanges the records of some buckets.
    fn exchange(&self, mesh: &Mesh, own_contents: Held) -> Result<ExchangeOutcome, ReplicationError> {
        let Reply::Difference { records, held, without_room } =
            self.request(mesh, &Request::Held(own_contents))?
        else {
            return Err(ReplicationError::UnexpectedMessage);
        };
        // Computed before the received records are stored, so that these are not sent back.
        let missing = mesh.records_missing_at(&held);
        let received = mesh.store_records(records)?;
        let has_more_to_send = missing.is_truncated;
        if missing.records.is_empty() {
            return Ok(ExchangeOutcome { received, has_more_to_send, without_room });
        }
        match self.request(mesh, &Request::Records(missing.records))? {
            Reply::Taken => Ok(ExchangeOutcome { received, has_more_to_send, without_room }),
            _ => Err(ReplicationError::UnexpectedMessage),
        }
    }

    fn request(&self, mesh: &Mesh, request: &Request) -> Result<Reply, ReplicationError> {
        mesh.send(&mut self.socket.with_read_timeout(STALL_TIMEOUT), request)?;
        Ok(mesh.receive(&mut self.socket.with_read_timeout(STALL_TIMEOUT))?.message)
    }
}
