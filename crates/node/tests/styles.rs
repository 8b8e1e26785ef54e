//! The same scenarios in every style, from clients and toward workers: equal outcomes, equal sends.
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

/// A started daemon with two workers in racks of their own.
struct Fixture {
    client: Client,
    daemon: Daemon,
    fleet: Fleet,
    addresses: [String; 2],
    folder: Folder,
}

/// How a call ended: what a client is told of it.
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

    /// The same with limits of the test's own.
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
        let location = accepted.header("location").expect("where the answer will be").to_string();
        end(&ask(daemon, "GET", &location, &[("Prefer", "wait=30")], b""))
    }

    /// Starts a call and leaves its client there, who has been told no more than that it was accepted.
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

    /// The client leaves; a call that waits for nobody else is withdrawn.
    fn leave(&self, socket: TcpStream) {
        drop(socket);
        match self.client {
            Client::Synchronous => until("it is withdrawn", || self.counted("withdrawn") == 1),
            Client::Deferred => std::thread::sleep(Duration::from_millis(100)),
        }
    }

    /// How many of the calls whose clients have left go on.
    fn goes_on(&self) -> usize {
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

/// Plays a scenario in all styles and gives what all of them came to.
fn in_all_styles<T: PartialEq + std::fmt::Debug>(
    script: &[Behaviour],
    cells: [u32; 2],
    play: impl Fn(&Fixture) -> T,
) -> T {
    let mut ends = STYLES.iter().map(|style| (style, play(&Fixture::new(*style, script, cells))));
    let (_, first) = ends.next().expect("styles");
    for (style, end) in ends {
        assert_eq!(end, first, "{style:?} comes to something else than {:?}", STYLES[0]);
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

/// Guards memory and the class of a call against answers that are longer than the file allows: the call has run, so it
/// goes out again only where its class allows it.
#[test]
fn an_answer_longer_than_is_allowed_has_run_all_the_same() {
    for function in ["check", "once"] {
        let (end, sent) =
            in_all_styles(&[Behaviour::LongAnswer, Behaviour::Serve], [0, 1], one_call(function));
        let expected = if function == "check" { (200, 2) } else { (502, 1) };
        assert_eq!((end.status, sent.len()), expected, "{function}");
    }
}

#[test]
fn a_refusal_or_a_miss_proves_that_nothing_ran_so_any_class_goes_on() {
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

/// Guards the class of a call: what may have run goes out again only where the class allows it.
#[test]
fn a_late_reset_is_repeated_only_as_the_class_allows() {
    let (end, sent) = in_all_styles(&[Behaviour::Reset, Behaviour::Serve], [0, 1], one_call("check"));
    assert_eq!((end.status, sent.len()), (200, 2));
    let (end, sent) = in_all_styles(&[Behaviour::Reset, Behaviour::Serve], [0, 1], one_call("post"));
    assert!(sent.iter().all(|worker| *worker == sent[0]), "a repeat left its rack: {sent:?}");
    assert_eq!((end.status, sent.len()), (200, 2));
    let (end, sent) = in_all_styles(&[Behaviour::Reset, Behaviour::Serve], [0, 1], one_call("once"));
    assert_eq!((end.status, end.may_have_run.as_deref(), sent.len()), (502, Some("true"), 1));
}

/// Guards what is made of a spoilt answer: nothing of it is passed on, it never stands for proof that the
/// call did not run, and neither a length nor a half holds the call until its deadline.
#[test]
fn a_spoilt_answer_is_no_answer_and_the_call_may_have_run() {
    for act in [Behaviour::CorruptAnswer, Behaviour::TruncatedAnswer, Behaviour::OversizedAnswer] {
        let (end, sent) = in_all_styles(&[act, Behaviour::Serve], [0, 1], one_call("check"));
        assert_eq!((end.status, end.body.as_str(), sent.len()), (200, "done: input", 2), "{act:?}");
        let (end, sent) = in_all_styles(&[act, Behaviour::Serve], [0, 1], one_call("post"));
        assert!(sent.iter().all(|worker| *worker == sent[0]), "a repeat left its rack: {sent:?}");
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
fn an_early_reset_never_ran_so_even_unsafe_calls_go_on() {
    for function in ["check", "post", "once"] {
        let (end, sent) = in_all_styles(&[Behaviour::Serve], [0, 1], |fixture| {
            // Nobody listens on port 1: the connection is reset before a byte of the call is out.
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

/// Guards what a client is told: a call that is still out at its deadline may have run.
#[test]
fn silence_ends_at_the_deadline() {
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

/// Guards the hard case of the deferred style: nobody is there, and one final answer is still due.
#[test]
fn a_deferred_post_whose_client_vanishes_reaches_one_final_answer() {
    for server in [Server::Held, Server::Deferred, Server::Frames] {
        let fixture = Fixture::new((Client::Deferred, server), &[Behaviour::Hold], [0, 1]);
        let headers = [("Prefer", "respond-async"), ("Idempotency-Key", "gone")];
        let socket =
            start(fixture.daemon.address, "POST", "/v1/functions/post/invocations", &headers, b"input");
        until("the call is out", || fixture.fleet.sent().len() == 1);
        drop(socket);
        fixture.fleet.release();
        // The client's successor comes with the same key and finds the one answer.
        let end = fixture.call_with("post", 8000, "gone");
        assert_eq!((end.status, end.body.as_str()), (200, "done: input"), "{server:?}");
        assert_eq!((fixture.fleet.sent().len(), fixture.fleet.runs()), (1, 1), "{server:?}");
    }
}

#[test]
fn a_synchronous_call_whose_client_vanishes_is_called_off() {
    for server in [Server::Deferred, Server::Frames] {
        let fixture = Fixture::new((Client::Synchronous, server), &[Behaviour::NoAnswer], [0, 1]);
        let socket = start(fixture.daemon.address, "POST", "/v1/functions/check/invocations", &[], b"input");
        until("the call is out", || fixture.fleet.sent().len() == 1);
        drop(socket);
        until("it is called off", || fixture.fleet.cancelled() == 1);
    }
}

#[test]
fn a_deferred_call_can_be_withdrawn() {
    let fixture = Fixture::new((Client::Deferred, Server::Frames), &[Behaviour::NoAnswer], [0, 1]);
    let headers = [("Prefer", "respond-async"), ("Idempotency-Key", "k")];
    let accepted = ask(fixture.daemon.address, "POST", "/v1/functions/post/invocations", &headers, b"input");
    let location = accepted.header("location").expect("location").to_string();
    until("the call is out", || fixture.fleet.sent().len() == 1);
    assert_eq!(ask(fixture.daemon.address, "GET", &location, &[], b"").status, 202);
    assert_eq!(ask(fixture.daemon.address, "DELETE", &location, &[], b"").status, 204);
    assert_eq!(ask(fixture.daemon.address, "GET", &location, &[], b"").status, 410);
    assert_eq!(ask(fixture.daemon.address, "DELETE", &location, &[], b"").status, 204);
    until("it is called off", || fixture.fleet.cancelled() == 1);
}

/// Guards calls that meet a full account: they are turned away before anything is sent, in every style alike,
/// and leave nothing behind that would keep the next try with their key from being the first.
#[test]
fn where_there_is_no_room_nothing_is_sent_and_the_key_stays_free() {
    let (refused, served, sent) = in_all_styles(&[Behaviour::Hold], [0, 1], |fixture| {
        let path = fixture.folder.0.join("invoke.toml");
        let file = std::fs::read_to_string(&path).expect("written before");
        fixture.folder.write("invoke.toml", &format!("{file}[memory]\nshares = {{ calls = 0.6 }}\n"));
        fixture.daemon.signal("HUP");
        until("it is reloaded", || fixture.daemon.errors().contains("reloaded"));
        let path = "/v1/functions/check/invocations";
        let open: Vec<_> = (0..40).map(|_| start(fixture.daemon.address, "POST", path, &[], b"x")).collect();
        let status = || ask(fixture.daemon.address, "GET", "/v1/status", &[], b"").json();
        until("calls are turned away", || status()["counters"]["turned_away"].as_u64() > Some(0));
        let refused = fixture.call_with("post", 8000, "late");
        let sent_late =
            || fixture.fleet.sent().iter().filter(|sent| sent.key.as_deref() == Some("late")).count();
        assert_eq!(sent_late(), 0);
        fixture.fleet.release();
        until("all has ended", || status()["owed"] == 0);
        drop(open);
        let served = fixture.call_with("post", 8000, "late");
        (refused, served, sent_late())
    });
    assert_eq!((refused.status, refused.may_have_run.as_deref()), (503, Some("false")));
    assert_eq!((served.status, served.body.as_str(), sent), (200, "done: input", 1));
}

/// Guards the boundaries of an answer: wherever it breaks off, the call may have run.
#[test]
fn an_answer_that_breaks_off_is_no_proof_that_nothing_ran() {
    for within in AnswerOffset::ALL {
        let act = Behaviour::DisconnectAt(within);
        let (end, sent) = in_all_styles(&[act, Behaviour::Serve], [0, 1], one_call("check"));
        assert_eq!((end.status, end.body.as_str(), sent.len()), (200, "done: input", 2), "{within:?}");
        let (end, sent) = in_all_styles(&[act, Behaviour::Serve], [0, 1], one_call("once"));
        let told = (end.status, end.may_have_run.as_deref(), sent.len());
        assert_eq!(told, (502, Some("true"), 1), "{within:?}");
    }
}

#[test]
fn an_answer_that_comes_a_byte_at_a_time_is_served() {
    let (end, sent) = in_all_styles(&[Behaviour::ServeBytewise], [0, 1], one_call("once"));
    assert_eq!((end.status, end.body.as_str(), sent.len()), (200, "done: input", 1));
}

/// Guards a key whose call may have run and was then refused by all: where any worker drops repeats the decisions refuse
/// it, since another try is harmless; but only until the workers have forgotten the key, and the client may come later.
/// Its key used to be free at once.
#[test]
fn a_key_that_may_have_run_stays_taken_however_its_call_ended() {
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

/// Guards the window of a key at the front: within it the repeat is answered, behind it it is a call of its own.
#[test]
fn a_key_comes_again_just_before_and_just_after_its_window() {
    let (before, after, sends) = in_all_styles(&[Behaviour::Serve], [0, 0], |fixture| {
        let path = fixture.folder.0.join("invoke.toml");
        let file = std::fs::read_to_string(&path).expect("written before").replace("data\"", "other\"");
        let file = file.replace("dedup_window_ms = 20000", "dedup_window_ms = 1500");
        let daemon = Daemon::serve(&fixture.folder.write("short.toml", &file));
        let call = || fixture.call_at(daemon.address, "post", 1000, "key-1");
        let first = call();
        let sent = Instant::now();
        assert_eq!(first.status, 200);
        // A call's time and its window after it was taken the key is free again.
        std::thread::sleep(Duration::from_millis(1800).saturating_sub(sent.elapsed()));
        let before = (call(), fixture.fleet.sent().len());
        std::thread::sleep(Duration::from_millis(2600).saturating_sub(sent.elapsed()));
        let after = (call(), fixture.fleet.sent().len());
        (before.0 == first, after.0 == first, [before.1, after.1])
    });
    assert!(before && after);
    assert_eq!(sends, [1, 2]);
}

/// For what must not happen: long enough for it to have happened.
const LONG_ENOUGH: Duration = Duration::from_millis(500);

/// Guards what a client that has left still costs: nothing is sent on for it; a deferred call goes on without it.
#[test]
fn who_left_while_no_worker_took_work_is_not_sent_on() {
    for style in STYLES {
        let fixture = Fixture::new(style, &[Behaviour::Serve], [0, 0]);
        fixture.set_both("draining");
        let client = fixture.start("check");
        until("it is taken", || fixture.counted("taken") == 1);
        fixture.leave(client);
        fixture.set_both("up");
        assert_eq!(fixture.call("check", 8000).status, 200, "{style:?}");
        std::thread::sleep(LONG_ENOUGH);
        assert_eq!(fixture.fleet.sent().len(), 1 + fixture.goes_on(), "{style:?}");
    }
}

#[test]
fn who_left_while_a_connection_came_up_is_not_sent_on() {
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
        until("it waits for its connection", || fixture.counted("sent") == 1);
        fixture.leave(client);
        late.accept(TEST_TIMEOUT).expect("what filled the queue");
        let came = late.accept(TEST_TIMEOUT).map(|mut connection| {
            connection.set_read_timeout(Some(LONG_ENOUGH)).expect("set");
            connection.read(&mut [0; 64]).unwrap_or(0)
        });
        assert_eq!(came.unwrap_or(0) > 0, fixture.goes_on() > 0, "{style:?}");
    }
}

/// The first attempt breaks while no worker takes work, so that the second has to wait for one.
#[test]
fn who_left_before_the_second_attempt_is_not_sent_on() {
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
        until("it broke", || fixture.counted("lost_reset") == 1);
        fixture.leave(client);
        fixture.set_worker("w2", &fixture.addresses[1], "up");
        assert_eq!(fixture.call("check", 8000).status, 200, "{style:?}");
        std::thread::sleep(LONG_ENOUGH);
        assert_eq!(fixture.fleet.sent().len(), 1 + fixture.goes_on(), "{style:?}");
    }
}

/// Guards a client that sends its next request before it has the answer to the first, and then leaves: with the next
/// one read, nobody saw it leave, and the first went on and was sent out.
#[test]
fn who_left_behind_a_second_request_is_not_sent_on() {
    let next = "POST /v1/functions/check/invocations HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n\r\nx";
    // More than is read ahead.
    let many = next.replace("1\r\n\r\nx", "12000\r\n\r\n") + &"x".repeat(12_000);
    let many = next.to_string() + &many;
    let ways = [
        (Server::Held, next),
        (Server::Deferred, next),
        (Server::Frames, "\0\r\n\r\n"),
        (Server::Frames, many.as_str()),
    ];
    for (server, second) in ways {
        let fixture = Fixture::new((Client::Synchronous, server), &[Behaviour::Serve], [0, 0]);
        fixture.set_both("draining");
        let mut client = fixture.start("check");
        until("it is taken", || fixture.counted("taken") == 1);
        client.write_all(second.as_bytes()).expect("written");
        std::thread::sleep(Duration::from_millis(100));
        fixture.leave(client);
        fixture.set_both("up");
        assert_eq!(fixture.call("check", 8000).status, 200, "{server:?}");
        std::thread::sleep(LONG_ENOUGH);
        assert_eq!((fixture.fleet.sent().len(), fixture.counted("taken")), (1, 2), "{server:?}");
    }
}
