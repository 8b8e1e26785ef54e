//! System calls fail under the started program, in ways that Linux documents: each call still gets its one final answer,
//! none runs more often than its class allows, and what was accepted lasts.
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::faults::{Call, Faults};
use support::platform::{dispatch, fields, Fixture, Reply};
use support::workers::{Behaviour, Fleet};
use support::{ask, until, Daemon, Folder, Response, CLASSES};

/// Error numbers as Linux has them.
const EINTR: i32 = 4;
const EIO: i32 = 5;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const ENOBUFS: i32 = 105;
/// Longer than the program takes to look at its log again.
const SWEPT: Duration = Duration::from_secs(8);

/// A node on a folder that lasts, with one worker.
struct Lasting {
    faults: Faults,
    fleet: Fleet,
    folder: Folder,
    daemon: Option<Daemon>,
}

impl Lasting {
    fn new(script: &[Behaviour]) -> Self {
        let (faults, folder, fleet) = (Faults::new(), Folder::new(), Fleet::new(script));
        let worker = format!("[[worker]]\nname = \"w1\"\naddress = \"{}\"\n", fleet.http("w1"));
        let head = "node = \"n\"\nlisten = \"127.0.0.1:0\"\ndata_dir = \"data\"\n";
        folder.write("d.toml", &format!("{head}{CLASSES}{worker}"));
        let mut lasting = Lasting { faults, fleet, folder, daemon: None };
        lasting.start();
        lasting
    }

    fn start(&mut self) {
        self.daemon = Some(Daemon::serve_with(&self.folder.0.join("d.toml"), &self.faults.environment()));
    }

    fn kill_and_start(&mut self) {
        let mut daemon = self.daemon.take().expect("it runs");
        daemon.signal("KILL");
        daemon.exit_code();
        self.start();
    }

    fn address(&self) -> SocketAddr {
        self.daemon.as_ref().expect("it runs").address
    }

    /// Defers a call.
    fn defer(&self, class: &str, key: &str, body: &[u8]) -> Response {
        let headers = [("Idempotency-Key", key), ("Prefer", "respond-async")];
        ask(self.address(), "POST", &format!("/v1/functions/{class}/invocations"), &headers, body)
    }

    /// Defers a call that is accepted; where its end is found.
    fn accepted(&self, class: &str, key: &str) -> String {
        let response = self.defer(class, key, key.as_bytes());
        assert_eq!(response.status, 202, "{}", String::from_utf8_lossy(&response.body));
        response.header("location").expect("a place").to_string()
    }

    fn end(&self, place: &str) -> u16 {
        ask(self.address(), "GET", place, &[("Prefer", "wait=10")], b"").status
    }

    /// Longer than the final record takes to be written.
    fn settled(&self, place: &str) {
        assert_eq!(self.end(place), 200);
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards what was accepted against the rest of a write that failed and could not be cut off.
#[test]
fn what_was_accepted_lasts_where_a_failed_write_could_not_be_cut_off() {
    let mut node = Lasting::new(&[Behaviour::Serve]);
    node.settled(&node.accepted("check", "before"));
    node.faults.fail(Call::Sync, 1, EIO, 1);
    node.faults.fail(Call::Truncate, 1, EIO, 1);
    assert_eq!(node.defer("check", "refused", b"x").status, 503);
    let accepted = node.accepted("check", "accepted");
    node.settled(&accepted);
    node.faults.fail(Call::Sync, 1, EIO, 1);
    assert_eq!(node.defer("check", "refused too", b"x").status, 503);
    node.kill_and_start();
    assert_eq!(node.end(&accepted), 200);
}

/// Guards the same where nothing can be cut off for a while: calls are refused, and taken again afterwards.
#[test]
fn calls_are_refused_while_the_log_cannot_be_mended_and_taken_again_afterwards() {
    let mut node = Lasting::new(&[Behaviour::Serve]);
    node.faults.fail(Call::FileWrite, 1, ENOSPC, u64::MAX);
    node.faults.fail(Call::Truncate, 1, EIO, u64::MAX);
    for number in 0..5 {
        assert_eq!(node.defer("check", &format!("k{number}"), b"x").status, 503);
    }
    node.faults.mend(Call::Truncate);
    node.faults.mend(Call::FileWrite);
    let accepted = node.accepted("check", "accepted");
    node.settled(&accepted);
    node.kill_and_start();
    assert_eq!(node.end(&accepted), 200);
    assert!(node.fleet.sent().iter().all(|sent| sent.body == b"accepted"), "what was refused never ran");
}

/// Guards what is accepted behind a compaction of the log whose last step failed.
#[test]
fn what_is_accepted_behind_a_compaction_that_failed_at_its_end_lasts() {
    let mut node = Lasting::new(&[Behaviour::Serve]);
    let put = |memory: usize| {
        let body = format!("{{\"class\":\"check\",\"memory_mb\":{memory},\"lanes\":1}}");
        let path = format!("/v1/functions/{}", "f".repeat(100));
        ask(node.address(), "PUT", &path, &[], body.as_bytes()).status
    };
    // The log outgrows what stands many times over.
    (1..=400).for_each(|memory| assert_eq!(put(memory), 204));
    let log = node.folder.0.join("data/records.log");
    let size = || std::fs::metadata(&log).expect("there").len();
    let grown = size();
    // The new log's own sync passes, that of its folder fails.
    node.faults.fail(Call::Sync, 2, EIO, 1);
    let began = Instant::now();
    until("the log is compacted", || size() < grown / 4 || began.elapsed() > SWEPT);
    assert!(size() < grown / 4, "{grown} to {}", size());
    let accepted = node.accepted("check", "accepted");
    node.settled(&accepted);
    node.kill_and_start();
    assert_eq!(node.end(&accepted), 200);
}

/// Guards the start against a shortage on the machine that passes.
#[test]
fn a_start_outlasts_a_moment_without_sockets() {
    for error in [EINTR, ENFILE, EMFILE, ENOBUFS] {
        let faults = Faults::new();
        faults.fail(Call::Socket, 1, error, 5);
        let fixture =
            Fixture::with_environment(&[Behaviour::Serve], 1, (1024, 192), &faults.environment(), |_| {});
        let mut client = fixture.client();
        client.send(&dispatch(1, &fields("check", "00000000000000a1", "4000"), b"x"));
        let reply = client.receive();
        assert!(matches!(reply, Some((1, Reply::Answer(_)))), "{error}: {reply:?}");
        assert_eq!(faults.left(Call::Socket), 0);
    }
}

/// Requests of the test of reads.
const REQUESTS: i32 = 120;

/// Guards connections against signals and short counts: neither ends one, nor costs a request its answer.
#[test]
fn interrupted_and_short_transfers_cost_no_request() {
    for (call, error) in [
        (Call::Receive, EINTR),
        (Call::Receive, 0),
        (Call::Send, EINTR),
        (Call::Send, 0),
        (Call::Wait, EINTR),
    ] {
        let faults = Faults::new();
        let fixture =
            Fixture::with_environment(&[Behaviour::Serve], 2, (1024, 192), &faults.environment(), |_| {});
        let mut client = fixture.client();
        faults.fail(call, 2, error, u64::MAX);
        for seqid in 1..=REQUESTS {
            client.send(&dispatch(seqid, &fields("check", &format!("{seqid:016x}"), "4000"), b"x"));
            if seqid % 3 == 0 {
                // The reader waits, is interrupted, and goes on.
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        for _ in 0..REQUESTS {
            assert!(client.receive().is_some(), "{call:?} {error}: the connection ended");
        }
    }
}
