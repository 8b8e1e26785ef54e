//! The guarantees given to the operators: one test per guarantee, with a running daemon and real sockets.
mod support;

use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::late::{request_frames, SlowAcceptListener};
use support::leaving::{DepartingClient, Departure, FailureMode, Front, HoldingWorker, Site};
use support::platform::{check, dispatch, fields, nodes, Channel, Client, Fixture, Reply};
use support::workers::Behaviour;
use support::{ask, free_address, receive, until, Daemon, TEST_TIMEOUT};

/// No attempt starts later than this after its client has left.
const LAST_ATTEMPT_AFTER_DEPARTURE: Duration = Duration::from_millis(100);
/// Time to wait before asserting that something has not happened.
const OBSERVATION_TIME: Duration = Duration::from_millis(500);

/// Departures, in groups small enough to leave room for a client that stays: a new worker is given four requests at a time.
const GROUPS: [(Front, &[Departure]); 5] = [
    (Front::Platform, &[Departure::Cancels, Departure::Closes, Departure::Resets]),
    (Front::Platform, &[Departure::HalfCloses, Departure::ClosesAfterSecond]),
    (Front::Platform, &[Departure::CancelsBeforeSecond, Departure::ClosesAfterPartialRequest]),
    (Front::Http, &[Departure::Closes, Departure::Resets, Departure::HalfCloses]),
    (Front::Http, &[Departure::ClosesAfterSecond, Departure::ClosesAfterPartialRequest]),
];

/// Makes the clients leave and waits for the time in which an attempt may still start.
fn leave(leavers: Vec<DepartingClient>) -> Vec<Option<TcpStream>> {
    let left = leavers.into_iter().map(DepartingClient::leave).collect();
    std::thread::sleep(LAST_ATTEMPT_AFTER_DEPARTURE);
    left
}

/// Number of requests in flight at the same time: on an HTTP connection a second request waits for the first.
fn open(front: Front, ways: &[Departure]) -> u64 {
    let two = |way: &&Departure| matches!(way, Departure::CancelsBeforeSecond | Departure::ClosesAfterSecond);
    let second = if front == Front::Platform { ways.iter().filter(two).count() } else { 0 };
    (ways.len() + second) as u64
}

/// Checks that the client that stays is served and that nothing is sent for those that have left.
fn assert_only_stayers_are_sent_on(site: &Site, stayer: TcpStream, case: &str) {
    site.assert_served(stayer);
    std::thread::sleep(OBSERVATION_TIME);
    let sent = site.fleet.sent();
    assert!(sent.iter().all(|sent| sent.body.starts_with(b"stayer")), "{case}: {sent:?}");
}

#[test]
fn requests_of_clients_that_left_while_no_worker_took_work_are_not_sent() {
    for (front, ways) in GROUPS {
        let mut site = Site::new(front);
        let worker = site.fleet.frames("h1");
        let leavers: Vec<DepartingClient> =
            ways.iter().map(|way| site.send_and_prepare_departure(*way)).collect();
        let stayer = site.ask("stayer");
        site.until_counted("taken", open(front, ways) + 1);
        let _open = leave(leavers);
        site.set_worker("h1", worker, "up");
        assert_only_stayers_are_sent_on(&site, stayer, &format!("{front:?} {ways:?}"));
    }
}

/// The same while the daemon is stopped: it finds the departures and the worker update at the same time.
#[test]
fn requests_of_clients_that_left_while_the_daemon_was_stopped_are_not_sent() {
    for (front, ways) in GROUPS.into_iter().filter(|group| group.0 == Front::Platform) {
        let mut site = Site::new(front);
        let worker = site.fleet.frames("h1");
        let leavers: Vec<DepartingClient> =
            ways.iter().map(|way| site.send_and_prepare_departure(*way)).collect();
        let stayer = site.ask("stayer");
        site.until_counted("taken", open(front, ways) + 1);
        site.signal("STOP");
        let _open = leave(leavers);
        site.set_worker("h1", worker, "up");
        std::thread::sleep(LAST_ATTEMPT_AFTER_DEPARTURE);
        site.signal("CONT");
        assert_only_stayers_are_sent_on(&site, stayer, &format!("{front:?} {ways:?}"));
    }
}

/// Puts all requests in flight at one worker. Returns the site, that worker, the clients that will leave and one that stays.
fn all_in_flight(front: Front, ways: &[Departure]) -> (Site, HoldingWorker, Vec<DepartingClient>, TcpStream) {
    let (mut site, holding) = (Site::new(front), HoldingWorker::new());
    site.set_worker("h0", holding.address, "up");
    let leavers: Vec<DepartingClient> =
        ways.iter().map(|way| site.send_and_prepare_departure(*way)).collect();
    let stayer = site.ask("stayer");
    let count = open(front, ways) as usize + 1;
    until("all requests are in flight", || holding.bodies().len() == count);
    (site, holding, leavers, stayer)
}

fn assert_no_attempt_follows_a_failure_after_departure(failing: FailureMode) {
    for (front, ways) in GROUPS {
        let (mut site, holding, leavers, stayer) = all_in_flight(front, ways);
        let next = site.fleet.frames("h1");
        site.set_worker("h0", holding.address, "draining");
        site.set_worker("h1", next, "up");
        let _open = leave(leavers);
        let before = holding.bodies().len();
        holding.fail(failing);
        assert_only_stayers_are_sent_on(&site, stayer, &format!("{front:?} {ways:?} {failing:?}"));
        assert_eq!(holding.bodies().len(), before, "{front:?} {ways:?} {failing:?}");
    }
}

#[test]
fn an_attempt_whose_connection_fails_after_its_client_left_is_the_last() {
    assert_no_attempt_follows_a_failure_after_departure(FailureMode::Disconnect);
}

#[test]
fn an_attempt_that_is_refused_after_its_client_left_is_the_last() {
    assert_no_attempt_follows_a_failure_after_departure(FailureMode::Full);
}

#[test]
fn an_attempt_that_fails_after_its_client_left_is_the_last() {
    assert_no_attempt_follows_a_failure_after_departure(FailureMode::Error);
}

/// The clients leave while the first attempt has failed and the next one waits for a worker.
#[test]
fn requests_of_clients_that_left_between_two_attempts_are_not_sent_again() {
    for (front, ways) in GROUPS {
        let (mut site, holding, leavers, stayer) = all_in_flight(front, ways);
        let next = site.fleet.frames("h1");
        site.set_worker("h0", holding.address, "draining");
        std::thread::sleep(OBSERVATION_TIME / 2);
        holding.fail(FailureMode::Full);
        site.until_counted("lost_full", open(front, ways) + 1);
        let left_at = Instant::now();
        let _open = leave(leavers);
        assert!(left_at.elapsed() >= LAST_ATTEMPT_AFTER_DEPARTURE);
        site.set_worker("h1", next, "up");
        assert_only_stayers_are_sent_on(&site, stayer, &format!("{front:?} {ways:?}"));
    }
}

/// Processes that are killed at once.
const KILLED: usize = 20;
/// Workers in the list of each process.
const LISTED: usize = 30;
const READY_WITHIN: Duration = Duration::from_secs(10);

/// Runs a client that retries whenever it is refused or its connection ends; returns when it was first served.
fn first_served(address: SocketAddr, number: u64) -> Instant {
    let start = Instant::now();
    for attempt in 1..=u64::MAX {
        assert!(start.elapsed() < TEST_TIMEOUT, "not served again");
        if let Some(mut client) = Client::connect(address) {
            let sent = client.socket.write_all(&check(1, number << 32 | attempt)).is_ok();
            if sent && matches!(client.receive(), Some((1, Reply::Answer(_)))) {
                return Instant::now();
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    unreachable!("the clock runs")
}

/// Processes that were killed together must serve again within [`READY_WITHIN`] of their restart, with a long list of
/// workers and under the load of clients that keep reconnecting.
#[test]
fn processes_that_were_killed_at_once_serve_again_in_time() {
    const CLIENTS: usize = 3;
    let fixture = Fixture::new(&[Behaviour::Serve], LISTED);
    let configure = |number: usize| {
        let mut config = fixture.config.clone();
        config["name"] = json!(format!("n{number}"));
        config["admin"] = json!(free_address().to_string());
        fixture.folder.write(&format!("config{number}.json"), &config.to_string())
    };
    let places: Vec<_> = (1..=KILLED).map(|number| (configure(number), free_address())).collect();
    let start = |place: &(std::path::PathBuf, SocketAddr)| Daemon::spawn_platform(&place.0, place.1, &[]);
    let mut daemons: Vec<Daemon> = places.iter().map(start).collect();
    for (number, place) in places.iter().enumerate() {
        first_served(place.1, number as u64 + 1);
    }
    for daemon in &mut daemons {
        daemon.child.kill().expect("own child");
    }
    daemons.clear();
    let (sender, served) = std::sync::mpsc::channel();
    for client in 0..KILLED * CLIENTS {
        let (sender, address) = (sender.clone(), places[client % KILLED].1);
        std::thread::spawn(move || {
            sender.send((client % KILLED, first_served(address, 100 + client as u64)))
        });
    }
    std::thread::sleep(OBSERVATION_TIME);
    let restarted = Instant::now();
    let _daemons: Vec<Daemon> = places.iter().map(start).collect();
    let mut ready = vec![Duration::MAX; KILLED];
    for _ in 0..KILLED * CLIENTS {
        let (process, at) = served.recv_timeout(TEST_TIMEOUT).expect("each client is served");
        ready[process] = ready[process].min(at - restarted);
    }
    ready.sort();
    println!("first answers from {:?} to {:?}, median {:?}", ready[0], ready[KILLED - 1], ready[KILLED / 2]);
    assert!(ready[KILLED - 1] < READY_WITHIN, "{ready:?}");
}

/// A reload that is followed at once by the operators' drain is applied: a worker of the new channel serves the open request.
#[test]
fn a_reload_followed_by_a_drain_is_applied() {
    let fixture = Fixture::new(&[Behaviour::Serve], 0);
    let worker = fixture.fleet.frames("h0");
    let mut client = fixture.client();
    client.send(&check(1, 0xa1));
    until("the request is accepted", || {
        fixture.daemon.signal("USR1");
        fixture.daemon.errors().contains("taken=1 ")
    });
    let next = Channel::new();
    let mut config = fixture.config.clone();
    config["channel"] = json!(next.address.to_string());
    fixture.folder.write("config.json", &config.to_string());
    fixture.daemon.signal("HUP");
    assert_eq!(ask(fixture.admin, "PUT", "/v1/invoker/drain", &[], b"").status, 200);
    next.tell(2, "h0", worker, "up");
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))), "{}", fixture.daemon.errors());
    assert_eq!(client.receive(), None, "drained: the connection is closed once no request is open");
}

/// The daemon reconnects after a channel that falls silent and one that accepts the connection and sends nothing, and then
/// applies a snapshot: workers in it keep their open requests, and workers that are missing get no more.
#[test]
fn a_snapshot_after_a_channel_that_sends_nothing_is_applied() {
    let fixture = Fixture::new(&[Behaviour::Hold, Behaviour::Serve], 2);
    let mut client = fixture.client();
    // A call of a keyed class is not cancelled for lack of an answer.
    client.send(&dispatch(1, &fields("post", "00000000000000a1", "6000"), b"x"));
    until("the request is in flight", || !fixture.fleet.sent().is_empty());
    let holder = fixture.fleet.sent()[0].worker.clone();
    let number = usize::from(holder == "h1");
    let channel = SlowAcceptListener::new();
    let mut config = fixture.config.clone();
    config["channel"] = json!(channel.address.to_string());
    fixture.folder.write("config.json", &config.to_string());
    fixture.daemon.signal("HUP");
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n";
    let mut first = channel.accept(TEST_TIMEOUT).expect("the first connection");
    first.write_all(head.as_bytes()).expect("written");
    let fell_silent = Instant::now();
    let _mute = channel.accept(TEST_TIMEOUT).expect("the second connection");
    let mut third = channel.accept(TEST_TIMEOUT).expect("the third connection");
    println!("the third connection came {:?} after the first fell silent", fell_silent.elapsed());
    let whole = nodes(2, true, &[(&holder, fixture.hosts[number], "up")]);
    third.write_all(format!("{head}id: 2\ndata: {whole}\n\n").as_bytes()).expect("written");
    // A comment line keeps this connection from counting as silent.
    std::thread::sleep(OBSERVATION_TIME);
    third.write_all(b":\n\n").expect("written");
    fixture.fleet.release();
    assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))));
    for seqid in 10..16 {
        client.send(&check(seqid, 0xb0 + seqid as u64));
        assert!(matches!(client.receive(), Some((_, Reply::Answer(_)))));
    }
    let sent = fixture.fleet.sent();
    assert!(sent.iter().all(|sent| sent.worker == holder), "{sent:?}");
}

/// A process is killed while some connections are in its accept queue and others were just accepted: a new process can
/// serve at its address.
#[test]
fn a_process_that_is_killed_right_after_an_accept_leaves_its_address_to_the_next() {
    let mut fixture = Fixture::new(&[Behaviour::Serve], 1);
    let address = fixture.daemon.address;
    let mut early: Vec<Client> = (0..8).map(|_| fixture.client()).collect();
    fixture.daemon.signal("STOP");
    let mut late: Vec<Client> = (0..8).map(|_| fixture.client()).collect();
    for client in early.iter_mut().chain(&mut late) {
        client.send(&check(1, 0xa1));
    }
    fixture.daemon.signal("CONT");
    fixture.daemon.child.kill().expect("own child");
    fixture.daemon.child.wait().expect("own child");
    for client in early.iter_mut().chain(&mut late) {
        let end = client.receive();
        assert!(matches!(end, None | Some((1, _))), "{end:?}");
    }
    let _next = Daemon::spawn_platform(&fixture.folder.0.join("config.json"), address, &[]);
    first_served(address, 0xb);
}

/// Sends bytes in two parts, with a pause so that the first is read separately.
fn send_in_two(socket: &mut TcpStream, bytes: &[u8], at: usize) {
    socket.set_nodelay(true).expect("set");
    socket.write_all(&bytes[..at]).expect("written");
    std::thread::sleep(Duration::from_millis(2));
    socket.write_all(&bytes[at..]).expect("written");
}

#[test]
fn a_platform_request_that_is_split_anywhere_is_served() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let mut client = fixture.client();
    for at in 1..check(1, 0xa1).len() {
        let seqid = at as i32;
        send_in_two(&mut client.socket, &check(seqid, 0x1000 + at as u64), at);
        let reply = client.receive();
        assert!(matches!(reply, Some((answered, Reply::Answer(_))) if answered == seqid), "{at}: {reply:?}");
    }
}

#[test]
fn an_http_request_that_is_split_anywhere_is_served() {
    let mut site = Site::new(Front::Http);
    let worker = site.fleet.frames("h0");
    site.set_worker("h0", worker, "up");
    let request = Front::Http.request(1, "body");
    let mut socket = site.ask("first");
    let mut reader = BufReader::new(socket.try_clone().expect("cloned"));
    assert_eq!(receive(&mut reader).status, 200);
    for at in 1..request.len() {
        send_in_two(&mut socket, &request, at);
        assert_eq!(receive(&mut reader).status, 200, "{at}");
    }
    socket.set_nodelay(true).expect("set");
    for byte in &request {
        socket.write_all(&[*byte]).expect("written");
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(receive(&mut reader).status, 200, "byte by byte");
}

#[test]
fn an_operators_request_that_is_split_anywhere_is_answered() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    until("it is ready", || ask(fixture.admin, "GET", "/v1/readyz", &[], b"").status == 200);
    let request = b"GET /v1/readyz HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n";
    for at in 1..request.len() {
        let mut socket = TcpStream::connect(fixture.admin).expect("connects");
        send_in_two(&mut socket, request, at);
        assert_eq!(receive(&mut BufReader::new(socket)).status, 200, "{at}");
    }
}

/// Tolerance by which the time passed to a worker may exceed what its client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// The deadline sent to a worker is the time that is left when the request is sent, not when the worker was chosen.
#[test]
fn the_time_sent_to_a_worker_is_no_more_than_the_client_has_left() {
    let worker = SlowAcceptListener::new();
    let fixture = Fixture::with_settings(&[Behaviour::Serve], 0, 1024, 192, |settings| {
        settings["ceilings"]["connectTimeoutMs"] = json!(3000.0);
    });
    let _full = worker.fill();
    fixture.channel.tell(2, "h0", worker.address, "up");
    let mut client = fixture.client();
    let allowed = Duration::from_millis(3500);
    let asked = Instant::now();
    client.send(&dispatch(1, &fields("check", "00000000000000a1", "3500"), b"x"));
    std::thread::sleep(OBSERVATION_TIME);
    worker.accept(TEST_TIMEOUT).expect("the connection that filled the accept queue");
    let late = worker.accept(TEST_TIMEOUT).expect("the delayed connection");
    let frames = request_frames(&late, OBSERVATION_TIME);
    let left = allowed.saturating_sub(asked.elapsed() - OBSERVATION_TIME);
    let sent = frames.first().and_then(|frame| frame.field("ms")).and_then(|ms| ms.parse().ok());
    let sent = Duration::from_millis(sent.expect("a request with its time"));
    assert!(sent <= left + DEADLINE_SLACK, "sent {sent:?}, left {left:?}");
}

/// The same while the daemon is stopped with the request unread.
#[test]
fn the_time_sent_to_a_worker_excludes_a_pause_of_the_process() {
    let worker = SlowAcceptListener::new();
    let fixture = Fixture::new(&[Behaviour::Serve], 0);
    fixture.channel.tell(2, "h0", worker.address, "up");
    let mut client = fixture.client();
    // Time for the connection to be accepted and the worker update to arrive.
    std::thread::sleep(OBSERVATION_TIME);
    fixture.daemon.signal("STOP");
    let asked = Instant::now();
    client.send(&dispatch(1, &fields("check", "00000000000000a1", "3000"), b"x"));
    std::thread::sleep(2 * OBSERVATION_TIME);
    fixture.daemon.signal("CONT");
    let connection = worker.accept(TEST_TIMEOUT).expect("the attempt");
    let frames = request_frames(&connection, OBSERVATION_TIME);
    let left = Duration::from_millis(3000).saturating_sub(asked.elapsed() - OBSERVATION_TIME);
    let sent = frames.first().and_then(|frame| frame.field("ms")).and_then(|ms| ms.parse().ok());
    let sent = Duration::from_millis(sent.expect("a request with its time"));
    assert!(sent <= left + DEADLINE_SLACK, "sent {sent:?}, left {left:?}");
}
