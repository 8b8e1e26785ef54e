//! Crowds: far more clients than the program may hold connections for, on both fronts.
mod support;

use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::platform::{dispatch, fields, Client, Fixture, Reply};
use support::workers::{Behaviour, Fleet};
use support::{receive, start, until, Daemon, Folder, CLASSES};

const CHECK: &str = "/v1/functions/check/invocations";
/// Descriptors that leave clients four connections.
const FOUR_CLIENTS: u32 = 48;
/// Descriptors that leave clients a single connection.
const ONE_CLIENT: u32 = 42;
/// The least that the HTTP front may be given, and the connections that it leaves clients.
const LEAST: u32 = 64;
const HTTP_CLIENTS: usize = 12;
/// The time that a client of `check` waits for its answer.
const ITS_TIME: Duration = Duration::from_millis(4000);
/// For what must not happen: long enough for it to have happened.
const LONG_ENOUGH: Duration = Duration::from_millis(700);

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

/// Stops the program; what is written from here on comes together once it goes on.
fn stand_still(daemon: &Daemon) {
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

/// Whether one of the program's counters has that value.
fn counter(fixture: &Fixture, name: &str, value: u32) -> bool {
    fixture.daemon.signal("USR1");
    fixture.daemon.errors().contains(&format!(" {name}={value} "))
}

/// Guards newcomers that come while every connection is owed an answer: they stood in the listener's queue beyond the
/// time in which they wait for their own.
#[test]
fn who_comes_while_all_connections_are_busy_is_refused_in_its_time() {
    let fixture = Fixture::with_settings(&[Behaviour::Serve], 0, FOUR_CLIENTS, 192, |settings| {
        settings["classes"][0]["giveUpMs"] = json!(30_000.0);
    });
    let worker = fixture.fleet.frames("h0");
    let mut busy: Vec<Client> = (0..4).map(|_| fixture.client()).collect();
    for (client, id) in busy.iter_mut().zip(["a1", "a2", "a3", "a4"]) {
        // No worker takes work yet.
        client.send(&dispatch(1, &fields("check", &format!("{id:0>16}"), "30000"), b"x"));
    }
    until("all are taken", || counter(&fixture, "taken", 4));
    let mut newcomers: Vec<(Client, Instant)> = Vec::new();
    for number in 0..40 {
        let mut client = fixture.client();
        client.send(&check(1, 0x1000 + number));
        newcomers.push((client, Instant::now()));
    }
    for (number, (client, asked)) in newcomers.iter_mut().enumerate() {
        let reply = client.receive();
        assert!(matches!(reply, Some((1, Reply::Rejected(_)))), "{number}: {reply:?}");
        assert!(asked.elapsed() < ITS_TIME, "{number}: {:?}", asked.elapsed());
        assert!(descriptors(&fixture.daemon) <= FOUR_CLIENTS as usize);
    }
    fixture.channel.tell(2, "h0", worker, "up");
    for client in &mut busy {
        let reply = client.receive();
        assert!(matches!(&reply, Some((1, Reply::Answer(_)))), "{reply:?}");
    }
}

#[test]
fn who_calls_over_http_while_all_connections_are_busy_is_refused_in_its_time() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Hold]), Folder::new());
    let daemon = http_daemon(Some(fleet.http("w1")), LEAST, &folder);
    let busy: Vec<TcpStream> =
        (0..HTTP_CLIENTS).map(|_| start(daemon.address, "POST", CHECK, &[], b"busy")).collect();
    until("all are out", || fleet.sent().len() == HTTP_CLIENTS);
    let newcomers: Vec<(TcpStream, Instant)> =
        (0..40).map(|_| (start(daemon.address, "POST", CHECK, &[], b"new"), Instant::now())).collect();
    for (number, (socket, asked)) in newcomers.into_iter().enumerate() {
        let mut reader = BufReader::new(socket);
        let response = receive(&mut reader);
        assert_eq!((response.status, response.header("retry-after")), (503, Some("1")), "{number}");
        assert_eq!(response.header("corkbay-may-have-run"), Some("false"));
        assert!(asked.elapsed() < ITS_TIME, "{number}: {:?}", asked.elapsed());
        assert!(reader.fill_buf().is_ok_and(<[u8]>::is_empty), "it is let go");
        assert!(descriptors(&daemon) <= LEAST as usize);
    }
    fleet.release();
    for socket in busy {
        assert_eq!(receive(&mut BufReader::new(socket)).body, b"done: busy");
    }
}

/// Guards a crowd that connects, asks once and stays, with others among it that never send a whole request: whoever asked
/// is told an answer, and descriptors stay within their limit. All stand in the queue at once.
#[test]
fn a_crowd_that_asks_once_and_stays_is_answered_within_the_limit() {
    let fixture = Fixture::with_descriptor_limit(&[Behaviour::Serve], 1, FOUR_CLIENTS);
    stand_still(&fixture.daemon);
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
    let daemon = http_daemon(Some(fleet.http("w1")), LEAST, &folder);
    stand_still(&daemon);
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
        assert!(descriptors(&daemon) <= LEAST as usize);
    }
}

/// Guards a client that leaves with its request open after another came for its place: it was not seen to leave, and the
/// request went out as soon as a worker took work.
#[test]
fn who_leaves_after_another_came_for_its_place_is_not_sent_on() {
    let fixture = Fixture::with_descriptor_limit(&[Behaviour::Serve], 0, ONE_CLIENT);
    let worker = fixture.fleet.frames("h0");
    let mut client = fixture.client();
    // It is held, and silent.
    std::thread::sleep(Duration::from_millis(200));
    stand_still(&fixture.daemon);
    let _newcomer = fixture.client();
    client.send(&check(1, 0xa1));
    fixture.daemon.signal("CONT");
    until("it is taken", || counter(&fixture, "taken", 1));
    drop(client);
    until("it is withdrawn", || counter(&fixture, "withdrawn", 1));
    fixture.channel.tell(2, "h0", worker, "up");
    std::thread::sleep(LONG_ENOUGH);
    assert!(fixture.fleet.sent().is_empty());
}

#[test]
fn who_leaves_over_http_after_another_came_for_its_place_is_not_sent_on() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let daemon = http_daemon(None, LEAST, &folder);
    let mut socket = TcpStream::connect(daemon.address).expect("connects");
    let _others: Vec<TcpStream> =
        (1..HTTP_CLIENTS).map(|_| TcpStream::connect(daemon.address).expect("connects")).collect();
    // They are held, and silent, the first for the longest time.
    std::thread::sleep(Duration::from_millis(200));
    stand_still(&daemon);
    let newcomer = TcpStream::connect(daemon.address).expect("connects");
    socket
        .write_all(format!("POST {CHECK} HTTP/1.1\r\nContent-Length: 1\r\n\r\nx").as_bytes())
        .expect("written");
    daemon.signal("CONT");
    // Time for it to be taken.
    std::thread::sleep(LONG_ENOUGH);
    drop((socket, newcomer));
    std::thread::sleep(LONG_ENOUGH);
    let worker = format!("{{\"address\": \"{}\"}}", fleet.http("w1"));
    let response = support::ask(daemon.address, "PUT", "/v1/workers/w1", &[], worker.as_bytes());
    assert_eq!(response.status, 204);
    std::thread::sleep(LONG_ENOUGH);
    assert!(fleet.sent().is_empty());
}

/// Newcomers a second, several times what the connections turn over, and for how long they come.
const CROWD_RATE: u32 = 300;
const CROWD_SPAN: Duration = Duration::from_secs(2);
/// A request that is answered later holds its connection for so long.
const HELD: Duration = Duration::from_millis(150);

/// Guards newcomers in a crowd that never ends: connections become free all the time, but fewer than clients come, so that
/// the listener's queue grows without bound unless more than that are told at once that there is no room.
#[test]
fn a_crowd_beyond_what_the_connections_turn_over_is_answered_in_its_time() {
    let fixture = Fixture::with_descriptor_limit(&[Behaviour::DelayedServe], 4, LEAST);
    let address = fixture.daemon.address;
    let ask = |id: u64| {
        std::thread::spawn(move || {
            let asked = Instant::now();
            let mut client = Client::new(address);
            client.send(&check(1, id));
            (client.receive().is_some(), asked.elapsed())
        })
    };
    // The first come one after the other, so that connections become free one after the other, too.
    let mut newcomers = Vec::new();
    for id in 0..HTTP_CLIENTS as u32 {
        newcomers.push(ask(u64::from(id) + 1));
        std::thread::sleep(HELD / HTTP_CLIENTS as u32);
    }
    let began = Instant::now();
    for number in 0..CROWD_RATE * CROWD_SPAN.as_secs() as u32 {
        let at = began + number * Duration::from_secs(1) / CROWD_RATE;
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        newcomers.push(ask(u64::from(number) + 100));
    }
    let ends: Vec<_> = newcomers.into_iter().map(|newcomer| newcomer.join().expect("asked")).collect();
    let unanswered = ends.iter().filter(|end| !end.0).count();
    let longest = ends.iter().map(|end| end.1).max().expect("some came");
    println!("{} newcomers, {unanswered} unanswered, {longest:?} at the longest", ends.len());
    assert_eq!(unanswered, 0);
    assert!(longest < Duration::from_millis(1000), "one waited {longest:?}");
}
