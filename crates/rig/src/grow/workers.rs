//! Hollow workers: thousands of them on one thread, each with a loopback address of its own.
//!
//! A worker holds models in name only, answers a request after its work and writes down what came.
use crate::faults::log::{draw, Log};
use crate::faults::records::{Arrival, At};
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests that all workers together carry out at a time.
const LANES_OF_ALL: usize = 6400;
/// The shortest and the longest work of a request, in milliseconds.
const WORK_MS: Range<f64> = 15.0..45.0;
const LOAD_TIME: Duration = Duration::from_millis(150);
/// Longest wait before commands are looked at.
const LOOK: Duration = Duration::from_millis(5);
const EVENTS: usize = 256;
const CHUNK: usize = 8 << 10;
/// Tokens of connections begin here, those of listeners are the workers' numbers.
const FIRST_CONNECTION: usize = 1 << 20;

/// What becomes of workers.
enum Command {
    Stop(Vec<usize>),
    Start(Vec<usize>),
}

/// The workers as their owner sees them; they serve until it is dropped.
pub struct HollowWorkers {
    /// Where each listens, by number.
    pub addresses: Vec<SocketAddr>,
    commands: Sender<Command>,
    connections_made: Arc<AtomicU64>,
}

impl HollowWorkers {
    /// Starts so many, of which so many are in use at a time.
    pub fn start(count: usize, in_use: usize, racks: usize, log: &Log) -> io::Result<Self> {
        let (commands, orders) = channel();
        let connections_made = Arc::<AtomicU64>::default();
        let mut server = Server::new(in_use, racks, log.clone(), connections_made.clone())?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let addresses = (0..count).map(|_| server.listen(any)).collect::<io::Result<_>>()?;
        std::thread::spawn(move || server.run(&orders));
        Ok(HollowWorkers { addresses, commands, connections_made })
    }

    /// Ends the processes of these workers: connections are reset and new ones refused.
    pub fn stop(&self, numbers: Vec<usize>) {
        let _ = self.commands.send(Command::Stop(numbers));
    }

    /// Starts these workers again where they listened, with nothing loaded.
    pub fn restart(&self, numbers: Vec<usize>) {
        let _ = self.commands.send(Command::Start(numbers));
    }

    /// Connections that were made to them so far.
    pub fn connections_made(&self) -> u64 {
        self.connections_made.load(Ordering::Relaxed)
    }
}

struct Worker {
    address: SocketAddr,
    listener: Option<TcpListener>,
    models: HashSet<String>,
    busy: usize,
    /// Counts its processes; what an earlier one was to answer is not answered.
    life: u32,
}

struct Connection {
    worker: usize,
    socket: TcpStream,
    unread: Vec<u8>,
}

/// An answer that is due later.
struct Answer {
    connection: usize,
    worker: usize,
    life: u32,
    frame: Frame,
    frees_lane: bool,
}

struct Server {
    poll: Poll,
    workers: Vec<Worker>,
    connections: BTreeMap<usize, Connection>,
    next_connection: usize,
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    answers: BTreeMap<u64, Answer>,
    next_answer: u64,
    lanes: usize,
    racks: usize,
    log: Log,
    connections_made: Arc<AtomicU64>,
}

impl Server {
    fn new(in_use: usize, racks: usize, log: Log, connections_made: Arc<AtomicU64>) -> io::Result<Self> {
        Ok(Server {
            poll: Poll::new()?,
            workers: Vec::new(),
            connections: BTreeMap::new(),
            next_connection: FIRST_CONNECTION,
            due: BinaryHeap::new(),
            answers: BTreeMap::new(),
            next_answer: 0,
            lanes: (LANES_OF_ALL / in_use.max(1)).max(1),
            racks,
            log,
            connections_made,
        })
    }

    /// Adds a worker that listens there; its address.
    fn listen(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let number = self.workers.len();
        let listener = self.open(number, address)?;
        let address = listener.local_addr()?;
        let listener = Some(listener);
        self.workers.push(Worker { address, listener, models: HashSet::new(), busy: 0, life: 0 });
        Ok(address)
    }

    fn open(&self, number: usize, address: SocketAddr) -> io::Result<TcpListener> {
        let mut listener = TcpListener::bind(address)?;
        self.poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
        Ok(listener)
    }

    /// Serves until the owner has gone.
    fn run(&mut self, orders: &Receiver<Command>) {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            loop {
                match orders.try_recv() {
                    Ok(Command::Stop(numbers)) => numbers.into_iter().for_each(|number| self.stop(number)),
                    Ok(Command::Start(numbers)) => {
                        numbers.into_iter().for_each(|number| self.restart(number))
                    }
                    Err(std::sync::mpsc::TryRecvError::Empty) => break,
                    Err(std::sync::mpsc::TryRecvError::Disconnected) => return,
                }
            }
            let next = self.due.peek().map(|due| due.0 .0.saturating_duration_since(Instant::now()));
            // Interrupted waits are looked at again.
            let _ = self.poll.poll(&mut events, Some(next.unwrap_or(LOOK).min(LOOK)));
            for event in &events {
                match event.token().0 {
                    token if token >= FIRST_CONNECTION => self.read(token),
                    number => self.accept(number),
                }
            }
            self.answer_due();
        }
    }

    fn stop(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        worker.listener = None;
        worker.models.clear();
        worker.busy = 0;
        worker.life += 1;
        self.connections.retain(|_, connection| connection.worker != number);
    }

    fn restart(&mut self, number: usize) {
        match self.open(number, self.workers[number].address) {
            Ok(listener) => self.workers[number].listener = Some(listener),
            Err(error) => tracing::error!(%error, number, "a hollow worker can't listen again"),
        }
    }

    fn accept(&mut self, number: usize) {
        while let Some(Ok((mut socket, _))) =
            self.workers[number].listener.as_ref().map(|listener| listener.accept())
        {
            self.connections_made.fetch_add(1, Ordering::Relaxed);
            let token = self.next_connection;
            self.next_connection += 1;
            if self.poll.registry().register(&mut socket, Token(token), Interest::READABLE).is_ok() {
                let connection = Connection { worker: number, socket, unread: Vec::new() };
                self.connections.insert(token, connection);
            }
        }
    }

    fn read(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let mut chunk = [0; CHUNK];
        let is_over = loop {
            match connection.socket.read(&mut chunk) {
                Ok(0) => break true,
                Ok(size) => connection.unread.extend(&chunk[..size]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(_) => break true,
            }
        };
        let mut frames = Vec::new();
        while let Ok(Some(frame)) = Frame::decode(&mut connection.unread, FROM_INVOKER) {
            frames.push(frame);
        }
        let worker = connection.worker;
        for frame in frames {
            self.take(token, worker, &frame);
        }
        if is_over {
            self.connections.remove(&token);
        }
    }

    fn take(&mut self, connection: usize, worker: usize, frame: &Frame) {
        match frame.code {
            code::REQUEST => self.request(connection, worker, frame),
            code::LOAD => self.load(connection, worker, frame),
            code::EVICT => _ = self.workers[worker].models.remove(&format!("{:016x}", frame.id)),
            code::PROBE => self.write(connection, &reply(code::ALIVE, frame.id, "")),
            _ => {}
        }
    }

    fn request(&mut self, connection: usize, number: usize, frame: &Frame) {
        let at = self.log.now();
        let left = frame.field("ms").and_then(|ms| ms.parse().ok()).unwrap_or(At::INFINITY);
        let model = frame.field("obj").unwrap_or_default().to_string();
        let worker = &mut self.workers[number];
        let refusal = match () {
            _ if !worker.models.contains(&model) => Some(code::MISS),
            _ if worker.busy >= self.lanes => Some(code::FULL),
            _ => None,
        };
        let (id, rack, ran) = (frame.id, number % self.racks, refusal.is_none());
        self.log.records().arrivals.push(Arrival { id, worker: number, rack, at, left, ran });
        if let Some(code) = refusal {
            return self.write(connection, &reply(code, id, ""));
        }
        worker.busy += 1;
        let work = WORK_MS.start + (WORK_MS.end - WORK_MS.start) * draw(id, number as u64);
        self.answer_in(
            Duration::from_secs_f64(work / 1000.0),
            connection,
            number,
            reply(code::OK, id, ""),
            true,
        );
    }

    fn load(&mut self, connection: usize, number: usize, frame: &Frame) {
        let model = frame.field("obj").unwrap_or_default().to_string();
        let stood = self.workers[number].models.contains(&model);
        let wants = frame.field("replicas").is_some_and(|count| count != "0");
        if wants {
            self.workers[number].models.insert(model);
        }
        let fields = if stood || wants { "replicas=1" } else { "replicas=0" };
        let answer = reply(code::OK, frame.id, fields);
        let delay = if wants && !stood { LOAD_TIME } else { Duration::ZERO };
        self.answer_in(delay, connection, number, answer, false);
    }

    fn answer_in(
        &mut self,
        delay: Duration,
        connection: usize,
        worker: usize,
        frame: Frame,
        frees_lane: bool,
    ) {
        let life = self.workers[worker].life;
        self.next_answer += 1;
        self.due.push(Reverse((Instant::now() + delay, self.next_answer)));
        self.answers.insert(self.next_answer, Answer { connection, worker, life, frame, frees_lane });
    }

    fn answer_due(&mut self) {
        while self.due.peek().is_some_and(|due| due.0 .0 <= Instant::now()) {
            let Some(Reverse((_, number))) = self.due.pop() else { return };
            let Some(answer) = self.answers.remove(&number) else { continue };
            let worker = &mut self.workers[answer.worker];
            if worker.life == answer.life {
                worker.busy -= usize::from(answer.frees_lane);
                self.write(answer.connection, &answer.frame);
            }
        }
    }

    /// Whoever has left is seen by the reading side.
    fn write(&mut self, connection: usize, frame: &Frame) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            let _ = connection.socket.write_all(&frame.encode());
        }
    }
}

fn reply(code: u8, id: u64, fields: &str) -> Frame {
    Frame { mark: FROM_WORKER, code, id, fields: fields.to_string(), body: b"done".to_vec() }
}
