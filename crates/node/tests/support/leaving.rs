//! Clients that leave in different ways, on either front of the started program, and a worker that holds what it gets
//! until it fails it.
use super::platform::{cancel, dispatch, fields, Bench, Client, Reply};
use super::workers::{Act, Fleet};
use super::{ask, receive, until, Daemon, Folder, CLASSES, PATIENCE};
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use rustix::net::connect_unspec;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// It takes its request back and stays connected; on the platform's front only.
    Cancels,
    /// The same behind a second request that it does not take back.
    CancelsBefore,
    Closes,
    /// It writes no more and would go on reading.
    HalfCloses,
    /// Its machine resets the connection.
    Resets,
    /// It closes behind a second request that was not answered either.
    ClosesBehindSecond,
    /// It closes behind a part of a second request.
    ClosesBehindPart,
}

/// What is spoken to the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    Platform,
    Http,
}

impl Front {
    /// A request as it stands on the wire.
    pub fn request(self, seqid: i32, body: &str) -> Vec<u8> {
        match self {
            Front::Platform => {
                let id = body.bytes().fold(0u64, |id, byte| id.wrapping_mul(257) + u64::from(byte));
                dispatch(seqid, &fields("check", &format!("{id:016x}"), "8000"), body.as_bytes())
            }
            Front::Http => {
                let head = "POST /v1/functions/check/invocations HTTP/1.1\r\nHost: test\r\n";
                format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
            }
        }
    }
}

/// A client with one open request, or two where the way asks for it.
pub struct Leaver {
    way: Leaving,
    socket: TcpStream,
}

/// The program behind one of its fronts, with workers that the test names to it.
pub struct Site {
    pub front: Front,
    pub fleet: Fleet,
    cursor: u64,
    bench: Option<Bench>,
    daemon: Option<(Daemon, Folder)>,
}

impl Site {
    /// Without a worker.
    pub fn new(front: Front) -> Self {
        match front {
            Front::Platform => {
                let bench = Bench::new(&[Act::Serve], 0);
                Site { front, fleet: bench.fleet.clone(), cursor: 1, bench: Some(bench), daemon: None }
            }
            Front::Http => {
                let folder = Folder::new();
                let text = format!(
                    "node = \"n\"\nlisten = \"127.0.0.1:0\"\ndata_dir = \"data\"\n[transport]\nprotocol = \"frames\"\n{CLASSES}"
                );
                let daemon = Daemon::serve(&folder.write("invoke.toml", &text));
                let fleet = Fleet::new(&[Act::Serve]);
                Site { front, fleet, cursor: 1, bench: None, daemon: Some((daemon, folder)) }
            }
        }
    }

    fn daemon(&self) -> &Daemon {
        let other = self.daemon.as_ref().map(|(daemon, _)| daemon);
        self.bench.as_ref().map(|bench| &bench.daemon).or(other).expect("one of the two")
    }

    /// Signals the program.
    pub fn signal(&self, name: &str) {
        self.daemon().signal(name);
    }

    /// Names a worker to the program; states are `up` and `draining`.
    pub fn set_worker(&mut self, name: &str, address: SocketAddr, state: &str) {
        self.cursor += 1;
        match &self.bench {
            Some(bench) => bench.channel.tell(self.cursor, name, address, state),
            None => {
                let body = format!("{{\"address\":\"{address}\",\"state\":\"{state}\"}}");
                let path = format!("/v1/workers/{name}");
                assert_eq!(ask(self.daemon().address, "PUT", &path, &[], body.as_bytes()).status, 204);
            }
        }
    }

    fn counted(&self, counter: &str, count: u64) -> bool {
        if self.bench.is_some() {
            self.daemon().signal("USR1");
            return self.daemon().errors().contains(&format!("{counter}={count} "));
        }
        let status = ask(self.daemon().address, "GET", "/v1/status", &[], b"").json();
        status["counters"][counter].as_u64() == Some(count)
    }

    /// Waits until a counter stands there.
    pub fn until_counted(&self, counter: &str, count: u64) {
        until(counter, || self.counted(counter, count));
    }

    /// A client that asks, with a body that is told by `name`.
    pub fn ask(&self, name: &str) -> TcpStream {
        let mut socket = TcpStream::connect(self.daemon().address).expect("connects");
        socket.set_read_timeout(Some(PATIENCE)).expect("set");
        socket.write_all(&self.front.request(1, name)).expect("written");
        socket
    }

    /// A client that asks and will leave in that way; whatever it asks has a body that begins with `leaver`.
    pub fn ask_and_leave(&self, way: Leaving) -> Leaver {
        let mut socket = self.ask(&format!("leaver {way:?}"));
        let second = |name: &str| self.front.request(2, &format!("{name} second {way:?}"));
        match way {
            Leaving::CancelsBefore => socket.write_all(&second("stayer")).expect("written"),
            Leaving::ClosesBehindSecond => socket.write_all(&second("leaver")).expect("written"),
            Leaving::ClosesBehindPart => {
                let next = second("leaver");
                socket.write_all(&next[..next.len() / 2]).expect("written");
            }
            _ => {}
        }
        Leaver { way, socket }
    }

    /// Waits for the answer to the request of a client that stays.
    pub fn assert_served(&self, socket: TcpStream) {
        match self.front {
            Front::Platform => {
                let mut client = Client { socket, good: false };
                let reply = client.receive();
                assert!(
                    matches!(reply, Some((1, Reply::Answer(_)))),
                    "{reply:?}: {}",
                    self.daemon().errors()
                );
            }
            Front::Http => assert_eq!(receive(&mut BufReader::new(socket)).status, 200),
        }
    }
}

impl Leaver {
    /// Leaves; the connection, where it stays open. A closed descriptor would not do: a child that another test starts
    /// holds a copy of it until it runs, and the connection stays for so long.
    pub fn leave(mut self) -> Option<TcpStream> {
        match self.way {
            Leaving::Cancels | Leaving::CancelsBefore => {
                self.socket.write_all(&cancel(1)).expect("written");
                Some(self.socket)
            }
            Leaving::HalfCloses => {
                self.socket.shutdown(Shutdown::Write).expect("shut");
                Some(self.socket)
            }
            Leaving::Resets => {
                connect_unspec(&self.socket).expect("reset");
                None
            }
            Leaving::Closes | Leaving::ClosesBehindSecond | Leaving::ClosesBehindPart => {
                self.socket.shutdown(Shutdown::Both).expect("shut");
                None
            }
        }
    }
}

/// How held requests fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failing {
    /// Their connection breaks.
    Breaks,
    /// The worker has no room.
    Full,
    /// The worker says that it failed.
    Errs,
}

/// A worker that speaks frames, and answers nothing until it fails all that it got.
pub struct HoldingWorker {
    pub address: SocketAddr,
    held: Arc<Mutex<Vec<Held>>>,
}

struct Held {
    socket: TcpStream,
    id: u64,
    body: Vec<u8>,
}

impl HoldingWorker {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let held: Arc<Mutex<Vec<Held>>> = Arc::default();
        let ours = held.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let ours = ours.clone();
                std::thread::spawn(move || hold(socket, &ours));
            }
        });
        HoldingWorker { address, held }
    }

    /// The bodies of what came.
    pub fn bodies(&self) -> Vec<String> {
        let held = self.held.lock().expect("whole");
        held.iter().map(|one| String::from_utf8_lossy(&one.body).into_owned()).collect()
    }

    /// Fails all that came so far.
    pub fn fail(&self, how: Failing) {
        for Held { socket, id, .. } in self.held.lock().expect("whole").iter() {
            let code = match how {
                Failing::Breaks => {
                    // Another request on the same connection may have ended it.
                    let _ = socket.shutdown(Shutdown::Both);
                    continue;
                }
                Failing::Full => code::FULL,
                Failing::Errs => code::ERROR,
            };
            let answer = Frame { mark: FROM_WORKER, code, id: *id, fields: String::new(), body: Vec::new() };
            (&*socket).write_all(&answer.encode()).expect("written");
        }
    }
}

fn hold(mut socket: TcpStream, held: &Mutex<Vec<Held>>) {
    let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        while let Some(frame) = Frame::decode(&mut buffer, FROM_INVOKER).expect("a good frame") {
            if frame.code == code::REQUEST {
                let socket = socket.try_clone().expect("cloned");
                held.lock().expect("whole").push(Held { socket, id: frame.id, body: frame.body });
            }
        }
        match socket.read(&mut chunk) {
            Ok(size @ 1..) => buffer.extend(&chunk[..size]),
            _ => return,
        }
    }
}
