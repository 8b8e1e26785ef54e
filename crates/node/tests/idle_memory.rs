//! Memory of client connections between messages, and what becomes of a request that there is no memory for.
mod support;

use std::io::{BufReader, Read, Write};
use support::platform::{dispatch, fields, Client, Fixture, Reply};
use support::workers::{Behaviour, Fleet};
use support::{ask, receive, until, Daemon, Folder, CLASSES};

/// The longest body of a request, in bytes.
const LONGEST_BODY: usize = 16 << 10;
/// A header that makes a long head, in bytes.
const LONGEST_HEADER: usize = 12 << 10;
/// The smallest limits that are deployed: descriptors and memory in MB.
const SMALLEST_LIMITS: (u32, u32) = (256, 32);

fn request(seqid: i32, id: u64, body: &[u8]) -> Vec<u8> {
    dispatch(seqid, &fields("check", &format!("{id:016x}"), "8000"), body)
}

fn smallest(script: &[Behaviour]) -> Fixture {
    Fixture::with_limits(script, 3, SMALLEST_LIMITS.0, SMALLEST_LIMITS.1)
}

/// A client whose connection has served a request and stays open.
fn answered_client(fixture: &Fixture, id: u64, body: &[u8]) -> Client {
    let mut client = fixture.client();
    client.send(&request(1, id, body));
    let reply = client.receive();
    assert!(matches!(reply, Some((1, Reply::Answer(_)))), "{reply:?}; {}", fixture.daemon.errors());
    client
}

/// Guards against requests that are closed on without an answer while idle connections hold the memory of the clients'
/// account: a connection kept the buffer of its last long message until its next one.
#[test]
fn idle_connections_hold_no_memory_of_their_last_message() {
    let fixture = smallest(&[Behaviour::Serve]);
    let body = vec![b'x'; LONGEST_BODY];
    let mut usual: Vec<_> = (0..15).map(|number| answered_client(&fixture, 0x1000 + number, b"x")).collect();
    let idle: Vec<_> = (0..70).map(|number| answered_client(&fixture, 0x2000 + number, &body)).collect();
    for (number, client) in usual.iter_mut().enumerate() {
        client.send(&request(2, 0x3000 + number as u64, &body));
    }
    let unserved: Vec<_> = usual
        .iter_mut()
        .map(Client::receive)
        .filter(|reply| !matches!(reply, Some((2, Reply::Answer(_)))))
        .collect();
    fixture.daemon.signal("USR1");
    until("the accounts are logged", || fixture.daemon.errors().contains("purpose=\"clients\""));
    assert!(unserved.is_empty(), "{unserved:?}; {}", fixture.daemon.errors());
    drop(idle);
}

/// Bytes held and cap of the clients' account, from the log.
fn clients_account(fixture: &Fixture) -> (usize, usize) {
    let lines = |errors: &str| errors.matches("account purpose=\"clients\"").count();
    let before = lines(&fixture.daemon.errors());
    fixture.daemon.signal("USR1");
    until("the accounts are logged", || lines(&fixture.daemon.errors()) > before);
    let errors = fixture.daemon.errors();
    let line = errors.lines().rfind(|line| line.contains("account purpose=\"clients\"")).expect("a line");
    let figure = |name: &str| {
        let word = line.split(' ').find_map(|word| word.strip_prefix(name)).expect("a figure");
        word.parse().expect("a number")
    };
    (figure("used="), figure("cap="))
}

/// Memory of a connection, in bytes, and what is reserved with it for unconsumed data.
const CONNECTION_BYTES: usize = 14 << 10;
const CHUNK: usize = 4 << 10;
/// The longest frame that is read, in bytes.
const LONGEST_FRAME: usize = 64 << 10;

/// Guards against a request that is closed on without an answer after the wait for memory: all of the clients' account is
/// held by connections with open requests, which can't give way.
#[test]
fn a_request_without_memory_is_rejected_and_its_connection_serves_on() {
    let fixture = smallest(&[Behaviour::Hold]);
    let busy_client = |number: u64| {
        let mut client = fixture.client();
        client.send(&request(1, 0x4000 + number, b"x"));
        client
    };
    // Each of these has an open request, and all but the last byte of a long frame behind it.
    let hold = |number: u64, frame: usize| {
        let mut client = busy_client(number);
        client.send(&(frame as u32 - 4).to_be_bytes());
        client.send(&vec![0; frame - 5]);
        client
    };
    let free = || {
        let (used, cap) = clients_account(&fixture);
        cap.saturating_sub(used)
    };
    let mut client = busy_client(0);
    until("it is connected", || !fixture.fleet.sent().is_empty());
    let (before, one) = (free(), CONNECTION_BYTES + LONGEST_FRAME - CHUNK);
    // What is left then is shared by two further ones, whose frames are shorter.
    let count = (before - 2 * one / 3) / one;
    let mut others: Vec<Client> = (1..=count as u64).map(|number| hold(number, LONGEST_FRAME)).collect();
    until("their frames are read", || free() <= before - count * one);
    let rest = free();
    for (number, part) in [rest / 2, rest - rest / 2].into_iter().enumerate() {
        others.push(hold((count + 1 + number) as u64, part + CHUNK - CONNECTION_BYTES));
    }
    until("the account is full", || free() < CHUNK);
    client.send(&request(2, 0x5000, &vec![b'x'; LONGEST_BODY]));
    let reply = client.receive();
    assert!(
        matches!(&reply, Some((2, Reply::Rejected(advice))) if advice.contains_key("cooldown")),
        "{reply:?}; {}",
        fixture.daemon.errors()
    );
    // What the long request's message ended with is not taken for the next message.
    client.send(&dispatch(3, &[], b""));
    assert!(matches!(client.receive(), Some((3, Reply::Crashed))));
    fixture.fleet.release();
    assert!(matches!(client.receive(), Some((1, _))));
    fixture.daemon.signal("USR1");
    until("it is counted", || fixture.daemon.errors().contains("turned_away_memory=1 "));
}

/// Guards against open requests that get no answer when a later message on their connection can't be read.
#[test]
fn open_requests_are_failed_before_a_connection_with_garbage_is_closed() {
    let fixture = Fixture::new(&[Behaviour::Hold], 2);
    let mut client = fixture.client();
    let open = fixture.send_until_dispatched(&mut client, 0x61, "8000");
    client.send(&[0xff; 64]);
    assert_eq!(client.receive(), Some((open, Reply::Crashed)));
    assert_eq!(client.receive(), None, "the connection is closed");
}

/// A daemon with the invoke API and a worker that speaks frames.
fn serve_frames(fleet: &Fleet, folder: &Folder, memory_mb: u32) -> Daemon {
    let file = format!(
        "node = \"n\"\nlisten = \"127.0.0.1:0\"\nmemory_mb = {memory_mb}\n[memory]\nbase_mb = 6\n\
         [transport]\nprotocol = \"frames\"\n[limits]\nanswer_kb = 64\n{CLASSES}\
         [[worker]]\nname = \"w1\"\naddress = \"{}\"\n",
        fleet.frames("w1")
    );
    Daemon::serve(&folder.write("d.toml", &file))
}

fn used_bytes(daemon: &Daemon, purpose: &str) -> u64 {
    let status = ask(daemon.address, "GET", "/v1/status", &[], b"").json();
    let accounts = status["memory"]["accounts"].as_array().expect("accounts");
    let total = accounts.iter().find(|one| one["purpose"] == purpose && one["tenant"].is_null());
    total.and_then(|total| total["used_bytes"].as_u64()).expect("a figure")
}

/// Guards against the same loss at the invoke API: a connection that is kept alive holds no memory of its last request.
#[test]
fn an_idle_http_connection_holds_no_memory_of_its_last_request() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let daemon = serve_frames(&fleet, &folder, 32);
    let mut socket = std::net::TcpStream::connect(daemon.address).expect("connects");
    let mut reader = BufReader::new(socket.try_clone().expect("cloned"));
    let mut post = |header_bytes: usize, size: usize| {
        let padding = "x".repeat(header_bytes);
        let head = format!(
            "POST /v1/functions/check/invocations HTTP/1.1\r\nX-Padding: {padding}\r\nContent-Length: {size}\r\n\r\n"
        );
        socket.write_all(&[head.as_bytes(), &vec![b'x'; size]].concat()).expect("written");
        assert_eq!(receive(&mut reader).status, 200);
    };
    post(1, 1);
    let before = used_bytes(&daemon, "clients");
    post(LONGEST_HEADER, 1);
    until("its memory is released", || used_bytes(&daemon, "clients") <= before);
}

/// Guards against answers that there is no memory for while idle connections to workers hold that of their last one.
#[test]
fn an_idle_worker_connection_holds_no_memory_of_its_last_answer() {
    let (fleet, folder) = (Fleet::new(&[Behaviour::Serve]), Folder::new());
    let daemon = serve_frames(&fleet, &folder, 64);
    let call = |body: &[u8]| ask(daemon.address, "POST", "/v1/functions/check/invocations", &[], body);
    assert_eq!(call(b"x").status, 200);
    let before = used_bytes(&daemon, "workers");
    assert_eq!(call(&vec![b'x'; LONGEST_BODY]).status, 200);
    assert_eq!(used_bytes(&daemon, "workers"), before);
    assert!(before > 0, "the connection is open");
}

/// The end of a request that was announced and never sent is not an answered request; its connection is closed.
#[test]
fn a_half_sent_message_is_not_answered() {
    let fixture = smallest(&[Behaviour::Serve]);
    let mut client = answered_client(&fixture, 0x71, b"x");
    let whole = request(2, 0x72, &vec![b'x'; LONGEST_BODY]);
    client.send(&whole[..whole.len() / 2]);
    let mut rest = Vec::new();
    client.socket.read_to_end(&mut rest).expect("closed");
    assert!(rest.is_empty(), "{rest:?}");
}
