//! Nodes that share configuration: control nodes, followers, and a relay whose connections can be cut.
use super::{ask, Daemon, Folder, CLASSES};
use serde_json::{json, Value};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The classes without the functions.
pub fn classes_only() -> &'static str {
    CLASSES.split("[[function]]").next().expect("classes come first")
}

/// A deploy file of a node with data of its own.
pub fn deploy(node: &str, sections: &str) -> String {
    format!("node = \"{node}\"\nlisten = \"127.0.0.1:0\"\ndata_dir = \"data-{node}\"\n{sections}")
}

/// A `[replication]` section.
pub fn replication(listen: SocketAddr, peers: &[SocketAddr], interval_ms: u64) -> String {
    let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let peers = peers.join(", ");
    format!("[replication]\nlisten = \"{listen}\"\npeers = [{peers}]\ninterval_ms = {interval_ms}\n")
}

/// Starts a node from a deploy file of its own.
pub fn start_node(folder: &Folder, node: &str, sections: &str) -> Daemon {
    Daemon::serve(&folder.write(&format!("{node}.toml"), &deploy(node, sections)))
}

/// What a node tells of itself.
pub fn status(node: &Daemon) -> Value {
    ask(node.address, "GET", "/v1/status", &[], b"").json()
}

/// Adds or changes a function, told apart by its memory.
pub fn put_function(node: &Daemon, name: &str, memory_mb: u64) {
    let body = json!({"class": "check", "memory_mb": memory_mb}).to_string();
    let response = ask(node.address, "PUT", &format!("/v1/functions/{name}"), &[], body.as_bytes());
    assert_eq!(response.status, 204, "{}", String::from_utf8_lossy(&response.body));
}

/// Takes a function away.
pub fn delete_function(node: &Daemon, name: &str) {
    let response = ask(node.address, "DELETE", &format!("/v1/functions/{name}"), &[], b"");
    assert_eq!(response.status, 204);
}

/// The memory of a function as a node knows it; `None` where it knows none of that name.
pub fn function_memory(node: &Daemon, name: &str) -> Option<f64> {
    ask(node.address, "GET", "/v1/functions", &[], b"").json()[name]["memory_mb"].as_f64()
}

/// Passes connections on to an address until it is cut or silenced.
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

    /// Ends all connections and lets none through from now on.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for socket in self.sockets.lock().expect("whole").drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Passes nothing on from now on, as a network that loses all packets: connections stay open, and what is on its way
    /// arrives after [`Relay::mend`].
    pub fn silence(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    /// Lets connections and what stood on them through again.
    pub fn mend(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
        self.is_silent.store(false, Ordering::SeqCst);
    }
}

/// Passes bytes on; while it is silent they wait, and so does the end of the connection.
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

/// A message as nodes send it: its length, the CRC32 of its text, its text.
pub fn frame(text: &str) -> Vec<u8> {
    let length = (text.len() as u32).to_be_bytes();
    let checksum = crc32fast::hash(text.as_bytes()).to_be_bytes();
    [&length, &checksum, text.as_bytes()].concat()
}

/// Waits until the other side has ended a connection, whatever it says before.
pub fn until_ended(mut socket: TcpStream) {
    socket.set_read_timeout(Some(super::PATIENCE)).expect("set");
    loop {
        match socket.read(&mut [0; 64]) {
            Ok(0) => return,
            Ok(_) => {}
            // A connection that is closed over bytes that were not read is reset.
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => return,
            Err(error) => panic!("not ended: {error}"),
        }
    }
}
