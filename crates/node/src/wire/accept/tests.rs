use super::*;
use std::io::{Read, Write};
use std::sync::mpsc::channel;

const MEMORY: usize = 1 << 20;

fn acceptor(most: usize) -> Arc<Acceptor> {
    acceptor_within(most, Account::root("clients", MEMORY))
}

fn acceptor_within(most: usize, account: Account) -> Arc<Acceptor> {
    let limits = ConnectionLimits { most, stall: Duration::from_secs(1), account };
    Acceptor::open("127.0.0.1:0".parse().expect("address"), limits).expect("a port")
}

/// Guards who stands in the queue when the listener is closed, while the acceptor has had no turn: its word that it waits
/// was an old one, and the kernel reset them.
#[test]
fn who_stands_in_the_queue_is_let_in_before_the_listener_is_closed() {
    let acceptor = acceptor(4);
    let ours = acceptor.clone();
    spawn(move || ours.accept(|connection| _ = connection.answer(b"served")));
    // The acceptor waits, and then nothing has a turn.
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

/// Guards a message that was read and waits, for memory for one, while another client comes for the slot or all are
/// drained: the reading side of its connection was shut, so that its client was not seen to leave.
#[test]
fn a_connection_whose_reader_is_at_work_is_not_shut() {
    let acceptor = acceptor(1);
    let (tell, told) = channel();
    let ours = acceptor.clone();
    spawn(move || {
        ours.accept(move |connection| {
            let size = connection.read(&mut [0; 8], Duration::from_secs(5));
            tell.send("has read").expect("told");
            may::coroutine::sleep(3 * GIVE_WAY);
            let is_served = size.is_ok() && !connection.is_shut();
            let _ = connection.answer(if is_served { b"served" } else { b"shut" });
        });
    });
    let mut client = TcpStream::connect(acceptor.address().expect("bound")).expect("connects");
    client.write_all(b"long").expect("written");
    told.recv().expect("read");
    let _newcomer = TcpStream::connect(acceptor.address().expect("bound")).expect("connects");
    std::thread::sleep(GIVE_WAY / 2);
    acceptor.drain();
    let mut text = String::new();
    client.read_to_string(&mut text).expect("not reset");
    assert_eq!(text, "served");
}

/// Guards the cap of what clients take: those that are let in only to be turned away were counted over it.
#[test]
fn clients_that_are_turned_away_stay_within_the_account() {
    let account = Account::root("clients", 6 * CONNECTION_BYTES);
    let acceptor = acceptor_within(60, account.clone());
    let ours = acceptor.clone();
    spawn(move || {
        ours.accept(|connection| {
            connection.opened();
            let is_turned_away = connection.is_turned_away();
            let _ = connection.answer(if is_turned_away { b"no room" } else { b"let in " });
            let _ = connection.read(&mut [0; 8], Duration::from_secs(5));
            connection.closed();
        });
    });
    let mut said = Vec::new();
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let mut client = TcpStream::connect(acceptor.address().expect("bound")).expect("connects");
            let mut text = [0; 7];
            client.read_exact(&mut text).expect("answered");
            said.push(String::from_utf8_lossy(&text).into_owned());
            client
        })
        .collect();
    assert_eq!(said, ["let in ", "let in ", "no room", "no room"]);
    assert!(account.peak() <= account.cap(), "{} of {}", account.peak(), account.cap());
    drop(clients);
}
