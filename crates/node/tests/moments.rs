//! Rare moments on the platform's protocol: what comes in the instant in which something else ends. The bad order is
//! brought about by the other side, or by stopping the program while the bytes are written.
mod support;

use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::late::{requests, SlowAcceptListener};
use support::platform::{cancel, dispatch, fields, Channel, Client, Fixture, Reply};
use support::workers::Behaviour;
use support::{ask, free_address, until, Daemon, TEST_TIMEOUT};

/// For what must not happen: long enough for it to have happened.
const LONG_ENOUGH: Duration = Duration::from_millis(700);
/// Descriptors that leave clients a single place.
const ONE_PLACE: u32 = 42;
/// By then after SIGTERM connections are let go.
const LET_GO: Duration = Duration::from_millis(1000);
/// So long after the operators' drain connections are let go.
const LET_GO_DRAINED: Duration = Duration::from_millis(700);

/// Waits until the program has taken so many requests.
fn until_taken(fixture: &Fixture, count: u32) {
    let line = format!("taken={count} ");
    until("it is taken", || {
        fixture.daemon.signal("USR1");
        fixture.daemon.errors().contains(&line)
    });
}

fn check(seqid: i32, id: u64) -> Vec<u8> {
    dispatch(seqid, &fields("check", &format!("{id:016x}"), "4000"), b"x")
}

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Cancels,
    Closes,
}

impl Leaves {
    /// Leaves; the connection, where it stays open.
    fn leave(self, mut client: Client, seqid: i32) -> Option<Client> {
        match self {
            Leaves::Cancels => {
                client.send(&cancel(seqid));
                Some(client)
            }
            Leaves::Closes => None,
        }
    }
}

const WAYS: [Leaves; 2] = [Leaves::Cancels, Leaves::Closes];

#[test]
fn a_client_that_left_while_no_worker_took_work_is_not_sent_on() {
    for leaves in WAYS {
        let fixture = Fixture::new(&[Behaviour::Serve], 0);
        let worker = fixture.fleet.frames("h0");
        let mut client = fixture.client();
        client.send(&check(1, 0xa1));
        until_taken(&fixture, 1);
        let _stays = leaves.leave(client, 1);
        until_withdrawn(&fixture);
        fixture.channel.tell(2, "h0", worker, "up");
        let mut other = fixture.client();
        other.send(&check(1, 0xa2));
        assert!(matches!(other.receive(), Some((1, Reply::Answer(_)))), "{leaves:?}");
        std::thread::sleep(LONG_ENOUGH);
        assert_eq!(fixture.fleet.sent().len(), 1, "{leaves:?}");
    }
}

fn until_withdrawn(fixture: &Fixture) {
    until("it is withdrawn", || {
        fixture.daemon.signal("USR1");
        fixture.daemon.errors().contains("withdrawn=1 ")
    });
}

#[test]
fn a_client_that_left_while_a_connection_came_up_is_not_sent_on() {
    for leaves in WAYS {
        let worker = SlowAcceptListener::new();
        let fixture = Fixture::with_settings(&[Behaviour::Serve], 0, 1024, 192, |settings| {
            settings["ceilings"]["connectTimeoutMs"] = json!(8000.0);
        });
        let _full = worker.fill();
        fixture.channel.tell(2, "h0", worker.address, "up");
        let mut client = fixture.client();
        client.send(&check(1, 0xa1));
        until("it waits for its connection", || {
            fixture.daemon.signal("USR1");
            fixture.daemon.errors().contains("sent=1 ")
        });
        let _stays = leaves.leave(client, 1);
        until_withdrawn(&fixture);
        worker.accept(TEST_TIMEOUT).expect("what filled the queue");
        let connection = worker.accept(TEST_TIMEOUT).expect("it comes up at last");
        assert!(requests(&connection, LONG_ENOUGH).is_empty(), "{leaves:?}");
    }
}

#[test]
fn a_client_that_left_while_its_model_was_loaded_is_not_sent_on() {
    for leaves in WAYS {
        let fixture =
            Fixture::with_settings(&[Behaviour::Miss, Behaviour::Serve], 1, 1024, 192, |settings| {
                settings["specifics"]["notLoaded"] = json!("miss");
                settings["specifics"]["placementCalls"] = json!(true);
            });
        fixture.fleet.hold_loads();
        let mut client = fixture.client();
        client.send(&check(1, 0xa1));
        until("the load is ordered", || !fixture.fleet.load_orders().is_empty());
        let before = fixture.fleet.sent().len();
        let _stays = leaves.leave(client, 1);
        until_withdrawn(&fixture);
        fixture.fleet.release();
        std::thread::sleep(LONG_ENOUGH);
        assert_eq!(fixture.fleet.sent().len(), before, "{leaves:?}");
    }
}

/// The first attempt breaks while no worker takes work, so that the second has to wait for one.
#[test]
fn a_client_that_left_before_its_second_attempt_is_not_sent_on() {
    for leaves in WAYS {
        let worker = SlowAcceptListener::new();
        let fixture = Fixture::new(&[Behaviour::Serve], 0);
        fixture.channel.tell(2, "h0", worker.address, "up");
        let mut client = fixture.client();
        client.send(&check(1, 0xa1));
        let first = worker.accept(TEST_TIMEOUT).expect("the first attempt");
        assert_eq!(requests(&first, Duration::from_millis(100)), [0xa1]);
        fixture.channel.tell(3, "h0", worker.address, "draining");
        std::thread::sleep(Duration::from_millis(200));
        drop(first);
        until("it broke", || {
            fixture.daemon.signal("USR1");
            fixture.daemon.errors().contains("lost_reset=1 ")
        });
        let _stays = leaves.leave(client, 1);
        until_withdrawn(&fixture);
        fixture.channel.tell(4, "h0", worker.address, "up");
        assert!(worker.accept(LONG_ENOUGH).is_none(), "{leaves:?}");
    }
}

/// Guards the same while the process ends: once connections were let go, a client that closed its own was not seen any
/// more, and its request went out as soon as a worker took work.
#[test]
fn a_client_that_left_during_the_drain_is_not_sent_on() {
    for leaves in WAYS {
        let mut fixture = Fixture::new(&[Behaviour::Serve], 0);
        let worker = fixture.fleet.frames("h0");
        let (mut leaver, mut stayer) = (fixture.client(), fixture.client());
        leaver.send(&check(1, 0xa1));
        stayer.send(&check(1, 0xa2));
        until_taken(&fixture, 2);
        fixture.daemon.signal("TERM");
        std::thread::sleep(LET_GO);
        let _stays = leaves.leave(leaver, 1);
        std::thread::sleep(Duration::from_millis(200));
        fixture.channel.tell(2, "h0", worker, "up");
        assert!(matches!(stayer.receive(), Some((1, Reply::Answer(_)))), "{leaves:?}");
        assert_eq!(fixture.daemon.exit_code(), Some(0));
        assert_eq!(fixture.fleet.sent().len(), 1, "{leaves:?}");
    }
}

/// Guards requests that stand unread when their connections are let go: with the reading side shut, a client that left
/// was not seen to leave, and its request went out as soon as a worker took work.
#[test]
fn a_client_whose_request_stood_unread_at_the_drain_is_seen_to_leave() {
    const CLIENTS: u64 = 40;
    let fixture = Fixture::new(&[Behaviour::Serve], 0);
    let worker = fixture.fleet.frames("h0");
    assert!(ask(fixture.admin, "PUT", "/v1/invoker/drain", &[], b"").status < 300);
    let called = Instant::now();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| fixture.client()).collect();
    std::thread::sleep(LET_GO_DRAINED.saturating_sub(called.elapsed() + Duration::from_millis(300)));
    fixture.daemon.signal("STOP");
    for (client, id) in clients.iter_mut().zip(0x100..) {
        client.send(&check(1, id));
    }
    std::thread::sleep(LET_GO_DRAINED.saturating_sub(called.elapsed()) + Duration::from_millis(100));
    fixture.daemon.signal("CONT");
    until_taken(&fixture, CLIENTS as u32);
    drop(clients);
    let withdrawn = format!("withdrawn={CLIENTS} ");
    until("all are withdrawn", || {
        fixture.daemon.signal("USR1");
        fixture.daemon.errors().contains(&withdrawn)
    });
    fixture.channel.tell(2, "h0", worker, "up");
    std::thread::sleep(LONG_ENOUGH);
    assert!(fixture.fleet.sent().is_empty());
}

/// Guards what has come by the end of the process and was not read: the process stands still from the time in which it
/// takes requests to after it, and finds them all at once.
#[test]
fn what_came_by_the_end_of_the_process_is_answered() {
    let mut fixture = Fixture::new(&[Behaviour::Serve], 1);
    let mut clients: Vec<Client> = (0..40).map(|_| fixture.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&check(1, 0x100 + number as u64));
        assert!(client.receive().is_some());
    }
    fixture.daemon.signal("TERM");
    std::thread::sleep(Duration::from_millis(200));
    fixture.daemon.signal("STOP");
    clients.extend((0..20).map(|_| fixture.client()));
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&check(2, 0x200 + number as u64));
    }
    std::thread::sleep(LET_GO);
    fixture.daemon.signal("CONT");
    for (number, client) in clients.iter_mut().enumerate() {
        let reply = client.receive();
        assert!(matches!(reply, Some((2, Reply::Answer(_) | Reply::Rejected(_)))), "{number}: {reply:?}");
    }
    assert_eq!(fixture.daemon.exit_code(), Some(0));
}

/// Guards a request that comes in the instant in which its idle connection is closed: what has come by then is read.
#[test]
fn a_request_at_the_end_of_an_idle_connections_time_is_answered() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let mut client = fixture.client();
    client.send(&check(1, 0xa1));
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))));
    std::thread::sleep(Duration::from_millis(4000));
    fixture.daemon.signal("STOP");
    client.send(&check(2, 0xa2));
    // Its time, 4.5 s, is over meanwhile.
    std::thread::sleep(Duration::from_millis(800));
    fixture.daemon.signal("CONT");
    assert!(matches!(client.receive(), Some((2, Reply::Answer(_)))));
}

/// A request waits, since no worker takes work; one that would, its client, and the channel that the file names now.
fn one_waits_and_the_channel_moves() -> (Fixture, SocketAddr, Client, Channel) {
    let fixture = Fixture::new(&[Behaviour::Serve], 0);
    let worker = fixture.fleet.frames("h0");
    let mut client = fixture.client();
    client.send(&check(1, 0xa1));
    until_taken(&fixture, 1);
    let next = Channel::new();
    reload_to(&fixture, &next);
    (fixture, worker, client, next)
}

fn reload_to(fixture: &Fixture, channel: &Channel) {
    let mut config = fixture.config.clone();
    config["channel"] = json!(channel.address.to_string());
    fixture.folder.write("config.json", &config.to_string());
}

/// Guards the news of the workers while the process ends: a reload that comes behind SIGTERM used to be left undone, and
/// the old channel may be no more.
#[test]
fn a_reload_is_heeded_while_the_process_ends() {
    let (mut fixture, worker, mut client, next) = one_waits_and_the_channel_moves();
    fixture.daemon.signal("TERM");
    std::thread::sleep(Duration::from_millis(100));
    fixture.daemon.signal("HUP");
    next.tell(2, "h0", worker, "up");
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))), "{}", fixture.daemon.errors());
    assert_eq!(fixture.daemon.exit_code(), Some(0));
}

/// Both signals stand when the process looks; whichever it takes first, both are heeded.
#[test]
fn sighup_and_sigterm_at_once_are_both_heeded() {
    for [first, second] in [["HUP", "TERM"], ["TERM", "HUP"]] {
        let (mut fixture, worker, mut client, next) = one_waits_and_the_channel_moves();
        fixture.daemon.signal("STOP");
        fixture.daemon.signal(first);
        fixture.daemon.signal(second);
        fixture.daemon.signal("CONT");
        next.tell(2, "h0", worker, "up");
        let reply = client.receive();
        assert!(matches!(reply, Some((1, Reply::Answer(_)))), "{first}: {}", fixture.daemon.errors());
        assert_eq!(fixture.daemon.exit_code(), Some(0));
    }
}

/// Guards what is owed on a connection on which half a message stands: that half used to end the connection, and the
/// requests open on it with it.
#[test]
fn half_a_message_does_not_end_what_is_owed_before_it() {
    let fixture = Fixture::new(&[Behaviour::Hold], 1);
    let mut client = fixture.client();
    let open = fixture.send_until_dispatched(&mut client, 0xa1, "8000");
    let next = check(open + 1, 0xb1);
    client.send(&next[..next.len() / 2]);
    // Longer than a message may take where nothing is owed.
    std::thread::sleep(Duration::from_millis(2200));
    fixture.fleet.release();
    assert!(matches!(client.receive(), Some((seqid, Reply::Answer(_))) if seqid == open));
    assert_eq!(client.receive(), None, "nothing is owed any more, and the message has had its time");
}

#[test]
fn a_request_that_comes_a_byte_at_a_time_is_served() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let mut client = fixture.client();
    client.socket.set_nodelay(true).expect("set");
    for byte in check(1, 0xa1) {
        client.send(&[byte]);
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))));
}

/// Guards the window of a keyed class, which may be shorter than a connection takes to come up: a repeat that would go
/// out after it does not go out.
#[test]
fn a_keyed_repeat_goes_out_within_its_window_or_not_at_all() {
    let worker = SlowAcceptListener::new();
    let fixture = Fixture::with_settings(&[Behaviour::Serve], 0, 1024, 192, |settings| {
        settings["ceilings"]["connectTimeoutMs"] = json!(3000.0);
        settings["classes"][1]["dedupWindowMs"] = json!(700.0);
        settings["classes"][1]["giveUpMs"] = json!(8000.0);
    });
    fixture.channel.tell(2, "h0", worker.address, "up");
    let mut client = fixture.client();
    client.send(&dispatch(1, &fields("post", "00000000000000a1", "8000"), b"x"));
    let first = worker.accept(TEST_TIMEOUT).expect("the first attempt");
    assert_eq!(requests(&first, Duration::from_millis(100)), [0xa1]);
    let _full = worker.fill();
    drop(first);
    until("the repeat waits for its connection", || {
        fixture.daemon.signal("USR1");
        fixture.daemon.errors().contains("sent=2 ")
    });
    worker.accept(TEST_TIMEOUT).expect("what filled the queue");
    let second = worker.accept(TEST_TIMEOUT).expect("it comes up, a second late");
    assert!(requests(&second, LONG_ENOUGH).is_empty(), "the window is over");
    assert_eq!(client.receive(), Some((1, Reply::Crashed)), "it may have run");
}

/// A connection that comes up late, or never, holds up nobody beyond the time that it is given.
#[test]
fn a_connection_that_never_comes_up_is_given_up_and_another_worker_serves() {
    let worker = SlowAcceptListener::new();
    let fixture = Fixture::new(&[Behaviour::Serve], 0);
    let _full = worker.fill();
    fixture.channel.tell(2, "h0", worker.address, "up");
    let mut client = fixture.client();
    client.send(&check(1, 0xa1));
    until("it failed there", || {
        fixture.daemon.signal("USR1");
        fixture.daemon.errors().contains("dials_failed=1 ")
    });
    fixture.channel.tell(3, "h1", fixture.fleet.frames("h1"), "up");
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))), "{}", fixture.daemon.errors());
}

/// Guards the rule on drains against a watch that stays open and brings nothing more: it is called again, from the last
/// event heard.
#[test]
fn a_watch_that_falls_silent_is_called_again() {
    let fixture = Fixture::new(&[Behaviour::Serve], 2);
    assert_eq!(fixture.channel.calls.recv_timeout(TEST_TIMEOUT).as_deref(), Ok("1"));
    fixture.channel.tell(2, "h9", free_address(), "removed");
    fixture.channel.events.send("fall silent".into()).expect("channel");
    assert_eq!(fixture.channel.calls.recv_timeout(TEST_TIMEOUT).as_deref(), Ok("2"));
    fixture.channel.tell(3, "h0", fixture.hosts[0], "draining");
    sent_to_h1_alone(&fixture);
}

/// Guards the same against a watch that repeats events and goes back behind those that were heard.
#[test]
fn what_a_watch_repeats_takes_nothing_back() {
    let fixture = Fixture::new(&[Behaviour::Serve], 2);
    fixture.channel.tell(2, "h0", fixture.hosts[0], "up");
    fixture.channel.tell(3, "h0", fixture.hosts[0], "draining");
    fixture.channel.tell(2, "h0", fixture.hosts[0], "up");
    fixture.channel.tell(3, "h0", fixture.hosts[0], "up");
    fixture.channel.tell(1, "h0", fixture.hosts[0], "up");
    // Told behind them all, so that they were read once it is heeded.
    fixture.channel.events.send("hang up".into()).expect("channel");
    until("it is called again from the last", || fixture.channel.calls.try_iter().any(|call| call == "3"));
    sent_to_h1_alone(&fixture);
}

fn sent_to_h1_alone(fixture: &Fixture) {
    let mut client = fixture.client();
    std::thread::sleep(Duration::from_millis(300));
    let before = fixture.fleet.sent().len();
    for number in 1..=6 {
        client.send(&check(number, 0xd0 + number as u64));
        assert!(matches!(client.receive(), Some((_, Reply::Answer(_)))));
    }
    let sent = &fixture.fleet.sent()[before..];
    assert!(sent.iter().all(|sent| sent.worker == "h1"), "{sent:?}");
}

#[test]
fn discovery_that_is_down_at_the_start_holds_up_nobody_and_is_heard_once_it_is_up() {
    let fixture = Fixture::new(&[Behaviour::Serve], 2);
    let mut config = fixture.config.clone();
    let discovery = free_address();
    config["channel"] = json!(discovery.to_string());
    let path = fixture.folder.write("deaf.json", &config.to_string());
    let daemon = Daemon::platform(&path, free_address());
    let mut client = Client::new(daemon.address);
    client.send(&check(1, 0xa1));
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))), "by the hosts known at the start");
    let channel = Channel::at(discovery);
    assert_eq!(channel.calls.recv_timeout(Duration::from_secs(5)).as_deref(), Ok("1"));
}

/// Guards the usual clients against floods of what can't be read, of new connections and of requests: memory stays
/// bounded, and they are served meanwhile.
#[test]
fn a_flood_holds_up_no_usual_client() {
    let fixture = Fixture::with_limits(&[Behaviour::Serve], 1, 256, 32);
    let address = fixture.daemon.address;
    let flood = |bytes: Vec<u8>| {
        std::thread::spawn(move || {
            for _ in 0..400 {
                if let Some(mut client) = Client::connect(address) {
                    let _ = client.socket.write_all(&bytes);
                }
            }
        })
    };
    let requests: Vec<u8> = (1..=64).flat_map(|number| check(number, 0x1000 + number as u64)).collect();
    // Whoever never had an answer gives way first, so this one is a usual client from its first answer on.
    let mut usual = fixture.client();
    usual.send(&check(1, 0xa000));
    assert!(matches!(usual.receive(), Some((1, Reply::Answer(_)))));
    let floods = [flood(vec![7; 64]), flood(Vec::new()), flood(vec![0, 0, 0, 9, 1]), flood(requests)];
    for number in 2..=200 {
        usual.send(&check(number, 0xa000 + number as u64));
        let reply = usual.receive();
        assert!(matches!(reply, Some((_, Reply::Answer(_) | Reply::Rejected(_)))), "{number}: {reply:?}");
    }
    floods.into_iter().for_each(|flood| flood.join().expect("ends"));
    // What is left of the flood in the queue may still want its place before its first request is there; it comes again.
    let served = (1..=20).any(|number| {
        let mut late = fixture.client();
        late.socket.write_all(&check(1, 0xb000 + number)).is_ok()
            && matches!(late.receive(), Some((1, Reply::Answer(_))))
    });
    assert!(served, "nobody is served after the flood: {}", fixture.daemon.errors());
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", fixture.daemon.child.id())).expect("Linux");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a line");
    let kilobytes: f64 = peak.split_whitespace().next().and_then(|text| text.parse().ok()).expect("a figure");
    assert!(kilobytes / 1024.0 < 32.0, "{peak}");
}

/// Guards a request that has come on a connection whose place is given to another: both directions were shut at once, so
/// that it was taken and its answer could not be written. There is one place; the newcomer stands in the queue before the
/// request is written, and the program stands still meanwhile.
#[test]
fn a_request_that_came_before_its_connection_gave_way_is_answered() {
    let fixture = Fixture::with_descriptor_limit(&[Behaviour::Serve], 1, ONE_PLACE);
    let mut client = fixture.client();
    client.send(&check(1, 0xa1));
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))));
    fixture.daemon.signal("STOP");
    let mut newcomer = fixture.client();
    client.send(&check(2, 0xa2));
    fixture.daemon.signal("CONT");
    assert!(matches!(client.receive(), Some((2, Reply::Answer(_)))));
    assert_eq!(client.receive(), None, "it has given way");
    newcomer.send(&check(1, 0xb1));
    assert!(matches!(newcomer.receive(), Some((1, Reply::Answer(_)))));
}

/// An answer behind its request's being taken back reaches nobody, and the connection goes on.
#[test]
fn an_answer_behind_a_cancel_reaches_nobody() {
    let fixture = Fixture::new(&[Behaviour::Hold], 1);
    let mut client = fixture.client();
    let open = fixture.send_until_dispatched(&mut client, 0xa1, "8000");
    client.send(&cancel(open));
    until_withdrawn(&fixture);
    fixture.fleet.release();
    client.send(&check(open + 1, 0xb1));
    assert!(matches!(client.receive(), Some((seqid, Reply::Answer(_))) if seqid == open + 1));
}

/// An answer and the end of its request's time stand together when the program looks: one of them is told, once.
#[test]
fn an_answer_in_the_instant_of_a_time_out_is_told_once_or_not_at_all() {
    let fixture = Fixture::new(&[Behaviour::Hold, Behaviour::Serve], 1);
    let mut client = fixture.client();
    let open = fixture.send_until_dispatched(&mut client, 0xa1, "2000");
    std::thread::sleep(Duration::from_millis(1000));
    fixture.daemon.signal("STOP");
    fixture.fleet.release();
    std::thread::sleep(Duration::from_millis(1200));
    fixture.daemon.signal("CONT");
    let reply = client.receive();
    assert!(matches!(&reply, Some((seqid, _)) if *seqid == open), "{reply:?}");
    client.send(&check(open + 1, 0xb1));
    assert!(matches!(client.receive(), Some((seqid, Reply::Answer(_))) if seqid == open + 1));
}

/// A worker whose machine takes what is written to it and reads none of it: each request has its end in time, and another
/// worker serves.
#[test]
fn a_worker_that_reads_none_holds_up_nobody() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let deaf = TcpListener::bind("127.0.0.1:0").expect("a port");
    fixture.channel.tell(2, "h9", deaf.local_addr().expect("bound"), "up");
    let (mut clients, body) = ((0..8).map(|_| fixture.client()).collect::<Vec<_>>(), vec![7; 16 << 10]);
    let (mut answers, start) = (0, Instant::now());
    for round in 1..=10 {
        for (number, client) in clients.iter_mut().enumerate() {
            let id = format!("{:016x}", 0x1000 * round + number as i32);
            client.send(&dispatch(round, &fields("check", &id, "1500"), &body));
        }
        for client in &mut clients {
            let (seqid, reply) = client.receive().expect("an answer");
            answers += u32::from(matches!(reply, Reply::Answer(_)));
            assert_eq!(seqid, round);
        }
    }
    assert!(answers >= 40, "{answers} of 80 served");
    assert!(start.elapsed() < Duration::from_secs(10 * 2), "{:?}", start.elapsed());
}

/// New versions of what is loaded come while nothing else is amiss: no call is lost, and nearly all are served.
#[test]
fn new_versions_on_a_quiet_day_lose_no_call() {
    let fixture = Fixture::with_settings(&[Behaviour::Serve], 3, 1024, 192, |settings| {
        settings["specifics"]["notLoaded"] = json!("miss");
        settings["specifics"]["placementCalls"] = json!(true);
    });
    fixture.fleet.require_load_orders();
    // A client for each model, which opens fewer than a connection may.
    let mut clients: Vec<Client> = (0..6).map(|_| fixture.client()).collect();
    let mut replies = Vec::new();
    for version in 1..=3 {
        for call in 1..=10 {
            for (number, client) in clients.iter_mut().enumerate() {
                let id = format!("{:016x}", 0x10000 * version + 0x100 * call + number as i32);
                let model = format!("{:016x}", 0x100 * version + number as i32);
                let mut fields = fields("check", &id, "4000");
                fields.iter_mut().filter(|field| field.0 == "lookup").for_each(|field| field.1 = &model);
                client.send(&dispatch(10 * version + call, &fields, b"x"));
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        for client in &mut clients {
            let mut open: Vec<i32> = (1..=10).map(|call| 10 * version + call).collect();
            while !open.is_empty() {
                let (answered, reply) = client.receive().expect("an answer");
                open.remove(open.iter().position(|open| *open == answered).expect("one answer for each"));
                replies.push(reply);
            }
        }
    }
    let served = replies.iter().filter(|reply| matches!(reply, Reply::Answer(_))).count();
    assert!(served * 10 >= replies.len() * 9, "{served} of {}: {replies:?}", replies.len());
}

/// The worker closes an idle connection in the instant in which the next request goes out on it: the program finds both
/// when it goes on. What may be repeated is served on a new connection; what may not is not sent twice.
#[test]
fn a_request_at_the_end_of_a_workers_idle_connection_goes_out_as_its_class_allows() {
    for (effect, repeats) in [("pure", true), ("side_effect", false)] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let fixture = Fixture::with_settings(&[Behaviour::Serve], 0, 1024, 192, |settings| {
            settings["classes"][0]["idempotency"] = json!(effect);
        });
        fixture.channel.tell(2, "h0", listener.local_addr().expect("bound"), "up");
        let mut client = fixture.client();
        client.send(&check(1, 0xa1));
        let (mut idle, _) = listener.accept().expect("the first connection");
        serve_one(&mut idle);
        assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))));
        fixture.daemon.signal("STOP");
        drop(idle);
        client.send(&check(2, 0xa2));
        fixture.daemon.signal("CONT");
        let served = std::thread::spawn(move || {
            listener.set_nonblocking(true).expect("set");
            let start = Instant::now();
            let mut served = 0;
            while start.elapsed() < 2 * LONG_ENOUGH {
                if let Ok((mut socket, _)) = listener.accept() {
                    socket.set_nonblocking(false).expect("set");
                    socket.set_read_timeout(Some(LONG_ENOUGH)).expect("set");
                    served += u32::from(serve_one(&mut socket));
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            served
        });
        let reply = client.receive();
        let served = served.join().expect("no panic");
        match &reply {
            Some((2, Reply::Answer(_))) => assert_eq!(served, 1, "{effect}"),
            Some((2, Reply::Crashed)) if !repeats => assert_eq!(served, 0, "it may have run"),
            _ => panic!("{effect}: {reply:?}"),
        }
    }
}

/// Answers the next request that comes on a connection; whether one came.
fn serve_one(socket: &mut TcpStream) -> bool {
    let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(Frame { id, .. }) = Frame::decode(&mut buffer, FROM_INVOKER).expect("a good frame") {
            let (mark, code, fields, body) = (FROM_WORKER, code::OK, String::new(), b"y".to_vec());
            return socket.write_all(&Frame { mark, code, id, fields, body }.encode()).is_ok();
        }
        match socket.read(&mut chunk) {
            Ok(size @ 1..) => buffer.extend(&chunk[..size]),
            _ => return false,
        }
    }
}

/// Where nobody listens any more the caller is refused, and not left without an answer.
#[test]
fn a_listener_that_has_ended_refuses() {
    let mut fixture = Fixture::new(&[Behaviour::Serve], 1);
    let address: SocketAddr = fixture.daemon.address;
    fixture.daemon.signal("TERM");
    assert_eq!(fixture.daemon.exit_code(), Some(0));
    assert!(Client::connect(address).is_none());
    TcpListener::bind(address).expect("the address is free at once");
}
