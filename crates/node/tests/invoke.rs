//! The HTTP front: malformed requests, connections, restarts, replication, and the command line.
mod support;

use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::process::Command;
use std::time::Duration;
use support::workers::{Behaviour, Fleet};
use support::{ask, free_address, receive, start, until, Daemon, Folder, CLASSES};

const CHECK: &str = "/v1/functions/check/invocations";
const POST: &str = "/v1/functions/post/invocations";

fn deploy(node: &str, worker: Option<std::net::SocketAddr>, more: &str) -> String {
    let worker = worker.map(|address| format!("[[worker]]\nname = \"w1\"\naddress = \"{address}\"\n"));
    format!(
        "node = \"{node}\"\nlisten = \"127.0.0.1:0\"\ndata_dir = \"data-{node}\"\n{more}\n{CLASSES}{}",
        worker.unwrap_or_default()
    )
}

#[test]
fn errors_are_problems_that_say_whether_the_call_may_have_run() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let daemon = Daemon::serve(&folder.write("d.toml", &deploy("n", Some(fleet.http("w1")), "")));
    let at = daemon.address;
    let key = ("Idempotency-Key", "k");
    for (method, path, headers, body, status) in [
        ("POST", "/v1/functions/none/invocations", vec![], vec![], 404),
        ("POST", "/elsewhere", vec![], vec![], 404),
        ("PATCH", CHECK, vec![], vec![], 405),
        ("POST", POST, vec![], vec![], 400),
        ("POST", POST, vec![("Idempotency-Key", "a,b")], vec![], 400),
        ("POST", POST, vec![key, ("Corkbay-Deadline-Ms", "soon")], vec![], 400),
        ("POST", POST, vec![key, ("Corkbay-Deadline-Ms", "0")], vec![], 400),
        ("POST", POST, vec![key], vec![7; (16 << 10) + 1], 413),
        ("PUT", "/v1/functions/f", vec![], b"{\"class\":\"none\"}".to_vec(), 400),
        ("PUT", "/v1/workers/w", vec![], b"{\"address\":\"x\"}".to_vec(), 400),
    ] {
        let response = ask(at, method, path, &headers, &body);
        assert_eq!(response.status, status, "{method} {path}");
        assert_eq!(response.header("content-type"), Some("application/problem+json"));
        let problem = response.json();
        assert_eq!((&problem["status"], &problem["may_have_run"]), (&json!(status), &json!(false)));
    }
    assert_eq!(ask(at, "GET", "/v1/invocations/0123456789abcdef", &[], b"").status, 404);
    assert_eq!(ask(at, "POST", POST, &[key], &[7; 16 << 10]).status, 200);
    assert_eq!(ask(at, "POST", POST, &[key], b"other").status, 422, "a key belongs to one body");
    assert_eq!(fleet.sent().len(), 1);
}

#[test]
fn no_worker_means_refused_with_advice() {
    let folder = Folder::new();
    let daemon = Daemon::serve(&folder.write("d.toml", &deploy("n", None, "")));
    let response = ask(daemon.address, "POST", CHECK, &[("Corkbay-Deadline-Ms", "300")], b"");
    assert_eq!((response.status, response.header("corkbay-may-have-run")), (503, Some("false")));
    assert_eq!(response.header("retry-after"), Some("1"));
}

#[test]
fn a_connection_carries_one_request_after_the_other_in_order() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let daemon = Daemon::serve(&folder.write("d.toml", &deploy("n", Some(fleet.http("w1")), "")));
    let mut socket = start(daemon.address, "POST", CHECK, &[], b"one");
    // The second request is pipelined before the first answer, and chunked.
    let chunked =
        format!("POST {CHECK} HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ntw\r\n1\r\no\r\n0\r\n\r\n");
    socket.write_all(chunked.as_bytes()).expect("written");
    socket.write_all(b"GET /v1/functions HTTP/1.1\r\nConnection: close\r\n\r\n").expect("written");
    let mut reader = BufReader::new(socket);
    assert_eq!(receive(&mut reader).body, b"done: one");
    assert_eq!(receive(&mut reader).body, b"done: two");
    assert_eq!(receive(&mut reader).json()["post"]["class"], "post");
}

/// A request that is still being sent gets its answer: closing the connection too early would reset it, and the client
/// could not read the answer.
#[test]
fn a_body_far_over_the_limit_is_answered() {
    let folder = Folder::new();
    let daemon = Daemon::serve(&folder.write("d.toml", &deploy("n", None, "")));
    let key = ("Idempotency-Key", "k");
    for _ in 0..10 {
        assert_eq!(ask(daemon.address, "POST", POST, &[key], &vec![7; 1 << 20]).status, 413);
    }
}

/// Work for a client that left is cancelled, also if the client had asked for the connection to be closed.
#[test]
fn a_client_that_leaves_before_a_last_answer_withdraws_its_call() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::NoAnswer]), Folder::new());
    let transport = "[transport]\nprotocol = \"frames\"";
    let daemon = Daemon::serve(&folder.write("d.toml", &deploy("n", Some(fleet.frames("w1")), transport)));
    let socket = start(daemon.address, "POST", CHECK, &[("Connection", "close")], b"x");
    until("the request is in flight", || fleet.sent().len() == 1);
    drop(socket);
    until("the work is cancelled", || fleet.cancelled() == 1);
}

/// The daemon used to wait forever for the rest of an incomplete request on a connection that had had an answer.
#[test]
fn an_incomplete_request_after_an_answer_times_out() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let daemon = Daemon::serve(&folder.write("d.toml", &deploy("n", Some(fleet.http("w1")), "")));
    let mut reader = BufReader::new(start(daemon.address, "POST", CHECK, &[], b"one"));
    assert_eq!(receive(&mut reader).status, 200);
    reader.get_mut().write_all(b"POST /v1/functions/check/invo").expect("written");
    // Its timeout is 10 s; a read that is not ended by it takes longer and fails.
    assert_eq!(reader.fill_buf().map(<[u8]>::len).expect("an end"), 0);
}

/// A client that keeps sending single bytes after its last answer must not occupy a connection slot.
#[test]
fn a_client_that_keeps_sending_after_its_last_answer_is_closed() {
    let folder = Folder::new();
    let daemon = Daemon::serve(&folder.write("d.toml", &deploy("n", None, "")));
    let mut socket = start(daemon.address, "GET", "/v1/workers", &[("Connection", "close")], b"");
    assert_eq!(receive(&mut BufReader::new(socket.try_clone().expect("cloned"))).status, 200);
    let ended = (0..200).any(|_| {
        std::thread::sleep(Duration::from_millis(100));
        socket.write_all(b"x").is_err()
    });
    assert!(ended, "still open after 20 s");
}

/// The last answer reaches a client that is still sending: closing at once would reset the connection.
#[test]
fn data_that_arrives_after_the_last_answer_does_not_reset_it() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Hold]), Folder::new());
    let daemon = Daemon::serve(&folder.write("d.toml", &deploy("n", Some(fleet.http("w1")), "")));
    let mut socket = start(daemon.address, "POST", CHECK, &[("Connection", "close")], b"x");
    until("the request is in flight", || fleet.sent().len() == 1);
    fleet.release();
    let status = || ask(daemon.address, "GET", "/v1/status", &[], b"").json();
    until("it is answered", || status()["counters"]["served"] == 1);
    for _ in 0..3 {
        std::thread::sleep(Duration::from_millis(50));
        socket.write_all(b"x").expect("not reset");
    }
    let mut answer = String::new();
    socket.read_to_string(&mut answer).expect("not reset");
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("done: x"), "{answer}");
}

/// A call that arrives on a connection that is being closed to make room is answered, and not mistaken for one whose client
/// has left. All connections are in use, this one is idle for the longest time, and the new connection is in the accept
/// queue before the call is written.
#[test]
fn a_call_that_arrives_before_its_connection_is_closed_to_make_room_is_answered() {
    let call = |more: &str, body: &str| {
        format!("POST {CHECK} HTTP/1.1\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    let crossing =
        [call("", "two"), call("Connection: close\r\n", "two"), call("", "two") + &call("", "three")];
    for crossing in crossing {
        let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
        let file = format!("sockets = 64\n{}", deploy("n", Some(fleet.http("w1")), ""));
        let daemon = Daemon::serve(&folder.write("d.toml", &file));
        let mut socket = start(daemon.address, "POST", CHECK, &[], b"one");
        let mut reader = BufReader::new(socket.try_clone().expect("cloned"));
        assert_eq!(receive(&mut reader).body, b"done: one");
        // There is room for twelve connections.
        let mut later: Vec<_> =
            (0..11).map(|_| BufReader::new(start(daemon.address, "GET", "/v1/workers", &[], b""))).collect();
        later.iter_mut().for_each(|later| assert_eq!(receive(later).status, 200));
        daemon.signal("STOP");
        let new_connection = start(daemon.address, "POST", CHECK, &[], b"newcomer");
        socket.write_all(crossing.as_bytes()).expect("written");
        daemon.signal("CONT");
        assert_eq!(receive(&mut reader).body, b"done: two", "{crossing}");
        if crossing.contains("three") {
            assert_eq!(receive(&mut reader).body, b"done: three");
        }
        assert_eq!(receive(&mut BufReader::new(new_connection)).body, b"done: newcomer");
        assert!(reader.fill_buf().is_ok_and(<[u8]>::is_empty), "closed to make room");
    }
}

#[test]
fn a_repeated_key_of_an_open_call_is_a_conflict() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Hold]), Folder::new());
    let daemon = Daemon::serve(&folder.write("d.toml", &deploy("n", Some(fleet.http("w1")), "")));
    let key = ("Idempotency-Key", "k");
    let first = start(daemon.address, "POST", POST, &[key], b"x");
    until("the request is in flight", || fleet.sent().len() == 1);
    assert_eq!(ask(daemon.address, "POST", POST, &[key], b"x").status, 409);
    fleet.release();
    assert_eq!(receive(&mut BufReader::new(first)).body, b"done: x");
}

/// A call that was accepted but not finished before a crash may have run: it fails and is not sent again, not even if its
/// key is repeated. Final answers are kept.
#[test]
fn after_a_kill_open_calls_fail_and_final_answers_are_kept() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve, Behaviour::NoAnswer]), Folder::new());
    let path = folder.write("d.toml", &deploy("n", Some(fleet.http("w1")), ""));
    let mut daemon = Daemon::serve(&path);
    let deferred = |key| [("Idempotency-Key", key), ("Prefer", "respond-async")];
    let accept = |daemon: &Daemon, key| {
        let accepted = ask(daemon.address, "POST", POST, &deferred(key), b"x");
        assert_eq!(accepted.status, 202);
        accepted.header("location").expect("location").to_string()
    };
    let done = accept(&daemon, "done");
    assert_eq!(ask(daemon.address, "GET", &done, &[("Prefer", "wait=20")], b"").status, 200);
    let open = accept(&daemon, "open");
    until("the request is in flight", || fleet.sent().len() == 2);
    daemon.child.kill().expect("killed");
    daemon.child.wait().expect("ended");
    let daemon = Daemon::serve(&path);
    assert_eq!(ask(daemon.address, "GET", &done, &[], b"").body, b"done: x");
    let failed = ask(daemon.address, "GET", &open, &[], b"");
    assert_eq!((failed.status, failed.header("corkbay-may-have-run")), (502, Some("true")));
    assert_eq!(accept(&daemon, "open"), open);
    assert_eq!(fleet.sent().len(), 2);
}

#[test]
fn replicas_share_configuration_and_answers_but_only_the_accepting_node_withdraws() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Hold]), Folder::new());
    let peers = [free_address(), free_address()];
    let replication = |own: usize| {
        format!(
            "[replication]\nlisten = \"{}\"\npeers = [\"{}\"]\ninterval_ms = 100\n",
            peers[own],
            peers[1 - own]
        )
    };
    let one = folder.write("one.toml", &deploy("one", Some(fleet.http("w1")), &replication(0)));
    // The file of the other node has no worker; it gets the worker by replication.
    let two = folder.write("two.toml", &deploy("two", None, &replication(1)));
    let (one, two) = (Daemon::serve(&one), Daemon::serve(&two));
    until("the worker is known there", || {
        ask(two.address, "GET", "/v1/workers", &[], b"").json()["w1"].is_object()
    });
    let headers = [("Idempotency-Key", "k"), ("Prefer", "respond-async")];
    let accepted = ask(one.address, "POST", POST, &headers, b"x");
    let location = accepted.header("location").expect("location").to_string();
    until("the call is known there", || ask(two.address, "GET", &location, &[], b"").status == 202);
    assert_eq!(ask(two.address, "DELETE", &location, &[], b"").status, 409);
    until("the request is in flight", || fleet.sent().len() == 1);
    fleet.release();
    let answer = ask(two.address, "GET", &location, &[("Prefer", "wait=20")], b"");
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"done: x".as_slice()));
    assert_eq!(ask(two.address, "POST", CHECK, &[], b"y").body, b"done: y", "the worker serves both");
    let function = json!({"class": "check"}).to_string();
    assert_eq!(ask(two.address, "PUT", "/v1/functions/fresh", &[], function.as_bytes()).status, 204);
    until("the function is known at the first", || {
        ask(one.address, "GET", "/v1/functions", &[], b"").json()["fresh"].is_object()
    });
}

#[test]
fn sigterm_completes_deferred_calls() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Hold]), Folder::new());
    let path = folder.write("d.toml", &deploy("n", Some(fleet.http("w1")), ""));
    let mut daemon = Daemon::serve(&path);
    let headers = [("Idempotency-Key", "k"), ("Prefer", "respond-async")];
    let accepted = ask(daemon.address, "POST", POST, &headers, b"x");
    let location = accepted.header("location").expect("location").to_string();
    until("the request is in flight", || fleet.sent().len() == 1);
    daemon.signal("TERM");
    fleet.release();
    assert_eq!(daemon.exit_code(), Some(0));
    assert!(daemon.errors().contains("taken=1 sent=1"), "{}", daemon.errors());
    assert!(daemon.errors().contains("served=1"), "{}", daemon.errors());
    let daemon = Daemon::serve(&path);
    assert_eq!(ask(daemon.address, "GET", &location, &[], b"").body, b"done: x");
}

/// The daemon recovers after many connections have exhausted its file descriptors.
#[test]
fn accepting_survives_the_lack_of_descriptors() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let path = folder.write("d.toml", &deploy("n", Some(fleet.http("w1")), ""));
    let daemon = Daemon::serve_with_descriptor_limit(&path, 40);
    let crowd: Vec<_> = (0..60).filter_map(|_| std::net::TcpStream::connect(daemon.address).ok()).collect();
    until("descriptors run out", || daemon.errors().contains("accept error="));
    drop(crowd);
    assert_eq!(ask(daemon.address, "POST", CHECK, &[], b"x").body, b"done: x");
}

/// The drain on SIGTERM must not be shorter than the deadline of an open call.
#[test]
fn sigterm_waits_for_the_longest_deadline() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::NoAnswer]), Folder::new());
    let path = folder.write("d.toml", &deploy("n", Some(fleet.http("w1")), ""));
    let mut daemon = Daemon::serve(&path);
    let key = ("Idempotency-Key", "k");
    let call = start(daemon.address, "POST", POST, &[key, ("Corkbay-Deadline-Ms", "7000")], b"x");
    until("the request is in flight", || fleet.sent().len() == 1);
    daemon.signal("TERM");
    assert_eq!(receive(&mut BufReader::new(call)).status, 504);
    assert_eq!(daemon.exit_code(), Some(0));
}

#[test]
fn counters_are_printed_on_request() {
    let folder = Folder::new();
    let daemon = Daemon::serve(&folder.write("d.toml", &deploy("n", None, "")));
    daemon.signal("USR1");
    until("they are printed", || daemon.errors().contains("counters taken=0 sent=0"));
}

fn corkbay(arguments: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_corkbay"))
        .args(arguments)
        .env_remove("PROXY_CONFIG")
        .output()
        .expect("runs")
}

#[test]
fn a_bad_deploy_file_is_named_by_its_key() {
    let folder = Folder::new();
    let path = folder.write("d.toml", &deploy("n", None, "sockets = \"many\""));
    let output = corkbay(&["serve", path.to_str().expect("text")]);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(errors.contains("sockets:") && errors.lines().count() == 1, "{errors}");
}

/// A failed import leaves the output file unchanged, and the daemon can load an imported file.
#[test]
fn imported_workers_are_served_and_a_failed_import_changes_nothing() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let address = fleet.http("w1");
    let source = format!(
        "<Proxy balancer://fleet>\n  BalancerMember http://{address} route=w1 loadfactor=2\n  ProxySet lbmethod=byrequests\n</Proxy>\n"
    );
    let (good, bad) =
        (folder.write("good.conf", &source), folder.write("bad.conf", "<Proxy balancer://x>\n"));
    let output = folder.0.join("workers.toml");
    let (good, bad, output) =
        (good.to_str().expect("text"), bad.to_str().expect("text"), output.to_str().expect("text"));
    let end = corkbay(&["import", good, "--output", output]);
    let remarks = String::from_utf8_lossy(&end.stderr).into_owned();
    assert_eq!(end.status.code(), Some(0), "{remarks}");
    assert!(remarks.contains("line 3: ProxySet is not supported"), "{remarks}");
    let written = std::fs::read_to_string(output).expect("written");
    let end = corkbay(&["import", bad, "--output", output]);
    assert_eq!(end.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&end.stderr).contains("line 1: <Proxy> is not closed"));
    assert_eq!(std::fs::read_to_string(output).expect("still there"), written);
    let path = folder.write("d.toml", &deploy("n", None, "workers_file = \"workers.toml\""));
    let daemon = Daemon::serve(&path);
    assert_eq!(ask(daemon.address, "POST", CHECK, &[], b"x").body, b"done: x");
}

#[test]
fn the_deploy_file_of_the_repository_is_good() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/invoke.toml");
    corkbay_node::lifecycle::deploy::Deploy::load(std::path::Path::new(path)).expect("loads");
}

/// SIGHUP loads functions and workers from the deploy file of the HTTP front, and an invalid file changes nothing.
#[test]
fn sighup_loads_functions_and_workers() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let path = folder.write("d.toml", &deploy("n", None, ""));
    let daemon = Daemon::serve(&path);
    folder.write("d.toml", "node = 3");
    daemon.signal("HUP");
    until("the new file is reported", || daemon.errors().contains("the old configuration is kept"));
    let more = "[[function]]\nname = \"late\"\nclass = \"check\"\n";
    let text =
        deploy("n", Some(fleet.http("w1")), "").replacen("[[worker]]", &format!("{more}[[worker]]"), 1);
    folder.write("d.toml", &text);
    daemon.signal("HUP");
    until("the file is loaded", || daemon.errors().contains("reloaded"));
    assert_eq!(ask(daemon.address, "POST", "/v1/functions/late/invocations", &[], b"x").status, 200);
}
