//! Worker connections against a stand-in that a test plays frame by frame.
use corkbay::{ModelId, Outcome, Request, RequestId, WorkerId};
use corkbay_node::core::{monotonic_ms, AbortReason, AttemptError, Call, Exchange, WorkerRefusal, Workers};
use corkbay_node::state::roster::Host;
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use corkbay_node::wire::workers::{FrameWorkers, Limits};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

type End = Receiver<Result<Vec<u8>, AttemptError>>;

/// A worker's side, and the way to it.
struct Fixture {
    workers: FrameWorkers,
    host: Arc<Host>,
    listener: TcpListener,
}

/// One connection as the worker sees it.
struct Peer {
    socket: TcpStream,
    buffer: Vec<u8>,
}

impl Fixture {
    fn new() -> Self {
        Self::with_room(1 << 20)
    }

    fn with_room(bytes: usize) -> Self {
        Self::where_calls_off(bytes, true)
    }

    fn where_calls_off(bytes: usize, cancels: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let host = Host::new(WorkerId(0), "h", listener.local_addr().expect("bound"));
        let (connect, idle) = (Duration::from_secs(5), Duration::from_secs(60));
        let workers = FrameWorkers::new(
            Limits { streams: 32, connect, idle, connections: 4, answer: 64 << 10, cancels },
            corkbay_ledger::Account::root("workers", bytes),
        );
        Fixture { workers, host, listener }
    }

    fn send(&self, id: u64) -> (Box<dyn Exchange>, End) {
        self.send_body(id, vec![1, 2])
    }

    fn send_body(&self, id: u64, body: Vec<u8>) -> (Box<dyn Exchange>, End) {
        let request = Request { id: RequestId(id), model: ModelId(5), ..Request::default() };
        let call = Call { request, class_name: "check".into(), body, ..Call::default() };
        let (told, end) = channel();
        let ending = Box::new(move |end| _ = told.send(end));
        (
            self.workers.send(&self.host, &Arc::new(call), monotonic_ms() + 60_000.0, f64::INFINITY, ending),
            end,
        )
    }

    fn peer(&self) -> Peer {
        let (socket, _) = self.listener.accept().expect("a connection");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        Peer { socket, buffer: Vec::new() }
    }
}

impl Peer {
    fn next(&mut self) -> Frame {
        let mut chunk = [0; 4096];
        loop {
            if let Some(frame) = Frame::decode(&mut self.buffer, FROM_INVOKER).expect("a good frame") {
                return frame;
            }
            let size = self.socket.read(&mut chunk).expect("more");
            assert!(size > 0, "the connection ended");
            self.buffer.extend(&chunk[..size]);
        }
    }

    fn bytes(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
        Frame { mark: FROM_WORKER, code, id, fields: fields.into(), body: body.to_vec() }.encode()
    }

    fn answer(&mut self, code: u8, id: u64, fields: &str, body: &[u8]) {
        self.socket.write_all(&Self::bytes(code, id, fields, body)).expect("written");
    }

    fn ended(&mut self) -> bool {
        self.socket.read(&mut [0; 1]).is_ok_and(|size| size == 0)
    }
}

#[test]
fn many_exchanges_share_a_connection_and_end_in_any_order() {
    let fixture = Fixture::new();
    let ends: Vec<_> = (1..=3).map(|id| fixture.send(id)).collect();
    let mut peer = fixture.peer();
    let mut ids: Vec<u64> = (0..3).map(|_| peer.next().id).collect();
    ids.reverse();
    for id in &ids {
        peer.answer(code::OK, *id, "", &[*id as u8]);
    }
    for (number, (_, end)) in ends.iter().enumerate() {
        assert_eq!(end.recv_timeout(TEST_TIMEOUT).expect("told"), Ok(vec![number as u8 + 1]));
    }
}

#[test]
fn answers_are_told_as_what_they_prove() {
    let fixture = Fixture::new();
    let ends: Vec<_> = (1..=4).map(|id| fixture.send(id)).collect();
    let mut peer = fixture.peer();
    for (code, id) in [(code::MISS, 1), (code::FULL, 2), (code::ERROR, 3), (code::OVER, 4)] {
        peer.next();
        peer.answer(code, id, "", b"");
    }
    let expected =
        [WorkerRefusal::NotLoaded, WorkerRefusal::Full, WorkerRefusal::Failed, WorkerRefusal::RequestEnded];
    for (verdict, (_, end)) in expected.into_iter().zip(&ends) {
        assert_eq!(end.recv_timeout(TEST_TIMEOUT).expect("told"), Err(AttemptError::Answered(verdict)));
    }
}

/// Guards other connections against one that goes bad: it ends alone, and what was whole on it may have run.
#[test]
fn a_bad_frame_ends_its_connection_only() {
    let (fixture, other) = (Fixture::new(), Fixture::new());
    let unknown = Peer::bytes(99, 1, "", b"");
    let mut damaged = Peer::bytes(code::OK, 1, "", b"x");
    *damaged.last_mut().expect("bytes") ^= 1;
    for bytes in [unknown, damaged, vec![7; 20]] {
        let (_exchange, end) = fixture.send(1);
        let mut peer = fixture.peer();
        peer.next();
        peer.socket.write_all(&bytes).expect("written");
        let error = end.recv_timeout(TEST_TIMEOUT).expect("told").expect_err("bad");
        assert_eq!(error, AttemptError::Unanswered(AbortReason::ConnectionLost));
        assert_eq!(error.outcome(), Outcome::Reset);
        assert!(peer.ended());
    }
    let (_exchange, end) = other.send(2);
    let mut peer = other.peer();
    peer.next();
    peer.answer(code::OK, 2, "", b"y");
    assert_eq!(end.recv_timeout(TEST_TIMEOUT).expect("told"), Ok(b"y".to_vec()));
}

/// Guards a later attempt of a request against the late answer to an earlier one: after a call was given
/// up, its id goes out again on another connection.
#[test]
fn a_late_answer_to_a_call_given_up_reaches_nobody() {
    let fixture = Fixture::new();
    let (mut exchange, end) = fixture.send(1);
    let mut first = fixture.peer();
    first.next();
    // The write is noted as whole right after its last byte; what is given up has been whole by then.
    let (_probe, _) = fixture.send(2);
    first.next();
    assert_eq!(
        exchange.cancel(AbortReason::Cancelled),
        Some(AttemptError::Unanswered(AbortReason::Cancelled))
    );
    assert_eq!(exchange.cancel(AbortReason::Cancelled), None, "an attempt ends once");
    let gone = first.next();
    assert_eq!((gone.code, gone.id), (code::GIVE_UP, 1));
    let (_again, second_end) = fixture.send(1);
    let mut second = fixture.peer();
    assert_eq!(second.next().id, 1);
    first.answer(code::MISS, 1, "", b"");
    second.answer(code::OK, 1, "", b"z");
    assert_eq!(second_end.recv_timeout(TEST_TIMEOUT).expect("told"), Ok(b"z".to_vec()));
    assert!(end.try_recv().is_err(), "nothing more is told of the first");
}

/// Guards a deployment whose settings do not allow that attempts are called off: nothing is written for it, and a late
/// answer reaches nobody all the same.
#[test]
fn where_nothing_may_be_called_off_nothing_is() {
    let fixture = Fixture::where_calls_off(1 << 20, false);
    let (mut exchange, end) = fixture.send(1);
    let mut peer = fixture.peer();
    assert_eq!(peer.next().id, 1);
    let (_second, second_end) = fixture.send(2);
    assert_eq!(peer.next().id, 2);
    assert_eq!(
        exchange.cancel(AbortReason::Cancelled),
        Some(AttemptError::Unanswered(AbortReason::Cancelled))
    );
    assert!(exchange.cancel_notice().is_sent(), "there is none");
    let (_third, _) = fixture.send(3);
    assert_eq!(peer.next().id, 3, "a notice would have come before it");
    peer.answer(code::OK, 1, "", b"x");
    peer.answer(code::OK, 2, "", b"y");
    assert_eq!(second_end.recv_timeout(TEST_TIMEOUT).expect("told"), Ok(b"y".to_vec()));
    assert!(end.try_recv().is_err(), "nothing more is told of the first");
}

/// Guards the rule on drains at its last point: nothing is written to a worker that is blocked.
#[test]
fn a_barred_worker_is_written_no_work() {
    let fixture = Fixture::new();
    fixture.host.set_blocked(true);
    let (_exchange, end) = fixture.send(1);
    let error = end.recv_timeout(TEST_TIMEOUT).expect("told").expect_err("blocked");
    assert_eq!(error, AttemptError::NotFullySent(AbortReason::SendNotAllowed));
    assert!(error.outcome().proves_not_run());
    let (order, _) = fixture.workers.load(&fixture.host, ModelId(5), 1, f64::INFINITY, TEST_TIMEOUT);
    assert_eq!(order, Err(AttemptError::NotFullySent(AbortReason::SendNotAllowed)));
    fixture.listener.set_nonblocking(true).expect("set");
    assert!(fixture.listener.accept().is_err(), "nobody called");
}

/// Guards the ration against orders that wait too long on their way: one counts when it arrives, and leaves its
/// window only as long as that is soon after it was decided.
/// Guards a call whose id a client chose to be that of a model: an unloading of that model that is held back behind a
/// long frame used to end the call as one that never ran, which may be sent on to another worker whatever its class.
#[test]
fn what_is_held_back_ends_no_call_of_the_same_number() {
    let fixture = Fixture::new();
    let (_exchange, end) = fixture.send(5);
    let mut peer = fixture.peer();
    assert_eq!(peer.next().id, 5);
    // More than buffers hold: the writer is stuck in it.
    let (mut long, _) = fixture.send_body(6, vec![7; 32 << 20]);
    fixture.workers.evict(&fixture.host, ModelId(5));
    fixture.host.suspend(true);
    let mut head = [0; 16];
    peer.socket.read_exact(&mut head).expect("the long frame");
    assert!(long.cancel(AbortReason::Cancelled).is_some());
    let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
    peer.socket.read_exact(&mut vec![0; fields + (32 << 20) + 4]).expect("its rest");
    // Written whatever is held back, and behind it.
    assert_eq!(peer.next().code, code::GIVE_UP);
    peer.answer(code::OK, 5, "", b"y");
    assert_eq!(end.recv_timeout(TEST_TIMEOUT).expect("told"), Ok(b"y".to_vec()));
}

#[test]
fn an_order_that_is_too_late_is_not_written() {
    let fixture = Fixture::new();
    let (order, copies) =
        fixture.workers.load(&fixture.host, ModelId(5), 1, monotonic_ms() - 1.0, TEST_TIMEOUT);
    assert_eq!((order, copies), (Err(AttemptError::NotFullySent(AbortReason::SendNotAllowed)), 0));
    fixture.workers.evict(&fixture.host, ModelId(6));
    assert_eq!(fixture.peer().next().code, code::EVICT, "nothing went before it");
}

#[test]
fn a_refused_connection_never_ran() {
    let fixture = Fixture::new();
    let nobody = Host::new(WorkerId(1), "nobody", "127.0.0.1:1".parse().expect("address"));
    let fixture = Fixture { host: nobody, ..fixture };
    let (_exchange, end) = fixture.send(1);
    let error = end.recv_timeout(TEST_TIMEOUT).expect("told").expect_err("refused");
    assert_eq!((error, error.outcome()), (AttemptError::ConnectFailed, Outcome::ConnectFailed));
}

/// Guards the count of copies: an order that fails tells as well how many stand.
#[test]
fn orders_carry_their_word_and_the_copies_that_stand() {
    let fixture = Fixture::new();
    let mut answers = vec![(code::OK, "replicas=2"), (code::FULL, "replicas=1"), (code::ERROR, "")];
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut peer = fixture.peer();
            for (code, fields) in std::mem::take(&mut answers) {
                let order = peer.next();
                assert_eq!(
                    (order.code, order.fields.as_str()),
                    (code::LOAD, "obj=0000000000000005,replicas=2")
                );
                peer.answer(code, order.id, fields, b"");
            }
            assert_eq!((peer.next().code, 5), (code::EVICT, 5));
        });
        let order = || fixture.workers.load(&fixture.host, ModelId(5), 2, f64::INFINITY, TEST_TIMEOUT);
        assert_eq!(order(), (Ok(()), 2));
        assert_eq!(order(), (Err(AttemptError::Answered(WorkerRefusal::Full)), 1));
        assert_eq!(order(), (Err(AttemptError::Answered(WorkerRefusal::Failed)), 0));
        fixture.workers.evict(&fixture.host, ModelId(5));
    });
}

/// Guards what follows an answer that never comes: the connection stays open and brings nothing more, so
/// the next call goes out on another. Seen as an incident: a third of all orders vanished on such ones.
#[test]
fn a_connection_that_fell_silent_is_passed_over() {
    let fixture = Fixture::new();
    let (_first, _) = fixture.send(1);
    let mut silent = fixture.peer();
    silent.next();
    std::thread::sleep(std::time::Duration::from_millis(300));
    let (_second, end) = fixture.send(2);
    let mut fresh = fixture.peer();
    assert_eq!(fresh.next().id, 2);
    fresh.answer(code::OK, 2, "", b"y");
    assert_eq!(end.recv_timeout(TEST_TIMEOUT).expect("told"), Ok(b"y".to_vec()));
    // Once the worker is heard there again, the connection is as good as any.
    silent.answer(code::OK, 1, "", b"x");
    std::thread::sleep(std::time::Duration::from_millis(100));
    let (_third, _) = fixture.send(3);
    assert_eq!(silent.next().id, 3);
}

/// Guards the cap on worker connections, met between taking a call and sending it: the attempt never ran, and
/// the next one fits once the connection before has ended.
#[test]
fn an_attempt_without_room_for_its_connection_never_ran() {
    let fixture = Fixture::with_room(30 << 10);
    let (_first, first_end) = fixture.send(1);
    let mut peer = fixture.peer();
    peer.next();
    // A second connection is wanted where the first is at its limit of exchanges; so many share one.
    let many: Vec<_> = (2..=40).map(|id| fixture.send(id)).collect();
    let not_allowed: Result<Vec<u8>, _> = Err(AttemptError::NotFullySent(AbortReason::SendNotAllowed));
    let refused = many
        .iter()
        .filter(|(_, end)| end.recv_timeout(Duration::from_millis(20)).as_ref() == Ok(&not_allowed));
    assert_eq!(refused.count(), 8, "32 go on one connection, and there is no room for another");
    assert!(not_allowed.as_ref().is_err_and(|error| error.outcome().proves_not_run()));
    drop(peer);
    assert!(first_end.recv_timeout(TEST_TIMEOUT).expect("told").is_err());
    // The room comes back when the connection's tasks have ended, a moment after its end was told.
    let fits = |id| {
        std::thread::sleep(Duration::from_millis(10));
        fixture.send(id).1.recv_timeout(Duration::from_millis(20)) != Ok(not_allowed.clone())
    };
    assert!((100..2000).any(fits), "the room came back");
}
