//! Anti-entropy between the stores of nodes, over TCP: two nodes swap digests, then what each lacks.
use super::accept::{Acceptor, ConnectionLimits};
use super::framing::{receive, send, FramingError, Received};
use super::socket::Patient;
use crate::core::{now_ms, until};
use crate::life::spawn;
use crate::memory::record::{Record, Stamp};
use crate::memory::store::Store;
use corkbay_ledger::{Account, Purpose};
use may::net::TcpStream;
use may::sync::mpsc;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::Duration;

const CONNECT: Duration = Duration::from_millis(500);
const STALL: Duration = Duration::from_secs(5);
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

fn push(store: &Store, peer: SocketAddr, records: Vec<Record>) -> Result<(), FramingError> {
    let mut socket = TcpStream::connect_timeout(&peer, CONNECT)?;
    timeouts(&socket)?;
    send(account(store), &mut socket, &Hello::Push(records))?;
    Ok(())
}

fn call(store: &Store, peer: SocketAddr, on_news: &OnNews) -> Result<(), FramingError> {
    let mut socket = TcpStream::connect_timeout(&peer, CONNECT)?;
    timeouts(&socket)?;
    send(account(store), &mut socket, &Hello::Digest(Digest { stamps: store.digest() }))?;
    let Received { message: theirs, held, .. } = receive::<Records>(account(store), &mut socket)?;
    take(store, theirs.records, on_news)?;
    if let Some(digest) = theirs.digest {
        let records = store.lacking(&digest.stamps, batch(store));
        drop((digest, held));
        send(account(store), &mut socket, &Records { records, digest: None })?;
        // The peer closes once it has kept them.
        socket.read_to_end(&mut Vec::new())?;
    }
    Ok(())
}

fn answer(store: &Store, socket: &mut Patient, on_news: &OnNews) -> Result<(), FramingError> {
    let Received { message: hello, held, .. } = receive(account(store), socket)?;
    let theirs = match hello {
        Hello::Digest(digest) => digest,
        Hello::Push(records) => return take(store, records, on_news),
    };
    let records = store.lacking(&theirs.stamps, batch(store));
    drop((theirs, held));
    send(account(store), socket, &Records { records, digest: Some(Digest { stamps: store.digest() }) })?;
    let rest = receive::<Records>(account(store), socket)?;
    take(store, rest.message.records, on_news)
}

fn take(store: &Store, records: Vec<Record>, on_news: &OnNews) -> Result<(), FramingError> {
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
    account(store).cap() / BATCH_PART
}

fn account(store: &Store) -> &Account {
    store.ledger().account(Purpose::Replication)
}
