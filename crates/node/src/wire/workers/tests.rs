use super::*;
use crate::core::monotonic_ms;

fn limits(idle: Duration, connections: usize) -> Limits {
    let connect = Duration::from_secs(1);
    Limits { streams: 8, connect, idle, connections, answer: 1024, cancels: true }
}

/// Number of set-ups that are tried for a connection on which the second call follows the first.
const MAX_SET_UPS: usize = 10;
/// How long the second call may take to arrive, before it counts as sent on another connection.
const SECOND_CALL_TIMEOUT: Duration = Duration::from_secs(5);
const FRAME_HEADER_BYTES: usize = 16;
const FRAME_CHECKSUM_BYTES: usize = 4;

/// Two calls on one connection: the first is written, and the writer is blocked within the second.
struct BlockedConnection {
    _workers: FrameWorkers,
    _listener: std::net::TcpListener,
    /// The worker's end of the connection.
    socket: std::net::TcpStream,
    first: Box<dyn Exchange>,
    _second: Box<dyn Exchange>,
}

/// Reads the header of a frame; returns the frame's id and the number of bytes that follow the header.
fn read_frame_header(socket: &mut std::net::TcpStream) -> std::io::Result<(u64, usize)> {
    let mut header = [0; FRAME_HEADER_BYTES];
    std::io::Read::read_exact(socket, &mut header)?;
    let [_, _, f0, f1, b0, b1, b2, b3, id @ ..] = header;
    let (fields, body) = (u16::from_be_bytes([f0, f1]), u32::from_be_bytes([b0, b1, b2, b3]));
    Ok((u64::from_be_bytes(id), usize::from(fields) + body as usize + FRAME_CHECKSUM_BYTES))
}

/// Sends two calls; `None` if the second was not sent on the connection of the first.
fn block_connection() -> Option<BlockedConnection> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let host = Host::new(WorkerId(1), "w", listener.local_addr().expect("bound"));
    let second = Duration::from_secs(1);
    let limits = limits(30 * second, 8);
    let workers = FrameWorkers::new(limits, crate::state::test_ledger().account(Purpose::Workers).clone());
    let call = |id, size| {
        let request = corkbay::Request { id: corkbay::RequestId(id), ..Default::default() };
        Arc::new(Call { request, body: vec![7; size], ..Call::default() })
    };
    let first = workers.send(&host, &call(1, 1), monotonic_ms() + 30_000.0, f64::INFINITY, Box::new(|_| ()));
    let (mut socket, _) = listener.accept().expect("connected");
    let (id, length) = read_frame_header(&mut socket).expect("the first call");
    assert_eq!(id, 1, "the first call");
    std::io::Read::read_exact(&mut socket, &mut vec![0; length]).expect("the rest of the first call");
    // More than the socket buffers hold, so the writer blocks in this frame.
    let second =
        workers.send(&host, &call(2, 32 << 20), monotonic_ms() + 30_000.0, f64::INFINITY, Box::new(|_| ()));
    socket.set_read_timeout(Some(SECOND_CALL_TIMEOUT)).expect("a read timeout");
    if !matches!(read_frame_header(&mut socket), Ok((2, _))) {
        return None;
    }
    socket.set_read_timeout(None).expect("no read timeout");
    Some(BlockedConnection { _workers: workers, _listener: listener, socket, first, _second: second })
}

/// A cancel command counts as sent once it is written, not once it is queued behind frames that the worker does not
/// read. Otherwise a second attempt could start while the first still runs.
#[test]
fn cancel_command_is_sent_once_it_is_written() {
    // On a busy machine the first call may go unanswered for so long that its connection counts as suspect. The second
    // call is then rightly sent on another connection, and nothing blocks the cancel command.
    let blocked = (0..MAX_SET_UPS).find_map(|_| block_connection());
    let BlockedConnection { mut socket, mut first, _workers, _listener, _second } =
        blocked.unwrap_or_else(|| panic!("the second call went elsewhere in all of {MAX_SET_UPS} set-ups"));
    assert_eq!(first.cancel(AbortReason::Cancelled), Some(AttemptError::Unanswered(AbortReason::Cancelled)));
    std::thread::sleep(Duration::from_millis(100));
    assert!(!first.cancel_notice().is_sent(), "queued behind the second call");
    std::thread::spawn(move || std::io::copy(&mut socket, &mut std::io::sink()));
    let end = monotonic_ms() + 20_000.0;
    while !first.cancel_notice().is_sent() {
        assert!(monotonic_ms() < end, "the cancel command was not written in time");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a race that would allow a wrong retry: an answer, or the end of the connection, may be read before
/// the writer has recorded that the last byte was written.
#[test]
fn a_frame_that_may_be_written_does_not_prove_that_the_call_did_not_run() {
    for cause in [AbortReason::ConnectionLost, AbortReason::TimedOut, AbortReason::Cancelled] {
        assert!(unanswered_error(Stage::Queued, cause).outcome().proves_not_run());
        assert!(!unanswered_error(Stage::Writing, cause).outcome().proves_not_run());
        assert!(!unanswered_error(Stage::Written, cause).outcome().proves_not_run());
    }
}

/// A worker that answers each request at once and reports its number when a connection has ended.
fn answering_worker(number: u32, ended: std::sync::mpsc::Sender<u32>) -> Arc<Host> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let host = Host::new(WorkerId(number), "w", listener.local_addr().expect("bound"));
    std::thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            let (mut bytes, mut chunk) = (Vec::new(), [0; 1024]);
            while let Ok(size @ 1..) = std::io::Read::read(&mut socket, &mut chunk) {
                bytes.extend(&chunk[..size]);
                while let Ok(Some(frame)) = Frame::decode(&mut bytes, crate::wire::frames::FROM_INVOKER) {
                    let mark = crate::wire::frames::FROM_WORKER;
                    let answer = Frame { mark, code: code::OK, body: Vec::new(), ..frame };
                    std::io::Write::write_all(&mut socket, &answer.encode()).expect("answered");
                }
            }
            ended.send(number).expect("the test waits");
        }
    });
    host
}

/// Idle connections that filled the budget made workers without a connection unreachable.
#[test]
fn idle_connections_do_not_keep_other_workers_from_being_reached() {
    let second = Duration::from_secs(1);
    let limits = limits(60 * second, 2);
    let workers = FrameWorkers::new(limits, crate::state::test_ledger().account(Purpose::Workers).clone());
    let (ended, endings) = std::sync::mpsc::channel();
    let hosts: Vec<_> = (0..4).map(|number| answering_worker(number, ended.clone())).collect();
    let send_call = |id: u64, host: &Arc<Host>| {
        let request = corkbay::Request { id: corkbay::RequestId(id), ..Default::default() };
        let call = Arc::new(Call { request, ..Call::default() });
        let (sender, answer) = std::sync::mpsc::channel();
        let end = Box::new(move |end: Result<_, _>| _ = sender.send(end.map(|_| ())));
        let _exchange = workers.send(host, &call, monotonic_ms() + 5000.0, f64::INFINITY, end);
        answer.recv_timeout(5 * second).expect("an end")
    };
    for (id, place) in [0, 1, 0, 2, 3].into_iter().enumerate() {
        assert_eq!(send_call(id as u64 + 1, &hosts[place]), Ok(()), "worker {place}");
        std::thread::sleep(Duration::from_millis(20));
    }
    let evicted: Vec<_> = (0..2).map(|_| endings.recv_timeout(5 * second).expect("an end")).collect();
    assert_eq!(evicted, [1, 0], "the connections that were idle longest");
}
