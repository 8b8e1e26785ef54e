use super::*;
use std::io::Read;

/// Guards who stands in the queue when the listener is closed, while the acceptor has had no turn: its word that it waits
/// was an old one, and the kernel reset them.
#[test]
fn who_stands_in_the_queue_is_let_in_before_the_listener_is_closed() {
    let account = Account::root("clients", 1 << 20);
    let limits = ConnectionLimits { most: 4, stall: Duration::from_secs(1), account };
    let acceptor = Acceptor::open("127.0.0.1:0".parse().expect("address"), limits).expect("a port");
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
