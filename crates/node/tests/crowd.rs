//! Overload by connections: far more clients than the daemon may hold connections for, on both fronts.
mod support;

use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::platform::{dispatch, fields, Client, Fixture, Reply};
use support::workers::{Behaviour, Fleet};
use support::{receive, start, until, Daemon, Folder, CLASSES};

const CHECK: &str = "/v1/functions/check/invocations";
/// Descriptor limit that leaves room for four client connections.
const FOUR_CLIENTS: u32 = 48;
/// Descriptor limit that leaves room for one client connection.
const ONE_CLIENT: u32 = 42;
/// Lowest descriptor limit of the HTTP front.
const MIN_HTTP_DESCRIPTORS: u32 = 64;
/// Client connections that [`MIN_HTTP_DESCRIPTORS`] leaves room for.
const HTTP_CLIENTS: usize = 12;
/// The time that a client of `check` waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(4000);
/// Time to wait before asserting that something has not happened.
const OBSERVATION_TIME: Duration = Duration::from_millis(700);

fn check(seqid: i32, id: u64) -> Vec<u8> {
    dispatch(seqid, &fields("check", &format!("{id:016x}"), "4000"), b"x")
}

fn descriptors(daemon: &Daemon) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", daemon.child.id())).expect("Linux").count()
}

fn http_daemon(worker: Option<SocketAddr>, sockets: u32, folder: &Folder) -> Daemon {
    let worker = worker.map(|address| format!("[[worker]]\nname = \"w1\"\naddress = \"{address}\"\n"));
    let file = format!(
        "sockets = {sockets}\nnode = \"n\"\nlisten = \"127.0.0.1:0\"\ndata_dir = \"data\"\n{CLASSES}{}",
        worker.unwrap_or_default()
    );
    Daemon::serve(&folder.write("d.toml", &file))
}

/// Stops the daemon: everything that is written from here on arrives together once it continues.
fn stop_process(daemon: &Daemon) {
    daemon.signal("STOP");
    let threads = format!("/proc/{}/task", daemon.child.id());
    let is_stopped = |thread: std::fs::DirEntry| {
        let state = std::fs::read_to_string(thread.path().join("status")).expect("Linux");
        state.contains("State:\tT")
    };
    until("all its threads have stopped", || {
        std::fs::read_dir(&threads).expect("Linux").map_while(Result::ok).all(is_stopped)
    });
}

/// Whether a counter of the daemon has that value.
fn counter(fixture: &Fixture, name: &str, value: u32) -> bool {
    fixture.daemon.signal("USR1");
    fixture.daemon.errors().contains(&format!(" {name}={value} "))
}

/// Clients that connect while every connection has an open request used to wait in the accept queue beyond their own
/// timeout.
#[test]
fn new_clients_are_refused_in_time_while_all_connections_are_busy() {
    let fixture = Fixture::with_settings(&[Behaviour::Serve], 0, FOUR_CLIENTS, 192, |settings| {
        settings["classes"][0]["giveUpMs"] = json!(30_000.0);
    });
    let worker = fixture.fleet.frames("h0");
    let mut busy: Vec<Client> = (0..4).map(|_| fixture.client()).collect();
    for (client, id) in busy.iter_mut().zip(["a1", "a2", "a3", "a4"]) {
        // There is no worker yet.
        client.send(&dispatch(1, &fields("check", &format!("{id:0>16}"), "30000"), b"x"));
    }
    until("all requests are accepted", || counter(&fixture, "taken", 4));
    let mut new_clients: Vec<(Client, Instant)> = Vec::new();
    for number in 0..40 {
        let mut client = fixture.client();
        client.send(&check(1, 0x1000 + number));
        new_clients.push((client, Instant::now()));
    }
    for (number, (client, asked)) in new_clients.iter_mut().enumerate() {
        let reply = client.receive();
        assert!(matches!(reply, Some((1, Reply::Rejected(_)))), "{number}: {reply:?}");
        assert!(asked.elapsed() < CLIENT_TIMEOUT, "{number}: {:?}", asked.elapsed());
        assert!(descriptors(&fixture.daemon) <= FOUR_CLIENTS as usize);
    }
    fixture.channel.tell(2, "h0", worker, "up");
    for client in &mut busy {
        let reply = client.receive();
        assert!(matches!(&reply, Some((1, Reply::Answer(_)))), "{reply:?}");
    }
}

#[test]
fn new_http_clients_are_refused_in_time_while_all_connections_are_busy() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Hold]), Folder::new());
    let daemon = http_daemon(Some(fleet.http("w1")), MIN_HTTP_DESCRIPTORS, &folder);
    let busy: Vec<TcpStream> =
        (0..HTTP_CLIENTS).map(|_| start(daemon.address, "POST", CHECK, &[], b"busy")).collect();
    until("all requests are in flight", || fleet.sent().len() == HTTP_CLIENTS);
    let new_clients: Vec<(TcpStream, Instant)> =
        (0..40).map(|_| (start(daemon.address, "POST", CHECK, &[], b"new"), Instant::now())).collect();
    for (number, (socket, asked)) in new_clients.into_iter().enumerate() {
        let mut reader = BufReader::new(socket);
        let response = receive(&mut reader);
        assert_eq!((response.status, response.header("retry-after")), (503, Some("1")), "{number}");
        assert_eq!(response.header("corkbay-may-have-run"), Some("false"));
        assert!(asked.elapsed() < CLIENT_TIMEOUT, "{number}: {:?}", asked.elapsed());
        assert!(reader.fill_buf().is_ok_and(<[u8]>::is_empty), "the connection is closed");
        assert!(descriptors(&daemon) <= MIN_HTTP_DESCRIPTORS as usize);
    }
    fleet.release();
    for socket in busy {
        assert_eq!(receive(&mut BufReader::new(socket)).body, b"done: busy");
    }
}

/// Many clients connect, send one request and stay connected, and some of them never send a complete request: each request
/// is answered, and descriptors stay within their limit. All connections are in the accept queue at once.
#[test]
fn a_crowd_that_asks_once_and_stays_is_answered_within_the_limit() {
    let fixture = Fixture::with_descriptor_limit(&[Behaviour::Serve], 1, FOUR_CLIENTS);
    stop_process(&fixture.daemon);
    let mut crowd = Vec::new();
    for number in 0..200 {
        let mut client = fixture.client();
        let request = check(1, 0x1000 + number);
        let asks = number % 4 != 3;
        client.send(if asks { &request } else { &request[..request.len() / 2] });
        crowd.push((client, asks));
    }
    fixture.daemon.signal("CONT");
    for (number, (client, asks)) in crowd.iter_mut().enumerate() {
        if !*asks {
            continue;
        }
        let reply = client.receive();
        assert!(matches!(reply, Some((1, Reply::Answer(_) | Reply::Rejected(_)))), "{number}: {reply:?}");
        assert!(descriptors(&fixture.daemon) <= FOUR_CLIENTS as usize);
    }
}

#[test]
fn a_crowd_that_calls_once_over_http_and_stays_is_answered_within_the_limit() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let daemon = http_daemon(Some(fleet.http("w1")), MIN_HTTP_DESCRIPTORS, &folder);
    stop_process(&daemon);
    let mut crowd = Vec::new();
    for number in 0..200 {
        let asks = number % 4 != 3;
        if asks {
            crowd.push((start(daemon.address, "POST", CHECK, &[], b"x"), asks));
            continue;
        }
        let mut socket = TcpStream::connect(daemon.address).expect("connects");
        socket.write_all(b"POST /v1/func").expect("written");
        crowd.push((socket, asks));
    }
    daemon.signal("CONT");
    let mut reader_of_all: Vec<_> =
        crowd.into_iter().map(|(socket, asks)| (BufReader::new(socket), asks)).collect();
    for (number, (reader, asks)) in reader_of_all.iter_mut().enumerate() {
        if !*asks {
            continue;
        }
        let response = receive(reader);
        assert!([200, 503].contains(&response.status), "{number}: {response:?}");
        assert!(descriptors(&daemon) <= MIN_HTTP_DESCRIPTORS as usize);
    }
}

/// A client disconnects with its request open while its connection is being closed to make room for another. The disconnect
/// used to go unnoticed, and the request was sent as soon as a worker accepted work.
#[test]
fn a_request_whose_client_left_a_connection_that_makes_room_is_not_sent() {
    let fixture = Fixture::with_descriptor_limit(&[Behaviour::Serve], 0, ONE_CLIENT);
    let worker = fixture.fleet.frames("h0");
    let mut client = fixture.client();
    // Time for the connection to be accepted; it stays silent.
    std::thread::sleep(Duration::from_millis(200));
    stop_process(&fixture.daemon);
    let _new_client = fixture.client();
    client.send(&check(1, 0xa1));
    fixture.daemon.signal("CONT");
    until("the request is accepted", || counter(&fixture, "taken", 1));
    drop(client);
    until("the request is withdrawn", || counter(&fixture, "withdrawn", 1));
    fixture.channel.tell(2, "h0", worker, "up");
    std::thread::sleep(OBSERVATION_TIME);
    assert!(fixture.fleet.sent().is_empty());
}

#[test]
fn an_http_call_whose_client_left_a_connection_that_makes_room_is_not_sent() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let daemon = http_daemon(None, MIN_HTTP_DESCRIPTORS, &folder);
    let mut socket = TcpStream::connect(daemon.address).expect("connects");
    let _others: Vec<TcpStream> =
        (1..HTTP_CLIENTS).map(|_| TcpStream::connect(daemon.address).expect("connects")).collect();
    // Time for the connections to be accepted. They stay silent, the first for the longest time.
    std::thread::sleep(Duration::from_millis(200));
    stop_process(&daemon);
    let new_client = TcpStream::connect(daemon.address).expect("connects");
    socket
        .write_all(format!("POST {CHECK} HTTP/1.1\r\nContent-Length: 1\r\n\r\nx").as_bytes())
        .expect("written");
    daemon.signal("CONT");
    // Time for the request to be accepted.
    std::thread::sleep(OBSERVATION_TIME);
    drop((socket, new_client));
    std::thread::sleep(OBSERVATION_TIME);
    let worker = format!("{{\"address\": \"{}\"}}", fleet.http("w1"));
    let response = support::ask(daemon.address, "PUT", "/v1/workers/w1", &[], worker.as_bytes());
    assert_eq!(response.status, 204);
    std::thread::sleep(OBSERVATION_TIME);
    assert!(fleet.sent().is_empty());
}

/// New clients per second, several times what the connections can serve.
const CROWD_RATE: u32 = 300;
/// How long new clients arrive.
const CROWD_SPAN: Duration = Duration::from_secs(2);
/// How long a delayed request occupies its connection.
const REQUEST_DURATION: Duration = Duration::from_millis(150);

/// Under lasting overload connections become free more slowly than clients arrive, so that the accept queue grows without
/// bound unless the excess is refused at once.
#[test]
fn more_clients_than_the_connections_can_serve_are_answered_in_time() {
    let fixture = Fixture::with_descriptor_limit(&[Behaviour::DelayedServe], 4, MIN_HTTP_DESCRIPTORS);
    let address = fixture.daemon.address;
    let ask = |id: u64| {
        std::thread::spawn(move || {
            let asked = Instant::now();
            let mut client = Client::new(address);
            client.send(&check(1, id));
            (client.receive().is_some(), asked.elapsed())
        })
    };
    // The first clients arrive one after the other, so that connections become free one after the other, too.
    let mut new_clients = Vec::new();
    for id in 0..HTTP_CLIENTS as u32 {
        new_clients.push(ask(u64::from(id) + 1));
        std::thread::sleep(REQUEST_DURATION / HTTP_CLIENTS as u32);
    }
    let began = Instant::now();
    for number in 0..CROWD_RATE * CROWD_SPAN.as_secs() as u32 {
        let at = began + number * Duration::from_secs(1) / CROWD_RATE;
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        new_clients.push(ask(u64::from(number) + 100));
    }
    let ends: Vec<_> = new_clients.into_iter().map(|new_client| new_client.join().expect("asked")).collect();
    let unanswered = ends.iter().filter(|end| !end.0).count();
    let longest = ends.iter().map(|end| end.1).max().expect("some came");
    println!("{} clients, {unanswered} unanswered, {longest:?} at the longest", ends.len());
    assert_eq!(unanswered, 0);
    assert!(longest < Duration::from_millis(1000), "one waited {longest:?}");
}
