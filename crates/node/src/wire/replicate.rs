//! Anti-entropy between the stores of nodes, over TCP: two nodes swap digests, then what each lacks.
use super::accept::accept;
use super::socket::Patient;
use crate::core::{now_ms, until};
use crate::life::spawn;
use crate::memory::store::{Record, Stamp, Store};
use may::net::{TcpListener, TcpStream};
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
    stamps: BTreeMap<String, Stamp>,
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

/// Answers other nodes for as long as the process lives.
pub fn listen(store: Arc<Store>, listener: TcpListener, on_news: OnNews) {
    spawn(move || {
        accept(&listener, CALLERS, STALL, move |guest| {
            // A swap under way keeps its place.
            guest.opened();
            if let Err(error) = answer(&store, &mut guest.patient(STALL), &on_news) {
                eprintln!("replication: a caller: {error}");
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
                eprintln!("replication: peer {peer}: {error}");
            }
            reachable = end.is_ok();
            let next = now_ms() + interval.as_secs_f64() * 1000.0;
            loop {
                match written.recv_timeout(until(next)) {
                    Ok(first) => {
                        let batch = std::iter::once(first).chain(written.try_iter()).collect();
                        if reachable && push(peer, batch).is_err() {
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

fn push(peer: SocketAddr, records: Vec<Record>) -> io::Result<()> {
    let mut socket = TcpStream::connect_timeout(&peer, CONNECT)?;
    timeouts(&socket)?;
    send(&mut socket, &Hello::Push(records))
}

fn call(store: &Store, peer: SocketAddr, on_news: &OnNews) -> io::Result<()> {
    let mut socket = TcpStream::connect_timeout(&peer, CONNECT)?;
    timeouts(&socket)?;
    send(&mut socket, &Hello::Digest(Digest { stamps: store.digest() }))?;
    let theirs: Records = receive(&mut socket)?;
    take(store, theirs.records, on_news)?;
    if let Some(digest) = theirs.digest {
        send(&mut socket, &Records { records: store.lacking(&digest.stamps), digest: None })?;
        // The peer closes once it has kept them.
        socket.read_to_end(&mut Vec::new())?;
    }
    Ok(())
}

fn answer(store: &Store, socket: &mut Patient, on_news: &OnNews) -> io::Result<()> {
    let theirs = match receive(socket)? {
        Hello::Digest(digest) => digest,
        Hello::Push(records) => return take(store, records, on_news),
    };
    let ours = Digest { stamps: store.digest() };
    send(socket, &Records { records: store.lacking(&theirs.stamps), digest: Some(ours) })?;
    let rest: Records = receive(socket)?;
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

fn send(socket: &mut impl Write, message: &impl Serialize) -> io::Result<()> {
    let text = serde_json::to_vec(message)?;
    if text.len() > MAX_MESSAGE {
        return Err(io::Error::other("message too long"));
    }
    let mut bytes = Vec::with_capacity(HEAD + text.len());
    bytes.extend((text.len() as u32).to_be_bytes());
    bytes.extend(crc32fast::hash(&text).to_be_bytes());
    bytes.extend(text);
    socket.write_all(&bytes)
}

fn receive<T: DeserializeOwned>(socket: &mut impl Read) -> io::Result<T> {
    let mut head = [0; HEAD];
    socket.read_exact(&mut head)?;
    let size = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let check = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
    if size > MAX_MESSAGE {
        return Err(io::Error::other("message too long"));
    }
    // Memory follows what has come, not what was promised.
    let mut text = Vec::new();
    socket.take(size as u64).read_to_end(&mut text)?;
    if text.len() < size || crc32fast::hash(&text) != check {
        return Err(io::Error::other("damaged message"));
    }
    Ok(serde_json::from_slice(&text)?)
}
