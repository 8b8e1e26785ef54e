//! The daemon with its Thrift front, workers and command channel, and a Thrift client that shares no code with the daemon.
use super::workers::{Behaviour, Fleet};
use super::{ask, free_address, head, until, Daemon, Folder, TEST_TIMEOUT};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

/// A command channel served by the test.
pub struct Channel {
    pub address: SocketAddr,
    pub events: Sender<String>,
    /// The `Last-Event-ID` header of each connection, empty if it has none.
    pub calls: std::sync::mpsc::Receiver<String>,
}

impl Channel {
    /// Serves one connection after the other. The event `hang up` closes the current one; `fall silent` leaves it open
    /// and sends nothing more on it.
    pub fn new() -> Self {
        Self::at("127.0.0.1:0".parse().expect("address"))
    }

    pub fn at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("a port");
        let address = listener.local_addr().expect("bound");
        let (events, queue) = channel::<String>();
        let (called, calls) = channel();
        std::thread::spawn(move || {
            let mut silent = Vec::new();
            for mut socket in listener.incoming().map_while(Result::ok) {
                let mut reader = BufReader::new(socket.try_clone().expect("cloned"));
                let Some((_, headers)) = head(&mut reader) else { continue };
                let _ = called.send(headers.get("last-event-id").cloned().unwrap_or_default());
                let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
                loop {
                    match queue.recv_timeout(Duration::from_millis(300)) {
                        Ok(event) if event == "hang up" => break,
                        Ok(event) if event == "fall silent" => {
                            silent.push(socket);
                            break;
                        }
                        Ok(event) => _ = socket.write_all(event.as_bytes()),
                        Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {
                            if socket.write_all(b":\n\n").is_err() {
                                break;
                            }
                        }
                        Err(_) => return,
                    }
                }
            }
        });
        Channel { address, events, calls }
    }

    pub fn tell(&self, cursor: u64, name: &str, address: SocketAddr, status: &str) {
        let data = nodes(cursor, false, &[(name, address, status)]);
        self.events.send(format!("id: {cursor}\ndata: {data}\n\n")).expect("channel");
    }
}

pub fn nodes(cursor: u64, whole: bool, hosts: &[(&str, SocketAddr, &str)]) -> serde_json::Value {
    let endpoint = |host: &(&str, SocketAddr, &str)| {
        json!({"name": host.0, "address": host.1.to_string(), "zone": "east", "type": "std", "group": 0,
               "status": host.2, "weight": 1, "since_ms": 0})
    };
    let endpoints: Vec<_> = hosts.iter().map(endpoint).collect();
    json!({"cursor": cursor, "nodes": {"index": cursor, "snapshot": whole, "endpoints": endpoints}})
}

/// A daemon with a Thrift front, its workers and its command channel.
pub struct Fixture {
    pub daemon: Daemon,
    pub fleet: Fleet,
    pub channel: Channel,
    pub hosts: Vec<SocketAddr>,
    pub config: serde_json::Value,
    pub folder: Folder,
    /// Address of the operators' API.
    pub admin: SocketAddr,
}

impl Fixture {
    pub fn new(script: &[Behaviour], hosts: usize) -> Self {
        Self::with_descriptor_limit(script, hosts, 1024)
    }

    /// Sets the `sockets` limit of the configuration.
    pub fn with_descriptor_limit(script: &[Behaviour], hosts: usize, sockets: u32) -> Self {
        Self::with_limits(script, hosts, sockets, 192)
    }

    /// Sets the `sockets` and `memory_mb` limits of the configuration.
    pub fn with_limits(script: &[Behaviour], hosts: usize, sockets: u32, memory_mb: u32) -> Self {
        Self::with_settings(script, hosts, sockets, memory_mb, |_| {})
    }

    /// Like [`Fixture::with_limits`]; `change` edits the settings.
    pub fn with_settings(
        script: &[Behaviour],
        hosts: usize,
        sockets: u32,
        memory_mb: u32,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        Self::with_environment(script, hosts, (sockets, memory_mb), &[], change)
    }

    /// Like [`Fixture::with_settings`], with additional environment variables. Limits are descriptors and memory in MB.
    pub fn with_environment(
        script: &[Behaviour],
        hosts: usize,
        (sockets, memory_mb): (u32, u32),
        environment: &[(&str, String)],
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        let fleet = Fleet::new(script);
        let hosts: Vec<SocketAddr> = (0..hosts).map(|number| fleet.frames(&format!("h{number}"))).collect();
        let channel = Channel::new();
        let names: Vec<String> = (0..hosts.len()).map(|number| format!("h{number}")).collect();
        let known: Vec<_> = names.iter().zip(&hosts).map(|(name, at)| (name.as_str(), *at, "up")).collect();
        let admin = free_address();
        let mut config = json!({
            "name": "n0", "listen": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
            "admin": admin.to_string(), "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "channel": channel.address.to_string(),
            "known": {"cursor": 1, "cmds": [nodes(1, true, &known)]},
            "settings": {
                "balancers": 1, "periodMs": 4.0, "zones": ["east"], "myZone": "east", "models": ["std"],
                "customers": [{"name": "acme", "quotaPerS": 100.0}],
                "classes": [
                    {"name": "check", "aimMs": 1500.0, "giveUpMs": 4000.0, "idempotency": "pure", "worth": 1.0},
                    {"name": "post", "aimMs": 750.0, "giveUpMs": 3000.0, "idempotency": "token",
                     "dedupScope": "cell", "dedupWindowMs": 6000.0, "worth": 2.0}],
                "ceilings": {"attemptsCap": 5, "cancel": true, "connIdleMs": 15000.0, "streamsPerConn": 32,
                             "connectTimeoutMs": 250.0, "secondCopies": true, "retryAfter": true,
                             "maxRetryAfterMs": 500.0},
                "specifics": {"answerWithinMs": 10000.0, "keepMs": 8000.0, "notLoaded": "load",
                              "placementCalls": false, "ramMbByKind": [10000.0]},
                "safety": {"drainGraceMs": 2000.0, "coldFrom": 1.0, "coldMs": 0.0, "fallMs": 2000.0, "fallMultiple": 2.0}
            }
        });
        change(&mut config["settings"]);
        let folder = Folder::new();
        let path = folder.write("config.json", &config.to_string());
        let daemon = Daemon::platform_with(&path, free_address(), environment);
        Fixture { daemon, fleet, channel, hosts, config, folder, admin }
    }

    pub fn client(&self) -> Client {
        Client::new(self.daemon.address)
    }

    /// Waits until the daemon knows a worker that was announced on the command channel. Events are applied in their order.
    pub fn await_known(&self, worker: &str) {
        let path = format!("/v1/hosts/{worker}/resume");
        until("the worker is known", || ask(self.admin, "PUT", &path, &[], b"").status == 200);
    }

    /// Sends calls on a connection until a worker has received one, and returns its sequence number. The dispatcher may
    /// refuse a call, for example when the machine stalls for a moment; the counters and the log are printed then.
    pub fn send_until_dispatched(&self, client: &mut Client, id: u64, allow: &str) -> i32 {
        let before = self.fleet.sent().len();
        for seqid in 1..=3 {
            let id = format!("{:016x}", (id << 8) + seqid as u64);
            client.send(&dispatch(seqid, &fields("check", &id, allow), b"x"));
            let start = Instant::now();
            while start.elapsed() < TEST_TIMEOUT / 4 {
                if self.fleet.sent().len() > before {
                    return seqid;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            self.daemon.signal("USR1");
            println!("{id} was not dispatched: {:?}; log:\n{}", client.receive(), self.daemon.errors());
        }
        panic!("no call was dispatched");
    }
}

/// A request of the class `check` whose client waits for 8 s.
pub fn check(seqid: i32, id: u64) -> Vec<u8> {
    dispatch(seqid, &fields("check", &format!("{id:016x}"), "8000"), b"x")
}

/// The message that cancels a request.
pub fn cancel(seqid: i32) -> Vec<u8> {
    message(4, "cancelRequest", 0, &[&[8, 0, 1][..], &seqid.to_be_bytes(), &[0]].concat())
}

/// A Thrift client that doesn't use the daemon's codec.
pub struct Client {
    pub socket: TcpStream,
    /// Whether the last answer had its success flag set.
    pub good: bool,
}

#[derive(Debug, PartialEq)]
pub enum Reply {
    Answer(Vec<u8>),
    Rejected(BTreeMap<String, String>),
    Crashed,
    Exception(i32),
}

pub fn text(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes(), bytes].concat()
}

pub fn message(kind: u8, method: &str, seqid: i32, arguments: &[u8]) -> Vec<u8> {
    let head = [&[0x80, 1, 0, kind][..], &text(method.as_bytes()), &seqid.to_be_bytes(), arguments].concat();
    text(&head)
}

pub fn dispatch(seqid: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut arguments = vec![13, 0, 1, 11, 11];
    arguments.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        arguments.extend([text(name.as_bytes()), text(value.as_bytes())].concat());
    }
    arguments.extend([&[11, 0, 2][..], &text(body), &[0]].concat());
    message(1, "dispatch", seqid, &arguments)
}

pub fn fields<'a>(class: &'a str, id: &'a str, allow: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("service", class),
        ("ref", id),
        ("allow", allow),
        ("project", "acme"),
        ("replay", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        ("lookup", "000000000000d655"),
        ("effort", "8.2"),
        ("info", "memory_mb:512;lanes:2"),
    ]
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self::connect(address).expect("connects")
    }

    /// Connects; `None` if the connection is refused. A connection that reaches a listener that is just being closed is
    /// refused, even if another process listens on the same address.
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let socket = TcpStream::connect(address).ok()?;
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        Some(Client { socket, good: false })
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).expect("written");
    }

    /// Reads the next reply and its sequence number; `None` if the connection has ended.
    pub fn receive(&mut self) -> Option<(i32, Reply)> {
        let mut size = [0; 4];
        self.socket.read_exact(&mut size).ok()?;
        let mut bytes = vec![0; u32::from_be_bytes(size) as usize];
        self.socket.read_exact(&mut bytes).expect("a whole frame");
        let mut at = 0;
        let mut take = |size: usize| {
            at += size;
            bytes[at - size..at].to_vec()
        };
        let number = |bytes: Vec<u8>| i32::from_be_bytes(bytes.try_into().expect("four bytes"));
        let kind = take(4)[3];
        let size = number(take(4)) as usize;
        take(size);
        let seqid = number(take(4));
        let field = take(3);
        if kind == 3 {
            let size = number(take(4)) as usize;
            take(size + 3);
            return Some((seqid, Reply::Exception(number(take(4)))));
        }
        Some((
            seqid,
            match field[2] {
                0 => {
                    assert_eq!(take(3), [11, 0, 1]);
                    let size = number(take(4)) as usize;
                    let body = take(size);
                    // An empty map, then the success flag.
                    assert_eq!(take(9), [13, 0, 2, 11, 11, 0, 0, 0, 0]);
                    self.good = take(4) == [2, 0, 3, 1];
                    Reply::Answer(body)
                }
                1 => {
                    assert_eq!(take(5), [13, 0, 1, 11, 11]);
                    let mut fields = BTreeMap::new();
                    for _ in 0..number(take(4)) {
                        let mut word = || {
                            let size = number(take(4)) as usize;
                            String::from_utf8(take(size)).expect("text")
                        };
                        let name = word();
                        fields.insert(name, word());
                    }
                    Reply::Rejected(fields)
                }
                _ => Reply::Crashed,
            },
        ))
    }
}
