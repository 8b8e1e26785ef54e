//! Race conditions on the Thrift front: events that arrive at the moment in which something else ends. The tests bring
//! about the critical order from the peer's side, or by stopping the daemon while they write.
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

/// Time to wait before asserting that something has not happened.
const OBSERVATION_TIME: Duration = Duration::from_millis(700);
/// Descriptor limit that leaves room for a single client connection.
const ONE_CONNECTION: u32 = 42;
/// Time after SIGTERM by which the daemon has started to close client connections.
const CLOSING_AFTER_SIGTERM: Duration = Duration::from_millis(1000);
/// Time after the operators' drain at which the daemon closes client connections.
const CLOSING_AFTER_DRAIN: Duration = Duration::from_millis(700);

/// Waits until the daemon has accepted `count` requests.
fn until_accepted(fixture: &Fixture, count: u32) {
    let line = format!("taken={count} ");
    until("the request is accepted", || {
        fixture.daemon.signal("USR1");
        fixture.daemon.errors().contains(&line)
    });
}

fn check(seqid: i32, id: u64) -> Vec<u8> {
    dispatch(seqid, &fields("check", &format!("{id:016x}"), "4000"), b"x")
}

/// How a client cancels its request or disconnects.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Cancels,
    Closes,
}

impl Departure {
    /// Makes the client leave and returns its connection if that stays open.
    fn leave(self, mut client: Client, seqid: i32) -> Option<Client> {
        match self {
            Departure::Cancels => {
                client.send(&cancel(seqid));
                Some(client)
            }
            Departure::Closes => None,
        }
    }
}

const DEPARTURES: [Departure; 2] = [Departure::Cancels, Departure::Closes];

#[test]
fn a_client_that_left_while_no_worker_took_work_is_not_sent_on() {
    for departure in DEPARTURES {
        let fixture = Fixture::new(&[Behaviour::Serve], 0);
        let worker = fixture.fleet.frames("h0");
        let mut client = fixture.client();
        client.send(&check(1, 0xa1));
        until_accepted(&fixture, 1);
        let _open_connection = departure.leave(client, 1);
        until_withdrawn(&fixture);
        fixture.channel.tell(2, "h0", worker, "up");
        let mut other = fixture.client();
        other.send(&check(1, 0xa2));
        assert!(matches!(other.receive(), Some((1, Reply::Answer(_)))), "{departure:?}");
        std::thread::sleep(OBSERVATION_TIME);
        assert_eq!(fixture.fleet.sent().len(), 1, "{departure:?}");
    }
}

fn until_withdrawn(fixture: &Fixture) {
    until("the request is withdrawn", || {
        fixture.daemon.signal("USR1");
        fixture.daemon.errors().contains("withdrawn=1 ")
    });
}

#[test]
fn a_client_that_left_while_a_connection_came_up_is_not_sent_on() {
    for departure in DEPARTURES {
        let worker = SlowAcceptListener::new();
        let fixture = Fixture::with_settings(&[Behaviour::Serve], 0, 1024, 192, |settings| {
            settings["ceilings"]["connectTimeoutMs"] = json!(8000.0);
        });
        let _full = worker.fill();
        fixture.channel.tell(2, "h0", worker.address, "up");
        let mut client = fixture.client();
        client.send(&check(1, 0xa1));
        until("the request waits for its connection", || {
            fixture.daemon.signal("USR1");
            fixture.daemon.errors().contains("sent=1 ")
        });
        let _open_connection = departure.leave(client, 1);
        until_withdrawn(&fixture);
        worker.accept(TEST_TIMEOUT).expect("the connection that filled the accept queue");
        let connection = worker.accept(TEST_TIMEOUT).expect("the delayed connection");
        assert!(requests(&connection, OBSERVATION_TIME).is_empty(), "{departure:?}");
    }
}

#[test]
fn a_client_that_left_while_its_model_was_loaded_is_not_sent_on() {
    for departure in DEPARTURES {
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
        let _open_connection = departure.leave(client, 1);
        until_withdrawn(&fixture);
        fixture.fleet.release();
        std::thread::sleep(OBSERVATION_TIME);
        assert_eq!(fixture.fleet.sent().len(), before, "{departure:?}");
    }
}

/// The first attempt fails while no worker accepts work, so that the second has to wait for one.
#[test]
fn a_client_that_left_before_its_second_attempt_is_not_sent_on() {
    for departure in DEPARTURES {
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
        until("the attempt has failed", || {
            fixture.daemon.signal("USR1");
            fixture.daemon.errors().contains("lost_reset=1 ")
        });
        let _open_connection = departure.leave(client, 1);
        until_withdrawn(&fixture);
        fixture.channel.tell(4, "h0", worker.address, "up");
        assert!(worker.accept(OBSERVATION_TIME).is_none(), "{departure:?}");
    }
}

/// The same during shutdown: once the daemon had started to close connections it no longer noticed that a client closed its
/// own, and sent the request as soon as a worker accepted work.
#[test]
fn a_client_that_left_during_the_drain_is_not_sent_on() {
    for departure in DEPARTURES {
        let mut fixture = Fixture::new(&[Behaviour::Serve], 0);
        let worker = fixture.fleet.frames("h0");
        let (mut leaver, mut stayer) = (fixture.client(), fixture.client());
        leaver.send(&check(1, 0xa1));
        stayer.send(&check(1, 0xa2));
        until_accepted(&fixture, 2);
        fixture.daemon.signal("TERM");
        std::thread::sleep(CLOSING_AFTER_SIGTERM);
        let _open_connection = departure.leave(leaver, 1);
        std::thread::sleep(Duration::from_millis(200));
        fixture.channel.tell(2, "h0", worker, "up");
        assert!(matches!(stayer.receive(), Some((1, Reply::Answer(_)))), "{departure:?}");
        assert_eq!(fixture.daemon.exit_code(), Some(0));
        assert_eq!(fixture.fleet.sent().len(), 1, "{departure:?}");
    }
}

/// Requests may be unread when the daemon starts to close their connections. With the reading side shut down it did not
/// notice that the client left, and sent the request as soon as a worker accepted work.
#[test]
fn a_client_whose_request_was_unread_at_the_drain_is_noticed_when_it_leaves() {
    const CLIENTS: u64 = 40;
    let fixture = Fixture::new(&[Behaviour::Serve], 0);
    let worker = fixture.fleet.frames("h0");
    assert!(ask(fixture.admin, "PUT", "/v1/invoker/drain", &[], b"").status < 300);
    let called = Instant::now();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| fixture.client()).collect();
    std::thread::sleep(CLOSING_AFTER_DRAIN.saturating_sub(called.elapsed() + Duration::from_millis(300)));
    fixture.daemon.signal("STOP");
    for (client, id) in clients.iter_mut().zip(0x100..) {
        client.send(&check(1, id));
    }
    std::thread::sleep(CLOSING_AFTER_DRAIN.saturating_sub(called.elapsed()) + Duration::from_millis(100));
    fixture.daemon.signal("CONT");
    until_accepted(&fixture, CLIENTS as u32);
    drop(clients);
    let withdrawn = format!("withdrawn={CLIENTS} ");
    until("all requests are withdrawn", || {
        fixture.daemon.signal("USR1");
        fixture.daemon.errors().contains(&withdrawn)
    });
    fixture.channel.tell(2, "h0", worker, "up");
    std::thread::sleep(OBSERVATION_TIME);
    assert!(fixture.fleet.sent().is_empty());
}

/// Requests that arrive before shutdown are answered although they are read late: the process is stopped while it still
/// accepts requests and continued after that time, and then finds them all at once.
#[test]
fn requests_that_arrived_before_shutdown_are_answered() {
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
    std::thread::sleep(CLOSING_AFTER_SIGTERM);
    fixture.daemon.signal("CONT");
    for (number, client) in clients.iter_mut().enumerate() {
        let reply = client.receive();
        assert!(matches!(reply, Some((2, Reply::Answer(_) | Reply::Rejected(_)))), "{number}: {reply:?}");
    }
    assert_eq!(fixture.daemon.exit_code(), Some(0));
}

/// A request that arrives just as its idle connection times out is read and answered.
#[test]
fn a_request_at_the_idle_timeout_of_its_connection_is_answered() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let mut client = fixture.client();
    client.send(&check(1, 0xa1));
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))));
    std::thread::sleep(Duration::from_millis(4000));
    fixture.daemon.signal("STOP");
    client.send(&check(2, 0xa2));
    // The idle timeout of 4.5 s passes meanwhile.
    std::thread::sleep(Duration::from_millis(800));
    fixture.daemon.signal("CONT");
    assert!(matches!(client.receive(), Some((2, Reply::Answer(_)))));
}

/// Starts a daemon with a request that waits because there is no worker, and points its configuration to a new channel.
/// Returns the fixture, the address of a worker, the client and the new channel.
fn waiting_request_with_new_channel() -> (Fixture, SocketAddr, Client, Channel) {
    let fixture = Fixture::new(&[Behaviour::Serve], 0);
    let worker = fixture.fleet.frames("h0");
    let mut client = fixture.client();
    client.send(&check(1, 0xa1));
    until_accepted(&fixture, 1);
    let next = Channel::new();
    reload_to(&fixture, &next);
    (fixture, worker, client, next)
}

fn reload_to(fixture: &Fixture, channel: &Channel) {
    let mut config = fixture.config.clone();
    config["channel"] = json!(channel.address.to_string());
    fixture.folder.write("config.json", &config.to_string());
}

/// A reload that followed SIGTERM used to be ignored. The process needs it to receive worker updates, since the old channel
/// may be gone.
#[test]
fn a_reload_during_shutdown_is_applied() {
    let (mut fixture, worker, mut client, next) = waiting_request_with_new_channel();
    fixture.daemon.signal("TERM");
    std::thread::sleep(Duration::from_millis(100));
    fixture.daemon.signal("HUP");
    next.tell(2, "h0", worker, "up");
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))), "{}", fixture.daemon.errors());
    assert_eq!(fixture.daemon.exit_code(), Some(0));
}

/// Both signals are pending when the process checks; both are handled, in either order.
#[test]
fn simultaneous_sighup_and_sigterm_are_both_handled() {
    for [first, second] in [["HUP", "TERM"], ["TERM", "HUP"]] {
        let (mut fixture, worker, mut client, next) = waiting_request_with_new_channel();
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

/// An incomplete message on a connection used to close it together with the requests still open on it.
#[test]
fn an_incomplete_message_does_not_end_open_requests_before_it() {
    let fixture = Fixture::new(&[Behaviour::Hold], 1);
    let mut client = fixture.client();
    let open = fixture.send_until_dispatched(&mut client, 0xa1, "8000");
    let next = check(open + 1, 0xb1);
    client.send(&next[..next.len() / 2]);
    // Longer than an incomplete message is waited for on a connection without open requests.
    std::thread::sleep(Duration::from_millis(2200));
    fixture.fleet.release();
    assert!(matches!(client.receive(), Some((seqid, Reply::Answer(_))) if seqid == open));
    assert_eq!(client.receive(), None, "no request is open, and the message has timed out");
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

/// The deduplication window of a keyed class may be shorter than connecting takes: a repeat is not sent once the window
/// has passed.
#[test]
fn a_keyed_repeat_is_sent_within_its_deduplication_window_or_not_at_all() {
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
    worker.accept(TEST_TIMEOUT).expect("the connection that filled the accept queue");
    let second = worker.accept(TEST_TIMEOUT).expect("the delayed connection");
    assert!(requests(&second, OBSERVATION_TIME).is_empty(), "the window is over");
    assert_eq!(client.receive(), Some((1, Reply::Crashed)), "it may have run");
}

/// A request waits for a connection that is not established no longer than the connect timeout.
#[test]
fn a_connection_that_is_never_established_times_out_and_another_worker_serves() {
    let worker = SlowAcceptListener::new();
    let fixture = Fixture::new(&[Behaviour::Serve], 0);
    let _full = worker.fill();
    fixture.channel.tell(2, "h0", worker.address, "up");
    let mut client = fixture.client();
    client.send(&check(1, 0xa1));
    until("the connection attempt has failed", || {
        fixture.daemon.signal("USR1");
        fixture.daemon.errors().contains("dials_failed=1 ")
    });
    fixture.channel.tell(3, "h1", fixture.fleet.frames("h1"), "up");
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))), "{}", fixture.daemon.errors());
}

/// A command channel that stays open but sends nothing is reconnected from the last event, so that drains are not missed.
#[test]
fn a_silent_command_channel_is_reconnected() {
    let fixture = Fixture::new(&[Behaviour::Serve], 2);
    assert_eq!(fixture.channel.calls.recv_timeout(TEST_TIMEOUT).as_deref(), Ok("1"));
    fixture.channel.tell(2, "h9", free_address(), "removed");
    fixture.channel.events.send("fall silent".into()).expect("channel");
    assert_eq!(fixture.channel.calls.recv_timeout(TEST_TIMEOUT).as_deref(), Ok("2"));
    fixture.channel.tell(3, "h0", fixture.hosts[0], "draining");
    assert_only_h1_is_sent_requests(&fixture);
}

/// A channel that repeats events or sends events older than those received must not revert a drain.
#[test]
fn repeated_channel_events_revert_nothing() {
    let fixture = Fixture::new(&[Behaviour::Serve], 2);
    fixture.channel.tell(2, "h0", fixture.hosts[0], "up");
    fixture.channel.tell(3, "h0", fixture.hosts[0], "draining");
    fixture.channel.tell(2, "h0", fixture.hosts[0], "up");
    fixture.channel.tell(3, "h0", fixture.hosts[0], "up");
    fixture.channel.tell(1, "h0", fixture.hosts[0], "up");
    // Sent after all of them: once the daemon reconnects it has read them.
    fixture.channel.events.send("hang up".into()).expect("channel");
    until("it reconnects from the last event", || fixture.channel.calls.try_iter().any(|call| call == "3"));
    assert_only_h1_is_sent_requests(&fixture);
}

fn assert_only_h1_is_sent_requests(fixture: &Fixture) {
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
fn a_command_channel_that_is_down_at_start_blocks_no_request_and_is_read_once_it_is_up() {
    let fixture = Fixture::new(&[Behaviour::Serve], 2);
    let mut config = fixture.config.clone();
    let discovery = free_address();
    config["channel"] = json!(discovery.to_string());
    let path = fixture.folder.write("deaf.json", &config.to_string());
    let daemon = Daemon::platform(&path, free_address());
    let mut client = Client::new(daemon.address);
    client.send(&check(1, 0xa1));
    assert!(
        matches!(client.receive(), Some((1, Reply::Answer(_)))),
        "served by the hosts of the configuration"
    );
    let channel = Channel::at(discovery);
    assert_eq!(channel.calls.recv_timeout(Duration::from_secs(5)).as_deref(), Ok("1"));
}

/// Floods of invalid data, new connections and requests must not exceed the memory limit, and a regular client is served
/// meanwhile.
#[test]
fn a_flood_does_not_block_a_regular_client() {
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
    // Connections that never had an answer are closed first, so from its first answer on this client is preferred to them.
    let mut regular = fixture.client();
    regular.send(&check(1, 0xa000));
    assert!(matches!(regular.receive(), Some((1, Reply::Answer(_)))));
    let floods = [flood(vec![7; 64]), flood(Vec::new()), flood(vec![0, 0, 0, 9, 1]), flood(requests)];
    for number in 2..=200 {
        regular.send(&check(number, 0xa000 + number as u64));
        let reply = regular.receive();
        assert!(matches!(reply, Some((_, Reply::Answer(_) | Reply::Rejected(_)))), "{number}: {reply:?}");
    }
    floods.into_iter().for_each(|flood| flood.join().expect("ends"));
    // Connections of the flood that are still queued may take the slot of a new client before its first request arrives, so
    // it retries.
    let served = (1..=20).any(|number| {
        let mut late = fixture.client();
        late.socket.write_all(&check(1, 0xb000 + number)).is_ok()
            && matches!(late.receive(), Some((1, Reply::Answer(_))))
    });
    assert!(served, "no client is served after the flood: {}", fixture.daemon.errors());
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", fixture.daemon.child.id())).expect("Linux");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a line");
    let kilobytes: f64 = peak.split_whitespace().next().and_then(|text| text.parse().ok()).expect("a figure");
    assert!(kilobytes / 1024.0 < 32.0, "{peak}");
}

/// A request may arrive on an idle connection that is being closed to make room. Both directions used to be shut down at
/// once, so that the request was accepted and its answer could not be written. There is room for one connection; the new
/// one is queued before the request is written, while the daemon is stopped.
#[test]
fn a_request_that_arrives_before_its_connection_is_closed_to_make_room_is_answered() {
    let fixture = Fixture::with_descriptor_limit(&[Behaviour::Serve], 1, ONE_CONNECTION);
    let mut client = fixture.client();
    client.send(&check(1, 0xa1));
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))));
    fixture.daemon.signal("STOP");
    let mut new_client = fixture.client();
    client.send(&check(2, 0xa2));
    fixture.daemon.signal("CONT");
    assert!(matches!(client.receive(), Some((2, Reply::Answer(_)))));
    assert_eq!(client.receive(), None, "closed to make room");
    new_client.send(&check(1, 0xb1));
    assert!(matches!(new_client.receive(), Some((1, Reply::Answer(_)))));
}

/// An answer that arrives after its request was cancelled is dropped, and the connection stays usable.
#[test]
fn an_answer_after_a_cancel_is_dropped() {
    let fixture = Fixture::new(&[Behaviour::Hold], 1);
    let mut client = fixture.client();
    let open = fixture.send_until_dispatched(&mut client, 0xa1, "8000");
    client.send(&cancel(open));
    until_withdrawn(&fixture);
    fixture.fleet.release();
    client.send(&check(open + 1, 0xb1));
    assert!(matches!(client.receive(), Some((seqid, Reply::Answer(_))) if seqid == open + 1));
}

/// The answer and the deadline of a request are both due when the daemon continues: the client gets one reply.
#[test]
fn an_answer_at_the_moment_of_a_timeout_leads_to_one_reply() {
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

/// A worker whose kernel accepts data that the worker never reads: each request ends in time, and another worker serves.
#[test]
fn a_worker_that_never_reads_blocks_no_request() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let unread = TcpListener::bind("127.0.0.1:0").expect("a port");
    fixture.channel.tell(2, "h9", unread.local_addr().expect("bound"), "up");
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

/// New versions of models arrive while nothing else fails: every call is answered, and at least nine of ten are served.
#[test]
fn new_model_versions_lose_no_call() {
    let fixture = Fixture::with_settings(&[Behaviour::Serve], 3, 1024, 192, |settings| {
        settings["specifics"]["notLoaded"] = json!("miss");
        settings["specifics"]["placementCalls"] = json!(true);
    });
    fixture.fleet.require_load_orders();
    // One client per model, so that each connection stays under its limit of open requests.
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

/// The worker closes an idle connection just as the next request is sent on it; the daemon finds both when it continues. A
/// request that may be repeated is served on a new connection, any other is not sent twice.
#[test]
fn a_request_on_a_connection_that_the_worker_closes_is_retried_as_its_class_allows() {
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
            while start.elapsed() < 2 * OBSERVATION_TIME {
                if let Ok((mut socket, _)) = listener.accept() {
                    socket.set_nonblocking(false).expect("set");
                    socket.set_read_timeout(Some(OBSERVATION_TIME)).expect("set");
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

/// Answers the next request on a connection; returns whether there was one.
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

/// After shutdown new connections are refused rather than left unanswered.
#[test]
fn connections_after_shutdown_are_refused() {
    let mut fixture = Fixture::new(&[Behaviour::Serve], 1);
    let address: SocketAddr = fixture.daemon.address;
    fixture.daemon.signal("TERM");
    assert_eq!(fixture.daemon.exit_code(), Some(0));
    assert!(Client::connect(address).is_none());
    TcpListener::bind(address).expect("the address is free at once");
}
