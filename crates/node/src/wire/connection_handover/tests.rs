use super::*;
use corkbay_duty::{Message, HEADER_BYTES};
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::io::{ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Sequence number of the request that is open when the connection is handed over.
const OPEN: i32 = 5;
const TIMEOUT: Duration = Duration::from_secs(10);

/// What the successor learns of the requests that its predecessor answers.
#[derive(Debug, PartialEq, Eq)]
enum Learnt {
    Answer(i32, Vec<u8>),
    Failed,
}

/// The successor's side of a connection.
struct Received(Sender<Learnt>);

impl ReceivedConnection for Received {
    fn finish_request(&self, seqid: i32, bytes: Vec<u8>) {
        let _ = self.0.send(Learnt::Answer(seqid, bytes));
    }

    fn fail_unanswered(&self) {
        let _ = self.0.send(Learnt::Failed);
    }
}

/// Starts the successor's side of a channel; returns the other end, and the withdrawals of taken over connections.
fn successor() -> (UnixStream, Receiver<WithdrawalSender>) {
    let (channel, taken_over, _) = successor_that_learns();
    (channel, taken_over)
}

/// Like [`successor`]; also returns what it learns of their requests.
fn successor_that_learns() -> (UnixStream, Receiver<WithdrawalSender>, Receiver<Learnt>) {
    let (ours, theirs) = UnixStream::pair().expect("a pair");
    let (sender, taken_over) = channel();
    let (learnt_sender, learnt) = channel();
    std::thread::spawn(move || {
        receiver::serve(theirs, &move |_: TcpStream, unanswered: &[i32], withdrawals| {
            assert_eq!(unanswered, [OPEN]);
            sender.send(withdrawals).map_err(io::Error::other)?;
            Ok(Received(learnt_sender.clone()))
        });
    });
    ours.set_read_timeout(Some(TIMEOUT)).expect("set");
    (ours, taken_over, learnt)
}

fn connection() -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    TcpStream::connect(listener.local_addr().expect("bound")).expect("connects")
}

/// Sends a connection as a process of the given version does.
fn send_connection(channel: &UnixStream, reads_withdrawals: bool) {
    let message = Message::Connection { number: 9, unanswered: vec![OPEN], reads_withdrawals };
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let connection = connection();
    let descriptors = [connection.as_fd()];
    ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
    let bytes = message.encode();
    let sent = sendmsg(channel, &[IoSlice::new(&bytes)], &mut ancillary, SendFlags::empty());
    assert_eq!(sent.expect("sent"), bytes.len());
}

fn next_message(mut channel: &UnixStream) -> io::Result<Message> {
    let mut head = [0; HEADER_BYTES];
    channel.read_exact(&mut head)?;
    read_message(channel, head, HEADER_BYTES)
}

/// The process that answers a request is told that its client no longer waits.
#[test]
fn a_withdrawal_reaches_a_predecessor_that_reads_it() {
    let (channel, taken_over) = successor();
    send_connection(&channel, true);
    taken_over.recv_timeout(TIMEOUT).expect("taken over").withdraw(OPEN);
    assert_eq!(next_message(&channel).expect("greeted"), Message::Greeting);
    assert_eq!(next_message(&channel).expect("told"), Message::Withdrawn { number: 9, seqid: OPEN });
}

/// Guards an upgrade from an earlier version, which never reads: it must not find the channel full, or blocked.
#[test]
fn a_predecessor_that_reads_no_withdrawals_is_sent_none() {
    let (channel, taken_over) = successor();
    send_connection(&channel, false);
    taken_over.recv_timeout(TIMEOUT).expect("taken over").withdraw(OPEN);
    assert_eq!(next_message(&channel).expect("greeted"), Message::Greeting);
    channel.set_read_timeout(Some(Duration::from_millis(50))).expect("set");
    assert_eq!(next_message(&channel).expect_err("silent").kind(), ErrorKind::WouldBlock);
}

/// Guards the answers of an earlier version, which ends without having read the successor's greeting.
#[test]
fn the_last_answers_of_a_predecessor_that_never_reads_are_received() {
    use std::io::Write;
    let (mut channel, taken_over, learnt) = successor_that_learns();
    send_connection(&channel, false);
    taken_over.recv_timeout(TIMEOUT).expect("taken over");
    let answer = |number: i32| (OPEN + number, vec![7; 10_000]);
    for (seqid, bytes) in (0..10).map(answer) {
        channel.write_all(&Message::End { number: 9, seqid, bytes }.encode()).expect("written");
    }
    drop(channel);
    for (seqid, bytes) in (0..10).map(answer) {
        assert_eq!(learnt.recv_timeout(TIMEOUT), Ok(Learnt::Answer(seqid, bytes)));
    }
    assert_eq!(learnt.recv_timeout(TIMEOUT), Ok(Learnt::Failed));
}

/// A client's cancel must not wait for a predecessor that is stopped.
#[test]
fn a_withdrawal_never_blocks() {
    let (channel, taken_over) = successor();
    send_connection(&channel, true);
    let withdrawals = taken_over.recv_timeout(TIMEOUT).expect("taken over");
    let began = Instant::now();
    (0..20_000).for_each(|_| withdrawals.withdraw(OPEN));
    assert!(began.elapsed() < TIMEOUT, "{:?}", began.elapsed());
}

/// What the old process is told about a connection that it handed over.
#[derive(Debug, PartialEq, Eq)]
enum Told {
    Withdrawn(i32),
    TakenBack,
}

struct Given(Mutex<Sender<Told>>);

impl Given {
    fn tell(&self, told: Told) {
        self.0.lock().expect("whole").send(told).expect("the test listens");
    }
}

impl HandedOverConnection for Given {
    fn is_open(&self) -> bool {
        true
    }

    fn withdraw(&self, seqid: i32) {
        self.tell(Told::Withdrawn(seqid));
    }

    fn take_back(&self) {
        self.tell(Told::TakenBack);
    }
}

/// Hands a connection over through a new channel; returns the sender, the successor's end and what the old process is
/// told.
fn handed_over() -> (HandoverSender, UnixStream, Receiver<Told>) {
    let (ours, theirs) = UnixStream::pair().expect("a pair");
    let handover = HandoverSender::default();
    handover.start(ours).expect("threads");
    let (sender, told) = channel();
    let given = Arc::new(Given(Mutex::new(sender)));
    let forwarder = handover.pass(|| Ok(connection().into()), vec![OPEN], given);
    assert!(forwarder.is_some());
    (handover, theirs, told)
}

/// A successor that ends leaves its predecessor to answer the clients, as a connection with open requests stays open.
#[test]
fn a_connection_is_taken_back_from_a_successor_that_ends() {
    use std::io::Write;
    let (_handover, mut successor, told) = handed_over();
    successor.write_all(&Message::Greeting.encode()).expect("written");
    successor.write_all(&Message::Withdrawn { number: 0, seqid: OPEN }.encode()).expect("written");
    assert_eq!(told.recv_timeout(TIMEOUT), Ok(Told::Withdrawn(OPEN)));
    drop(successor);
    assert_eq!(told.recv_timeout(TIMEOUT), Ok(Told::TakenBack));
}

/// A successor of an earlier version may close the channel and live on with the connection: two processes must not answer
/// on it.
#[test]
fn nothing_is_taken_back_from_a_successor_that_did_not_greet() {
    let (handover, successor, told) = handed_over();
    drop(successor);
    assert!(told.recv_timeout(Duration::from_millis(200)).is_err());
    handover.finish();
}

/// The end of the old process itself takes nothing back.
#[test]
fn nothing_is_taken_back_at_the_end_of_the_old_process() {
    use std::io::Write;
    let (handover, mut successor, told) = handed_over();
    successor.write_all(&Message::Greeting.encode()).expect("written");
    handover.finish();
    assert!(told.recv_timeout(Duration::from_millis(200)).is_err());
}
