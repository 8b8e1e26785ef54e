//! The daemon with its Thrift front: Thrift clients, workers with the frame protocol, a command channel.
mod support;

use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use support::platform::{dispatch, fields, message, nodes, Channel, Client, Fixture, Reply};
use support::workers::{Behaviour, LONG};
use support::{free_address, until, Folder};

#[test]
fn answers_alive_and_serves_requests_out_of_order() {
    let fixture = Fixture::new(&[Behaviour::Hold, Behaviour::Serve], 2);
    let mut client = fixture.client();
    client.send(&message(1, "alive", 1, &[2, 0, 1, 1, 0]));
    assert_eq!(client.receive(), Some((1, Reply::Answer(Vec::new()))));
    client.send(&dispatch(2, &fields("check", "9b1f03aa5c7e2d41", "4000"), b"slow"));
    until("the first request is in flight", || fixture.fleet.sent().len() == 1);
    client.send(&dispatch(3, &fields("check", "9b1f03aa5c7e2d42", "4000"), b"\x00\xff"));
    let second = client.receive();
    fixture.fleet.release();
    // Both requests go to the warm worker, and the fake worker answers them one after the other.
    let first = client.receive();
    let mut seqids: Vec<i32> =
        [&second, &first].iter().map(|reply| reply.as_ref().expect("answered").0).collect();
    seqids.sort_unstable();
    assert_eq!(seqids, [2, 3]);
}

#[test]
fn a_body_and_its_key_pass_on_unchanged() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let mut client = fixture.client();
    client.send(&dispatch(1, &fields("post", "9b1f03aa5c7e2d41", "3000"), b"\x00\xff,="));
    assert_eq!(client.receive(), Some((1, Reply::Answer(b"done: \x00\xff,=".to_vec()))));
    let sent = &fixture.fleet.sent()[0];
    assert_eq!(sent.key.as_deref(), Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
    assert_eq!(sent.body, b"\x00\xff,=");
}

#[test]
fn an_invalid_request_fails_under_its_sequence_number_and_the_connection_stays_open() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let mut client = fixture.client();
    let good = fields("check", "9b1f03aa5c7e2d41", "4000");
    let changed = |name: &str, value: &'static str| {
        let change =
            |field: &(&'static str, &'static str)| if field.0 == name { (field.0, value) } else { *field };
        good.iter().map(change).collect::<Vec<_>>()
    };
    client.send(&dispatch(1, &changed("service", "nonesuch"), b""));
    assert_eq!(client.receive(), Some((1, Reply::Crashed)));
    client.send(&dispatch(2, &changed("project", "nobody"), b""));
    assert_eq!(client.receive(), Some((2, Reply::Crashed)));
    client.send(&dispatch(3, &changed("ref", "xyz"), b""));
    assert_eq!(client.receive(), Some((3, Reply::Crashed)));
    let mut number = 100;
    for (name, value) in [
        ("allow", "nan"),
        ("allow", "-1"),
        ("allow", "1e300"),
        ("effort", "much"),
        ("effort", "-3"),
        ("info", "memory_mb:-1"),
        ("info", "memory_mb:inf"),
        ("info", "lanes:0"),
        ("lookup", "7f3a9c21e0b4d65"),
        ("lookup", "+f3a9c21e0b4d655"),
    ] {
        number += 1;
        client.send(&dispatch(number, &changed(name, value), b""));
        assert_eq!(client.receive(), Some((number, Reply::Crashed)), "{name} {value}");
    }
    client.send(&dispatch(4, &good, &[7; (16 << 10) + 1]));
    assert_eq!(client.receive(), Some((4, Reply::Crashed)));
    client.send(&message(1, "dispatch", 5, &[13, 0, 1, 11, 11, 0, 0, 0, 9]));
    assert_eq!(client.receive(), Some((5, Reply::Exception(7))));
    client.send(&message(1, "nonesuch", 6, &[0]));
    assert_eq!(client.receive(), Some((6, Reply::Exception(1))));
    client.send(&dispatch(7, &good, &[7; 16 << 10]));
    assert!(matches!(client.receive(), Some((7, Reply::Answer(_)))));
    client.send(&[0, 0, 0, 4, 1, 2, 3, 4]);
    assert_eq!(client.receive(), None, "without a sequence number the connection is closed");
    assert_eq!(fixture.fleet.sent().len(), 1);
}

#[test]
fn each_request_is_answered_before_its_own_deadline() {
    let fixture = Fixture::new(&[Behaviour::NoAnswer], 2);
    let mut client = fixture.client();
    let start = Instant::now();
    client.send(&dispatch(1, &fields("post", "9b1f03aa5c7e2d41", "600"), b"x"));
    assert_eq!(client.receive(), Some((1, Reply::Crashed)));
    // The limit is the 600 ms of the request, not the 3 s of its class.
    assert!(start.elapsed() < Duration::from_millis(2500), "{:?}", start.elapsed());
    assert_eq!(fixture.fleet.sent().len(), 1);
}

#[test]
fn a_cancelled_request_gets_no_answer_and_its_work_is_cancelled() {
    let fixture = Fixture::new(&[Behaviour::NoAnswer, Behaviour::Serve], 1);
    let mut client = fixture.client();
    client.send(&dispatch(1, &fields("check", "9b1f03aa5c7e2d41", "4000"), b"x"));
    until("the request is in flight", || fixture.fleet.sent().len() == 1);
    client.send(&message(4, "cancelRequest", 2, &[8, 0, 1, 0, 0, 0, 1, 0]));
    until("the work is cancelled", || fixture.fleet.cancelled() == 1);
    client.send(&dispatch(3, &fields("check", "9b1f03aa5c7e2d42", "4000"), b"y"));
    assert!(matches!(client.receive(), Some((3, Reply::Answer(_)))), "only the second is answered");
}

/// Nothing new is sent to a host after the command channel has reported that it drains, also when the report comes on a
/// connection that was reopened.
#[test]
fn a_host_that_drains_is_sent_nothing_more() {
    let fixture = Fixture::new(&[Behaviour::Serve], 2);
    let mut client = fixture.client();
    assert_eq!(fixture.channel.calls.recv_timeout(support::TEST_TIMEOUT).as_deref(), Ok("1"));
    fixture.channel.tell(2, "h9", free_address(), "removed");
    fixture.channel.events.send("hang up".into()).expect("channel");
    assert_eq!(
        fixture.channel.calls.recv_timeout(support::TEST_TIMEOUT).as_deref(),
        Ok("2"),
        "it resumes after the last event"
    );
    fixture.channel.tell(3, "h0", fixture.hosts[0], "draining");
    std::thread::sleep(Duration::from_millis(500));
    for number in 0..6 {
        let id = format!("9b1f03aa5c7e2d4{number}");
        client.send(&dispatch(number + 1, &fields("check", &id, "4000"), b"x"));
        assert!(matches!(client.receive(), Some((_, Reply::Answer(_)))));
    }
    assert!(fixture.fleet.sent().iter().all(|sent| sent.worker == "h1"), "{:?}", fixture.fleet.sent());
}

#[test]
fn a_request_that_no_host_accepts_is_refused_at_once() {
    let fixture = Fixture::new(&[Behaviour::Refuse], 1);
    let mut client = fixture.client();
    client.send(&dispatch(1, &fields("post", "9b1f03aa5c7e2d41", "3000"), b"x"));
    let reply = client.receive();
    let advice = BTreeMap::from([("cooldown".to_string(), "500".to_string())]);
    assert_eq!(reply, Some((1, Reply::Rejected(advice))));
    assert_eq!(fixture.fleet.sent().len(), 5);
}

#[test]
fn sigterm_completes_accepted_requests_and_exits_with_0() {
    let mut fixture = Fixture::new(&[Behaviour::Hold], 1);
    let mut client = fixture.client();
    client.send(&dispatch(1, &fields("check", "9b1f03aa5c7e2d41", "4000"), b"x"));
    until("the request is in flight", || fixture.fleet.sent().len() == 1);
    fixture.daemon.signal("TERM");
    // Connections and requests are still accepted for a while after SIGTERM.
    std::thread::sleep(Duration::from_millis(100));
    let mut late = fixture.client();
    late.send(&dispatch(1, &fields("check", "9b1f03aa5c7e2d42", "4000"), b"y"));
    std::thread::sleep(Duration::from_millis(100));
    fixture.fleet.release();
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))));
    assert!(matches!(late.receive(), Some((1, Reply::Answer(_)))));
    assert_eq!(fixture.daemon.exit_code(), Some(0));
    assert!(fixture.daemon.errors().contains("taken=2 "), "{}", fixture.daemon.errors());
}

#[test]
fn bad_configuration_is_named_in_one_line() {
    let folder = Folder::new();
    for (text, key) in [
        ("{", "PROXY_CONFIG"),
        ("{\"listen\":\"nowhere\",\"seed\":1,\"known\":{},\"settings\":{\"classes\":[{}]}}", "listen"),
        (
            "{\"listen\":\"127.0.0.1:1\",\"seed\":\"xyz\",\"known\":{},\"settings\":{\"classes\":[{}]}}",
            "seed",
        ),
        ("{\"listen\":\"127.0.0.1:1\",\"seed\":1,\"known\":{},\"settings\":{}}", "settings.classes"),
        ("{\"listen\":\"127.0.0.1:1\",\"seed\":1,\"known\":{},\"settings\":{\"classes\":[{}]}}", "channel"),
        (
            "{\"listen\":\"127.0.0.1:1\",\"seed\":1,\"known\":{\"cmds\":3},\"settings\":{\"classes\":[{}]}}",
            "known",
        ),
    ] {
        let path = folder.write("config.json", text);
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_corkbay"));
        let output = command.env("PROXY_CONFIG", path).env_remove("PROXY_LISTEN").output().expect("runs");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{errors}");
        assert!(errors.contains(&format!("{key}:")) && errors.lines().count() == 1, "{key}: {errors}");
    }
}

/// An event or entry that can't be parsed must not hide the valid ones that follow it.
#[test]
fn an_invalid_event_or_entry_does_not_hide_others() {
    let fixture = Fixture::new(&[Behaviour::Serve], 2);
    let mut client = fixture.client();
    fixture.channel.events.send("id: 2\ndata: {not json\n\n".into()).expect("channel");
    let mut event = nodes(3, false, &[("h8", fixture.hosts[0], "up"), ("h0", fixture.hosts[0], "draining")]);
    event["nodes"]["endpoints"][0]["address"] = json!("nowhere");
    fixture.channel.events.send(format!("id: 3\ndata: {event}\n\n")).expect("channel");
    until("the invalid entry is logged", || fixture.daemon.errors().contains("nowhere"));
    std::thread::sleep(Duration::from_millis(200));
    for number in 0..4 {
        let id = format!("9b1f03aa5c7e2d4{number}");
        client.send(&dispatch(number + 1, &fields("check", &id, "4000"), b"x"));
        assert!(matches!(client.receive(), Some((_, Reply::Answer(_)))));
    }
    assert!(fixture.fleet.sent().iter().all(|sent| sent.worker == "h1"), "{:?}", fixture.fleet.sent());
    fixture.daemon.signal("USR1");
    until("both are counted", || {
        let errors = fixture.daemon.errors();
        ["channel_calls=1 ", "channel_odd=2 ", "dials=1 ", "dials_failed=0 "]
            .iter()
            .all(|one| errors.contains(one))
    });
}

/// The memory limit may be 32 MB, and an open request takes about 26 KiB plus its body: requests beyond 394 are refused at
/// once, so that the process does not run out of memory.
#[test]
fn more_requests_than_memory_allows_are_refused() {
    let fixture = Fixture::with_limits(&[Behaviour::NoAnswer], 1, 256, 32);
    let mut clients: Vec<Client> = (0..13).map(|_| fixture.client()).collect();
    for (at, client) in clients.iter_mut().enumerate() {
        for number in 0..32 {
            let id = format!("{:016x}", at * 100 + number + 1);
            client.send(&dispatch(number as i32 + 1, &fields("check", &id, "8000"), b"x"));
        }
    }
    // 416 requests were sent, and the last ones to arrive were refused.
    let (told, replies) = channel();
    for mut client in clients {
        let told = told.clone();
        std::thread::spawn(move || while client.receive().is_some_and(|reply| told.send(reply.1).is_ok()) {});
    }
    for _ in 0..22 {
        let reply = replies.recv_timeout(support::TEST_TIMEOUT).expect("refused at once");
        assert!(matches!(&reply, Reply::Rejected(fields) if fields.contains_key("cooldown")), "{reply:?}");
    }
}

/// Clients that connect without sending, send half a request, or stay connected after one request used to occupy all
/// connection slots, so that no other client was accepted.
#[test]
fn connections_without_open_requests_are_closed_to_make_room_for_new_ones() {
    let fixture = Fixture::with_descriptor_limit(&[Behaviour::Serve], 1, 60);
    let mut stayers = Vec::new();
    for number in 0..30 {
        let mut stayer = fixture.client();
        let id = format!("{:016x}", number + 1);
        stayer.send(&dispatch(1, &fields("check", &id, "4000"), b"x"));
        assert!(matches!(stayer.receive(), Some((1, Reply::Answer(_)))), "client {number} is served");
        stayers.push(stayer);
    }
    let mut silent: Vec<Client> = (0..60).map(|_| fixture.client()).collect();
    let half = dispatch(1, &fields("check", "9b1f03aa5c7e2d41", "4000"), b"x");
    let mut halves: Vec<Client> = (0..20).map(|_| fixture.client()).collect();
    halves.iter_mut().for_each(|client| _ = client.socket.write_all(&half[..half.len() / 2]));
    let mut usual = fixture.client();
    usual.send(&dispatch(1, &fields("check", "9b1f03aa5c7e2d42", "4000"), b"x"));
    let reply = usual.receive();
    assert!(matches!(reply, Some((1, Reply::Answer(_)))), "{reply:?} {}", fixture.daemon.errors());
    // All of them are closed within a few seconds, even if no other client needs the slot.
    for client in silent.iter_mut().chain(&mut halves) {
        client.socket.set_read_timeout(Some(Duration::from_secs(3))).expect("set");
        let end = client.socket.read(&mut [0; 8]);
        assert!(!matches!(&end, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock), "{end:?}");
    }
}

/// A client can't tell which of two requests with the same sequence number an answer belongs to.
#[test]
fn two_open_requests_with_one_sequence_number_close_the_connection() {
    let fixture = Fixture::new(&[Behaviour::Hold], 1);
    let mut client = fixture.client();
    client.send(&dispatch(1, &fields("check", "9b1f03aa5c7e2d41", "4000"), b"x"));
    client.send(&dispatch(1, &fields("check", "9b1f03aa5c7e2d42", "4000"), b"y"));
    assert_eq!(client.receive(), None);
    fixture.fleet.release();
}

/// SIGHUP used to end the process. A reload must connect to the new channel and resume after the last event received, keep
/// open requests, and keep the old configuration if the new file is invalid.
#[test]
fn sighup_moves_to_the_new_channel_and_keeps_open_requests() {
    let fixture = Fixture::new(&[Behaviour::Hold, Behaviour::Serve], 2);
    let mut client = fixture.client();
    client.send(&dispatch(1, &fields("check", "9b1f03aa5c7e2d41", "4000"), b"x"));
    until("the request is in flight", || fixture.fleet.sent().len() == 1);
    let held_at = fixture.fleet.sent()[0].worker.clone();
    assert_eq!(fixture.channel.calls.recv_timeout(support::TEST_TIMEOUT).as_deref(), Ok("1"));
    fixture.channel.tell(2, "h9", free_address(), "removed");
    std::thread::sleep(Duration::from_millis(100));
    fixture.folder.write("config.json", "{\"channel\": 1}");
    fixture.daemon.signal("HUP");
    until("the new file is reported", || fixture.daemon.errors().contains("the old configuration is kept"));
    let next = Channel::new();
    let mut config = fixture.config.clone();
    config["channel"] = json!(next.address.to_string());
    fixture.folder.write("config.json", &config.to_string());
    fixture.daemon.signal("HUP");
    assert_eq!(next.calls.recv_timeout(support::TEST_TIMEOUT).as_deref(), Ok("2"), "the cursor is kept");
    for number in [0, 1] {
        let name = format!("h{number}");
        if name != held_at {
            next.tell(3, &name, fixture.hosts[number], "draining");
        }
    }
    fixture.fleet.release();
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))), "open requests are kept");
    std::thread::sleep(Duration::from_millis(200));
    for number in 2..6 {
        let id = format!("9b1f03aa5c7e2d4{number}");
        client.send(&dispatch(number, &fields("check", &id, "4000"), b"x"));
        assert!(matches!(client.receive(), Some((_, Reply::Answer(_)))));
    }
    assert!(
        fixture.fleet.sent().iter().all(|sent| sent.worker == held_at),
        "events of the new channel are applied"
    );
}

/// During a planned restart late requests are refused at once, and requests that would outlast the process are failed, so
/// that SIGKILL leaves none unanswered.
#[test]
fn sigterm_fails_requests_that_would_outlast_the_process() {
    let mut fixture = Fixture::new(&[Behaviour::NoAnswer], 1);
    let mut client = fixture.client();
    client.send(&dispatch(1, &fields("check", "9b1f03aa5c7e2d41", "4000"), b"x"));
    until("the request is in flight", || fixture.fleet.sent().len() == 1);
    let start = Instant::now();
    fixture.daemon.signal("TERM");
    std::thread::sleep(Duration::from_millis(800));
    client.send(&dispatch(2, &fields("check", "9b1f03aa5c7e2d42", "4000"), b"y"));
    assert!(matches!(client.receive(), Some((2, Reply::Rejected(_)))), "too late to be accepted");
    assert_eq!(client.receive(), Some((1, Reply::Crashed)));
    assert!(start.elapsed() < Duration::from_millis(3700), "{:?}", start.elapsed());
    assert_eq!(fixture.daemon.exit_code(), Some(0));
}

/// A duplicate answer to one attempt must not complete the next attempt, which is sent under the same id.
#[test]
fn a_duplicate_answer_does_not_complete_a_later_attempt() {
    let fixture = Fixture::new(&[Behaviour::MissTwice, Behaviour::DelayedServe], 1);
    let mut client = fixture.client();
    client.send(&dispatch(1, &fields("check", "9b1f03aa5c7e2d41", "4000"), b"x"));
    assert_eq!(client.receive(), Some((1, Reply::Answer(b"done: x".to_vec()))));
    assert_eq!(fixture.fleet.sent().len(), 2);
}

/// A message that announces an excessive length closes its connection; it is neither buffered nor waited for.
#[test]
fn a_message_with_an_excessive_length_closes_its_connection() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    for size in [i32::MAX, -1, 70_000] {
        let mut client = fixture.client();
        let _ = client.socket.write_all(&size.to_be_bytes());
        assert_eq!(client.receive(), None, "{size}");
    }
}

/// A client that reads long answers slowly gets all of them, and blocks neither other clients nor the worker connection
/// that the answers arrived on.
#[test]
fn a_long_answer_that_is_read_slowly_holds_up_nobody_else() {
    let fixture = Fixture::with_limits(
        &[
            Behaviour::LongAnswer,
            Behaviour::LongAnswer,
            Behaviour::LongAnswer,
            Behaviour::LongAnswer,
            Behaviour::Serve,
        ],
        1,
        256,
        32,
    );
    let mut slow = fixture.client();
    for number in 1..=4 {
        slow.send(&dispatch(number, &fields("check", &format!("{number:016x}"), "4000"), b"x"));
    }
    until("all requests are in flight", || fixture.fleet.sent().len() == 4);
    let mut other = fixture.client();
    other.send(&dispatch(1, &fields("check", "00000000000000aa", "4000"), b"y"));
    assert_eq!(other.receive(), Some((1, Reply::Answer(b"done: y".to_vec()))));
    // Takes longer in total than the time after which a message without progress is given up.
    let mut read = 0;
    let mut chunk = [0; 8192];
    while read < 4 * LONG {
        std::thread::sleep(Duration::from_millis(20));
        let size = slow.socket.read(&mut chunk).expect("the connection is kept");
        assert!(size > 0, "ended after {read} bytes");
        read += size;
    }
    fixture.daemon.signal("USR1");
    until("counters are logged", || fixture.daemon.errors().contains("served=5 "));
    assert!(fixture.daemon.errors().contains("dials=1 "), "{}", fixture.daemon.errors());
}

/// Clients that send ever new model names must not exhaust memory: the statistics learnt per model stay under their cap by
/// evicting the least recently used, and every request is answered.
#[test]
fn statistics_of_ever_new_model_names_stay_within_their_memory_cap() {
    let fixture = Fixture::with_limits(&[Behaviour::Serve], 2, 1024, 14);
    let mut client = fixture.client();
    for number in 0..1500i32 {
        let (id, model) = (format!("{number:016x}"), format!("{:016x}", 0x1000 + number));
        let mut fields = fields("check", &id, "3000");
        fields.iter_mut().filter(|field| field.0 == "lookup").for_each(|field| field.1 = &model);
        client.send(&dispatch(number, &fields, b"x"));
        assert_eq!(client.receive(), Some((number, Reply::Answer(b"done: x".to_vec()))));
    }
    fixture.daemon.signal("USR1");
    until("accounts are logged", || fixture.daemon.errors().contains("purpose=\"timers\""));
    let log = fixture.daemon.errors();
    let learnt = log.lines().find(|line| line.contains("purpose=\"learnt\"")).expect("a line");
    let figure = |key: &str| -> usize {
        let text = learnt.split(&format!(" {key}=")).nth(1).and_then(|rest| rest.split(' ').next());
        text.and_then(|text| text.parse().ok()).unwrap_or_else(|| panic!("{key} in {learnt}"))
    };
    assert!(figure("peak") <= figure("cap") && figure("peak") * 2 > figure("cap"), "{learnt}");
    assert!(figure("refused") > 0, "the cap was reached: {learnt}");
}
