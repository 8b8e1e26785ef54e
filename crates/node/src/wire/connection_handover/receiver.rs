//! The side of the successor: takes over connections, and passes on the answers of the replaced process.
use super::{read_message, socket_path, STACK_BYTES};
use corkbay_duty::{Message, HEADER_BYTES};
use rustix::io::Errno;
use rustix::net::{recvmsg, send, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendFlags};
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, ErrorKind, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::Arc;

/// Receives the answers that the previous process sends for a connection that was taken over from it.
pub trait ReceivedConnection {
    /// Ends a request that the previous process handled, with its encoded answer. `bytes` is empty if the client no longer
    /// waits.
    fn finish_request(&self, seqid: i32, bytes: Vec<u8>);
    /// Fails the requests that are still unanswered, because the previous process has ended.
    fn fail_unanswered(&self);
}

/// Tells the previous process which of its requests on a connection no client waits for any more.
pub struct WithdrawalSender {
    number: u64,
    /// `None` if the previous process is of a version that doesn't read withdrawals: its answers are discarded then.
    channel: Option<Arc<UnixStream>>,
}

impl WithdrawalSender {
    /// Sends the withdrawal of a request. Never blocks.
    pub fn withdraw(&self, seqid: i32) {
        if let Some(channel) = &self.channel {
            send_back(channel, &Message::Withdrawn { number: self.number, seqid });
        }
    }
}

/// Sends a message to the previous process without waiting for it, since that process may not read.
fn send_back(channel: &UnixStream, message: &Message) {
    match send(channel, &message.encode(), SendFlags::DONTWAIT | SendFlags::NOSIGNAL) {
        // The previous process has ended, and its requests with it.
        Ok(_) | Err(Errno::PIPE | Errno::CONNRESET) => {}
        Err(error) => tracing::warn!(%error, ?message, "passage: the other process is not told"),
    }
}

/// Listens, as the process with that slot number, for connections that its predecessor hands over.
pub fn listen<A: ReceivedConnection>(
    directory: &Path,
    slot: usize,
    take_over: impl Fn(TcpStream, &[i32], WithdrawalSender) -> io::Result<A> + Send + 'static,
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
            serve(stream, &take_over);
        }
    })?;
    Ok(())
}

/// Serves a predecessor until it closes the channel.
pub(super) fn serve<A: ReceivedConnection>(
    stream: UnixStream,
    take_over: &impl Fn(TcpStream, &[i32], WithdrawalSender) -> io::Result<A>,
) {
    let (stream, mut connections) = (Arc::new(stream), HashMap::new());
    send_back(&stream, &Message::Greeting);
    let end = receive_all(&stream, &mut connections, take_over);
    connections.values().for_each(ReceivedConnection::fail_unanswered);
    if let Err(error) = end {
        tracing::error!(%error, "passage: connections can't be taken over");
        // Until the predecessor closes the channel: its end would mean that this process has ended.
        let _ = io::copy(&mut &*stream, &mut io::sink());
    }
}

/// Takes over connections and passes on answers until the other side closes the channel.
fn receive_all<A: ReceivedConnection>(
    stream: &Arc<UnixStream>,
    connections: &mut HashMap<u64, A>,
    take_over: impl Fn(TcpStream, &[i32], WithdrawalSender) -> io::Result<A>,
) -> io::Result<()> {
    loop {
        let mut head = [0; HEADER_BYTES];
        let (size, descriptor) = match receive(stream, &mut head) {
            // The other side has closed the channel without reading all withdrawals.
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return Ok(()),
            received => received?,
        };
        if size == 0 {
            return Ok(());
        }
        match (read_message(stream, head, size)?, descriptor) {
            (Message::Connection { number, unanswered, reads_withdrawals }, Some(descriptor)) => {
                let channel = reads_withdrawals.then(|| stream.clone());
                let withdrawals = WithdrawalSender { number, channel };
                _ = connections.insert(number, take_over(descriptor.into(), &unanswered, withdrawals)?);
            }
            (Message::Connection { .. }, None) => {
                return Err(io::Error::other("connection message without a descriptor"))
            }
            (Message::End { number, seqid, bytes }, _) => {
                if let Some(connection) = connections.get(&number) {
                    connection.finish_request(seqid, bytes);
                }
            }
            (Message::Withdrawn { .. } | Message::Greeting | Message::Unknown, _) => {}
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
            Err(Errno::INTR) => {}
            received => break received?,
        }
    };
    let descriptor = ancillary.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    Ok((received.bytes, descriptor))
}
