//! The operators' API of a running daemon: suspending hosts, draining and activating the invoker, and answers under a flood.
mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::platform::{dispatch, fields, message, nodes, Client, Fixture, Reply};
use support::workers::Behaviour;
use support::{ask, until, Folder};

fn call(fixture: &Fixture, method: &str, path: &str) -> u16 {
    ask(fixture.admin, method, path, &[], b"").status
}

fn put(fixture: &Fixture, path: &str) -> u16 {
    call(fixture, "PUT", path)
}

/// Sends one request on a new connection and returns its answer.
fn request_once(fixture: &Fixture, number: u32) -> Option<(i32, Reply)> {
    let mut client = fixture.client();
    client.send(&dispatch(1, &fields("check", &format!("{number:016x}"), "4000"), b"x"));
    client.receive()
}

/// Whether the Thrift front answers `alive` with ready.
fn alive(client: &mut Client, seqid: i32) -> Option<bool> {
    client.send(&message(1, "alive", seqid, &[2, 0, 1, 1, 0]));
    client.receive().map(|reply| match reply {
        (answered, Reply::Answer(_)) if answered == seqid => client.good,
        other => panic!("{other:?}"),
    })
}

#[test]
fn operators_calls_get_the_matching_http_status() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    // It listens shortly before it serves, and answers 503 until then.
    let mut early = 0;
    until("it is ready", || match call(&fixture, "GET", "/v1/readyz") {
        503 => {
            early += 1;
            false
        }
        status => status == 200,
    });
    assert_eq!(put(&fixture, "/v1/hosts/h7/suspend"), 404, "it was never listed");
    assert_eq!(put(&fixture, "/v1/hosts/h7/resume"), 404);
    assert_eq!(call(&fixture, "GET", "/v1/nonesuch"), 404);
    let wrong = ask(fixture.admin, "POST", "/v1/invoker/drain", &[], b"");
    assert_eq!((wrong.status, wrong.header("allow")), (405, Some("PUT")));
    let mut malformed = TcpStream::connect(fixture.admin).expect("connects");
    malformed.write_all(b"\x00\x01\x02 nonsense\r\n\r\n").expect("written");
    let mut answer = String::new();
    malformed.read_to_string(&mut answer).expect("answered");
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    for _ in 0..2 {
        assert_eq!(put(&fixture, "/v1/hosts/h0/suspend"), 200);
    }
    assert_eq!(put(&fixture, "/v1/hosts/h0/resume"), 200);
    assert_eq!(put(&fixture, "/v1/hosts/h0/resume"), 200, "repeated calls succeed");
    fixture.daemon.signal("USR1");
    let counted = format!("operators_yes=5 operators_no={}", 5 + early);
    until("calls are counted", || fixture.daemon.errors().contains(&counted));
    until("calls are counted by kind", || {
        let log = fixture.daemon.errors();
        log.contains(
            "operators_suspend_yes=2 operators_suspend_no=1 operators_resume_yes=2 operators_resume_no=1",
        )
    });
    assert_eq!(put(&fixture, "/v1/hosts/h0/suspend"), 200);
    fixture.daemon.signal("USR1");
    until("the suspended host is counted", || fixture.daemon.errors().contains("suspended=1"));
}

/// A suspended host is sent nothing once the call has succeeded, whatever the command channel reports. A single resume lets
/// it serve again, in the state that the channel has reported by then.
#[test]
fn a_suspended_host_gets_nothing_whatever_the_channel_reports() {
    let fixture = Fixture::new(&[Behaviour::Serve], 2);
    assert!(matches!(request_once(&fixture, 1), Some((1, Reply::Answer(_)))));
    let used = fixture.fleet.sent()[0].worker.clone();
    let other = if used == "h0" { "h1" } else { "h0" };
    let address = fixture.hosts[if used == "h0" { 0 } else { 1 }];
    assert_eq!(put(&fixture, &format!("/v1/hosts/{used}/suspend")), 200);
    assert_eq!(put(&fixture, &format!("/v1/hosts/{used}/suspend")), 200);
    fixture.channel.tell(2, &used, address, "removed");
    fixture.channel.tell(3, &used, address, "up");
    let whole = nodes(4, true, &[("h0", fixture.hosts[0], "up"), ("h1", fixture.hosts[1], "up")]);
    fixture.channel.events.send(format!("id: 4\ndata: {whole}\n\n")).expect("channel");
    fixture.daemon.signal("HUP");
    until("the configuration is reloaded", || fixture.daemon.errors().contains("reloaded"));
    std::thread::sleep(Duration::from_millis(200));
    let before = fixture.fleet.sent().len();
    for number in 2..8 {
        assert!(matches!(request_once(&fixture, number), Some((1, Reply::Answer(_)))));
    }
    assert!(
        fixture.fleet.sent()[before..].iter().all(|sent| sent.worker == other),
        "{:?}",
        fixture.fleet.sent()
    );
    // The channel reports the other host as draining, so that only the resumed one is left.
    let (at, cursor) = (fixture.hosts[if other == "h0" { 0 } else { 1 }], 5);
    assert_eq!(put(&fixture, &format!("/v1/hosts/{used}/resume")), 200);
    fixture.channel.tell(cursor, other, at, "draining");
    std::thread::sleep(Duration::from_millis(300));
    let before = fixture.fleet.sent().len();
    assert!(matches!(request_once(&fixture, 9), Some((1, Reply::Answer(_)))));
    assert!(fixture.fleet.sent()[before..].iter().all(|sent| sent.worker == used), "one resume ends it");
    // A drain reported by the channel still applies after a resume.
    assert_eq!(put(&fixture, &format!("/v1/hosts/{other}/suspend")), 200);
    assert_eq!(put(&fixture, &format!("/v1/hosts/{other}/resume")), 200);
    let before = fixture.fleet.sent().len();
    for number in 10..14 {
        assert!(matches!(request_once(&fixture, number), Some((1, Reply::Answer(_)))));
    }
    assert!(
        fixture.fleet.sent()[before..].iter().all(|sent| sent.worker == used),
        "{:?}",
        fixture.fleet.sent()
    );
}

/// Once drained, `alive` answers not ready at once, requests that still arrive are served, and then idle connections are
/// closed. After activation clients are accepted again.
#[test]
fn a_drained_invoker_is_not_ready_serves_late_requests_and_closes_idle_connections() {
    let fixture = Fixture::new(&[Behaviour::Serve], 2);
    let (mut idle, mut front) = (fixture.client(), fixture.client());
    idle.send(&dispatch(1, &fields("check", "00000000000000a2", "4000"), b"y"));
    assert!(matches!(idle.receive(), Some((1, Reply::Answer(_)))));
    assert_eq!(alive(&mut front, 1), Some(true));
    assert_eq!(put(&fixture, "/v1/invoker/drain"), 200);
    assert_eq!(alive(&mut front, 2), Some(false));
    assert_eq!(call(&fixture, "GET", "/v1/readyz"), 200, "the process itself could serve");
    // Requests that still arrive are served, on an open connection and on a new one.
    idle.send(&dispatch(2, &fields("check", "00000000000000a3", "4000"), b"z"));
    assert!(matches!(idle.receive(), Some((2, Reply::Answer(_)))));
    assert!(matches!(request_once(&fixture, 0xa4), Some((1, Reply::Answer(_)))));
    assert_eq!(put(&fixture, "/v1/invoker/drain"), 200, "a repeated drain succeeds");
    assert_eq!(idle.receive(), None, "idle connections are closed");
    assert_eq!(front.receive(), None);
    assert_eq!(alive(&mut fixture.client(), 1), Some(false), "`alive` is still answered");
    assert_eq!(put(&fixture, "/v1/invoker/activate"), 200);
    assert_eq!(put(&fixture, "/v1/invoker/activate"), 200);
    assert_eq!(alive(&mut fixture.client(), 1), Some(true));
    assert!(matches!(request_once(&fixture, 0xa6), Some((1, Reply::Answer(_)))));
}

/// During a drain a client that keeps sending requests on a connection with an open request is refused; within 4 s the open
/// request is answered and the connection closed.
#[test]
fn a_client_that_keeps_sending_to_a_drained_invoker_is_answered_and_closed() {
    let fixture = Fixture::new(&[Behaviour::NoAnswer], 1);
    let mut client = fixture.client();
    let old = fixture.send_until_dispatched(&mut client, 0xc1, "8000");
    let start = Instant::now();
    assert_eq!(put(&fixture, "/v1/invoker/drain"), 200);
    std::thread::sleep(Duration::from_millis(2500));
    client.send(&dispatch(9, &fields("check", "00000000000000c2", "4000"), b"x"));
    assert!(
        matches!(client.receive(), Some((9, Reply::Rejected(fields))) if fields.contains_key("cooldown"))
    );
    assert_eq!(client.receive(), Some((old, Reply::Crashed)), "answered");
    assert_eq!(client.receive(), None);
    assert!(start.elapsed() >= Duration::from_millis(3500), "too early: {:?}", start.elapsed());
}

/// A drain waits for the open request of a connection that sends no further requests.
#[test]
fn an_open_request_outlasts_the_drain() {
    let fixture = Fixture::new(&[Behaviour::Hold], 1);
    let mut client = fixture.client();
    let old = fixture.send_until_dispatched(&mut client, 0xb1, "8000");
    assert_eq!(put(&fixture, "/v1/invoker/drain"), 200);
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(put(&fixture, "/v1/invoker/activate"), 200, "during the drain");
    assert_eq!(alive(&mut fixture.client(), 1), Some(true));
    assert_eq!(put(&fixture, "/v1/invoker/drain"), 200);
    std::thread::sleep(Duration::from_millis(1000));
    fixture.fleet.release();
    assert!(matches!(client.receive(), Some((seqid, Reply::Answer(_))) if seqid == old));
    assert_eq!(client.receive(), None, "and then the connection is closed");
}

/// Neither a flood of clients nor operators' connections with incomplete requests delay the next operators' call.
#[test]
fn operators_are_answered_while_clients_flood_and_callers_stall() {
    let fixture = Fixture::with_limits(&[Behaviour::NoAnswer], 1, 256, 32);
    let mut stalled: Vec<TcpStream> = Vec::new();
    for number in 0..40 {
        let mut caller = TcpStream::connect(fixture.admin)
            .unwrap_or_else(|error| panic!("caller {number}: {error}; log:\n{}", fixture.daemon.errors()));
        if number % 2 == 0 {
            caller.write_all(b"PUT /v1/invoker/dra").expect("written");
        }
        stalled.push(caller);
    }
    let address = fixture.daemon.address;
    let flood: Vec<_> = (0..4u64)
        .map(|thread| {
            std::thread::spawn(move || {
                let mut clients: Vec<TcpStream> =
                    (0..40).filter_map(|_| TcpStream::connect(address).ok()).collect();
                // Clients that are not accepted or no longer read are skipped.
                let write_timeout = Some(Duration::from_millis(10));
                clients.iter().for_each(|client| client.set_write_timeout(write_timeout).expect("set"));
                let end = Instant::now() + Duration::from_secs(2);
                let mut number = thread << 32;
                while Instant::now() < end {
                    for client in &mut clients {
                        number += 1;
                        let id = format!("{number:016x}");
                        let _ = client.write_all(&dispatch(
                            number as i32,
                            &fields("check", &id, "4000"),
                            &[7; 2000],
                        ));
                    }
                }
            })
        })
        .collect();
    let mut slowest = Duration::ZERO;
    while flood.iter().any(|thread| !thread.is_finished()) {
        let start = Instant::now();
        assert_eq!(call(&fixture, "GET", "/v1/readyz"), 200);
        slowest = slowest.max(start.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    println!("slowest answer under the flood: {slowest:?}");
    drop(stalled);
}

#[test]
fn an_invalid_operators_address_is_reported_in_one_line() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let folder = Folder::new();
    for bad in [serde_json::json!("nowhere"), serde_json::json!(7), serde_json::json!({})] {
        let mut config = fixture.config.clone();
        config["admin"] = bad;
        let path = folder.write("config.json", &config.to_string());
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_corkbay"));
        let output = command.env("PROXY_CONFIG", path).output().expect("runs");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{errors}");
        assert!(errors.contains("admin:") && errors.lines().count() == 1, "{errors}");
    }
}
