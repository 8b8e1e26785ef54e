//! A stand-in worker that speaks frames and writes down what comes.
use super::log::{draw, Log};
use super::records::{Arrival, At};
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Parts of the requests that are turned away, that run and break their connection, and that run and are never answered.
const FULL_PART: f64 = 0.04;
const BREAKS_PART: f64 = 0.03;
const UNANSWERED_PART: f64 = 0.03;
/// Longest work of a request, in milliseconds.
const WORK_MS: f64 = 30.0;

/// A worker that listens on loopback for as long as the program runs.
#[derive(Clone)]
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its number, never used again.
    pub number: usize,
    /// Its rack.
    pub rack: usize,
    seed: u64,
    log: Log,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    silent_until: At,
    sockets: Vec<TcpStream>,
    /// Counts requests, so that each is drawn for apart.
    came: u64,
}

impl Worker {
    /// Listens.
    pub fn start(number: usize, rack: usize, seed: u64, log: &Log) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let worker = Worker { address, number, rack, seed, log: log.clone(), state: Arc::default() };
        let ours = worker.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let worker = ours.clone();
                worker.state().sockets.extend(socket.try_clone());
                std::thread::spawn(move || worker.serve(&socket));
            }
        });
        Ok(worker)
    }

    /// Breaks all its connections.
    pub fn break_all(&self) {
        let sockets = std::mem::take(&mut self.state().sockets);
        sockets.iter().for_each(|socket| _ = socket.shutdown(Shutdown::Both));
    }

    /// Answers nothing for that long.
    pub fn silence(&self, span: Duration) {
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
                    code::REQUEST if !self.request(&frame, socket) => return,
                    code::PROBE => answer(socket, code::ALIVE, frame.id),
                    _ => {}
                }
            }
            match socket.read(&mut chunk) {
                Ok(size @ 1..) => buffer.extend(&chunk[..size]),
                _ => return,
            }
        }
    }

    /// Deals with a request; false where its connection has ended.
    fn request(&self, frame: &Frame, socket: &TcpStream) -> bool {
        let at = self.log.now();
        let left = frame.field("ms").and_then(|ms| ms.parse().ok()).unwrap_or(At::INFINITY);
        let (is_silent, came) = {
            let mut state = self.state();
            state.came += 1;
            (at < state.silent_until, state.came)
        };
        let drawn = draw(self.seed ^ self.number as u64, came);
        let is_full = !is_silent && drawn < FULL_PART;
        let (id, ran) = (frame.id, !is_full);
        self.log.records().arrivals.push(Arrival { id, worker: self.number, rack: self.rack, at, left, ran });
        if is_full {
            answer(socket, code::FULL, id);
        } else if drawn < FULL_PART + BREAKS_PART {
            let _ = socket.shutdown(Shutdown::Both);
            return false;
        } else if !is_silent && drawn > UNANSWERED_PART + FULL_PART + BREAKS_PART {
            let work = Duration::from_secs_f64(draw(came, self.seed) * WORK_MS / 1000.0);
            let Ok(socket) = socket.try_clone() else { return false };
            std::thread::spawn(move || {
                std::thread::sleep(work);
                answer(&socket, code::OK, id);
            });
        }
        true
    }
}

/// Whoever has left is seen by the reading side.
fn answer(mut socket: &TcpStream, code: u8, id: u64) {
    let frame = Frame { mark: FROM_WORKER, code, id, fields: String::new(), body: b"done".to_vec() };
    let _ = socket.write_all(&frame.encode());
}
