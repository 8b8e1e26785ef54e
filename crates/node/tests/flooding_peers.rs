//! Peers of every kind that send without a pause: clients of the other fronts, workers, the command channel, nodes that
//! replicate and followers. Others are answered in time meanwhile, and the kernel is polled.
mod support;

use corkbay_node::wire::frames::{code, Frame, FROM_WORKER};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::nodes::{frame, replication, start_node};
use support::platform::{Client, Fixture, Reply};
use support::workers::{Behaviour, Fleet};
use support::{ask, free_address, until, Daemon, Folder, CLASSES};

const CHECK: &str = "/v1/functions/check/invocations";
/// Connections on which a peer floods.
const CONNECTIONS: usize = 8;
/// How long regular calls are made during a flood.
const SPAN: Duration = Duration::from_millis(1500);
/// Longest time until a call is answered during a flood; workers take no time.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Number of messages that a flooding peer writes at a time.
const BATCH_MESSAGES: usize = 64;

/// Peers that write the same bytes again and again, and discard what they read.
#[derive(Default)]
struct Flood {
    is_stopped: Arc<AtomicBool>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

impl Flood {
    /// Connects peers that send an opening once and then the message without a pause. One whose connection ends connects
    /// again.
    fn connect(address: SocketAddr, opening: &[u8], message: &[u8]) -> Self {
        let flood = Flood::default();
        for _ in 0..CONNECTIONS {
            let (flood, opening, batch) = (flood.share(), opening.to_vec(), message.repeat(BATCH_MESSAGES));
            std::thread::spawn(move || {
                while !flood.is_stopped.load(Ordering::Relaxed) {
                    let Ok(mut socket) = TcpStream::connect(address) else { continue };
                    if socket.write_all(&opening).is_ok() {
                        flood.write(&socket, &batch);
                    }
                }
            });
        }
        flood
    }

    fn share(&self) -> Self {
        Flood { is_stopped: self.is_stopped.clone(), sockets: self.sockets.clone() }
    }

    /// Writes until the connection or the flood ends.
    fn write(&self, mut socket: &TcpStream, batch: &[u8]) {
        self.sockets.lock().expect("whole").push(socket.try_clone().expect("cloned"));
        let mut reading = socket.try_clone().expect("cloned");
        std::thread::spawn(move || while matches!(reading.read(&mut [0; 1 << 16]), Ok(1..)) {});
        while !self.is_stopped.load(Ordering::Relaxed) && socket.write_all(batch).is_ok() {}
        let _ = socket.shutdown(Shutdown::Both);
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for socket in self.sockets.lock().expect("whole").iter() {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

/// Makes one call after the other for a while; each has to be answered in time.
fn calls_are_answered_in_time(mut call: impl FnMut(u64)) {
    let (began, mut longest, mut count) = (Instant::now(), Duration::ZERO, 0);
    while began.elapsed() < SPAN {
        count += 1;
        let asked = Instant::now();
        call(count);
        longest = longest.max(asked.elapsed());
    }
    println!("{count} calls, {longest:?} at the longest");
    assert!(count > 10, "{count} calls");
    assert!(longest < MAX_ANSWER_TIME, "{longest:?}");
}

fn http_calls_are_answered_in_time(address: SocketAddr) {
    calls_are_answered_in_time(|_| {
        let response = ask(address, "POST", CHECK, &[], b"x");
        assert!([200, 503].contains(&response.status), "{response:?}");
    });
}

fn platform_calls_are_answered_in_time(fixture: &Fixture) {
    let mut client = fixture.client();
    calls_are_answered_in_time(|number| {
        client.send(&support::platform::check(number as i32, 0xa000 + number));
        let reply = client.receive();
        assert!(matches!(reply, Some((_, Reply::Answer(_) | Reply::Rejected(_)))), "{number}: {reply:?}");
    });
}

/// No poll of the kernel was late.
fn polls_were_on_time(daemon: &Daemon) {
    daemon.signal("USR1");
    until("the event loop is reported", || daemon.errors().contains("event loop polls="));
    let errors = daemon.errors();
    let line = errors.lines().rfind(|line| line.contains("event loop polls=")).expect("a line");
    assert!(line.contains(" late_polls=0 "), "{line}");
}

fn http_daemon(fleet: &Fleet, folder: &Folder) -> Daemon {
    let worker = format!("[[worker]]\nname = \"w1\"\naddress = \"{}\"\n", fleet.http("w1"));
    start_node(folder, "n", &format!("{CLASSES}{worker}"))
}

#[test]
fn http_clients_that_send_without_a_pause_hold_up_nobody() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let daemon = http_daemon(&fleet, &folder);
    let requests = [
        "GET /v1/invocations/0000000000000001 HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST /v1/functions/nothing/invocations HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx",
        "POST /v1/functions/check/invocations HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx",
    ];
    for request in requests {
        let _flood = Flood::connect(daemon.address, b"", request.as_bytes());
        http_calls_are_answered_in_time(daemon.address);
    }
    polls_were_on_time(&daemon);
}

#[test]
fn operators_that_send_without_a_pause_hold_up_nobody() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let _flood = Flood::connect(fixture.admin, b"", b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    platform_calls_are_answered_in_time(&fixture);
    polls_were_on_time(&fixture.daemon);
}

#[test]
fn a_command_channel_that_sends_without_a_pause_holds_up_nobody() {
    for text in [":\n\n", "id: 1\ndata: {}\n\n", "data: x\n\n"] {
        let fixture = Fixture::new(&[Behaviour::Serve], 1);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut config = fixture.config.clone();
        config["channel"] = listener.local_addr().expect("bound").to_string().into();
        let flood = Flood::default();
        let writer = flood.share();
        std::thread::spawn(move || {
            for mut socket in listener.incoming().map_while(Result::ok) {
                let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
                writer.write(&socket, text.repeat(BATCH_MESSAGES).as_bytes());
            }
        });
        fixture.folder.write("config.json", &config.to_string());
        fixture.daemon.signal("HUP");
        until("the channel floods", || !flood.sockets.lock().expect("whole").is_empty());
        platform_calls_are_answered_in_time(&fixture);
        polls_were_on_time(&fixture.daemon);
    }
}

/// A worker that answers requests nobody sent, on the connections that the daemon opened to it.
#[test]
fn a_worker_that_sends_frames_without_a_pause_holds_up_nobody() {
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let flood = Flood::default();
    let accepting = flood.share();
    std::thread::spawn(move || {
        let (mark, code, fields) = (FROM_WORKER, code::OK, String::new());
        let answer = Frame { mark, code, id: 1 << 60, fields, body: Vec::new() }.encode();
        for socket in listener.incoming().map_while(Result::ok) {
            let (writer, batch) = (accepting.share(), answer.repeat(BATCH_MESSAGES));
            std::thread::spawn(move || writer.write(&socket, &batch));
        }
    });
    for number in 0..CONNECTIONS as u64 {
        fixture.channel.tell(2 + number, &format!("f{number}"), address, "up");
    }
    // A call that is made before would load the model at the other worker, and later calls would stay there.
    fixture.await_known(&format!("f{}", CONNECTIONS - 1));
    let mut other: Client = fixture.client();
    until("the worker floods", || {
        let number = fixture.fleet.sent().len() as u64;
        other.send(&support::platform::check(number as i32 + 1, 0xb000 + number));
        other.receive().expect("a reply");
        !flood.sockets.lock().expect("whole").is_empty()
    });
    let began = Instant::now();
    let mut longest = Duration::ZERO;
    while began.elapsed() < SPAN {
        let asked = Instant::now();
        // Calls may be sent to the flooding worker, which does not serve them: the listener's answer shows that clients
        // are read and written to.
        let mut client = fixture.client();
        client.send(&support::platform::message(1, "alive", 1, &[2, 0, 1, 1, 0]));
        assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))));
        longest = longest.max(asked.elapsed());
    }
    assert!(longest < MAX_ANSWER_TIME, "{longest:?}");
    polls_were_on_time(&fixture.daemon);
}

#[test]
fn a_node_that_replicates_without_a_pause_holds_up_nobody() {
    let (fleet, folder, listen) = (Fleet::new(&[Behaviour::Serve]), Folder::new(), free_address());
    let worker = format!("[[worker]]\nname = \"w1\"\naddress = \"{}\"\n", fleet.http("w1"));
    let sections = replication(listen, &[free_address()], 100);
    let daemon = start_node(&folder, "n", &format!("{sections}{CLASSES}{worker}"));
    let hello = frame(r#"{"hello":{"version":2,"node":"peer"}}"#);
    for message in [r#"{"compare":1}"#, r#"{"held":{"buckets":[1,2,3],"hashes":{}}}"#, r#"{"push":[]}"#] {
        let _flood = Flood::connect(listen, &hello, &frame(message));
        http_calls_are_answered_in_time(daemon.address);
    }
    polls_were_on_time(&daemon);
}

#[test]
fn followers_that_send_without_a_pause_hold_up_nobody() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let (listen, feed) = (free_address(), free_address());
    let worker = format!("[[worker]]\nname = \"w1\"\naddress = \"{}\"\n", fleet.http("w1"));
    let sections = format!(
        "{}[feed]\nlisten = \"{feed}\"\nfollowers = 20\n{CLASSES}{worker}",
        replication(listen, &[free_address()], 100)
    );
    let daemon = start_node(&folder, "n", &sections);
    let hello = frame(r#"{"hello":{"node":"follower","position":null}}"#);
    let _flood = Flood::connect(feed, &hello, &frame(r#"{"applied":{"position":null}}"#));
    http_calls_are_answered_in_time(daemon.address);
    polls_were_on_time(&daemon);
}

/// Lines are written by the thread that serves all peers, and the reader of the log may be slow.
#[test]
fn connections_that_send_what_cannot_be_read_fill_no_log() {
    const MAX_LINES_PER_SECOND: usize = 20;
    let fixture = Fixture::new(&[Behaviour::Serve], 1);
    let flood = Flood::connect(fixture.daemon.address, b"", &[7; 64]);
    std::thread::sleep(SPAN);
    drop(flood);
    let lines = fixture.daemon.errors();
    let about_clients = lines.lines().filter(|line| line.contains("client connection closed")).count();
    let most = MAX_LINES_PER_SECOND * (SPAN.as_secs() as usize + 3);
    assert!((1..=most).contains(&about_clients), "{about_clients} lines");
    platform_calls_are_answered_in_time(&fixture);
}
