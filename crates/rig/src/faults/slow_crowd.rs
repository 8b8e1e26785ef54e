//! Clients that connect at once and send slowly, stop half way through a large request, or send requests with very many
//! short fields.
use super::records::CLASSES;
use super::thrift::dispatch;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Pause between two bytes of a slow client.
const BYTE_PAUSE: Duration = Duration::from_millis(50);
/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Number of fields of a request with very many.
const MANY_FIELDS: usize = 3000;

/// A client with what it still sends.
struct SlowClient {
    socket: TcpStream,
    unsent: Vec<u8>,
    bytes_per_pause: usize,
}

/// Runs a crowd for `span`; returns the number of clients that were connected.
pub fn run(address: SocketAddr, clients: usize, span: Duration) -> usize {
    let mut crowd: Vec<SlowClient> = (0..clients).filter_map(|number| connect(address, number)).collect();
    let started = Instant::now();
    while started.elapsed() < span {
        crowd.iter_mut().for_each(send_some);
        std::thread::sleep(BYTE_PAUSE);
    }
    crowd.len()
}

/// Connects a client whose number decides what it sends.
fn connect(address: SocketAddr, number: usize) -> Option<SlowClient> {
    let socket = TcpStream::connect(address).ok()?;
    // A daemon that does not read must not hold up the other clients of the crowd.
    socket.set_nonblocking(true).ok()?;
    let (unsent, bytes_per_pause) = match number % 3 {
        0 => (request(number, &[], b"x"), 1),
        1 => {
            let mut large = request(number, &[], &[b'x'; MAX_BODY_BYTES]);
            large.truncate(MAX_BODY_BYTES / 2);
            (large, MAX_BODY_BYTES)
        }
        _ => (request(number, &many_fields(), b"x"), MAX_BODY_BYTES),
    };
    Some(SlowClient { socket, unsent, bytes_per_pause })
}

/// Sends the next bytes of a client, as far as the socket takes them.
fn send_some(client: &mut SlowClient) {
    let size = client.unsent.len().min(client.bytes_per_pause);
    // Errors are ignored: the daemon may close such a connection.
    if let Ok(sent @ 1..) = client.socket.write(&client.unsent[..size]) {
        client.unsent.drain(..sent);
    }
}

fn many_fields() -> Vec<(String, String)> {
    (0..MANY_FIELDS).map(|number| (format!("f{number}"), "v".to_string())).collect()
}

/// A request with additional fields; its id is not used by other clients.
fn request(number: usize, additional: &[(String, String)], body: &[u8]) -> Vec<u8> {
    const FIRST_ID: u64 = 1 << 48;
    let hex = format!("{:016x}", FIRST_ID + number as u64);
    let key = format!("{hex}{hex}");
    let mut fields = vec![
        ("service", CLASSES[0].0),
        ("ref", hex.as_str()),
        ("allow", "1000"),
        ("project", "acme"),
        ("replay", key.as_str()),
        ("lookup", hex.as_str()),
    ];
    fields.extend(additional.iter().map(|(name, value)| (name.as_str(), value.as_str())));
    dispatch(1, &fields, body)
}
