//! Requests whose id comes again after their client closed its connection, and clients that close with much unread.
mod support;

use serde_json::json;
use std::collections::HashMap;
use std::time::Duration;
use support::platform::{dispatch, fields, Client, Fixture, Reply};
use support::workers::Behaviour;
use support::{ask, free_address, until, Daemon};

/// Time after which a client that left comes again.
const RETURN_DELAY: Duration = Duration::from_millis(50);
/// Time to wait before asserting that something has not happened.
const OBSERVATION_TIME: Duration = Duration::from_millis(500);
/// An attempt may begin this long after its client left.
const GONE_SLACK: Duration = Duration::from_millis(100);
const REPEATS: u64 = 16;

/// A daemon with one worker, and a class of requests that must not run twice beside the usual ones.
fn fixture(behaviour: &[Behaviour]) -> Fixture {
    Fixture::with_settings(behaviour, 1, 1024, 192, |settings| {
        let once = json!({"name": "once", "aimMs": 1500.0, "giveUpMs": 4000.0, "idempotency": "side_effect",
                          "worth": 1.0});
        settings["classes"].as_array_mut().expect("classes").push(once);
    })
}

fn request(seqid: i32, class: &str, id: u64) -> Vec<u8> {
    let (hex, body) = (format!("{id:016x}"), id.to_string());
    dispatch(seqid, &fields(class, &hex, "4000"), body.as_bytes())
}

/// How often each id reached a worker.
fn arrivals(fixture: &Fixture) -> HashMap<Vec<u8>, usize> {
    let mut counts = HashMap::new();
    fixture.fleet.sent().into_iter().for_each(|sent| *counts.entry(sent.body).or_default() += 1);
    counts
}

/// Sends a request whose worker does not answer, and leaves once it has arrived there.
fn ask_and_leave(fixture: &Fixture, class: &str, id: u64) {
    let before = fixture.fleet.sent().len();
    let mut client = fixture.client();
    client.send(&request(1, class, id));
    until("the request has arrived", || fixture.fleet.sent().len() > before);
}

#[test]
fn an_id_that_comes_again_after_its_client_left_is_not_run_twice() {
    for class in ["once", "post"] {
        let fixture = fixture(&[Behaviour::NoAnswer]);
        for id in 1..=REPEATS {
            ask_and_leave(&fixture, class, id);
            std::thread::sleep(RETURN_DELAY);
            let mut client = fixture.client();
            client.send(&request(1, class, id));
            let reply = client.receive();
            // A refusal would promise that it has not run.
            assert!(matches!(reply, Some((1, Reply::Crashed))), "{class} {id}: {reply:?}");
        }
        std::thread::sleep(OBSERVATION_TIME);
        assert!(arrivals(&fixture).values().all(|count| *count == 1), "{class}: {:?}", arrivals(&fixture));
        fixture.daemon.signal("USR1");
        let counted = format!("repeated_ids={REPEATS} ");
        until("the repeats are counted", || fixture.daemon.errors().contains(&counted));
    }
}

#[test]
fn an_id_that_was_served_or_may_be_repeated_is_treated_as_its_class_allows() {
    let fixture = fixture(&[Behaviour::Serve]);
    for (class, may_repeat) in [("once", false), ("check", true)] {
        let id = if may_repeat { 7 } else { 8 };
        let mut client = fixture.client();
        client.send(&request(1, class, id));
        assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))), "{class}");
        client.send(&request(2, class, id));
        let reply = client.receive();
        assert_eq!(matches!(reply, Some((2, Reply::Answer(_)))), may_repeat, "{class}: {reply:?}");
    }
}

/// A request that provably did not run may come again under its id.
#[test]
fn an_id_that_did_not_run_may_come_again() {
    let fixture = fixture(&[Behaviour::Refuse]);
    let mut client = fixture.client();
    client.send(&request(1, "once", 9));
    let reply = client.receive();
    assert!(matches!(reply, Some((1, Reply::Rejected(_)))), "{reply:?}");
    fixture.fleet.continue_with(Behaviour::Serve);
    until("it is served", || {
        let mut client = fixture.client();
        client.send(&request(1, "once", 9));
        matches!(client.receive(), Some((1, Reply::Answer(_))))
    });
}

/// Both processes of an upgrade accept connections, so that the id may come again at either.
#[test]
fn an_id_that_comes_again_during_an_upgrade_is_not_run_twice_at_either_process() {
    let fixture = fixture(&[Behaviour::NoAnswer]);
    let admin = free_address();
    let config = fixture.folder.0.join("config.json");
    let environment = [("PROXY_ADMIN", admin.to_string())];
    let _successor = Daemon::spawn_platform(&config, fixture.daemon.address, &environment);
    until("the successor is ready", || {
        std::net::TcpStream::connect(admin).is_ok() && ask(admin, "GET", "/v1/readyz", &[], b"").status == 200
    });
    for id in 1..=REPEATS {
        ask_and_leave(&fixture, "once", id);
        std::thread::sleep(RETURN_DELAY);
        // The kernel spreads connections over both processes.
        for _ in 0..4 {
            let mut client = fixture.client();
            client.send(&request(1, "once", id));
            let reply = client.receive();
            assert!(matches!(reply, Some((1, Reply::Crashed))), "{id}: {reply:?}");
        }
    }
    std::thread::sleep(OBSERVATION_TIME);
    assert!(arrivals(&fixture).values().all(|count| *count == 1), "{:?}", arrivals(&fixture));
}

/// Requests that stand unread when their client closes its connection have no one to answer.
#[test]
fn nothing_is_sent_on_after_a_client_closed_with_much_unread() {
    let fixture = fixture(&[Behaviour::ServeInParallel]);
    for round in 0..4u64 {
        let mut client = fixture.client();
        let requests: Vec<u8> =
            (1..=4000).flat_map(|seqid| request(seqid, "check", (round << 32) + seqid as u64)).collect();
        // The daemon stops reading while it handles what it has; the rest stands in the kernel's buffers.
        let mut socket = client.socket.try_clone().expect("cloned");
        let writing = std::thread::spawn(move || {
            use std::io::Write;
            // Fails where the buffers hold less than all of it.
            let _ = socket.write_all(&requests);
        });
        std::thread::sleep(RETURN_DELAY);
        client.socket.shutdown(std::net::Shutdown::Both).expect("open");
        writing.join().expect("a writer");
        while client.receive().is_some() {}
        std::thread::sleep(GONE_SLACK);
        let sent = fixture.fleet.sent().len();
        std::thread::sleep(OBSERVATION_TIME);
        assert_eq!(fixture.fleet.sent().len(), sent, "round {round}: requests of a client that left");
    }
    let client: &mut Client = &mut fixture.client();
    client.send(&request(1, "check", 1 << 60));
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))), "others are served");
}
