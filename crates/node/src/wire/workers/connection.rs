//! One connection to a worker: one task connects and writes, another reads.
use super::Limits;
use crate::core::{lock, monotonic_ms, peer_lines, time_until, AbortReason, AttemptError, CancelNotice};
use crate::lifecycle::spawn;
use crate::state::counters::ConnectionAttempts;
use crate::state::exchanges::{ConnectionExchanges, Stage};
use crate::state::memory_wait::OUT_OF_MEMORY_KIND;
use crate::state::roster::Host;
use crate::timers;
use crate::wire::frames::{code, Frame, FrameError, FROM_WORKER};
use crate::wire::receive_buffer::{ReceiveBuffer, CHUNK};
use crate::wire::socket::Socket;
use corkbay::Ms;
use may::sync::mpsc::{channel, Receiver, Sender};
use may::sync::Mutex;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::Duration;

/// Time without progress after which a write to a worker fails.
const WRITE_STALL: Duration = Duration::from_secs(2);
/// Timeout of one read while no frame has begun. The reader then reads again: a worker may be silent, and idle
/// connections are closed by the writer.
const IDLE_READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for the next bytes of a message that has begun. After it the connection is closed, as no later
/// message on it can be read.
pub const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection with an unanswered exchange that received nothing for this long is used only when no other is
/// available: a worker that stops answering on a connection leaves all later exchanges on it unanswered.
const SUSPECT_AFTER_MS: Ms = 250.0;

/// Called once with the result of an exchange.
pub(super) type Waiter = Box<dyn FnOnce(Result<Frame, AttemptError>) + Send>;

/// Which workers a frame may be written to; checked again when it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recipients {
    /// New work: only to workers that accept it.
    Work,
    /// A probe or an order to unload: to all workers that the operators have not suspended.
    Query,
    /// The cancellation of an attempt in flight: to all workers.
    Cancel,
}

impl Recipients {
    pub(super) fn excludes(self, host: &Host) -> bool {
        match self {
            Recipients::Work => host.is_blocked() || host.suspended(),
            Recipients::Query => host.suspended(),
            Recipients::Cancel => false,
        }
    }
}

/// One frame that is queued for writing.
pub(super) struct OutgoingFrame {
    pub frame: Frame,
    /// Whether the frame belongs to an exchange that is open on the connection.
    pub expects_answer: bool,
    pub recipients: Recipients,
    /// Not written after this time, in milliseconds of the monotonic clock.
    pub send_by: Ms,
    /// For a request, the client's deadline in milliseconds of the monotonic clock: the time left is added to the
    /// fields when the frame is written.
    pub expires: Option<Ms>,
    /// Dropped when the frame is written or lost, which marks a cancel command as sent.
    pub notice: Option<CancelNotice>,
}

/// A message to the writer of a connection.
pub(super) enum WriterMessage {
    Frame(OutgoingFrame),
    Stop,
}

/// A connection to a worker with the exchanges that are open on it.
pub(super) struct Connection {
    pub exchanges: Mutex<ConnectionExchanges<Waiter>>,
    pub outbox: Sender<WriterMessage>,
    /// When the wait for the worker began: the later of its last frame and the first unanswered one, in milliseconds
    /// of the monotonic clock; 0 while no exchange is open.
    silent_since_ms: AtomicU64,
    /// When a frame was last queued, in milliseconds of the monotonic clock.
    last_used_ms: AtomicU64,
    /// Whether it was closed to make room for another connection.
    is_evicted: AtomicBool,
}

/// The error of an attempt that ended without an answer at that stage.
pub(in crate::wire) fn unanswered_error(stage: Stage, cause: AbortReason) -> AttemptError {
    match stage {
        Stage::Queued => AttemptError::NotFullySent(cause),
        // The reader can't tell whether the last byte was written; only the writer knows when it was not.
        Stage::Writing | Stage::Written => AttemptError::Unanswered(cause),
    }
}

fn is_answer_code(code: u8) -> bool {
    (code::MISS..=code::AILING).contains(&code) || code == code::OK
}

impl Connection {
    /// Whether an exchange is unanswered and the worker has been silent for more than [`SUSPECT_AFTER_MS`].
    pub fn is_suspect(&self) -> bool {
        let since = self.silent_since_ms.load(Ordering::Relaxed);
        since > 0 && monotonic_ms() - since as Ms > SUSPECT_AFTER_MS
    }

    /// Creates a connection that is not established yet, and the queue of its writer.
    pub fn new(streams: usize) -> (Self, Receiver<WriterMessage>) {
        let (outbox, queue) = channel();
        let exchanges = Mutex::new(ConnectionExchanges::new(streams));
        let (silent_since_ms, last_used_ms) = (AtomicU64::new(0), AtomicU64::new(monotonic_ms() as u64));
        (
            Connection {
                exchanges,
                outbox,
                silent_since_ms,
                last_used_ms,
                is_evicted: AtomicBool::new(false),
            },
            queue,
        )
    }

    /// Records that a frame is queued now.
    pub fn mark_used(&self) {
        self.last_used_ms.store(monotonic_ms() as u64, Ordering::Relaxed);
    }

    /// When a frame was last queued, in milliseconds of the monotonic clock.
    pub fn last_used_ms(&self) -> u64 {
        self.last_used_ms.load(Ordering::Relaxed)
    }

    /// Closes the connection after the queued frames, unless an exchange is open on it; returns whether it closes.
    pub fn evict_if_idle(&self) -> bool {
        let closes = lock(&self.exchanges).close_idle();
        if closes {
            self.is_evicted.store(true, Ordering::Relaxed);
            let _ = self.outbox.send(WriterMessage::Stop);
        }
        closes
    }

    /// Whether it was closed to make room for another connection.
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Relaxed)
    }

    /// Connects, writes queued frames and closes the connection. Exchanges that are still open then fail.
    pub fn run(
        self: &Arc<Self>,
        host: &Host,
        limits: &Limits,
        connection_attempts: &ConnectionAttempts,
        queue: &Receiver<WriterMessage>,
        receive_buffer: ReceiveBuffer,
    ) {
        let mut guard = EndGuard(self.clone(), AttemptError::ConnectFailed);
        let connected = Socket::connect(&host.address, limits.connect, WRITE_STALL);
        connection_attempts.tried.increment();
        let Ok(socket) = connected.map(Arc::new) else { return connection_attempts.failed.increment() };
        guard.1 = AttemptError::NotFullySent(AbortReason::ConnectionLost);
        let (connection, reader, max_answer_bytes) = (self.clone(), socket.clone(), limits.answer);
        let reading = spawn(move || {
            let _guard =
                EndGuard(connection.clone(), AttemptError::NotFullySent(AbortReason::ConnectionLost));
            let end = connection.read(&reader, receive_buffer, max_answer_bytes);
            if let Some(error) = end.filter(|_| peer_lines().take()) {
                tracing::warn!(%error, "worker connection closed");
            }
            reader.shut(Shutdown::Both);
            let _ = connection.outbox.send(WriterMessage::Stop);
        });
        self.write(&socket, host, limits.idle, queue);
        socket.shut(Shutdown::Both);
        drop(guard);
        let _ = reading.join();
    }

    fn write(&self, socket: &Socket, host: &Host, idle: Duration, queue: &Receiver<WriterMessage>) {
        loop {
            let mut out = match timers::receive(queue, idle) {
                Ok(WriterMessage::Frame(out)) => out,
                Ok(WriterMessage::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) if lock(&self.exchanges).close_idle() => return,
                Err(RecvTimeoutError::Timeout) => continue,
            };
            let id = out.frame.id;
            if out.recipients.excludes(host) || monotonic_ms() > out.send_by {
                // The host was blocked or suspended while the frame was queued, or `send_by` has passed: it must not
                // be sent.
                let given_up = if out.expects_answer { lock(&self.exchanges).give_up(id) } else { None };
                if let Some((_, waiter)) = given_up {
                    waiter(Err(AttemptError::NotFullySent(AbortReason::SendNotAllowed)));
                }
                continue;
            }
            if out.expects_answer && !lock(&self.exchanges).begin(id) {
                continue;
            }
            if out.expects_answer {
                // Set before the first byte is written, as the answer may arrive at once.
                let relaxed = Ordering::Relaxed;
                let _ = self.silent_since_ms.compare_exchange(0, monotonic_ms() as u64, relaxed, relaxed);
            }
            if let Some(expires) = out.expires {
                out.frame.fields.push_str(&format!(",ms={}", time_until(expires).as_millis().max(1)));
            }
            if socket.write(&out.frame.encode()).is_err() {
                let unfinished = if out.expects_answer { lock(&self.exchanges).give_up(id) } else { None };
                if let Some((_, waiter)) = unfinished {
                    waiter(Err(AttemptError::NotFullySent(AbortReason::ConnectionLost)));
                }
                return;
            }
            if out.expects_answer {
                lock(&self.exchanges).mark_written(id);
            }
            drop(out.notice);
        }
    }

    /// Reads answers until the connection ends; returns what was wrong with them, if anything.
    fn read(
        &self,
        socket: &Socket,
        mut receive_buffer: ReceiveBuffer,
        max_answer_bytes: usize,
    ) -> Option<ReadError> {
        let mut chunk = vec![0; CHUNK];
        loop {
            let decoded = receive_buffer.consume(|bytes| Frame::decode(bytes, FROM_WORKER));
            if !matches!(decoded, Ok(None)) {
                receive_buffer.end_message();
                socket.take_turn();
            }
            match decoded {
                Ok(Some(frame)) if frame.body.len() > max_answer_bytes => {
                    return Some(ReadError::LongAnswer(frame.body.len()));
                }
                Ok(Some(frame)) if is_answer_code(frame.code) => {
                    let (waiter, idle) = {
                        let mut exchanges = lock(&self.exchanges);
                        (exchanges.answered(frame.id), exchanges.is_idle())
                    };
                    self.silent_since_ms
                        .store(if idle { 0 } else { monotonic_ms() as u64 }, Ordering::Relaxed);
                    if let Some(waiter) = waiter {
                        waiter(Ok(frame));
                    }
                }
                Ok(Some(frame)) => {
                    return Some(ReadError::UnknownCode(frame.code));
                }
                Err(error) => return Some(ReadError::Frame(error)),
                Ok(None) => {
                    receive_buffer.expect(Frame::size(receive_buffer.bytes()).unwrap_or(0));
                    let within =
                        if receive_buffer.is_empty() { IDLE_READ_TIMEOUT } else { PARTIAL_MESSAGE_TIMEOUT };
                    match receive_buffer.fill(socket, &mut chunk, within) {
                        Err(error) if error.kind() == ErrorKind::TimedOut && receive_buffer.is_empty() => {}
                        Err(error) if error.kind() == OUT_OF_MEMORY_KIND => {
                            return Some(ReadError::NoMemory);
                        }
                        Ok(0) | Err(_) => return None,
                        Ok(_) => {}
                    }
                }
            }
        }
    }
}

/// What was wrong with the answers on a connection, so that it can't be read any further.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("answer of {0} bytes is too long")]
    LongAnswer(usize),
    #[error("unknown code {0}")]
    UnknownCode(u8),
    #[error("{0}")]
    Frame(FrameError),
    #[error("no room for its answers")]
    NoMemory,
}

/// Fails all open exchanges of a connection when its task ends, also by a panic.
struct EndGuard(Arc<Connection>, AttemptError);

impl Drop for EndGuard {
    fn drop(&mut self) {
        let open = lock(&self.0.exchanges).close();
        for (stage, waiter) in open {
            let end = if self.1 == AttemptError::ConnectFailed {
                self.1
            } else {
                unanswered_error(stage, AbortReason::ConnectionLost)
            };
            waiter(Err(end));
        }
    }
}
