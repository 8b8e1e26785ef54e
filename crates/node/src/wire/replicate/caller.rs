//! The calling side: pushes what this node writes, and compares with a peer from time to time.
use super::error::ReplicationError;
use super::mesh::Mesh;
use super::messages::{Hello, Reply, Request, VERSION};
use super::STALL;
use crate::memory::record::Record;
use crate::timers;
use crate::wire::framing::FramingError;
use crate::wire::socket::Socket;
use may::sync::mpsc;
use std::net::SocketAddr;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time for making a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// A peer that could not be reached is tried again after this at the earliest, when there is something to push.
const RETRY: Duration = Duration::from_millis(200);

/// A connection to a peer that has greeted.
struct PeerConnection {
    socket: Socket,
    node: Arc<str>,
}

/// This node's side of one peer.
pub struct Caller {
    mesh: Arc<Mesh>,
    peer: SocketAddr,
    interval: Duration,
    connection: Option<PeerConnection>,
    is_reachable: bool,
    last_try: Instant,
}

impl Caller {
    /// The side of a peer at that address, with which it compares at each interval where that is due.
    pub fn new(mesh: Arc<Mesh>, peer: SocketAddr, interval: Duration) -> Self {
        Caller { mesh, peer, interval, connection: None, is_reachable: true, last_try: Instant::now() }
    }

    /// Compares at each interval and pushes at once what is written, until nobody writes any more. A push that is
    /// lost comes with the next comparison.
    pub fn run(mut self, written: &mpsc::Receiver<Record>) {
        loop {
            let end = self.compare_if_due();
            self.note_end(&end);
            if !self.push_until(Instant::now() + self.interval, written) {
                return;
            }
        }
    }

    /// Pushes what is written until that time, or until a peer that could not be reached may be tried again; false once nobody writes any more.
    fn push_until(&mut self, mut next: Instant, written: &mpsc::Receiver<Record>) -> bool {
        loop {
            match timers::receive(written, next.saturating_duration_since(Instant::now())) {
                Ok(first) => {
                    let batch = std::iter::once(first).chain(written.try_iter()).collect();
                    let may_try_at = self.last_try + RETRY;
                    if self.is_reachable || Instant::now() >= may_try_at {
                        let end = self.push_or_compare(batch);
                        self.note_end(&end);
                    } else {
                        // The comparison brings it.
                        next = next.min(may_try_at);
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

    fn note_end(&mut self, end: &Result<(), ReplicationError>) {
        if let Err(error) = end {
            self.connection = None;
            if self.is_reachable {
                tracing::warn!(peer = %self.peer, %error, "replication");
            }
        }
        self.is_reachable = end.is_ok();
        self.last_try = Instant::now();
    }

    /// Pushes records; a peer that could not be reached before lacks others, too.
    fn push_or_compare(&mut self, records: Vec<Record>) -> Result<(), ReplicationError> {
        self.push(records)?;
        if self.is_reachable {
            return Ok(());
        }
        self.compare_if_due()
    }

    fn push(&mut self, records: Vec<Record>) -> Result<(), ReplicationError> {
        let mesh = self.mesh.clone();
        let connection = self.connection()?;
        mesh.send(&mut connection.socket.patient(STALL), &Request::Push(records))
    }

    fn compare_if_due(&mut self) -> Result<(), ReplicationError> {
        let mesh = self.mesh.clone();
        let connection = self.connection()?;
        if !mesh.is_due(&connection.node) {
            return Ok(());
        }
        connection.compare(&mesh)
    }

    /// The connection to the peer, made anew where the peer has ended it.
    fn connection(&mut self) -> Result<&mut PeerConnection, ReplicationError> {
        let standing = self.connection.take().filter(|connection| !connection.socket.is_hung_up());
        let connection = match standing {
            Some(connection) => connection,
            None => PeerConnection::open(&self.mesh, &self.peer)?,
        };
        Ok(self.connection.insert(connection))
    }
}

impl PeerConnection {
    fn open(mesh: &Mesh, peer: &SocketAddr) -> Result<Self, ReplicationError> {
        let socket = Socket::connect(peer, CONNECT, STALL)?;
        let hello = Hello { version: VERSION, node: mesh.node().into() };
        mesh.send(&mut socket.patient(STALL), &Request::Hello(hello))?;
        let reply = match mesh.receive::<Reply>(&mut socket.patient(STALL)) {
            Err(ReplicationError::Framing(error)) if error.is_closed() => {
                return Err(ReplicationError::NotGreeted);
            }
            // A message that the earlier version had and this one has not.
            Err(ReplicationError::Framing(FramingError::Malformed(_))) => {
                return Err(ReplicationError::EarlierVersion);
            }
            reply => reply?.message,
        };
        match reply {
            Reply::Hello(Hello { version: VERSION, node }) => Ok(PeerConnection { socket, node }),
            Reply::Hello(Hello { version, .. }) => Err(ReplicationError::UnknownVersion(version)),
            _ => Err(ReplicationError::OutOfTurn),
        }
    }

    /// Compares the hashes, and swaps what either side lacks in buckets that differ.
    fn compare(&self, mesh: &Mesh) -> Result<(), ReplicationError> {
        let root = mesh.root();
        let theirs = match self.ask(mesh, &Request::Compare(root))? {
            Reply::Equal => {
                mesh.agreed(&self.node, root);
                return Ok(());
            }
            Reply::Buckets(theirs) => theirs,
            _ => return Err(ReplicationError::OutOfTurn),
        };
        let mut differing = mesh.hashes().differing(&theirs);
        if differing.is_empty() {
            return Ok(());
        }
        // Where not all go into a message, those that can't be made equal don't keep the others back for ever.
        let start = rand::random_range(0..differing.len());
        differing.rotate_left(start);
        let held = mesh.held(differing.into_iter());
        let Reply::Difference { records, held } = self.ask(mesh, &Request::Held(held))? else {
            return Err(ReplicationError::OutOfTurn);
        };
        // Before they are taken in: what came from there need not go back.
        let lacking = mesh.lacking(&held);
        mesh.take(records)?;
        if lacking.is_empty() {
            return Ok(());
        }
        match self.ask(mesh, &Request::Records(lacking))? {
            Reply::Taken => Ok(()),
            _ => Err(ReplicationError::OutOfTurn),
        }
    }

    fn ask(&self, mesh: &Mesh, request: &Request) -> Result<Reply, ReplicationError> {
        mesh.send(&mut self.socket.patient(STALL), request)?;
        Ok(mesh.receive(&mut self.socket.patient(STALL))?.message)
    }
}
