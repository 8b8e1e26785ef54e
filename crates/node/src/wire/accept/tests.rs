use super::*;
use crate::state::memory_wait::resize_or_wait;
use corkbay_ledger::Purpose;
use std::io::{Read, Write};
use std::sync::mpsc::channel;

const MEMORY_BYTES: usize = 1 << 20;

fn acceptor(most: usize) -> Arc<Acceptor> {
    acceptor_within(most, Account::root("clients", MEMORY_BYTES))
}

fn acceptor_within(most: usize, account: Account) -> Arc<Acceptor> {
    let limits = ConnectionLimits { max_connections: most, write_timeout: Duration::from_secs(1), account };
    Acceptor::open("127.0.0.1:0".parse().expect("address"), limits).expect("a port")
}

/// Connections in the accept queue must be served when the listener is closed, even if the accepting coroutine has not been
/// scheduled since they arrived. When the close relied on an outdated note that the coroutine was waiting, the kernel reset
/// them.
#[test]
fn queued_connections_are_accepted_before_the_listener_is_closed() {
    let acceptor = acceptor(4);
    let accepting = acceptor.clone();
    spawn(move || accepting.accept(|connection| _ = connection.answer(b"served")));
    // Once the acceptor waits, all scheduler threads are blocked.
    std::thread::sleep(Duration::from_millis(50));
    for _ in 0..may::config().get_workers() {
        spawn(|| std::thread::sleep(Duration::from_millis(200)));
    }
    std::thread::sleep(Duration::from_millis(20));
    let mut client = TcpStream::connect(acceptor.address().expect("bound")).expect("connects");
    acceptor.close();
    let mut text = String::new();
    client.read_to_string(&mut text).expect("not reset");
    assert_eq!(text, "served");
}

/// A reader may be busy with a message that it has read, for example waiting for memory, while another client wants the slot
/// or all connections are drained. The read side of its connection was shut down then, so that a client that disconnected
/// went unnoticed.
#[test]
fn a_connection_with_a_busy_reader_is_not_shut() {
    let acceptor = acceptor(1);
    let (sender, receiver) = channel();
    let accepting = acceptor.clone();
    spawn(move || {
        accepting.accept(move |connection| {
            let size = connection.read(&mut [0; 8], Duration::from_secs(5));
            sender.send("has read").expect("sent");
            may::coroutine::sleep(3 * EVICTION_WAIT);
            let is_served = size.is_ok() && !connection.is_shut();
            let _ = connection.answer(if is_served { b"served" } else { b"shut" });
        });
    });
    let mut client = TcpStream::connect(acceptor.address().expect("bound")).expect("connects");
    client.write_all(b"long").expect("written");
    receiver.recv().expect("read");
    let _new_client = TcpStream::connect(acceptor.address().expect("bound")).expect("connects");
    std::thread::sleep(EVICTION_WAIT / 2);
    acceptor.drain();
    let mut text = String::new();
    client.read_to_string(&mut text).expect("not reset");
    assert_eq!(text, "served");
}

/// Connections that are accepted beyond the limit only to be refused must not exceed the cap of the clients' account, as
/// they once did.
#[test]
fn refused_clients_stay_within_the_account() {
    let account = Account::root("clients", 6 * CONNECTION_BYTES);
    let acceptor = acceptor_within(60, account.clone());
    let accepting = acceptor.clone();
    spawn(move || {
        accepting.accept(|connection| {
            connection.request_started();
            let is_beyond_limit = connection.is_beyond_limit();
            let _ = connection.answer(if is_beyond_limit { b"no room" } else { b"let in " });
            let _ = connection.read(&mut [0; 8], Duration::from_secs(5));
            connection.request_ended();
        });
    });
    let mut answers = Vec::new();
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let mut client = TcpStream::connect(acceptor.address().expect("bound")).expect("connects");
            let mut text = [0; 7];
            client.read_exact(&mut text).expect("answered");
            answers.push(String::from_utf8_lossy(&text).into_owned());
            client
        })
        .collect();
    assert_eq!(answers, ["let in ", "let in ", "no room", "no room"]);
    assert!(account.peak() <= account.cap(), "{} of {}", account.peak(), account.cap());
    drop(clients);
}

/// A task that waits for memory of the clients' account is given that of idle connections, the longest idle first, as a new
/// connection would be. It waited until its time was up while they kept theirs.
#[test]
fn a_reader_that_waits_for_memory_is_given_that_of_idle_connections() {
    let account = Account::root("clients", (MAX_SPARE_SLOTS + 3) * CONNECTION_BYTES);
    let acceptor = acceptor_within(60, account.clone());
    let accepting = acceptor.clone();
    spawn(move || {
        accepting.accept(|connection| {
            let _ = connection.answer(b"served");
            let _ = connection.read(&mut [0; 8], Duration::from_secs(5));
        });
    });
    let mut clients: Vec<_> = (0..3)
        .map(|_| {
            let mut client = TcpStream::connect(acceptor.address().expect("bound")).expect("connects");
            client.read_exact(&mut [0; 6]).expect("answered");
            client
        })
        .collect();
    let reader = spawn(move || {
        let (mut held, began) = (account.empty_reservation(), monotonic_ms());
        let end = resize_or_wait(&mut held, Purpose::Clients, 2 * CONNECTION_BYTES);
        (end.map_err(|error| error.kind()), monotonic_ms() - began)
    });
    let (end, took) = reader.join().expect("no panic");
    assert!(end.is_ok() && took < 900.0, "{end:?} after {took} ms");
    for client in &mut clients[..2] {
        assert_eq!(client.read(&mut [0; 8]).expect("closed"), 0);
    }
    clients[2].set_read_timeout(Some(Duration::from_millis(50))).expect("set");
    assert!(clients[2].read(&mut [0; 8]).is_err(), "it stays open");
}
