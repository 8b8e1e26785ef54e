//! Simulated workers: thousands of them on one thread, each with its own loopback address.
//!
//! A worker keeps only the names of its loaded models, answers a request after a simulated work time and records
//! each arrival.
use crate::faults::log::{draw, Log};
use crate::faults::records::{Arrival, Millis};
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

/// Number of requests that all workers together execute at a time; it is divided among those in use.
const TOTAL_LANES: usize = 6400;
/// Shortest and longest work time of a request, in milliseconds.
const WORK_MS: Range<f64> = 15.0..45.0;
const LOAD_TIME: Duration = Duration::from_millis(150);
/// Longest wait before commands are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const EVENT_CAPACITY: usize = 256;
const READ_CHUNK_BYTES: usize = 8 << 10;
/// Token of the first connection; a listener's token is the number of its worker.
const FIRST_CONNECTION_TOKEN: usize = 1 << 20;

/// A command from the owner to the server thread, with the numbers of the workers concerned.
enum Command {
    Stop(Vec<usize>),
    Start(Vec<usize>),
}

/// Handle of the simulated workers; they serve until it is dropped.
pub struct SimulatedWorkers {
    /// Listening address of each worker, by number.
    pub addresses: Vec<SocketAddr>,
    commands: Sender<Command>,
    connections_made: Arc<AtomicU64>,
}

impl SimulatedWorkers {
    /// Starts `count` workers, of which `in_use` are listed at a time; these share the total capacity.
    pub fn start(count: usize, in_use: usize, cells: usize, log: &Log) -> io::Result<Self> {
        let (commands, command_receiver) = channel();
        let connections_made = Arc::<AtomicU64>::default();
        let mut server = Server::new(in_use, cells, log.clone(), connections_made.clone())?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let addresses = (0..count).map(|_| server.listen(any)).collect::<io::Result<_>>()?;
        std::thread::spawn(move || server.run(&command_receiver));
        Ok(SimulatedWorkers { addresses, commands, connections_made })
    }

    /// Simulates the end of these workers' processes: connections are closed and new ones refused.
    pub fn stop(&self, numbers: Vec<usize>) {
        let _ = self.commands.send(Command::Stop(numbers));
    }

    /// Restarts these workers on their old addresses, with no models loaded.
    pub fn restart(&self, numbers: Vec<usize>) {
        let _ = self.commands.send(Command::Start(numbers));
    }

    /// Number of connections accepted by all workers so far.
    pub fn connections_made(&self) -> u64 {
        self.connections_made.load(Ordering::Relaxed)
    }
}

struct Worker {
    address: SocketAddr,
    listener: Option<TcpListener>,
    models: HashSet<String>,
    busy: usize,
    /// Counts the simulated processes of this worker: answers still pending from an earlier process are dropped.
    incarnation: u32,
}

struct Connection {
    worker: usize,
    socket: TcpStream,
    unread: Vec<u8>,
}

/// An answer that is sent after a delay.
struct Answer {
    connection: usize,
    worker: usize,
    incarnation: u32,
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
    cells: usize,
    log: Log,
    connections_made: Arc<AtomicU64>,
}

impl Server {
    fn new(in_use: usize, cells: usize, log: Log, connections_made: Arc<AtomicU64>) -> io::Result<Self> {
        Ok(Server {
            poll: Poll::new()?,
            workers: Vec::new(),
            connections: BTreeMap::new(),
            next_connection: FIRST_CONNECTION_TOKEN,
            due: BinaryHeap::new(),
            answers: BTreeMap::new(),
            next_answer: 0,
            lanes: (TOTAL_LANES / in_use.max(1)).max(1),
            cells,
            log,
            connections_made,
        })
    }

    /// Adds a worker that listens on `address`; returns the address that was bound.
    fn listen(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let number = self.workers.len();
        let listener = self.open_listener(number, address)?;
        let address = listener.local_addr()?;
        let listener = Some(listener);
        self.workers.push(Worker { address, listener, models: HashSet::new(), busy: 0, incarnation: 0 });
        Ok(address)
    }

    fn open_listener(&self, number: usize, address: SocketAddr) -> io::Result<TcpListener> {
        let mut listener = TcpListener::bind(address)?;
        self.poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
        Ok(listener)
    }

    /// Serves until the handle is dropped.
    fn run(&mut self, command_receiver: &Receiver<Command>) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            loop {
                match command_receiver.try_recv() {
                    Ok(Command::Stop(numbers)) => numbers.into_iter().for_each(|number| self.stop(number)),
                    Ok(Command::Start(numbers)) => {
                        numbers.into_iter().for_each(|number| self.restart(number))
                    }
                    Err(std::sync::mpsc::TryRecvError::Empty) => break,
                    Err(std::sync::mpsc::TryRecvError::Disconnected) => return,
                }
            }
            let next = self.due.peek().map(|due| due.0 .0.saturating_duration_since(Instant::now()));
            // An interrupted wait is retried by the next iteration.
            let _ = self.poll.poll(&mut events, Some(next.unwrap_or(POLL_INTERVAL).min(POLL_INTERVAL)));
            for event in &events {
                match event.token().0 {
                    token if token >= FIRST_CONNECTION_TOKEN => self.read(token),
                    number => self.accept(number),
                }
            }
            self.send_due_answers();
        }
    }

    fn stop(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        worker.listener = None;
        worker.models.clear();
        worker.busy = 0;
        worker.incarnation += 1;
        self.connections.retain(|_, connection| connection.worker != number);
    }

    fn restart(&mut self, number: usize) {
        match self.open_listener(number, self.workers[number].address) {
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
        let mut chunk = [0; READ_CHUNK_BYTES];
        let is_closed = loop {
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
            self.handle_frame(token, worker, &frame);
        }
        if is_closed {
            self.connections.remove(&token);
        }
    }

    fn handle_frame(&mut self, connection: usize, worker: usize, frame: &Frame) {
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
        let remaining_ms = frame.field("ms").and_then(|ms| ms.parse().ok()).unwrap_or(Millis::INFINITY);
        let model = frame.field("obj").unwrap_or_default().to_string();
        let worker = &mut self.workers[number];
        let refusal = match () {
            _ if !worker.models.contains(&model) => Some(code::MISS),
            _ if worker.busy >= self.lanes => Some(code::FULL),
            _ => None,
        };
        let (id, cell, was_run) = (frame.id, number % self.cells, refusal.is_none());
        self.log.records().arrivals.push(Arrival { id, worker: number, cell, at, remaining_ms, was_run });
        if let Some(code) = refusal {
            return self.write(connection, &reply(code, id, ""));
        }
        worker.busy += 1;
        let work = WORK_MS.start + (WORK_MS.end - WORK_MS.start) * draw(id, number as u64);
        self.schedule_answer(
            Duration::from_secs_f64(work / 1000.0),
            connection,
            number,
            reply(code::OK, id, ""),
            true,
        );
    }

    fn load(&mut self, connection: usize, number: usize, frame: &Frame) {
        let model = frame.field("obj").unwrap_or_default().to_string();
        let was_loaded = self.workers[number].models.contains(&model);
        let load_requested = frame.field("replicas").is_some_and(|count| count != "0");
        if load_requested {
            self.workers[number].models.insert(model);
        }
        let fields = if was_loaded || load_requested { "replicas=1" } else { "replicas=0" };
        let answer = reply(code::OK, frame.id, fields);
        let delay = if load_requested && !was_loaded { LOAD_TIME } else { Duration::ZERO };
        self.schedule_answer(delay, connection, number, answer, false);
    }

    fn schedule_answer(
        &mut self,
        delay: Duration,
        connection: usize,
        worker: usize,
        frame: Frame,
        frees_lane: bool,
    ) {
        let incarnation = self.workers[worker].incarnation;
        self.next_answer += 1;
        self.due.push(Reverse((Instant::now() + delay, self.next_answer)));
        self.answers.insert(self.next_answer, Answer { connection, worker, incarnation, frame, frees_lane });
    }

    fn send_due_answers(&mut self) {
        while self.due.peek().is_some_and(|due| due.0 .0 <= Instant::now()) {
            let Some(Reverse((_, number))) = self.due.pop() else { return };
            let Some(answer) = self.answers.remove(&number) else { continue };
            let worker = &mut self.workers[answer.worker];
            if worker.incarnation == answer.incarnation {
                worker.busy -= usize::from(answer.frees_lane);
                self.write(answer.connection, &answer.frame);
            }
        }
    }

    /// Sends a frame. Errors are ignored: a closed connection is noticed when it is next read.
    fn write(&mut self, connection: usize, frame: &Frame) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            let _ = connection.socket.write_all(&frame.encode());
        }
    }
}

fn reply(code: u8, id: u64, fields: &str) -> Frame {
    Frame { mark: FROM_WORKER, code, id, fields: fields.to_string(), body: b"done".to_vec() }
}
