use super::*;
use std::io::{Read, Write};
use std::sync::mpsc::channel;

const MEMORY: usize = 1 << 20;

fn acceptor(most: usize) -> Arc<Acceptor> {
    let account = Account::root("clients", MEMORY);
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
