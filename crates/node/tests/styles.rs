//! Runs the same scenarios in every combination of client and worker style, and compares outcomes and sent calls.
mod support;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::late::SlowAcceptListener;
use support::workers::{AnswerOffset, Behaviour, Fleet, Sent};
use support::{ask, receive, start, until, Daemon, Folder, Response, CLASSES, TEST_TIMEOUT};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Client {
    Synchronous,
    Deferred,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Server {
    Held,
    Deferred,
    Frames,
}

const STYLES: [(Client, Server); 6] = [
    (Client::Synchronous, Server::Held),
    (Client::Synchronous, Server::Deferred),
    (Client::Synchronous, Server::Frames),
    (Client::Deferred, Server::Held),
    (Client::Deferred, Server::Deferred),
    (Client::Deferred, Server::Frames),
];

/// A daemon with two workers in the given cells.
struct Fixture {
    client: Client,
    daemon: Daemon,
    fleet: Fleet,
    addresses: [String; 2],
    folder: Folder,
}

/// The outcome of a call as its client sees it.
#[derive(Debug, PartialEq)]
struct End {
    status: u16,
    may_have_run: Option<String>,
    body: String,
}

impl Fixture {
    fn new(style: (Client, Server), script: &[Behaviour], cells: [u32; 2]) -> Self {
        Self::with_limits(style, script, cells, "")
    }

    /// Like [`Fixture::new`]; `limits` is added to the deploy file.
    fn with_limits(
        (client, server): (Client, Server),
        script: &[Behaviour],
        cells: [u32; 2],
        limits: &str,
    ) -> Self {
        let fleet = Fleet::new(script);
        let worker = |name: &str| match server {
            Server::Frames => fleet.frames(name).to_string(),
            Server::Held | Server::Deferred => fleet.http(name).to_string(),
        };
        let addresses = [worker("w1"), worker("w2")];
        let transport = match server {
            Server::Held => "protocol = \"http\"\nstyle = \"held\"",
            Server::Deferred => "protocol = \"http\"\nstyle = \"deferred\"",
            Server::Frames => "protocol = \"frames\"",
        };
        let workers = format!(
            "[[worker]]\nname = \"w1\"\naddress = \"{}\"\ncell = {}\n[[worker]]\nname = \"w2\"\naddress = \"{}\"\ncell = {}\n",
            addresses[0], cells[0], addresses[1], cells[1]
        );
        let folder = Folder::new();
        let deploy = folder.write(
            "invoke.toml",
            &format!(
                "node = \"n\"\nlisten = \"127.0.0.1:0\"\ndata_dir = \"data\"\n[transport]\n{transport}\n{limits}{CLASSES}{workers}"
            ),
        );
        let daemon = Daemon::serve(&deploy);
        Fixture { client, daemon, fleet, addresses, folder }
    }

    fn call(&self, function: &str, deadline_ms: u32) -> End {
        self.call_with(function, deadline_ms, "key-1")
    }

    fn call_with(&self, function: &str, deadline_ms: u32, key: &str) -> End {
        self.call_at(self.daemon.address, function, deadline_ms, key)
    }

    fn call_at(&self, daemon: SocketAddr, function: &str, deadline_ms: u32, key: &str) -> End {
        let path = format!("/v1/functions/{function}/invocations");
        let deadline = deadline_ms.to_string();
        let mut headers = vec![("Corkbay-Deadline-Ms", deadline.as_str()), ("Idempotency-Key", key)];
        if self.client == Client::Synchronous {
            return end(&ask(daemon, "POST", &path, &headers, b"input"));
        }
        headers.push(("Prefer", "respond-async"));
        let accepted = ask(daemon, "POST", &path, &headers, b"input");
        if accepted.status != 202 {
            return end(&accepted);
        }
        let location = accepted.header("location").expect("the location of the answer").to_string();
        end(&ask(daemon, "GET", &location, &[("Prefer", "wait=30")], b""))
    }

    /// Starts a call and returns its connection; a deferred call has been accepted but not answered.
    fn start(&self, function: &str) -> TcpStream {
        let path = format!("/v1/functions/{function}/invocations");
        let key = ("Idempotency-Key", "started");
        if self.client == Client::Synchronous {
            return start(self.daemon.address, "POST", &path, &[key], b"input");
        }
        let headers = [key, ("Prefer", "respond-async")];
        let socket = start(self.daemon.address, "POST", &path, &headers, b"input");
        assert_eq!(receive(&mut BufReader::new(&socket)).status, 202);
        socket
    }

    fn set_worker(&self, name: &str, address: &str, state: &str) {
        let body = format!("{{\"address\":\"{address}\",\"state\":\"{state}\"}}");
        let path = format!("/v1/workers/{name}");
        assert_eq!(ask(self.daemon.address, "PUT", &path, &[], body.as_bytes()).status, 204);
    }

    fn set_both(&self, state: &str) {
        self.set_worker("w1", &self.addresses[0], state);
        self.set_worker("w2", &self.addresses[1], state);
    }

    fn counted(&self, counter: &str) -> u64 {
        let status = ask(self.daemon.address, "GET", "/v1/status", &[], b"").json();
        status["counters"][counter].as_u64().expect("a counter")
    }

    /// Disconnects the client. A synchronous call is withdrawn then; a deferred one continues.
    fn leave(&self, socket: TcpStream) {
        drop(socket);
        match self.client {
            Client::Synchronous => until("the request is withdrawn", || self.counted("withdrawn") == 1),
            Client::Deferred => std::thread::sleep(Duration::from_millis(100)),
        }
    }

    /// Number of calls that continue after their client has left, out of one.
    fn continuing_calls(&self) -> usize {
        usize::from(self.client == Client::Deferred)
    }

    fn workers_sent_to(&self) -> Vec<String> {
        self.fleet.sent().into_iter().map(|sent: Sent| sent.worker).collect()
    }
}

fn end(response: &Response) -> End {
    let may_have_run = response.header("corkbay-may-have-run").map(str::to_string);
    let body = String::from_utf8_lossy(&response.body).into_owned();
    End { status: response.status, may_have_run, body }
}

/// Runs a scenario in all styles, checks that its results are equal, and returns the result.
fn in_all_styles<T: PartialEq + std::fmt::Debug>(
    script: &[Behaviour],
    cells: [u32; 2],
    scenario: impl Fn(&Fixture) -> T,
) -> T {
    let mut ends = STYLES.iter().map(|style| (style, scenario(&Fixture::new(*style, script, cells))));
    let (_, first) = ends.next().expect("styles");
    for (style, end) in ends {
        assert_eq!(end, first, "{style:?} differs from {:?}", STYLES[0]);
    }
    first
}

fn one_call(function: &'static str) -> impl Fn(&Fixture) -> (End, Vec<String>) {
    move |fixture| {
        let end = fixture.call(function, 8000);
        (end, fixture.workers_sent_to())
    }
}

#[test]
fn served() {
    for function in ["check", "post", "once"] {
        let (end, sent) = in_all_styles(&[Behaviour::Serve], [0, 1], one_call(function));
        assert_eq!((end.status, end.body.as_str(), sent.len()), (200, "done: input", 1));
    }
}

/// An answer longer than the configured limit is discarded. The call has run, so it is repeated only if its class allows
/// it.
#[test]
fn a_call_with_an_answer_over_the_limit_is_repeated_only_as_the_class_allows() {
    for function in ["check", "once"] {
        let (end, sent) =
            in_all_styles(&[Behaviour::LongAnswer, Behaviour::Serve], [0, 1], one_call(function));
        let expected = if function == "check" { (200, 2) } else { (502, 1) };
        assert_eq!((end.status, sent.len()), expected, "{function}");
    }
}

#[test]
fn a_refusal_or_a_miss_proves_that_nothing_ran_so_any_class_is_retried() {
    for act in [Behaviour::Refuse, Behaviour::Miss] {
        for function in ["check", "post", "once"] {
            let (end, sent) = in_all_styles(&[act, Behaviour::Serve], [0, 1], one_call(function));
            assert_eq!((end.status, sent.len()), (200, 2), "{act:?} {function}");
        }
    }
}

#[test]
fn refused_by_all_until_the_attempts_are_used_up() {
    let (end, sent) = in_all_styles(&[Behaviour::Refuse], [0, 1], one_call("post"));
    assert_eq!((end.status, end.may_have_run.as_deref(), sent.len()), (503, Some("false"), 5));
}

/// A call that may have run is repeated only if its class allows it.
#[test]
fn a_late_reset_is_repeated_only_as_the_class_allows() {
    let (end, sent) = in_all_styles(&[Behaviour::Reset, Behaviour::Serve], [0, 1], one_call("check"));
    assert_eq!((end.status, sent.len()), (200, 2));
    let (end, sent) = in_all_styles(&[Behaviour::Reset, Behaviour::Serve], [0, 1], one_call("post"));
    assert!(sent.iter().all(|worker| *worker == sent[0]), "a repeat was sent to another cell: {sent:?}");
    assert_eq!((end.status, sent.len()), (200, 2));
    let (end, sent) = in_all_styles(&[Behaviour::Reset, Behaviour::Serve], [0, 1], one_call("once"));
    assert_eq!((end.status, end.may_have_run.as_deref(), sent.len()), (502, Some("true"), 1));
}

/// An invalid answer is not passed on and is no proof that the call did not run. Neither an excessive length nor a truncated
/// answer delays the call until its deadline.
#[test]
fn an_invalid_answer_is_discarded_and_the_call_may_have_run() {
    for act in [Behaviour::CorruptAnswer, Behaviour::TruncatedAnswer, Behaviour::OversizedAnswer] {
        let (end, sent) = in_all_styles(&[act, Behaviour::Serve], [0, 1], one_call("check"));
        assert_eq!((end.status, end.body.as_str(), sent.len()), (200, "done: input", 2), "{act:?}");
        let (end, sent) = in_all_styles(&[act, Behaviour::Serve], [0, 1], one_call("post"));
        assert!(sent.iter().all(|worker| *worker == sent[0]), "a repeat was sent to another cell: {sent:?}");
        assert_eq!((end.status, sent.len()), (200, 2), "{act:?}");
        let (end, sent) = in_all_styles(&[act, Behaviour::Serve], [0, 1], one_call("once"));
        assert_eq!((end.status, end.may_have_run.as_deref(), sent.len()), (502, Some("true"), 1), "{act:?}");
    }
}

#[test]
fn an_error_may_have_run() {
    let (end, sent) = in_all_styles(&[Behaviour::Error, Behaviour::Serve], [0, 1], one_call("once"));
    assert_eq!((end.status, end.may_have_run.as_deref(), sent.len()), (502, Some("true"), 1));
}

#[test]
fn a_failed_connection_proves_that_nothing_ran_so_any_class_is_retried() {
    for function in ["check", "post", "once"] {
        let (end, sent) = in_all_styles(&[Behaviour::Serve], [0, 1], |fixture| {
            // Nothing listens on port 1: the connection fails before any byte of the call is sent.
            for (name, address) in [("w1", "127.0.0.1:1"), ("w2", &fixture.addresses[1])] {
                let body = format!("{{\"address\":\"{address}\",\"cell\":0}}");
                let put =
                    ask(fixture.daemon.address, "PUT", &format!("/v1/workers/{name}"), &[], body.as_bytes());
                assert_eq!(put.status, 204);
            }
            one_call(function)(fixture)
        });
        assert_eq!((end.status, sent), (200, vec!["w2".to_string()]), "{function}");
    }
}

/// A call that is still in flight at its deadline is reported as one that may have run.
#[test]
fn a_call_without_an_answer_ends_at_its_deadline() {
    for function in ["check", "post", "once"] {
        let (end, sent) = in_all_styles(&[Behaviour::NoAnswer], [0, 1], |fixture| {
            let end = fixture.call(function, 1000);
            (end, fixture.workers_sent_to().len())
        });
        assert_eq!((end.status, end.may_have_run.as_deref(), sent), (504, Some("true"), 1), "{function}");
    }
}

#[test]
fn a_draining_worker_is_sent_nothing_more() {
    for drained in [0, 1] {
        let sent = in_all_styles(&[Behaviour::Serve], [0, 1], |fixture| {
            let name = ["w1", "w2"][drained];
            let body = format!("{{\"address\":\"{}\",\"state\":\"draining\"}}", fixture.addresses[drained]);
            let path = format!("/v1/workers/{name}");
            assert_eq!(ask(fixture.daemon.address, "PUT", &path, &[], body.as_bytes()).status, 204);
            for number in 0..3 {
                assert_eq!(fixture.call_with("post", 8000, &format!("key-{number}")).status, 200);
            }
            fixture.workers_sent_to()
        });
        assert_eq!(sent, vec![["w2", "w1"][drained].to_string(); 3]);
    }
}

#[test]
fn a_repeated_key_is_answered_without_another_send() {
    let (ends, sends, runs) = in_all_styles(&[Behaviour::Serve], [0, 1], |fixture| {
        let ends = (0..3).map(|_| fixture.call("post", 8000)).collect::<Vec<_>>();
        (ends, fixture.fleet.sent().len(), fixture.fleet.runs())
    });
    assert!(ends.iter().all(|end| *end == ends[0] && end.status == 200), "{ends:?}");
    assert_eq!((sends, runs), (1, 1));
}

/// A deferred call reaches one final answer although its client has disconnected.
#[test]
fn a_deferred_post_whose_client_vanishes_reaches_one_final_answer() {
    for server in [Server::Held, Server::Deferred, Server::Frames] {
        let fixture = Fixture::new((Client::Deferred, server), &[Behaviour::Hold], [0, 1]);
        let headers = [("Prefer", "respond-async"), ("Idempotency-Key", "gone")];
        let socket =
            start(fixture.daemon.address, "POST", "/v1/functions/post/invocations", &headers, b"input");
        until("the call is in flight", || fixture.fleet.sent().len() == 1);
        drop(socket);
        fixture.fleet.release();
        // Another client that uses the same key gets that answer.
        let end = fixture.call_with("post", 8000, "gone");
        assert_eq!((end.status, end.body.as_str()), (200, "done: input"), "{server:?}");
        assert_eq!((fixture.fleet.sent().len(), fixture.fleet.runs()), (1, 1), "{server:?}");
    }
}

#[test]
fn a_synchronous_call_whose_client_vanishes_is_cancelled() {
    for server in [Server::Deferred, Server::Frames] {
        let fixture = Fixture::new((Client::Synchronous, server), &[Behaviour::NoAnswer], [0, 1]);
        let socket = start(fixture.daemon.address, "POST", "/v1/functions/check/invocations", &[], b"input");
        until("the call is in flight", || fixture.fleet.sent().len() == 1);
        drop(socket);
        until("the work is cancelled", || fixture.fleet.cancelled() == 1);
    }
}

#[test]
fn a_deferred_call_can_be_withdrawn() {
    let fixture = Fixture::new((Client::Deferred, Server::Frames), &[Behaviour::NoAnswer], [0, 1]);
    let headers = [("Prefer", "respond-async"), ("Idempotency-Key", "k")];
    let accepted = ask(fixture.daemon.address, "POST", "/v1/functions/post/invocations", &headers, b"input");
    let location = accepted.header("location").expect("location").to_string();
    until("the call is in flight", || fixture.fleet.sent().len() == 1);
    assert_eq!(ask(fixture.daemon.address, "GET", &location, &[], b"").status, 202);
    assert_eq!(ask(fixture.daemon.address, "DELETE", &location, &[], b"").status, 204);
    assert_eq!(ask(fixture.daemon.address, "GET", &location, &[], b"").status, 410);
    assert_eq!(ask(fixture.daemon.address, "DELETE", &location, &[], b"").status, 204);
    until("the work is cancelled", || fixture.fleet.cancelled() == 1);
}

/// Calls are turned away before anything is sent if their memory account is full, and their key stays unused, so that the
/// next call with it is executed.
#[test]
fn a_call_without_memory_is_not_sent_and_its_key_stays_unused() {
    let (refused, served, sent) = in_all_styles(&[Behaviour::Hold], [0, 1], |fixture| {
        let path = fixture.folder.0.join("invoke.toml");
        let file = std::fs::read_to_string(&path).expect("written before");
        fixture.folder.write("invoke.toml", &format!("{file}[memory]\nshares = {{ calls = 0.6 }}\n"));
        fixture.daemon.signal("HUP");
        until("the configuration is reloaded", || fixture.daemon.errors().contains("reloaded"));
        let path = "/v1/functions/check/invocations";
        let open: Vec<_> = (0..40).map(|_| start(fixture.daemon.address, "POST", path, &[], b"x")).collect();
        let status = || ask(fixture.daemon.address, "GET", "/v1/status", &[], b"").json();
        until("calls are turned away", || status()["counters"]["turned_away"].as_u64() > Some(0));
        let refused = fixture.call_with("post", 8000, "late");
        let sent_late =
            || fixture.fleet.sent().iter().filter(|sent| sent.key.as_deref() == Some("late")).count();
        assert_eq!(sent_late(), 0);
        fixture.fleet.release();
        until("all calls have ended", || status()["owed"] == 0);
        drop(open);
        let served = fixture.call_with("post", 8000, "late");
        (refused, served, sent_late())
    });
    assert_eq!((refused.status, refused.may_have_run.as_deref()), (503, Some("false")));
    assert_eq!((served.status, served.body.as_str(), sent), (200, "done: input", 1));
}

/// Wherever in the answer the connection ends, the call may have run.
#[test]
fn an_incomplete_answer_is_no_proof_that_nothing_ran() {
    for offset in AnswerOffset::ALL {
        let act = Behaviour::DisconnectAt(offset);
        let (end, sent) = in_all_styles(&[act, Behaviour::Serve], [0, 1], one_call("check"));
        assert_eq!((end.status, end.body.as_str(), sent.len()), (200, "done: input", 2), "{offset:?}");
        let (end, sent) = in_all_styles(&[act, Behaviour::Serve], [0, 1], one_call("once"));
        let result = (end.status, end.may_have_run.as_deref(), sent.len());
        assert_eq!(result, (502, Some("true"), 1), "{offset:?}");
    }
}

#[test]
fn an_answer_that_comes_a_byte_at_a_time_is_served() {
    let (end, sent) = in_all_styles(&[Behaviour::ServeBytewise], [0, 1], one_call("once"));
    assert_eq!((end.status, end.body.as_str(), sent.len()), (200, "done: input", 1));
}

/// A call may have run and then be refused by all workers. If all workers deduplicate, the dispatcher reports it as refused,
/// since a retry is harmless; but that holds only until the workers have forgotten the key, and the client may retry later.
/// The key used to be released at once.
#[test]
fn a_key_whose_call_may_have_run_stays_in_use_however_the_call_ended() {
    let script = [Behaviour::Reset, Behaviour::Refuse];
    let (first, again, sent) = in_all_styles(&script, [0, 0], |fixture| {
        let path = fixture.folder.0.join("invoke.toml");
        let file = std::fs::read_to_string(&path).expect("written before");
        let file = file.replace("dedup_scope = \"cell\"", "dedup_scope = \"all\"");
        let daemon = Daemon::serve(&fixture.folder.write("all.toml", &file.replace("data\"", "other\"")));
        let ends = [0, 1].map(|_| fixture.call_at(daemon.address, "post", 8000, "key-1"));
        let [first, again] = ends;
        (first, again, fixture.fleet.sent().len())
    });
    assert_eq!((first.status, first.may_have_run.as_deref(), sent), (502, Some("true"), 5));
    assert_eq!(again, first, "not sent again");
}

/// Within the deduplication window the front answers a repeated key; after it the key starts a new call.
#[test]
fn a_key_is_repeated_just_before_and_just_after_its_window() {
    let (before, after, sends) = in_all_styles(&[Behaviour::Serve], [0, 0], |fixture| {
        let path = fixture.folder.0.join("invoke.toml");
        let file = std::fs::read_to_string(&path).expect("written before").replace("data\"", "other\"");
        let file = file.replace("dedup_window_ms = 20000", "dedup_window_ms = 1500");
        let daemon = Daemon::serve(&fixture.folder.write("short.toml", &file));
        let call = || fixture.call_at(daemon.address, "post", 1000, "key-1");
        let first = call();
        let sent = Instant::now();
        assert_eq!(first.status, 200);
        // The key is released once the call's deadline plus the window have passed since the call was accepted.
        std::thread::sleep(Duration::from_millis(1800).saturating_sub(sent.elapsed()));
        let before = (call(), fixture.fleet.sent().len());
        std::thread::sleep(Duration::from_millis(2600).saturating_sub(sent.elapsed()));
        let after = (call(), fixture.fleet.sent().len());
        (before.0 == first, after.0 == first, [before.1, after.1])
    });
    assert!(before && after);
    assert_eq!(sends, [1, 2]);
}

/// Time to wait before asserting that something has not happened.
const OBSERVATION_TIME: Duration = Duration::from_millis(500);

/// Nothing is sent for a synchronous call whose client has left; a deferred call continues.
#[test]
fn a_call_whose_client_left_while_no_worker_took_work_is_not_sent() {
    for style in STYLES {
        let fixture = Fixture::new(style, &[Behaviour::Serve], [0, 0]);
        fixture.set_both("draining");
        let client = fixture.start("check");
        until("the request is accepted", || fixture.counted("taken") == 1);
        fixture.leave(client);
        fixture.set_both("up");
        assert_eq!(fixture.call("check", 8000).status, 200, "{style:?}");
        std::thread::sleep(OBSERVATION_TIME);
        assert_eq!(fixture.fleet.sent().len(), 1 + fixture.continuing_calls(), "{style:?}");
    }
}

#[test]
fn a_call_whose_client_left_during_connect_is_not_sent() {
    for style in STYLES {
        let fixture = Fixture::with_limits(
            style,
            &[Behaviour::Serve],
            [0, 0],
            "[limits]\nconnect_timeout_ms = 8000.0\n",
        );
        let late = SlowAcceptListener::new();
        let _full = late.fill();
        fixture.set_worker("w1", &late.address.to_string(), "up");
        fixture.set_worker("w2", &fixture.addresses[1], "draining");
        let client = fixture.start("check");
        until("the request waits for its connection", || fixture.counted("sent") == 1);
        fixture.leave(client);
        late.accept(TEST_TIMEOUT).expect("the connection that filled the accept queue");
        let received = late.accept(TEST_TIMEOUT).map(|mut connection| {
            connection.set_read_timeout(Some(OBSERVATION_TIME)).expect("set");
            connection.read(&mut [0; 64]).unwrap_or(0)
        });
        assert_eq!(received.unwrap_or(0) > 0, fixture.continuing_calls() > 0, "{style:?}");
    }
}

/// The first attempt fails while no worker accepts work, so that the second has to wait for one.
#[test]
fn a_call_whose_client_left_before_the_second_attempt_is_not_sent_again() {
    for style in STYLES {
        let fixture = Fixture::new(style, &[Behaviour::Serve], [0, 0]);
        let first = SlowAcceptListener::new();
        fixture.set_worker("w2", &fixture.addresses[1], "draining");
        fixture.set_worker("w1", &first.address.to_string(), "up");
        let client = fixture.start("check");
        let mut connection = first.accept(TEST_TIMEOUT).expect("the first attempt");
        assert!(connection.read(&mut [0; 64]).is_ok_and(|size| size > 0));
        fixture.set_worker("w1", &first.address.to_string(), "draining");
        drop(connection);
        until("the attempt has failed", || fixture.counted("lost_reset") == 1);
        fixture.leave(client);
        fixture.set_worker("w2", &fixture.addresses[1], "up");
        assert_eq!(fixture.call("check", 8000).status, 200, "{style:?}");
        std::thread::sleep(OBSERVATION_TIME);
        assert_eq!(fixture.fleet.sent().len(), 1 + fixture.continuing_calls(), "{style:?}");
    }
}

/// A client may send its next request before it has the answer to the first, and then disconnect. Once the daemon had read
/// the second request it did not notice the disconnect, and sent the first one.
#[test]
fn a_call_whose_client_left_after_a_second_request_is_not_sent() {
    let next = "POST /v1/functions/check/invocations HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n\r\nx";
    // More than the daemon reads ahead.
    let many = next.replace("1\r\n\r\nx", "12000\r\n\r\n") + &"x".repeat(12_000);
    let many = next.to_string() + &many;
    let cases = [
        (Server::Held, next),
        (Server::Deferred, next),
        (Server::Frames, "\0\r\n\r\n"),
        (Server::Frames, many.as_str()),
    ];
    for (server, second) in cases {
        let fixture = Fixture::new((Client::Synchronous, server), &[Behaviour::Serve], [0, 0]);
        fixture.set_both("draining");
        let mut client = fixture.start("check");
        until("the request is accepted", || fixture.counted("taken") == 1);
        client.write_all(second.as_bytes()).expect("written");
        std::thread::sleep(Duration::from_millis(100));
        fixture.leave(client);
        fixture.set_both("up");
        assert_eq!(fixture.call("check", 8000).status, 200, "{server:?}");
        std::thread::sleep(OBSERVATION_TIME);
        assert_eq!((fixture.fleet.sent().len(), fixture.counted("taken")), (1, 2), "{server:?}");
    }
}
