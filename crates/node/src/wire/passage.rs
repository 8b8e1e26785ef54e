//! Connections of clients that pass from a process to its successor under load, through a Unix socket in the folder that
//! both share.
//!
//! The process that leaves sends the descriptor of a connection with what it still owes there, and then the answers; the
//! successor reads on and alone writes. Both ends are met on a thread each: descriptors come beside bytes, which
//! coroutines can't wait for.
use crate::core::lock;
use corkbay_duty::{Head, Message, HEAD};
use may::sync::{mpsc as answers, Mutex};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest time for which a successor may take nothing.
const STALL: Duration = Duration::from_millis(500);
/// Stack of a thread, in bytes of address space.
const STACK: usize = 256 << 10;

/// A connection that was taken over, as the process that passed it on sees it.
pub trait Arrival {
    /// The end of what that process owes under that number; no bytes where nobody waits any more.
    fn end(&self, seqid: i32, bytes: Vec<u8>);
    /// That process has ended.
    fn abandon(&self);
}

enum Order {
    Connection { stream: OwnedFd, number: u64, owed: Vec<i32>, sent: answers::Sender<()> },
    End { message: Message, held: Box<dyn Send> },
}

/// The way to the successor; shut until there is one that listens.
#[derive(Default)]
pub struct Passage {
    line: Mutex<Option<(Sender<Order>, JoinHandle<()>)>>,
    next: AtomicU64,
    /// Held while a connection passes: until it has gone it takes a second descriptor here.
    turn: Mutex<()>,
}

/// The way of the answers on a connection that was passed on.
pub struct Passed {
    number: u64,
    orders: Sender<Order>,
}

impl Passage {
    /// Opens the way to the process of that seat.
    pub fn open(&self, folder: &Path, seat: usize) -> io::Result<()> {
        let folder = File::open(folder)?;
        let stream = UnixStream::connect(meeting(&folder, seat))?;
        stream.set_write_timeout(Some(STALL))?;
        let (orders, queue) = channel();
        let thread = std::thread::Builder::new().name("passage".into()).stack_size(STACK);
        let thread = thread.spawn(move || {
            if let Err(error) = send_all(&stream, &queue) {
                tracing::error!(%error, "passage: connections can't be passed on");
            }
        })?;
        *lock(&self.line) = Some((orders, thread));
        Ok(())
    }

    /// Whether connections can be passed on.
    pub fn is_open(&self) -> bool {
        lock(&self.line).as_ref().is_some_and(|(_, thread)| !thread.is_finished())
    }

    /// Passes a connection on, by another descriptor of it; none where that failed and it is still this process's alone.
    /// One passes at a time.
    pub fn pass(&self, duplicate: impl FnOnce() -> io::Result<OwnedFd>, owed: Vec<i32>) -> Option<Passed> {
        let orders = lock(&self.line).as_ref().map(|(orders, _)| orders.clone())?;
        let _turn = lock(&self.turn);
        let stream = duplicate().ok()?;
        let (number, (sent, done)) = (self.next.fetch_add(1, Ordering::Relaxed), answers::channel());
        orders.send(Order::Connection { stream, number, owed, sent }).ok()?;
        done.recv().ok().map(|()| Passed { number, orders })
    }

    /// Waits until all that was handed in has gone.
    pub fn finish(&self) {
        let line = lock(&self.line).take();
        if let Some((orders, thread)) = line {
            drop(orders);
            // What panicked there was told already.
            let _ = thread.join();
        }
    }
}

impl Passed {
    /// Hands in the end of what is owed; what is held for it is given back once it has gone.
    pub fn end(&self, seqid: i32, bytes: Vec<u8>, held: Box<dyn Send>) {
        let message = Message::End { number: self.number, seqid, bytes };
        // Where the successor has ended, so has the connection.
        let _ = self.orders.send(Order::End { message, held });
    }
}

/// The socket of a seat, by a path that is short however long the folder's is.
fn meeting(folder: &File, seat: usize) -> PathBuf {
    format!("/proc/self/fd/{}/passage-{seat}", folder.as_raw_fd()).into()
}

fn send_all(mut stream: &UnixStream, queue: &Receiver<Order>) -> io::Result<()> {
    for order in queue {
        match order {
            Order::Connection { stream: passed, number, owed, sent } => {
                let bytes = Message::Connection { number, owed }.encode();
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut beside = SendAncillaryBuffer::new(&mut space);
                let passed = [passed.as_fd()];
                beside.push(SendAncillaryMessage::ScmRights(&passed));
                let size = sendmsg(stream, &[IoSlice::new(&bytes)], &mut beside, SendFlags::NOSIGNAL)?;
                // From its first byte on the connection is the other's.
                let _ = sent.send(());
                stream.write_all(&bytes[size..])?;
            }
            Order::End { message, held } => {
                stream.write_all(&message.encode())?;
                drop(held);
            }
        }
    }
    Ok(())
}

/// Listens, as the process of that seat, for connections that the one before passes on.
pub fn listen<A: Arrival>(
    folder: &Path,
    seat: usize,
    arrive: impl Fn(TcpStream, &[i32]) -> io::Result<A> + Send + 'static,
) -> io::Result<()> {
    let folder = File::open(folder)?;
    let path = meeting(&folder, seat);
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(&path)?;
    let thread = std::thread::Builder::new().name("arrivals".into()).stack_size(STACK);
    thread.spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut arrivals = HashMap::new();
            if let Err(error) = receive_all(&stream, &mut arrivals, &arrive) {
                tracing::error!(%error, "passage: connections can't be taken over");
            }
            arrivals.values().for_each(Arrival::abandon);
        }
    })?;
    Ok(())
}

/// Takes over what comes until the other side ends.
fn receive_all<A: Arrival>(
    mut stream: &UnixStream,
    arrivals: &mut HashMap<u64, A>,
    arrive: impl Fn(TcpStream, &[i32]) -> io::Result<A>,
) -> io::Result<()> {
    let mut head = [0; HEAD];
    loop {
        let (size, passed) = receive(stream, &mut head)?;
        if size == 0 {
            return Ok(());
        }
        stream.read_exact(&mut head[size..])?;
        let head = Head::decode(&head).map_err(io::Error::other)?;
        let mut body = vec![0; head.length()];
        stream.read_exact(&mut body)?;
        match (head.message(body), passed) {
            (Message::Connection { number, owed }, Some(passed)) => {
                _ = arrivals.insert(number, arrive(passed.into(), &owed)?);
            }
            (Message::Connection { .. }, None) => return Err(io::Error::other("no descriptor came")),
            (Message::End { number, seqid, bytes }, _) => {
                if let Some(arrival) = arrivals.get(&number) {
                    arrival.end(seqid, bytes);
                }
            }
        }
    }
}

/// Reads the beginning of a message with the descriptor beside it, if there is one.
fn receive(stream: &UnixStream, bytes: &mut [u8]) -> io::Result<(usize, Option<OwnedFd>)> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = RecvAncillaryBuffer::new(&mut space);
    let got = loop {
        let slices = &mut [IoSliceMut::new(bytes)];
        match recvmsg(stream, slices, &mut beside, RecvFlags::CMSG_CLOEXEC) {
            Err(rustix::io::Errno::INTR) => {}
            got => break got?,
        }
    };
    let passed = beside.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut passed) => passed.next(),
        _ => None,
    });
    Ok((got.bytes, passed))
}
