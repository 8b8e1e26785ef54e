//! Worker connections that carry binary frames: many exchanges on one connection, in any order.
use super::frames::{code, Frame, FROM_WORKER};
use super::intake::{Intake, CHUNK};
use super::socket::Socket;
use crate::core::{
    lock, now_ms, until, AttemptError, Call, CancelNotice, Cause, Ending, Exchange, Verdict, Workers,
};
use crate::life::spawn;
use crate::memory::counters::Dials;
use crate::memory::link::{Link, Stage};
use crate::memory::room::NO_ROOM;
use crate::memory::roster::Host;
use corkbay::{ModelId, Ms, WorkerId};
use corkbay_ledger::{Account, Purpose};
use may::sync::mpsc::{channel, Receiver, Sender};
use may::sync::Mutex;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
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
/// What a connection takes: the stacks of its two tasks as far as they are touched, a chunk, its places in
/// tables. Measured.
const CONNECTION: usize = 22 << 10;

type Waiter = Box<dyn FnOnce(Result<Frame, AttemptError>) + Send>;

/// A connection on which something waits and nothing was heard for so long is passed over while another can be
/// had: an answer that never comes leaves all that follows it on its connection without one.
const SUSPECT_MS: Ms = 250.0;

/// Figures for connections to workers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Exchanges that one connection carries at once.
    pub streams: usize,
    /// A connection not made by then has failed.
    pub connect: Duration,
    /// An idle connection is closed after this.
    pub idle: Duration,
    /// Most connections in all.
    pub connections: usize,
    /// Largest body of an answer, in bytes.
    pub answer: usize,
    /// Whether workers may be told that an attempt is given up.
    pub cancels: bool,
}

/// Which workers a frame may still be written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Goes {
    /// New work: to those that take some.
    Work,
    /// A question or an unloading: to all that are not held out by the operators.
    CancelNotice,
    /// The giving up of what is out: to all.
    GiveUp,
}

impl Goes {
    fn barred(self, host: &Host) -> bool {
        match self {
            Goes::Work => host.barred() || host.suspended(),
            Goes::CancelNotice => host.suspended(),
            Goes::GiveUp => false,
        }
    }
}

/// One frame on its way out.
struct Outgoing {
    frame: Frame,
    /// Somebody waits for an answer to it.
    tracked: bool,
    goes: Goes,
    /// It goes out by then or not at all.
    by: Ms,
    /// What else it carries, until it is written or lost.
    notice: Option<CancelNotice>,
}

enum Out {
    Frame(Outgoing),
    Stop,
}

struct Connection {
    link: Mutex<Link<Waiter>>,
    outbox: Sender<Out>,
    /// When something was first waited for since the worker was last heard here; 0 while nothing is.
    quiet_since: AtomicU64,
}

/// The connections to one worker.
type Pool = Vec<Arc<Connection>>;

/// The pools, by worker and address.
pub struct FrameWorkers {
    limits: Limits,
    account: Account,
    pools: Mutex<HashMap<(WorkerId, SocketAddr), Pool>>,
    connections: Arc<AtomicUsize>,
    /// Most connections in all.
    most: AtomicUsize,
    order: AtomicU64,
    dials: Arc<Dials>,
}

struct FrameExchange {
    connection: Option<Arc<Connection>>,
    id: u64,
    cancels: bool,
    notice: CancelNotice,
}

impl FrameWorkers {
    /// No connections yet; what they will take counts on the account.
    pub fn new(limits: Limits, account: Account) -> Self {
        FrameWorkers {
            limits,
            account,
            pools: Mutex::new(HashMap::new()),
            connections: Arc::new(AtomicUsize::new(0)),
            most: AtomicUsize::new(limits.connections),
            order: AtomicU64::new(1 << 62),
            dials: Arc::default(),
        }
    }

    /// Holds so many connections at most from now on; those beyond that end when they are idle.
    pub fn set_most(&self, most: usize) {
        self.most.store(most, Ordering::Relaxed);
    }

    /// Puts a frame on a connection to the host, a new one where none has room. With a waiter, the
    /// frame opens an exchange there.
    fn open(
        &self,
        host: &Arc<Host>,
        frame: Frame,
        goes: Goes,
        by: Ms,
        mut waiter: Option<Waiter>,
    ) -> Option<Arc<Connection>> {
        let tracked = waiter.is_some();
        let barred = |waiter: Option<Waiter>| {
            waiter.into_iter().for_each(|waiter| waiter(Err(AttemptError::Unfinished(Cause::Barred))));
        };
        if goes.barred(host) {
            barred(waiter);
            return None;
        }
        let mut pools = lock(&self.pools);
        pools.retain(|_, pool| {
            pool.retain(|connection| !lock(&connection.link).is_closed());
            !pool.is_empty()
        });
        let pool = pools.entry((host.id, host.address)).or_default();
        let mut enlist = |connection: &Arc<Connection>| {
            let mut link = lock(&connection.link);
            let fits = if tracked { link.admits(frame.id) } else { !link.is_closed() };
            if fits {
                waiter = waiter.take().and_then(|waiter| link.open(frame.id, waiter).err());
            }
            fits
        };
        let sound = pool.iter().find(|connection| !connection.is_suspect() && enlist(connection)).cloned();
        let fresh = sound.or_else(|| {
            let fresh = self.dial(host)?;
            enlist(&fresh);
            pool.push(fresh.clone());
            Some(fresh)
        });
        let connection = fresh.or_else(|| pool.iter().find(|connection| enlist(connection)).cloned());
        drop(pools);
        match &connection {
            Some(connection) => {
                let _ =
                    connection.outbox.send(Out::Frame(Outgoing { frame, tracked, goes, by, notice: None }));
            }
            None => barred(waiter),
        }
        connection
    }

    /// A new connection, as far as the budgets of descriptors and memory go; it is made in a task of its own.
    fn dial(&self, host: &Arc<Host>) -> Option<Arc<Connection>> {
        let held = self.account.reserve(CONNECTION).ok()?;
        let place = Place(self.connections.clone());
        if self.connections.fetch_add(1, Ordering::Relaxed) >= self.most.load(Ordering::Relaxed) {
            return None;
        }
        let (outbox, queue) = channel();
        let connection = Arc::new(Connection {
            link: Mutex::new(Link::new(self.limits.streams)),
            outbox,
            quiet_since: AtomicU64::new(0),
        });
        let (host, limits, ours, dials) = (host.clone(), self.limits, connection.clone(), self.dials.clone());
        let intake = Intake::new(&self.account, Purpose::Workers);
        spawn(move || {
            ours.run(&host, &limits, &dials, &queue, intake);
            drop((place, held));
        });
        Some(connection)
    }

    /// Sends a command and waits for the frame that answers it.
    fn ask(
        &self,
        host: &Arc<Host>,
        frame: Frame,
        goes: Goes,
        by: Ms,
        within: Duration,
    ) -> Result<Frame, AttemptError> {
        let id = frame.id;
        let (sender, answer) = channel();
        let waiter: Waiter = Box::new(move |end| _ = sender.send(end));
        let connection = self.open(host, frame, goes, by, Some(waiter));
        match answer.recv_timeout(within) {
            Ok(end) => end,
            Err(_) => {
                let given_up = connection.and_then(|connection| lock(&connection.link).give_up(id));
                let error = given_up.map(|(stage, _)| broken(stage, Cause::Silent));
                Err(error.unwrap_or(AttemptError::Unanswered(Cause::Silent)))
            }
        }
    }

    fn order_id(&self) -> u64 {
        self.order.fetch_add(1, Ordering::Relaxed)
    }
}

/// A place in the budget of connections, given back when its holder ends in any way.
struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What is known of an attempt that ended without an answer at that stage.
pub(super) fn broken(stage: Stage, cause: Cause) -> AttemptError {
    match stage {
        Stage::Queued => AttemptError::Unfinished(cause),
        // Whoever reads can't tell whether the last byte was out: only the writer knows that it was not.
        Stage::Writing | Stage::Whole => AttemptError::Unanswered(cause),
    }
}

/// What an answer says to a command that `good` answers where all went well. Whatever does not belong to
/// such a command tells nothing of it.
fn verdict(frame: Frame, good: u8) -> Result<Frame, AttemptError> {
    match frame.code {
        code if code == good => Ok(frame),
        code::OK | code::ALIVE => Err(AttemptError::Unanswered(Cause::Broken)),
        code::MISS => Err(AttemptError::Answered(Verdict::Miss)),
        code::FULL => Err(AttemptError::Answered(Verdict::Full)),
        code::OVER => Err(AttemptError::Answered(Verdict::Over)),
        _ => Err(AttemptError::Answered(Verdict::Failed)),
    }
}

fn expected(code: u8) -> bool {
    (code::MISS..=code::AILING).contains(&code) || code == code::OK
}

impl Connection {
    /// Whether the worker owes something here and has been silent for too long.
    fn is_suspect(&self) -> bool {
        let since = self.quiet_since.load(Ordering::Relaxed);
        since > 0 && now_ms() - since as Ms > SUSPECT_MS
    }

    /// The life of a connection: made, written to, ended. What was open on it ends with it.
    fn run(
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
            let out = match queue.recv_timeout(idle) {
                Ok(Out::Frame(out)) => out,
                Ok(Out::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) if lock(&self.link).close_idle() => return,
                Err(RecvTimeoutError::Timeout) => continue,
            };
            let id = out.frame.id;
            if out.goes.barred(host) || now_ms() > out.by {
                // Told so while the frame waited, or it waited too long: it must not go out any more.
                let given_up = if out.tracked { lock(&self.link).give_up(id) } else { None };
                if let Some((_, waiter)) = given_up {
                    waiter(Err(AttemptError::Unfinished(Cause::Barred)));
                }
                continue;
            }
            if out.tracked && !lock(&self.link).begin(id) {
                continue;
            }
            if out.tracked {
                // Before the first byte, so that no answer can come sooner.
                let relaxed = Ordering::Relaxed;
                let _ = self.quiet_since.compare_exchange(0, now_ms() as u64, relaxed, relaxed);
            }
            if socket.write(&out.frame.encode()).is_err() {
                let torn = if out.tracked { lock(&self.link).give_up(id) } else { None };
                if let Some((_, waiter)) = torn {
                    waiter(Err(AttemptError::Unfinished(Cause::Broken)));
                }
                return;
            }
            if out.tracked {
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
                    self.quiet_since.store(if idle { 0 } else { now_ms() as u64 }, Ordering::Relaxed);
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

impl Exchange for FrameExchange {
    fn give_up(&mut self, cause: Cause) -> Option<AttemptError> {
        let connection = self.connection.take()?;
        let (stage, _) = lock(&connection.link).give_up(self.id)?;
        if stage != Stage::Queued && self.cancels {
            let frame = Frame::command(code::GIVE_UP, self.id, String::new(), Vec::new());
            let _ = connection.outbox.send(Out::Frame(Outgoing {
                frame,
                tracked: false,
                goes: Goes::GiveUp,
                by: Ms::INFINITY,
                notice: Some(self.notice.clone()),
            }));
        }
        Some(broken(stage, cause))
    }

    fn cancel_notice(&self) -> &CancelNotice {
        &self.notice
    }
}

impl Workers for FrameWorkers {
    fn send(
        &self,
        host: &Arc<Host>,
        call: &Arc<Call>,
        expires: Ms,
        by: Ms,
        end: Ending,
    ) -> Box<dyn Exchange> {
        let mut fields = format!(
            "kind={},obj={:016x},ms={}",
            call.class_name,
            call.request.model.0,
            until(expires).as_millis().max(1)
        );
        if let Some(key) = &call.key {
            fields.push_str(",token=");
            fields.push_str(key);
        }
        let frame = Frame::command(code::REQUEST, call.request.id.0, fields, call.body.clone());
        let waiter: Waiter = Box::new(move |answer| {
            end(answer.and_then(|frame| verdict(frame, code::OK)).map(|frame| frame.body))
        });
        let connection = self.open(host, frame, Goes::Work, by, Some(waiter));
        let (id, cancels) = (call.request.id.0, self.limits.cancels);
        Box::new(FrameExchange { connection, id, cancels, notice: CancelNotice::default() })
    }

    fn load(
        &self,
        host: &Arc<Host>,
        model: ModelId,
        copies: u32,
        by: Ms,
        within: Duration,
    ) -> (Result<(), AttemptError>, u32) {
        let fields = format!("obj={:016x},replicas={copies}", model.0);
        let frame = Frame::command(code::LOAD, self.order_id(), fields, Vec::new());
        match self.ask(host, frame, if copies > 0 { Goes::Work } else { Goes::CancelNotice }, by, within) {
            // An order that fails tells as well how many copies stand.
            Ok(frame) => {
                let standing = frame.field("replicas").and_then(|count| count.parse().ok());
                let end = verdict(frame, code::OK).map(|_| ());
                (end, standing.unwrap_or(if end.is_ok() { copies } else { 0 }))
            }
            Err(error) => (Err(error), 0),
        }
    }

    fn evict(&self, host: &Arc<Host>, model: ModelId) {
        let frame = Frame::command(code::EVICT, model.0, String::new(), Vec::new());
        self.open(host, frame, Goes::CancelNotice, Ms::INFINITY, None);
    }

    fn dials(&self) -> Arc<Dials> {
        self.dials.clone()
    }

    fn probe(&self, host: &Arc<Host>, within: Duration) -> Result<(), AttemptError> {
        let frame = Frame::command(code::PROBE, self.order_id(), String::new(), Vec::new());
        self.ask(host, frame, Goes::CancelNotice, Ms::INFINITY, within)
            .and_then(|frame| verdict(frame, code::ALIVE))
            .map(|_| ())
    }
}

#[cfg(test)]
mod tests;
