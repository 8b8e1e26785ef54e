//! Anti-entropy between the stores of nodes, over TCP: two nodes swap digests, then what each lacks.
use super::accept::{Acceptor, ConnectionLimits};
use super::socket::Patient;
use crate::core::{now_ms, until};
use crate::life::spawn;
use crate::memory::record::{Record, Stamp};
use crate::memory::store::Store;
use corkbay_ledger::{Purpose, Reservation};
use may::net::TcpStream;
use may::sync::mpsc;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::Duration;

const CONNECT: Duration = Duration::from_millis(500);
const STALL: Duration = Duration::from_secs(5);
/// Largest message.
const MAX_MESSAGE: usize = 32 << 20;
const HEAD: usize = 8;
/// The part of the account that one message's records may take.
const BATCH_PART: usize = 8;
/// Nodes that may call at a time.
const CALLERS: usize = 32;

/// What a caller begins with.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Hello {
    /// Its digest: the two swap what each lacks.
    Digest(Digest),
    /// Records that it has just written; nothing is answered.
    Push(Vec<Record>),
}

#[derive(Serialize, Deserialize)]
struct Digest {
    stamps: BTreeMap<Arc<str>, Stamp>,
}

#[derive(Serialize, Deserialize)]
struct Records {
    records: Vec<Record>,
    /// The digest of who sends, where it wants to be sent something in turn.
    #[serde(default)]
    digest: Option<Digest>,
}

/// Called after records of others came in.
pub type OnNews = Arc<dyn Fn() + Send + Sync>;

/// Listens for other nodes.
pub fn open(address: SocketAddr, store: &Store) -> io::Result<Arc<Acceptor>> {
    let account = store.ledger().account(Purpose::Replication).clone();
    Acceptor::open(address, ConnectionLimits { most: CALLERS, stall: STALL, account })
}

/// Answers other nodes for as long as the process lives.
pub fn listen(store: Arc<Store>, acceptor: Arc<Acceptor>, on_news: OnNews) {
    spawn(move || {
        acceptor.accept(move |connection| {
            // A swap under way keeps its place.
            connection.opened();
            if let Err(error) = answer(&store, &mut connection.patient(STALL), &on_news) {
                tracing::warn!(%error, "replication: a caller");
            }
        });
    });
}

/// Swaps digests with a peer at each interval, and pushes at once what the handle is sent. A push that is
/// lost comes with the next digest.
pub fn follow(
    store: Arc<Store>,
    peer: SocketAddr,
    interval: Duration,
    on_news: OnNews,
) -> mpsc::Sender<Record> {
    let (writes, written) = mpsc::channel();
    spawn(move || {
        let mut reachable = true;
        loop {
            let end = call(&store, peer, &on_news);
            if let (Err(error), true) = (&end, reachable) {
                tracing::warn!(%peer, %error, "replication");
            }
            reachable = end.is_ok();
            let next = now_ms() + interval.as_secs_f64() * 1000.0;
            loop {
                match written.recv_timeout(until(next)) {
                    Ok(first) => {
                        let batch = std::iter::once(first).chain(written.try_iter()).collect();
                        if reachable && push(&store, peer, batch).is_err() {
                            reachable = false;
                        }
                    }
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                if now_ms() >= next {
                    break;
                }
            }
        }
    });
    writes
}

fn push(store: &Store, peer: SocketAddr, records: Vec<Record>) -> io::Result<()> {
    let mut socket = TcpStream::connect_timeout(&peer, CONNECT)?;
    timeouts(&socket)?;
    send(store, &mut socket, &Hello::Push(records))
}

fn call(store: &Store, peer: SocketAddr, on_news: &OnNews) -> io::Result<()> {
    let mut socket = TcpStream::connect_timeout(&peer, CONNECT)?;
    timeouts(&socket)?;
    send(store, &mut socket, &Hello::Digest(Digest { stamps: store.digest() }))?;
    let (theirs, held) = receive::<Records>(store, &mut socket)?;
    take(store, theirs.records, on_news)?;
    if let Some(digest) = theirs.digest {
        let records = store.lacking(&digest.stamps, batch(store));
        drop((digest, held));
        send(store, &mut socket, &Records { records, digest: None })?;
        // The peer closes once it has kept them.
        socket.read_to_end(&mut Vec::new())?;
    }
    Ok(())
}

fn answer(store: &Store, socket: &mut Patient, on_news: &OnNews) -> io::Result<()> {
    let (hello, held) = receive(store, socket)?;
    let theirs = match hello {
        Hello::Digest(digest) => digest,
        Hello::Push(records) => return take(store, records, on_news),
    };
    let records = store.lacking(&theirs.stamps, batch(store));
    drop((theirs, held));
    send(store, socket, &Records { records, digest: Some(Digest { stamps: store.digest() }) })?;
    let (rest, _held) = receive::<Records>(store, socket)?;
    take(store, rest.records, on_news)
}

fn take(store: &Store, records: Vec<Record>, on_news: &OnNews) -> io::Result<()> {
    if store.merge(records).map_err(io::Error::other)? > 0 {
        on_news();
    }
    Ok(())
}

fn timeouts(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(STALL))?;
    socket.set_write_timeout(Some(STALL))
}

/// Bytes of records that go into one message, so that a digest fits beside them; the rest comes with the
/// next one.
fn batch(store: &Store) -> usize {
    store.ledger().account(Purpose::Replication).cap() / BATCH_PART
}

fn send(store: &Store, socket: &mut impl Write, message: &impl Serialize) -> io::Result<()> {
    let mut bytes = Counted { bytes: vec![0; HEAD], held: nothing(store) };
    serde_json::to_writer(&mut bytes, message)?;
    let Counted { mut bytes, held } = bytes;
    let text = &bytes[HEAD..];
    let (size, check) = ((text.len() as u32).to_be_bytes(), crc32fast::hash(text).to_be_bytes());
    bytes[..4].copy_from_slice(&size);
    bytes[4..HEAD].copy_from_slice(&check);
    socket.write_all(&bytes)?;
    drop(held);
    Ok(())
}

/// A message with what is held for its text, which is also what its parts take, about.
fn receive<T: DeserializeOwned>(store: &Store, socket: &mut impl Read) -> io::Result<(T, Reservation)> {
    let mut head = [0; HEAD];
    socket.read_exact(&mut head)?;
    let size = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let check = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
    if size > MAX_MESSAGE {
        return Err(io::Error::other("message too long"));
    }
    // Memory follows what has come, not what was promised.
    let mut text = Counted { bytes: Vec::new(), held: nothing(store) };
    io::copy(&mut socket.take(size as u64), &mut text)?;
    let Counted { bytes, held } = text;
    if bytes.len() < size || crc32fast::hash(&bytes) != check {
        return Err(io::Error::other("damaged message"));
    }
    Ok((serde_json::from_slice(&bytes)?, held))
}

fn nothing(store: &Store) -> Reservation {
    store.ledger().account(Purpose::Replication).nothing()
}

/// Bytes that are counted before they are held.
struct Counted {
    bytes: Vec<u8>,
    held: Reservation,
}

impl Write for Counted {
    fn write(&mut self, more: &[u8]) -> io::Result<usize> {
        let needed = self.bytes.len() + more.len();
        if needed > self.bytes.capacity() {
            let capacity = needed.next_power_of_two();
            self.held.resize(capacity).map_err(io::Error::other)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(more);
        Ok(more.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
