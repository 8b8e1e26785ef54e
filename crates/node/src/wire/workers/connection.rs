//! One connection to a worker: a task that makes it and writes, and one that reads.
use super::Limits;
use crate::core::{lock, monotonic_ms, until, AttemptError, CancelNotice, Cause};
use crate::life::spawn;
use crate::memory::counters::Dials;
use crate::memory::link::{Link, Stage};
use crate::memory::room::NO_ROOM;
use crate::memory::roster::Host;
use crate::timers;
use crate::wire::frames::{code, Frame, FROM_WORKER};
use crate::wire::intake::{Intake, CHUNK};
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

/// Longest time for which a worker may stop reading while a frame is written to it.
const WRITE_STALL: Duration = Duration::from_secs(2);
/// A worker with nothing to say may be silent for as long as it likes: its idle connections are closed by
/// the writing side.
const QUIET: Duration = Duration::from_secs(60);
/// A frame that has begun comes whole within this, or the connection is of no further use to anybody on it.
pub const PARTIAL: Duration = Duration::from_millis(300);
/// A connection on which something waits and nothing was heard for so long is passed over while another can be
/// had: an answer that never comes leaves all that follows it on its connection without one.
const SUSPECT_MS: Ms = 250.0;

/// Told once how an exchange ended.
pub(super) type Waiter = Box<dyn FnOnce(Result<Frame, AttemptError>) + Send>;

/// Which workers a frame may still be written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recipients {
    /// New work: to those that take some.
    Work,
    /// A question or an unloading: to all that are not held out by the operators.
    Query,
    /// The giving up of what is out: to all.
    GiveUp,
}

impl Recipients {
    pub(super) fn excludes(self, host: &Host) -> bool {
        match self {
            Recipients::Work => host.barred() || host.suspended(),
            Recipients::Query => host.suspended(),
            Recipients::GiveUp => false,
        }
    }
}

/// One frame on its way out.
pub(super) struct Outgoing {
    pub frame: Frame,
    /// Somebody waits for an answer to it.
    pub is_tracked: bool,
    pub recipients: Recipients,
    /// It goes out by then or not at all.
    pub by: Ms,
    /// For a request, when its client stops waiting: its worker is told what is left of that as it goes out.
    pub expires: Option<Ms>,
    /// What else it carries, until it is written or lost.
    pub notice: Option<CancelNotice>,
}

/// What reaches the writer of a connection.
pub(super) enum Out {
    Frame(Outgoing),
    Stop,
}

/// A connection to a worker with the exchanges that are open on it.
pub(super) struct Connection {
    pub link: Mutex<Link<Waiter>>,
    pub outbox: Sender<Out>,
    /// When something was first waited for since the worker was last heard here; 0 while nothing is.
    quiet_since: AtomicU64,
    /// When something was last sent here, in milliseconds of the monotonic clock.
    last_used: AtomicU64,
    /// It ends to make room for another.
    gave_way: AtomicBool,
}

/// What is known of an attempt that ended without an answer at that stage.
pub(in crate::wire) fn broken(stage: Stage, cause: Cause) -> AttemptError {
    match stage {
        Stage::Queued => AttemptError::Unfinished(cause),
        // Whoever reads can't tell whether the last byte was out: only the writer knows that it was not.
        Stage::Writing | Stage::Whole => AttemptError::Unanswered(cause),
    }
}

fn expected(code: u8) -> bool {
    (code::MISS..=code::AILING).contains(&code) || code == code::OK
}

impl Connection {
    /// Whether the worker owes something here and has been silent for too long.
    pub fn is_suspect(&self) -> bool {
        let since = self.quiet_since.load(Ordering::Relaxed);
        since > 0 && monotonic_ms() - since as Ms > SUSPECT_MS
    }

    /// One that is not made yet, whose frames come to the queue.
    pub fn new(streams: usize) -> (Self, Receiver<Out>) {
        let (outbox, queue) = channel();
        let link = Mutex::new(Link::new(streams));
        let (quiet_since, last_used) = (AtomicU64::new(0), AtomicU64::new(monotonic_ms() as u64));
        (Connection { link, outbox, quiet_since, last_used, gave_way: AtomicBool::new(false) }, queue)
    }

    /// Something is sent here.
    pub fn used(&self) {
        self.last_used.store(monotonic_ms() as u64, Ordering::Relaxed);
    }

    /// When something was last sent here, in milliseconds of the monotonic clock.
    pub fn last_used(&self) -> u64 {
        self.last_used.load(Ordering::Relaxed)
    }

    /// Ends it, behind what is on its way out, unless something is open on it; whether it does.
    pub fn give_way(&self) -> bool {
        let closes = lock(&self.link).close_idle();
        if closes {
            self.gave_way.store(true, Ordering::Relaxed);
            let _ = self.outbox.send(Out::Stop);
        }
        closes
    }

    /// Whether it ends to make room for another.
    pub fn gave_way(&self) -> bool {
        self.gave_way.load(Ordering::Relaxed)
    }

    /// The life of a connection: made, written to, ended. What was open on it ends with it.
    pub fn run(
        self: &Arc<Self>,
        host: &Host,
        limits: &Limits,
        dials: &Dials,
        queue: &Receiver<Out>,
        intake: Intake,
    ) {
        let mut guard = EndGuard(self.clone(), AttemptError::Unconnected);
        let connected = Socket::connect(&host.address, limits.connect, WRITE_STALL);
        dials.tried.add();
        let Ok(socket) = connected.map(Arc::new) else { return dials.failed.add() };
        guard.1 = AttemptError::Unfinished(Cause::Broken);
        let (ours, reader, answer) = (self.clone(), socket.clone(), limits.answer);
        let reading = spawn(move || {
            let _guard = EndGuard(ours.clone(), AttemptError::Unfinished(Cause::Broken));
            ours.read(&reader, intake, answer);
            reader.shut(Shutdown::Both);
            let _ = ours.outbox.send(Out::Stop);
        });
        self.write(&socket, host, limits.idle, queue);
        socket.shut(Shutdown::Both);
        drop(guard);
        let _ = reading.join();
    }

    fn write(&self, socket: &Socket, host: &Host, idle: Duration, queue: &Receiver<Out>) {
        loop {
            let mut out = match timers::receive(queue, idle) {
                Ok(Out::Frame(out)) => out,
                Ok(Out::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) if lock(&self.link).close_idle() => return,
                Err(RecvTimeoutError::Timeout) => continue,
            };
            let id = out.frame.id;
            if out.recipients.excludes(host) || monotonic_ms() > out.by {
                // Told so while the frame waited, or it waited too long: it must not go out any more.
                let given_up = if out.is_tracked { lock(&self.link).give_up(id) } else { None };
                if let Some((_, waiter)) = given_up {
                    waiter(Err(AttemptError::Unfinished(Cause::Barred)));
                }
                continue;
            }
            if out.is_tracked && !lock(&self.link).begin(id) {
                continue;
            }
            if out.is_tracked {
                // Before the first byte, so that no answer can come sooner.
                let relaxed = Ordering::Relaxed;
                let _ = self.quiet_since.compare_exchange(0, monotonic_ms() as u64, relaxed, relaxed);
            }
            if let Some(expires) = out.expires {
                out.frame.fields.push_str(&format!(",ms={}", until(expires).as_millis().max(1)));
            }
            if socket.write(&out.frame.encode()).is_err() {
                let torn = if out.is_tracked { lock(&self.link).give_up(id) } else { None };
                if let Some((_, waiter)) = torn {
                    waiter(Err(AttemptError::Unfinished(Cause::Broken)));
                }
                return;
            }
            if out.is_tracked {
                lock(&self.link).whole(id);
            }
            drop(out.notice);
        }
    }

    fn read(&self, socket: &Socket, mut intake: Intake, answer: usize) {
        let mut chunk = vec![0; CHUNK];
        loop {
            match Frame::decode(intake.bytes(), FROM_WORKER) {
                Ok(Some(frame)) if frame.body.len() > answer => {
                    return tracing::warn!(bytes = frame.body.len(), "worker connection closed: long answer");
                }
                Ok(Some(frame)) if expected(frame.code) => {
                    let (waiter, idle) = {
                        let mut link = lock(&self.link);
                        (link.answered(frame.id), link.is_idle())
                    };
                    self.quiet_since.store(if idle { 0 } else { monotonic_ms() as u64 }, Ordering::Relaxed);
                    if let Some(waiter) = waiter {
                        waiter(Ok(frame));
                    }
                }
                Ok(Some(frame)) => {
                    return tracing::warn!(code = frame.code, "worker connection closed: odd code");
                }
                Err(error) => return tracing::warn!(%error, "worker connection closed"),
                Ok(None) => {
                    let within = if intake.is_empty() { QUIET } else { PARTIAL };
                    match intake.fill(socket, &mut chunk, within) {
                        Err(error) if error.kind() == ErrorKind::TimedOut && intake.is_empty() => {}
                        Err(error) if error.kind() == NO_ROOM => {
                            return tracing::warn!("worker connection closed: no room for its answers");
                        }
                        Ok(0) | Err(_) => return,
                        Ok(_) => {}
                    }
                }
            }
        }
    }
}

/// Ends all that is open on a connection, however its task ends.
struct EndGuard(Arc<Connection>, AttemptError);

impl Drop for EndGuard {
    fn drop(&mut self) {
        let open = lock(&self.0.link).close();
        for (stage, waiter) in open {
            let end = if self.1 == AttemptError::Unconnected { self.1 } else { broken(stage, Cause::Broken) };
            waiter(Err(end));
        }
    }
}
