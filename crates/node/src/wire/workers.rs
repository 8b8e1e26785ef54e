//! Worker connections that carry binary frames: many exchanges on one connection, in any order.
mod connection;

use super::frames::{code, Frame};
use super::intake::Intake;
use crate::core::{lock, AttemptError, Call, CancelNotice, Cause, Ending, Exchange, Verdict, Workers};
use crate::life::spawn;
use crate::memory::counters::Dials;
use crate::memory::link::Stage;
use crate::memory::roster::Host;
use crate::timers;
use connection::{Connection, Out, Outgoing, Recipients, Waiter};
use corkbay::{ModelId, Ms, WorkerId};
use corkbay_ledger::{Account, Purpose};
use may::sync::mpsc::channel;
use may::sync::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

pub(super) use connection::broken;
pub use connection::PARTIAL;

/// What a connection takes: the stacks of its two tasks as far as they are touched, a chunk, its places in
/// tables.
const CONNECTION_BYTES: usize = 22 << 10;

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

/// Connections at a time that end to make room for others, beyond the budgets: what they hold is free once they have
/// ended.
const MOST_ENDING: usize = 16;

/// One part in so many of the account is kept from idle connections for orders and answers.
const KEPT_PART: usize = 8;

/// The connections to one worker.
type Pool = Vec<Arc<Connection>>;

/// The connections to all workers.
type Pools = HashMap<(WorkerId, SocketAddr), Pool>;

/// The pools, by worker and address.
pub struct FrameWorkers {
    limits: Limits,
    account: Account,
    pools: Mutex<Pools>,
    connections: Arc<AtomicUsize>,
    /// Those of them that end to make room for others.
    ending: Arc<AtomicUsize>,
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
            ending: Arc::new(AtomicUsize::new(0)),
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
        recipients: Recipients,
        by: Ms,
        expires: Option<Ms>,
        mut waiter: Option<Waiter>,
    ) -> Option<Arc<Connection>> {
        let is_tracked = waiter.is_some();
        let barred = |waiter: Option<Waiter>| {
            waiter.into_iter().for_each(|waiter| waiter(Err(AttemptError::Unfinished(Cause::Barred))));
        };
        if recipients.excludes(host) {
            barred(waiter);
            return None;
        }
        let pools = &mut *lock(&self.pools);
        let key = (host.id, host.address);
        let mut enlist = |connection: &Arc<Connection>| {
            let mut link = lock(&connection.link);
            let fits = if is_tracked { link.admits(frame.id) } else { !link.is_closed() };
            if fits {
                connection.used();
                waiter = waiter.take().and_then(|waiter| link.open(frame.id, waiter).err());
            }
            fits
        };
        let pool = pools.get(&key).map(Vec::as_slice).unwrap_or_default();
        let sound = pool.iter().find(|connection| !connection.is_suspect() && enlist(connection)).cloned();
        let fresh = sound.or_else(|| {
            let fresh = self.dial(host, pools)?;
            enlist(&fresh);
            pools.entry(key).or_default().push(fresh.clone());
            Some(fresh)
        });
        let pool = pools.get(&key).map(Vec::as_slice).unwrap_or_default();
        let connection = fresh.or_else(|| pool.iter().find(|connection| enlist(connection)).cloned());
        match &connection {
            Some(connection) => {
                let _ = connection.outbox.send(Out::Frame(Outgoing {
                    frame,
                    is_tracked,
                    recipients,
                    by,
                    expires,
                    notice: None,
                }));
            }
            None => barred(waiter),
        }
        connection
    }

    /// A new connection, as far as the budgets of descriptors and memory go; it is made in a task of its own. Where they
    /// are used up, the one that is idle for longest ends for it.
    fn dial(&self, host: &Arc<Host>, pools: &mut Pools) -> Option<Arc<Connection>> {
        pools.retain(|_, pool| {
            pool.retain(|connection| !lock(&connection.link).is_closed());
            !pool.is_empty()
        });
        let held = self.account.reserve(CONNECTION_BYTES);
        let is_full = self.connections.load(Ordering::Relaxed) >= self.most.load(Ordering::Relaxed);
        let crowds_out = self.account.used() > self.account.cap() / KEPT_PART * (KEPT_PART - 1);
        let made_room = (held.is_err() || is_full || crowds_out) && self.close_longest_idle(pools);
        if (held.is_err() || is_full) && !made_room {
            return None;
        }
        let held = held.unwrap_or_else(|_| self.account.owe(CONNECTION_BYTES));
        self.connections.fetch_add(1, Ordering::Relaxed);
        let (connection, queue) = Connection::new(self.limits.streams);
        let connection = Arc::new(connection);
        let slot = ConnectionSlot {
            connection: connection.clone(),
            connections: self.connections.clone(),
            ending: self.ending.clone(),
        };
        let (host, limits, ours, dials) = (host.clone(), self.limits, connection.clone(), self.dials.clone());
        let intake = Intake::new(&self.account, Purpose::Workers);
        spawn(move || {
            ours.run(&host, &limits, &dials, &queue, intake);
            drop((slot, held));
        });
        Some(connection)
    }

    /// Ends the connection on which nothing is open for longest; false where there is none, or too many are ending.
    fn close_longest_idle(&self, pools: &Pools) -> bool {
        if self.ending.load(Ordering::Relaxed) >= MOST_ENDING {
            return false;
        }
        let idle = pools.values().flatten().filter(|connection| lock(&connection.link).is_idle());
        let Some(longest) = idle.min_by_key(|connection| connection.last_used()) else { return false };
        let gives_way = longest.give_way();
        self.ending.fetch_add(usize::from(gives_way), Ordering::Relaxed);
        gives_way
    }

    /// Sends a command and waits for the frame that answers it.
    fn ask(
        &self,
        host: &Arc<Host>,
        frame: Frame,
        recipients: Recipients,
        by: Ms,
        within: Duration,
    ) -> Result<Frame, AttemptError> {
        let id = frame.id;
        let (sender, answer) = channel();
        let waiter: Waiter = Box::new(move |end| _ = sender.send(end));
        let connection = self.open(host, frame, recipients, by, None, Some(waiter));
        match timers::receive(&answer, within) {
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

/// A connection's slot in the budget, given back when its task ends in any way.
struct ConnectionSlot {
    connection: Arc<Connection>,
    connections: Arc<AtomicUsize>,
    ending: Arc<AtomicUsize>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
        if self.connection.gave_way() {
            self.ending.fetch_sub(1, Ordering::Relaxed);
        }
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

impl Exchange for FrameExchange {
    fn give_up(&mut self, cause: Cause) -> Option<AttemptError> {
        let connection = self.connection.take()?;
        let (stage, _) = lock(&connection.link).give_up(self.id)?;
        if stage != Stage::Queued && self.cancels {
            let frame = Frame::command(code::GIVE_UP, self.id, String::new(), Vec::new());
            let _ = connection.outbox.send(Out::Frame(Outgoing {
                frame,
                is_tracked: false,
                recipients: Recipients::GiveUp,
                by: Ms::INFINITY,
                expires: None,
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
        let mut fields = format!("kind={},obj={:016x}", call.class_name, call.request.model.0);
        if let Some(key) = &call.key {
            fields.push_str(",token=");
            fields.push_str(key);
        }
        let frame = Frame::command(code::REQUEST, call.request.id.0, fields, call.body.clone());
        let waiter: Waiter = Box::new(move |answer| {
            end(answer.and_then(|frame| verdict(frame, code::OK)).map(|frame| frame.body))
        });
        let connection = self.open(host, frame, Recipients::Work, by, Some(expires), Some(waiter));
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
        match self.ask(host, frame, if copies > 0 { Recipients::Work } else { Recipients::Query }, by, within)
        {
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
        self.open(host, frame, Recipients::Query, Ms::INFINITY, None, None);
    }

    fn dials(&self) -> Arc<Dials> {
        self.dials.clone()
    }

    fn probe(&self, host: &Arc<Host>, within: Duration) -> Result<(), AttemptError> {
        let frame = Frame::command(code::PROBE, self.order_id(), String::new(), Vec::new());
        self.ask(host, frame, Recipients::Query, Ms::INFINITY, within)
            .and_then(|frame| verdict(frame, code::ALIVE))
            .map(|_| ())
    }
}

#[cfg(test)]
mod tests;
