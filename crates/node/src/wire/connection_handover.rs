//! Hands client connections over from a process to its successor under load, through a Unix socket in a directory that both
//! share.
//!
//! The process that is replaced sends the descriptor of a connection with the sequence numbers of its unanswered requests,
//! and later their answers. From then on only the successor reads from and writes to the client. Each side uses a thread:
//! descriptors are ancillary data (`SCM_RIGHTS`), which coroutines can't wait for.
use crate::core::lock;
use corkbay_duty::{Message, MessageHeader, HEADER_BYTES};
use may::sync::{mpsc as coroutine_mpsc, Mutex};
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

/// A write fails if the successor accepts no bytes for this long.
const WRITE_STALL: Duration = Duration::from_millis(500);
/// Stack size of a thread, in bytes of address space.
const STACK_BYTES: usize = 256 << 10;

/// Receives the answers that the previous process sends for a connection that was taken over from it.
pub trait ReceivedConnection {
    /// Ends a request that the previous process handled, with its encoded answer. `bytes` is empty if the client no longer
    /// waits.
    fn finish_request(&self, seqid: i32, bytes: Vec<u8>);
    /// Fails the requests that are still unanswered, because the previous process has ended.
    fn fail_unanswered(&self);
}

/// A command to the sending thread.
enum Command {
    Connection { stream: OwnedFd, number: u64, unanswered: Vec<i32>, sent: coroutine_mpsc::Sender<()> },
    End { message: Message, held: Box<dyn Send> },
}

/// The channel to the successor; closed until [`HandoverSender::open`] succeeds.
#[derive(Default)]
pub struct HandoverSender {
    sender: Mutex<Option<(Sender<Command>, JoinHandle<()>)>>,
    next_number: AtomicU64,
    /// Locked while a connection is sent, since a second descriptor of it is open until then. At most one such duplicate
    /// exists at a time.
    sending: Mutex<()>,
}

/// Forwards answers for a connection that was handed over.
pub struct AnswerForwarder {
    number: u64,
    commands: Sender<Command>,
}

impl HandoverSender {
    /// Connects to the process with that slot number.
    pub fn open(&self, directory: &Path, slot: usize) -> io::Result<()> {
        let directory = File::open(directory)?;
        let stream = UnixStream::connect(socket_path(&directory, slot))?;
        stream.set_write_timeout(Some(WRITE_STALL))?;
        let (commands, queue) = channel();
        let thread = std::thread::Builder::new().name("passage".into()).stack_size(STACK_BYTES);
        let thread = thread.spawn(move || {
            if let Err(error) = send_all(&stream, &queue) {
                tracing::error!(%error, "passage: connections can't be passed on");
            }
        })?;
        *lock(&self.sender) = Some((commands, thread));
        Ok(())
    }

    /// Whether connections can be handed over.
    pub fn is_open(&self) -> bool {
        lock(&self.sender).as_ref().is_some_and(|(_, thread)| !thread.is_finished())
    }

    /// Hands a connection over by a duplicate of its descriptor. Returns `None` if that failed; this process still owns the
    /// connection then. Connections are sent one at a time.
    pub fn pass(
        &self,
        duplicate: impl FnOnce() -> io::Result<OwnedFd>,
        unanswered: Vec<i32>,
    ) -> Option<AnswerForwarder> {
        let commands = lock(&self.sender).as_ref().map(|(commands, _)| commands.clone())?;
        let _sending = lock(&self.sending);
        let stream = duplicate().ok()?;
        let (number, (sent, is_sent)) =
            (self.next_number.fetch_add(1, Ordering::Relaxed), coroutine_mpsc::channel());
        commands.send(Command::Connection { stream, number, unanswered, sent }).ok()?;
        is_sent.recv().ok().map(|()| AnswerForwarder { number, commands })
    }

    /// Closes the channel and waits until all queued commands are sent.
    pub fn finish(&self) {
        let sender = lock(&self.sender).take();
        if let Some((commands, thread)) = sender {
            drop(commands);
            // A panic of the thread was reported already.
            let _ = thread.join();
        }
    }
}

impl AnswerForwarder {
    /// Queues the answer to a request; `held` is dropped once it is sent.
    pub fn forward(&self, seqid: i32, bytes: Vec<u8>, held: Box<dyn Send>) {
        let message = Message::End { number: self.number, seqid, bytes };
        // Sending fails only if the successor has ended, and the connection with it.
        let _ = self.commands.send(Command::End { message, held });
    }
}

/// Path of the socket of a slot. It goes through `/proc/self/fd` because socket paths are limited in length and that of the
/// directory may be long.
fn socket_path(directory: &File, slot: usize) -> PathBuf {
    format!("/proc/self/fd/{}/passage-{slot}", directory.as_raw_fd()).into()
}

fn send_all(mut stream: &UnixStream, queue: &Receiver<Command>) -> io::Result<()> {
    for command in queue {
        match command {
            Command::Connection { stream: descriptor, number, unanswered, sent } => {
                let bytes = Message::Connection { number, unanswered }.encode();
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut ancillary = SendAncillaryBuffer::new(&mut space);
                let descriptors = [descriptor.as_fd()];
                ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
                let size = sendmsg(stream, &[IoSlice::new(&bytes)], &mut ancillary, SendFlags::NOSIGNAL)?;
                // The successor owns the connection from the first byte sent.
                let _ = sent.send(());
                stream.write_all(&bytes[size..])?;
            }
            Command::End { message, held } => {
                stream.write_all(&message.encode())?;
                drop(held);
            }
        }
    }
    Ok(())
}

/// Listens, as the process with that slot number, for connections that its predecessor hands over.
pub fn listen<A: ReceivedConnection>(
    directory: &Path,
    slot: usize,
    take_over: impl Fn(TcpStream, &[i32]) -> io::Result<A> + Send + 'static,
) -> io::Result<()> {
    let directory = File::open(directory)?;
    let path = socket_path(&directory, slot);
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(&path)?;
    let thread = std::thread::Builder::new().name("arrivals".into()).stack_size(STACK_BYTES);
    thread.spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut connections = HashMap::new();
            if let Err(error) = receive_all(&stream, &mut connections, &take_over) {
                tracing::error!(%error, "passage: connections can't be taken over");
            }
            connections.values().for_each(ReceivedConnection::fail_unanswered);
        }
    })?;
    Ok(())
}

/// Takes over connections and forwards answers until the other side closes the socket.
fn receive_all<A: ReceivedConnection>(
    mut stream: &UnixStream,
    connections: &mut HashMap<u64, A>,
    take_over: impl Fn(TcpStream, &[i32]) -> io::Result<A>,
) -> io::Result<()> {
    let mut head = [0; HEADER_BYTES];
    loop {
        let (size, descriptor) = receive(stream, &mut head)?;
        if size == 0 {
            return Ok(());
        }
        stream.read_exact(&mut head[size..])?;
        let head = MessageHeader::decode(&head).map_err(io::Error::other)?;
        let mut body = vec![0; head.length()];
        stream.read_exact(&mut body)?;
        match (head.message(body), descriptor) {
            (Message::Connection { number, unanswered }, Some(descriptor)) => {
                _ = connections.insert(number, take_over(descriptor.into(), &unanswered)?);
            }
            (Message::Connection { .. }, None) => {
                return Err(io::Error::other("connection message without a descriptor"))
            }
            (Message::End { number, seqid, bytes }, _) => {
                if let Some(connection) = connections.get(&number) {
                    connection.finish_request(seqid, bytes);
                }
            }
        }
    }
}

/// Reads the beginning of a message and the descriptor that was sent with it, if there is one.
fn receive(stream: &UnixStream, bytes: &mut [u8]) -> io::Result<(usize, Option<OwnedFd>)> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let received = loop {
        let slices = &mut [IoSliceMut::new(bytes)];
        match recvmsg(stream, slices, &mut ancillary, RecvFlags::CMSG_CLOEXEC) {
            Err(rustix::io::Errno::INTR) => {}
            received => break received?,
        }
    };
    let descriptor = ancillary.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    Ok((received.bytes, descriptor))
}
