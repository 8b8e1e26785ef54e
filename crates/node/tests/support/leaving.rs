//! Clients that cancel or disconnect in different ways, on either front of the daemon, and a worker that leaves requests
//! unanswered until it fails them.
use super::platform::{cancel, dispatch, fields, Client, Fixture, Reply};
use super::workers::{Behaviour, Fleet};
use super::{ask, receive, until, Daemon, Folder, CLASSES, TEST_TIMEOUT};
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use rustix::net::connect_unspec;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// How a client cancels its request or disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// Cancels its request and stays connected; only on the Thrift front.
    Cancels,
    /// The same after sending a second request, which it does not cancel.
    CancelsBeforeSecond,
    Closes,
    /// Shuts down its sending side and keeps reading.
    HalfCloses,
    /// Resets the connection.
    Resets,
    /// Closes the connection with a second unanswered request on it.
    ClosesAfterSecond,
    /// Closes the connection after sending a part of a second request.
    ClosesAfterPartialRequest,
}

/// The protocol front that clients use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    Platform,
    Http,
}

impl Front {
    /// An encoded request.
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

/// A client that is about to leave, with one open request or, for some departures, two.
pub struct DepartingClient {
    way: Departure,
    socket: TcpStream,
}

/// A daemon with one of its fronts; the test registers workers with it.
pub struct Site {
    pub front: Front,
    pub fleet: Fleet,
    cursor: u64,
    fixture: Option<Fixture>,
    daemon: Option<(Daemon, Folder)>,
}

impl Site {
    /// Starts a daemon that has no worker.
    pub fn new(front: Front) -> Self {
        match front {
            Front::Platform => {
                let fixture = Fixture::new(&[Behaviour::Serve], 0);
                Site { front, fleet: fixture.fleet.clone(), cursor: 1, fixture: Some(fixture), daemon: None }
            }
            Front::Http => {
                let folder = Folder::new();
                let text = format!(
                    "node = \"n\"\nlisten = \"127.0.0.1:0\"\ndata_dir = \"data\"\n[transport]\nprotocol = \"frames\"\n{CLASSES}"
                );
                let daemon = Daemon::serve(&folder.write("invoke.toml", &text));
                let fleet = Fleet::new(&[Behaviour::Serve]);
                Site { front, fleet, cursor: 1, fixture: None, daemon: Some((daemon, folder)) }
            }
        }
    }

    fn daemon(&self) -> &Daemon {
        let other = self.daemon.as_ref().map(|(daemon, _)| daemon);
        self.fixture.as_ref().map(|fixture| &fixture.daemon).or(other).expect("one of the two")
    }

    /// Sends a signal to the daemon.
    pub fn signal(&self, name: &str) {
        self.daemon().signal(name);
    }

    /// Registers a worker with the daemon or changes its state, which is `up` or `draining`.
    pub fn set_worker(&mut self, name: &str, address: SocketAddr, state: &str) {
        self.cursor += 1;
        match &self.fixture {
            Some(fixture) => fixture.channel.tell(self.cursor, name, address, state),
            None => {
                let body = format!("{{\"address\":\"{address}\",\"state\":\"{state}\"}}");
                let path = format!("/v1/workers/{name}");
                assert_eq!(ask(self.daemon().address, "PUT", &path, &[], body.as_bytes()).status, 204);
            }
        }
    }

    fn counted(&self, counter: &str, count: u64) -> bool {
        if self.fixture.is_some() {
            self.daemon().signal("USR1");
            return self.daemon().errors().contains(&format!("{counter}={count} "));
        }
        let status = ask(self.daemon().address, "GET", "/v1/status", &[], b"").json();
        status["counters"][counter].as_u64() == Some(count)
    }

    /// Waits until a counter has that value.
    pub fn until_counted(&self, counter: &str, count: u64) {
        until(counter, || self.counted(counter, count));
    }

    /// Sends a request whose body is `name` on a new connection.
    pub fn ask(&self, name: &str) -> TcpStream {
        let mut socket = TcpStream::connect(self.daemon().address).expect("connects");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        socket.write_all(&self.front.request(1, name)).expect("written");
        socket
    }

    /// Sends the requests of a client that will leave in that way. The body of each request that its departure withdraws
    /// begins with `leaver`.
    pub fn send_and_prepare_departure(&self, way: Departure) -> DepartingClient {
        let mut socket = self.ask(&format!("leaver {way:?}"));
        let second = |name: &str| self.front.request(2, &format!("{name} second {way:?}"));
        match way {
            Departure::CancelsBeforeSecond => socket.write_all(&second("stayer")).expect("written"),
            Departure::ClosesAfterSecond => socket.write_all(&second("leaver")).expect("written"),
            Departure::ClosesAfterPartialRequest => {
                let next = second("leaver");
                socket.write_all(&next[..next.len() / 2]).expect("written");
            }
            _ => {}
        }
        DepartingClient { way, socket }
    }

    /// Waits for the answer to the request of a client that stays connected.
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

impl DepartingClient {
    /// Makes the client leave and returns its connection if that stays open. Closing the descriptor would not be enough: a
    /// child process that another test starts holds a copy of it between fork and exec, which keeps the connection open.
    pub fn leave(mut self) -> Option<TcpStream> {
        match self.way {
            Departure::Cancels | Departure::CancelsBeforeSecond => {
                self.socket.write_all(&cancel(1)).expect("written");
                Some(self.socket)
            }
            Departure::HalfCloses => {
                self.socket.shutdown(Shutdown::Write).expect("shut");
                Some(self.socket)
            }
            Departure::Resets => {
                connect_unspec(&self.socket).expect("reset");
                None
            }
            Departure::Closes | Departure::ClosesAfterSecond | Departure::ClosesAfterPartialRequest => {
                self.socket.shutdown(Shutdown::Both).expect("shut");
                None
            }
        }
    }
}

/// How a [`HoldingWorker`] fails its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureMode {
    /// Closes the connection.
    Disconnect,
    /// Answers that it is full.
    Full,
    /// Answers with an error.
    Error,
}

/// A worker with the frame protocol that answers no request until it fails all of them.
pub struct HoldingWorker {
    pub address: SocketAddr,
    held: Arc<Mutex<Vec<HeldRequest>>>,
}

struct HeldRequest {
    socket: TcpStream,
    id: u64,
    body: Vec<u8>,
}

impl HoldingWorker {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let held: Arc<Mutex<Vec<HeldRequest>>> = Arc::default();
        let ours = held.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let ours = ours.clone();
                std::thread::spawn(move || hold(socket, &ours));
            }
        });
        HoldingWorker { address, held }
    }

    /// Bodies of the requests received.
    pub fn bodies(&self) -> Vec<String> {
        let held = self.held.lock().expect("whole");
        held.iter().map(|one| String::from_utf8_lossy(&one.body).into_owned()).collect()
    }

    /// Fails all requests received so far.
    pub fn fail(&self, how: FailureMode) {
        for HeldRequest { socket, id, .. } in self.held.lock().expect("whole").iter() {
            let code = match how {
                FailureMode::Disconnect => {
                    // Another request on the same connection may have closed it already.
                    let _ = socket.shutdown(Shutdown::Both);
                    continue;
                }
                FailureMode::Full => code::FULL,
                FailureMode::Error => code::ERROR,
            };
            let answer = Frame { mark: FROM_WORKER, code, id: *id, fields: String::new(), body: Vec::new() };
            (&*socket).write_all(&answer.encode()).expect("written");
        }
    }
}

fn hold(mut socket: TcpStream, held: &Mutex<Vec<HeldRequest>>) {
    let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        while let Some(frame) = Frame::decode(&mut buffer, FROM_INVOKER).expect("a good frame") {
            if frame.code == code::REQUEST {
                let socket = socket.try_clone().expect("cloned");
                held.lock().expect("whole").push(HeldRequest { socket, id: frame.id, body: frame.body });
            }
        }
        match socket.read(&mut chunk) {
            Ok(size @ 1..) => buffer.extend(&chunk[..size]),
            _ => return,
        }
    }
}
