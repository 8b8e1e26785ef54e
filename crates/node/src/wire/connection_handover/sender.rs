//! The side of the process that is replaced: sends connections and answers, and is told which clients no longer wait.
use super::{read_message, socket_path, STACK_BYTES};
use crate::core::lock;
use crate::lifecycle::spawn;
use corkbay_duty::{Message, HEADER_BYTES};
use may::sync::{mpsc as coroutine_mpsc, Mutex};
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// A write fails if the successor accepts no bytes for this long.
const WRITE_STALL: Duration = Duration::from_millis(500);

/// A connection that was handed over, with the requests on it that this process still answers.
pub trait HandedOverConnection: Send + Sync {
    /// Whether this process still has requests on it to answer.
    fn is_open(&self) -> bool;
    /// Withdraws a request, because the successor has learnt that its client no longer waits.
    fn withdraw(&self, seqid: i32);
    /// Takes the connection back to answer its requests, because the successor has ended.
    fn take_back(&self);
}

type HandedOverConnections = Arc<Mutex<HashMap<u64, Arc<dyn HandedOverConnection>>>>;

/// A command to the sending thread.
enum Command {
    Connection { stream: OwnedFd, number: u64, unanswered: Vec<i32>, sent: coroutine_mpsc::Sender<()> },
    End { message: Message, held: Box<dyn Send> },
}

/// The open channel to the successor.
struct Channel {
    commands: Sender<Command>,
    sending: JoinHandle<()>,
    stream: UnixStream,
}

/// The channel to the successor; closed until [`HandoverSender::open`] succeeds.
#[derive(Default)]
pub struct HandoverSender {
    channel: Mutex<Option<Channel>>,
    next_number: AtomicU64,
    /// Locked while a connection is sent, since a second descriptor of it is open until then. At most one such duplicate
    /// exists at a time.
    sending: Mutex<()>,
    handed_over: HandedOverConnections,
    /// Whether this process closes the channel itself.
    is_finishing: Arc<AtomicBool>,
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
        self.start(UnixStream::connect(socket_path(&directory, slot))?)
    }

    /// Starts the threads of a connected channel.
    pub(super) fn start(&self, stream: UnixStream) -> io::Result<()> {
        stream.set_write_timeout(Some(WRITE_STALL))?;
        let (commands, queue) = channel();
        let (writer, reader) = (stream.try_clone()?, stream.try_clone()?);
        let sending = thread("passage").spawn(move || {
            if let Err(error) = send_all(&writer, &queue) {
                tracing::error!(%error, "passage: connections can't be passed on");
            }
        })?;
        let (handed_over, is_finishing) = (self.handed_over.clone(), self.is_finishing.clone());
        thread("withdrawals").spawn(move || {
            let mut is_greeted = false;
            let end = receive_withdrawals(&reader, &handed_over, &mut is_greeted);
            if is_greeted && !is_finishing.load(Ordering::Acquire) {
                tracing::warn!(?end, "passage: the successor has ended, its clients are answered here");
                take_back_all(&handed_over);
            }
        })?;
        *lock(&self.channel) = Some(Channel { commands, sending, stream });
        Ok(())
    }

    /// Whether connections can be handed over.
    pub fn is_open(&self) -> bool {
        lock(&self.channel).as_ref().is_some_and(|channel| !channel.sending.is_finished())
    }

    /// Hands a connection over by a duplicate of its descriptor. Returns `None` if that failed; this process still owns the
    /// connection then. Connections are sent one at a time.
    pub fn pass(
        &self,
        duplicate: impl FnOnce() -> io::Result<OwnedFd>,
        unanswered: Vec<i32>,
        connection: Arc<dyn HandedOverConnection>,
    ) -> Option<AnswerForwarder> {
        let commands = lock(&self.channel).as_ref().map(|channel| channel.commands.clone())?;
        let _sending = lock(&self.sending);
        let stream = duplicate().ok()?;
        let (number, (sent, is_sent)) =
            (self.next_number.fetch_add(1, Ordering::Relaxed), coroutine_mpsc::channel());
        // Registered first: the successor may learn that the client has left as soon as it has the connection.
        self.register(number, connection);
        let command = Command::Connection { stream, number, unanswered, sent };
        let is_sent = commands.send(command).is_ok() && is_sent.recv().is_ok();
        if !is_sent {
            lock(&self.handed_over).remove(&number);
        }
        is_sent.then_some(AnswerForwarder { number, commands })
    }

    fn register(&self, number: u64, connection: Arc<dyn HandedOverConnection>) {
        let mut handed_over = lock(&self.handed_over);
        handed_over.retain(|_, connection| connection.is_open());
        handed_over.insert(number, connection);
    }

    /// Closes the channel and waits until all queued commands are sent.
    pub fn finish(&self) {
        self.is_finishing.store(true, Ordering::Release);
        let Some(Channel { commands, sending, stream }) = lock(&self.channel).take() else { return };
        drop(commands);
        // A panic of the thread was reported already.
        let _ = sending.join();
        // Also ends the thread that reads.
        let _ = stream.shutdown(Shutdown::Both);
    }
}

impl AnswerForwarder {
    /// Queues the answer to a request; `held` is dropped once it is sent.
    pub fn forward(&self, seqid: i32, bytes: Vec<u8>, held: Box<dyn Send>) {
        let message = Message::End { number: self.number, seqid, bytes };
        // Sending fails only if the successor has ended; the connection is taken back then.
        let _ = self.commands.send(Command::End { message, held });
    }
}

fn thread(name: &str) -> std::thread::Builder {
    std::thread::Builder::new().name(name.into()).stack_size(STACK_BYTES)
}

fn send_all(mut stream: &UnixStream, queue: &Receiver<Command>) -> io::Result<()> {
    for command in queue {
        match command {
            Command::Connection { stream: descriptor, number, unanswered, sent } => {
                let message = Message::Connection { number, unanswered, reads_withdrawals: true };
                let bytes = message.encode();
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

/// Withdraws the requests whose clients the successor finds gone, until the channel ends. Sets `is_greeted` if that
/// means that the successor has ended.
fn receive_withdrawals(
    mut stream: &UnixStream,
    handed_over: &HandedOverConnections,
    is_greeted: &mut bool,
) -> io::Result<()> {
    loop {
        let mut head = [0; HEADER_BYTES];
        let size = match stream.read(&mut head) {
            Ok(0) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            read => read?,
        };
        match read_message(stream, head, size)? {
            Message::Greeting => *is_greeted = true,
            Message::Withdrawn { number, seqid } => {
                if let Some(connection) = lock(handed_over).get(&number).cloned() {
                    // The connection may be dropped there, which is only allowed in a coroutine.
                    spawn(move || connection.withdraw(seqid));
                }
            }
            Message::Connection { .. } | Message::End { .. } | Message::Unknown => {}
        }
    }
}

fn take_back_all(handed_over: &HandedOverConnections) {
    let connections: Vec<_> = lock(handed_over).drain().map(|(_, connection)| connection).collect();
    for connection in connections.into_iter().filter(|connection| connection.is_open()) {
        spawn(move || connection.take_back());
    }
}
