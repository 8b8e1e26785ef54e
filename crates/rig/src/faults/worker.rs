//! A simulated worker that speaks the frame protocol and records the requests it receives.
use super::log::{draw, Log};
use super::records::{Arrival, Millis};
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Fraction of the requests that the worker rejects because it is full.
const FULL_FRACTION: f64 = 0.04;
/// Fraction of the requests that run and then close the connection without an answer.
const DISCONNECT_FRACTION: f64 = 0.03;
/// Fraction of the requests that run and are never answered.
const UNANSWERED_FRACTION: f64 = 0.03;
/// Longest run time of a request, in milliseconds.
const MAX_WORK_MS: f64 = 30.0;
/// Run time of each request at a worker without faults.
const RELIABLE_WORK: Duration = Duration::from_millis(10);

/// A worker that listens on loopback until the program ends.
#[derive(Clone)]
pub struct Worker {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The worker's number; it is never reused.
    pub number: usize,
    /// The worker's cell.
    pub cell: usize,
    /// Decides which requests fail; without it none does.
    seed: Option<u64>,
    log: Log,
    state: Arc<Mutex<State>>,
    listener: Arc<TcpListener>,
}

#[derive(Default)]
struct State {
    silent_until: Millis,
    sockets: Vec<TcpStream>,
    /// Number of requests received; gives each one its own random draw.
    request_count: u64,
}

impl Worker {
    /// Starts a worker at the address of another whose process has ended.
    pub fn start_at(
        address: SocketAddr,
        number: usize,
        cell: usize,
        seed: u64,
        log: &Log,
    ) -> io::Result<Self> {
        Self::listen(address, number, cell, Some(seed), log)
    }

    /// Starts a worker on a free port; some of its requests fail, as the seed decides.
    pub fn start(number: usize, cell: usize, seed: u64, log: &Log) -> io::Result<Self> {
        Self::listen(any_address(), number, cell, Some(seed), log)
    }

    /// Starts a worker on a free port that serves each request after the same time.
    pub fn start_reliable(number: usize, cell: usize, log: &Log) -> io::Result<Self> {
        Self::listen(any_address(), number, cell, None, log)
    }

    fn listen(
        address: SocketAddr,
        number: usize,
        cell: usize,
        seed: Option<u64>,
        log: &Log,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let worker = Worker {
            address,
            number,
            cell,
            seed,
            log: log.clone(),
            state: Arc::default(),
            listener: Arc::new(listener.try_clone()?),
        };
        let accepting_worker = worker.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let worker = accepting_worker.clone();
                worker.state().sockets.extend(socket.try_clone());
                std::thread::spawn(move || worker.serve(&socket));
            }
        });
        Ok(worker)
    }

    /// Ends the worker's process: it accepts no connection any more, and all are closed.
    pub fn end(&self) {
        // Fails if the listener was shut down before.
        let _ = rustix::net::shutdown(&*self.listener, rustix::net::Shutdown::Both);
        self.close_connections();
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        let sockets = std::mem::take(&mut self.state().sockets);
        sockets.iter().for_each(|socket| _ = socket.shutdown(Shutdown::Both));
    }

    /// Sends no answers for this time.
    pub fn stop_answering(&self, span: Duration) {
        self.state().silent_until = self.log.now() + span.as_secs_f64() * 1000.0;
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn serve(&self, mut socket: &TcpStream) {
        let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
        loop {
            while let Ok(Some(frame)) = Frame::decode(&mut buffer, FROM_INVOKER) {
                match frame.code {
                    code::REQUEST if !self.handle_request(&frame, socket) => return,
                    code::PROBE => reply(socket, code::ALIVE, frame.id),
                    _ => {}
                }
            }
            match socket.read(&mut chunk) {
                Ok(size @ 1..) => buffer.extend(&chunk[..size]),
                _ => return,
            }
        }
    }

    /// Handles a request. Returns `false` if the connection has ended.
    fn handle_request(&self, frame: &Frame, socket: &TcpStream) -> bool {
        let at = self.log.now();
        let remaining_ms = frame.field("ms").and_then(|ms| ms.parse().ok()).unwrap_or(Millis::INFINITY);
        let (is_silent, request_count) = {
            let mut state = self.state();
            state.request_count += 1;
            (at < state.silent_until, state.request_count)
        };
        let sample = self.seed.map_or(1.0, |seed| draw(seed ^ self.number as u64, request_count));
        let is_full = !is_silent && sample < FULL_FRACTION;
        let (id, was_run) = (frame.id, !is_full);
        self.log.records().arrivals.push(Arrival {
            id,
            worker: self.number,
            cell: self.cell,
            at,
            remaining_ms,
            was_run,
        });
        if is_full {
            reply(socket, code::FULL, id);
        } else if sample < FULL_FRACTION + DISCONNECT_FRACTION {
            let _ = socket.shutdown(Shutdown::Both);
            return false;
        } else if !is_silent && sample > UNANSWERED_FRACTION + FULL_FRACTION + DISCONNECT_FRACTION {
            let work = self.seed.map_or(RELIABLE_WORK, |seed| {
                Duration::from_secs_f64(draw(request_count, seed) * MAX_WORK_MS / 1000.0)
            });
            let Ok(socket) = socket.try_clone() else { return false };
            std::thread::spawn(move || {
                std::thread::sleep(work);
                reply(&socket, code::OK, id);
            });
        }
        true
    }
}

/// Any free port on loopback.
fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Sends a frame. Write errors are ignored because the reader detects the end of a connection.
fn reply(mut socket: &TcpStream, code: u8, id: u64) {
    let frame = Frame { mark: FROM_WORKER, code, id, fields: String::new(), body: b"done".to_vec() };
    let _ = socket.write_all(&frame.encode());
}
