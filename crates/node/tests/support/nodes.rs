//! Nodes that replicate configuration (control nodes and followers), and a TCP relay that simulates network failures.
use super::{ask, Daemon, Folder, CLASSES};
use serde_json::{json, Value};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// [`CLASSES`] without its functions.
pub fn classes_only() -> &'static str {
    CLASSES.split("[[function]]").next().expect("classes come first")
}

/// A deploy file for a node with its own data folder.
pub fn deploy(node: &str, sections: &str) -> String {
    format!("node = \"{node}\"\nlisten = \"127.0.0.1:0\"\ndata_dir = \"data-{node}\"\n{sections}")
}

/// A `[replication]` section.
pub fn replication(listen: SocketAddr, peers: &[SocketAddr], interval_ms: u64) -> String {
    let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let peers = peers.join(", ");
    format!("[replication]\nlisten = \"{listen}\"\npeers = [{peers}]\ninterval_ms = {interval_ms}\n")
}

/// Writes a deploy file and starts a node from it.
pub fn start_node(folder: &Folder, node: &str, sections: &str) -> Daemon {
    Daemon::serve(&folder.write(&format!("{node}.toml"), &deploy(node, sections)))
}

/// The status page of a node.
pub fn status(node: &Daemon) -> Value {
    ask(node.address, "GET", "/v1/status", &[], b"").json()
}

/// Adds or changes a function; tests distinguish its versions by `memory_mb`.
pub fn put_function(node: &Daemon, name: &str, memory_mb: u64) {
    let body = json!({"class": "check", "memory_mb": memory_mb}).to_string();
    let response = ask(node.address, "PUT", &format!("/v1/functions/{name}"), &[], body.as_bytes());
    assert_eq!(response.status, 204, "{}", String::from_utf8_lossy(&response.body));
}

/// Deletes a function.
pub fn delete_function(node: &Daemon, name: &str) {
    let response = ask(node.address, "DELETE", &format!("/v1/functions/{name}"), &[], b"");
    assert_eq!(response.status, 204);
}

/// `memory_mb` of a function on a node; `None` if the node has no such function.
pub fn function_memory(node: &Daemon, name: &str) -> Option<f64> {
    ask(node.address, "GET", "/v1/functions", &[], b"").json()[name]["memory_mb"].as_f64()
}

/// Adds or changes a worker.
pub fn put_worker(node: &Daemon, name: &str, address: SocketAddr, state: &str) {
    let body = json!({"address": address.to_string(), "state": state}).to_string();
    let response = ask(node.address, "PUT", &format!("/v1/workers/{name}"), &[], body.as_bytes());
    assert_eq!(response.status, 204, "{}", String::from_utf8_lossy(&response.body));
}

/// The state of a worker on a node; null if the node has no such worker.
pub fn worker_state(node: &Daemon, name: &str) -> Value {
    ask(node.address, "GET", "/v1/workers", &[], b"").json()[name]["state"].clone()
}

/// The account of functions and workers of a node.
pub fn catalog_account(node: &Daemon) -> Value {
    let status = status(node);
    let accounts = status["memory"]["accounts"].as_array().expect("a list");
    accounts.iter().find(|account| account["purpose"] == json!("catalog")).expect("is there").clone()
}

/// Forwards connections to an address until it is cut or silenced.
pub struct Relay {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    is_silent: Arc<AtomicBool>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub fn to(target: SocketAddr) -> Self {
        let address = super::free_address();
        let listener = TcpListener::bind(address).expect("free");
        let (is_cut, is_silent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let sockets = Arc::new(Mutex::new(Vec::new()));
        let relay =
            Relay { address, is_cut: is_cut.clone(), is_silent: is_silent.clone(), sockets: sockets.clone() };
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                if is_cut.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(2)) else {
                    continue;
                };
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (from, to) = (from.try_clone().expect("a copy"), to.try_clone().expect("a copy"));
                    let is_silent = is_silent.clone();
                    std::thread::spawn(move || copy(from, to, &is_silent));
                }
                sockets.lock().expect("whole").extend([client, server]);
            }
        });
        relay
    }

    /// Closes all connections, and closes new ones at once from now on.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for socket in self.sockets.lock().expect("whole").drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Forwards nothing from now on, like a network that loses all packets: connections stay open, and pending data
    /// arrives after [`Relay::mend`].
    pub fn silence(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    /// Forwards new connections and pending data again.
    pub fn mend(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
        self.is_silent.store(false, Ordering::SeqCst);
    }
}

/// Forwards bytes in one direction. While the relay is silent, data and the end of the connection are held back.
fn copy(mut from: TcpStream, mut to: TcpStream, is_silent: &AtomicBool) {
    let mut chunk = [0; 16 << 10];
    loop {
        let read = from.read(&mut chunk);
        while is_silent.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        match read {
            Ok(size @ 1..) if to.write_all(&chunk[..size]).is_ok() => {}
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// Encodes a replication message: its length, the CRC32 of its text, the text.
pub fn frame(text: &str) -> Vec<u8> {
    let length = (text.len() as u32).to_be_bytes();
    let checksum = crc32fast::hash(text.as_bytes()).to_be_bytes();
    [&length, &checksum, text.as_bytes()].concat()
}

/// Reads and discards data until the peer has ended the connection.
pub fn until_ended(mut socket: TcpStream) {
    socket.set_read_timeout(Some(super::TEST_TIMEOUT)).expect("set");
    loop {
        match socket.read(&mut [0; 64]) {
            Ok(0) => return,
            Ok(_) => {}
            // Closing a socket that has unread data resets the connection.
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => return,
            Err(error) => panic!("not ended: {error}"),
        }
    }
}
