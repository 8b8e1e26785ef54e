use super::*;
use crate::lifecycle::spawn;
use std::net::TcpListener;
use std::sync::Arc;

fn pair(stall: Duration) -> (Socket, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let socket = spawn(move || Socket::connect(&address, Duration::from_secs(5), stall));
    let other = listener.accept().expect("accepted").0;
    (socket.join().expect("no panic").expect("connected"), other)
}

/// Reader and writers share one descriptor: a writer whose send buffer is full must neither lose bytes nor disturb the
/// reader that waits at the same time.
#[test]
fn a_full_buffer_is_waited_for_while_another_task_reads() {
    let (socket, mut other) = pair(Duration::from_secs(20));
    let (socket, long) = (Arc::new(socket), vec![7; 16 << 20]);
    let (reader, bytes) = (socket.clone(), long.clone());
    let reading = spawn(move || {
        let mut buffer = [0; 8];
        let size = reader.read(&mut buffer, Duration::from_secs(20)).expect("reads");
        buffer[..size].to_vec()
    });
    let writing = spawn(move || socket.write(&bytes));
    std::thread::sleep(Duration::from_millis(100));
    other.write_all(b"word").expect("written");
    assert_eq!(reading.join().expect("no panic"), b"word");
    let mut got = vec![0; long.len()];
    other.read_exact(&mut got).expect("all of it");
    assert!(got == long && writing.join().expect("no panic").is_ok());
}

/// A long message to a slow reader is written whole, although it takes far longer in total than the stall timeout.
#[test]
fn a_message_that_is_taken_slowly_is_written_whole() {
    let (socket, mut other) = pair(Duration::from_millis(400));
    let long = vec![7; 24 << 20];
    let size = long.len();
    let writing = spawn(move || socket.write(&long).map_err(|error| error.kind()));
    let (mut got, mut chunk) = (0, vec![0; 1 << 20]);
    while got < size {
        std::thread::sleep(Duration::from_millis(40));
        match other.read(&mut chunk).expect("not ended") {
            0 => break,
            read => got += read,
        }
    }
    assert_eq!((got, writing.join().expect("no panic")), (size, Ok(())));
}

/// A client that never reads must not block the task that writes to it.
#[test]
fn a_message_left_unread_ends_the_connection() {
    let (socket, mut other) = pair(Duration::from_millis(100));
    let writing = spawn(move || {
        let end = socket.write(&vec![7; 64 << 20]).map_err(|error| error.kind());
        (end, socket.read(&mut [0; 8], Duration::from_millis(10)).map_err(|error| error.kind()))
    });
    assert_eq!(writing.join().expect("no panic"), (Err(ErrorKind::TimedOut), Ok(0)));
    let mut rest = Vec::new();
    assert!(other.read_to_end(&mut rest).is_ok() && rest.len() < 64 << 20);
}

#[test]
fn a_read_without_data_times_out() {
    let (socket, _other) = pair(Duration::from_secs(1));
    let end = spawn(move || socket.read(&mut [0; 8], Duration::from_millis(20)).map_err(|e| e.kind()));
    assert_eq!(end.join().expect("no panic"), Err(ErrorKind::TimedOut));
}

/// Read timeouts were truncated to whole milliseconds, so that a read timed out too early.
#[test]
fn a_read_ends_no_sooner_than_its_time() {
    let (socket, _other) = pair(Duration::from_secs(5));
    let reading = spawn(move || {
        let (within, began) = (Duration::from_micros(100_900), Instant::now());
        let end = socket.read(&mut [0; 8], within).map_err(|error| error.kind());
        (end, began.elapsed() >= within)
    });
    assert_eq!(reading.join().expect("no panic"), (Err(ErrorKind::TimedOut), true));
}
