//! Worker connections that carry binary frames: many exchanges are multiplexed on one connection and
//! may be answered in any order.
mod connection;

use super::frames::{code, Frame};
use super::receive_buffer::ReceiveBuffer;
use crate::core::{
    lock, AbortReason, AttemptError, Call, CancelNotice, Exchange, OnAttemptEnd, WorkerRefusal, Workers,
};
use crate::lifecycle::spawn;
use crate::state::counters::ConnectionAttempts;
use crate::state::exchanges::Stage;
use crate::state::roster::Host;
use crate::timers;
use connection::{Connection, OutgoingFrame, Recipients, Waiter, WriterMessage};
use corkbay::{ModelId, Ms, WorkerId};
use corkbay_ledger::{Account, Purpose};
use may::sync::mpsc::channel;
use may::sync::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

pub(super) use connection::unanswered_error;
pub use connection::PARTIAL_MESSAGE_TIMEOUT;

/// Memory that one connection is charged for: the touched part of the stacks of its two tasks, a read chunk and its
/// table entries.
const CONNECTION_BYTES: usize = 22 << 10;

/// Limits of the connections to workers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of concurrent exchanges on one connection.
    pub streams: usize,
    /// Connect timeout.
    pub connect: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
    /// Maximum number of connections to all workers together.
    pub connections: usize,
    /// Maximum size of an answer's body, in bytes.
    pub answer: usize,
    /// Whether a cancel command is sent to the worker when an attempt is cancelled.
    pub cancels: bool,
}

/// Maximum number of evicted connections that have not ended yet. Their memory and descriptors are freed only when
/// they have ended, so the connections that replace them exceed the budgets by up to this number.
const MAX_EVICTING_CONNECTIONS: usize = 16;

/// When less than one part in this many of the account is free, a new connection evicts an idle one, so that
/// idle connections leave memory for load orders and answers.
const RESERVED_DIVISOR: usize = 8;

/// The connections to one worker.
type Pool = Vec<Arc<Connection>>;

/// The connections to all workers.
type Pools = HashMap<(WorkerId, SocketAddr), Pool>;

/// The connection pools, by worker and address.
pub struct FrameWorkers {
    limits: Limits,
    account: Account,
    pools: Arc<Mutex<Pools>>,
    connections: Arc<AtomicUsize>,
    /// Number of evicted connections that have not ended yet.
    evicting: Arc<AtomicUsize>,
    /// Maximum number of connections to all workers together.
    max_connections: AtomicUsize,
    next_order_id: AtomicU64,
    connection_attempts: Arc<ConnectionAttempts>,
}

struct FrameExchange {
    connection: Option<Arc<Connection>>,
    id: u64,
    cancels: bool,
    notice: CancelNotice,
}

impl FrameWorkers {
    /// Creates the pools without connections. Memory of the connections is charged to the account.
    pub fn new(limits: Limits, account: Account) -> Self {
        let (pools, evicting) = (Arc::<Mutex<Pools>>::default(), Arc::<AtomicUsize>::default());
        let (reclaimed_pools, reclaimed) = (Arc::downgrade(&pools), evicting.clone());
        account.add_reclaimer(move |bytes| {
            let Some(pools) = reclaimed_pools.upgrade() else { return };
            let pools = lock(&pools);
            let needed = bytes.div_ceil(CONNECTION_BYTES);
            let _ = (0..needed).take_while(|_| evict_longest_idle(&pools, &reclaimed)).count();
        });
        FrameWorkers {
            limits,
            account,
            pools,
            connections: Arc::new(AtomicUsize::new(0)),
            evicting,
            max_connections: AtomicUsize::new(limits.connections),
            next_order_id: AtomicU64::new(1 << 62),
            connection_attempts: Arc::default(),
        }
    }

    /// Sets the maximum number of connections. Connections beyond it are closed when they are idle.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.store(max_connections, Ordering::Relaxed);
    }

    /// Queues a frame on a connection to the host; opens a connection where no healthy one has a free exchange, and
    /// falls back to a suspect one where none can be opened. With a waiter, the frame opens an exchange.
    fn enqueue(
        &self,
        host: &Arc<Host>,
        frame: Frame,
        recipients: Recipients,
        send_by: Ms,
        expires: Option<Ms>,
        mut waiter: Option<Waiter>,
    ) -> Option<Arc<Connection>> {
        let expects_answer = waiter.is_some();
        let fail_barred = |waiter: Option<Waiter>| {
            waiter
                .into_iter()
                .for_each(|waiter| waiter(Err(AttemptError::NotFullySent(AbortReason::SendNotAllowed))));
        };
        if recipients.excludes(host) {
            fail_barred(waiter);
            return None;
        }
        let pools = &mut *lock(&self.pools);
        let key = (host.id, host.address);
        let mut try_register = |connection: &Arc<Connection>| {
            let mut exchanges = lock(&connection.exchanges);
            let fits = if expects_answer { exchanges.admits(frame.id) } else { !exchanges.is_closed() };
            if fits {
                connection.mark_used();
                waiter = waiter.take().and_then(|waiter| exchanges.open(frame.id, waiter).err());
            }
            fits
        };
        let pool = pools.get(&key).map(Vec::as_slice).unwrap_or_default();
        let healthy =
            pool.iter().find(|connection| !connection.is_suspect() && try_register(connection)).cloned();
        let usable = healthy.or_else(|| {
            let fresh = self.open_connection(host, pools)?;
            try_register(&fresh);
            pools.entry(key).or_default().push(fresh.clone());
            Some(fresh)
        });
        let pool = pools.get(&key).map(Vec::as_slice).unwrap_or_default();
        let connection = usable.or_else(|| pool.iter().find(|connection| try_register(connection)).cloned());
        match &connection {
            Some(connection) => {
                let _ = connection.outbox.send(WriterMessage::Frame(OutgoingFrame {
                    frame,
                    expects_answer,
                    recipients,
                    send_by,
                    expires,
                    notice: None,
                }));
            }
            None => fail_barred(waiter),
        }
        connection
    }

    /// Starts a new connection in a task of its own, within the budgets of descriptors and memory. When a budget is
    /// exhausted, the connection that has been idle longest is evicted first; `None` where none can be.
    fn open_connection(&self, host: &Arc<Host>, pools: &mut Pools) -> Option<Arc<Connection>> {
        pools.retain(|_, pool| {
            pool.retain(|connection| !lock(&connection.exchanges).is_closed());
            !pool.is_empty()
        });
        let held = self.account.reserve(CONNECTION_BYTES);
        let is_full =
            self.connections.load(Ordering::Relaxed) >= self.max_connections.load(Ordering::Relaxed);
        let is_memory_low =
            self.account.used() > self.account.cap() / RESERVED_DIVISOR * (RESERVED_DIVISOR - 1);
        let made_room =
            (held.is_err() || is_full || is_memory_low) && evict_longest_idle(pools, &self.evicting);
        if (held.is_err() || is_full) && !made_room {
            return None;
        }
        let held = held.unwrap_or_else(|_| self.account.reserve_over_cap(CONNECTION_BYTES));
        self.connections.fetch_add(1, Ordering::Relaxed);
        let (connection, queue) = Connection::new(self.limits.streams);
        let connection = Arc::new(connection);
        let slot = ConnectionSlot {
            connection: connection.clone(),
            connections: self.connections.clone(),
            evicting: self.evicting.clone(),
        };
        let (host, limits, task_connection, connection_attempts) =
            (host.clone(), self.limits, connection.clone(), self.connection_attempts.clone());
        let receive_buffer = ReceiveBuffer::new(&self.account, Purpose::Workers);
        spawn(move || {
            task_connection.run(&host, &limits, &connection_attempts, &queue, receive_buffer);
            drop((slot, held));
        });
        Some(connection)
    }

    /// Sends a command and waits for the frame that answers it, for `within` at most.
    fn send_and_wait(
        &self,
        host: &Arc<Host>,
        frame: Frame,
        recipients: Recipients,
        send_by: Ms,
        within: Duration,
    ) -> Result<Frame, AttemptError> {
        let id = frame.id;
        let (sender, answer) = channel();
        let waiter: Waiter = Box::new(move |end| _ = sender.send(end));
        let connection = self.enqueue(host, frame, recipients, send_by, None, Some(waiter));
        match timers::receive(&answer, within) {
            Ok(end) => end,
            Err(_) => {
                let given_up = connection.and_then(|connection| lock(&connection.exchanges).give_up(id));
                let error = given_up.map(|(stage, _)| unanswered_error(stage, AbortReason::TimedOut));
                Err(error.unwrap_or(AttemptError::Unanswered(AbortReason::TimedOut)))
            }
        }
    }

    fn next_order_id(&self) -> u64 {
        self.next_order_id.fetch_add(1, Ordering::Relaxed)
    }
}

/// Evicts the connection that has been idle longest. False when none is idle, or when
/// [`MAX_EVICTING_CONNECTIONS`] evicted connections have not ended yet; `evicting` counts these.
fn evict_longest_idle(pools: &Pools, evicting: &AtomicUsize) -> bool {
    if evicting.load(Ordering::Relaxed) >= MAX_EVICTING_CONNECTIONS {
        return false;
    }
    let idle = pools.values().flatten().filter(|connection| lock(&connection.exchanges).is_idle());
    let Some(longest) = idle.min_by_key(|connection| connection.last_used_ms()) else { return false };
    let is_evicted = longest.evict_if_idle();
    evicting.fetch_add(usize::from(is_evicted), Ordering::Relaxed);
    is_evicted
}

/// A connection's slot in the budget; released when the task of the connection ends, also by a panic.
struct ConnectionSlot {
    connection: Arc<Connection>,
    connections: Arc<AtomicUsize>,
    evicting: Arc<AtomicUsize>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
        if self.connection.is_evicted() {
            self.evicting.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Converts the answer to a command whose success code is `expected_code` into a result. A success code of another
/// command leaves the outcome unknown.
fn check_answer(frame: Frame, expected_code: u8) -> Result<Frame, AttemptError> {
    match frame.code {
        code if code == expected_code => Ok(frame),
        code::OK | code::ALIVE => Err(AttemptError::Unanswered(AbortReason::ConnectionLost)),
        code::MISS => Err(AttemptError::Answered(WorkerRefusal::NotLoaded)),
        code::FULL => Err(AttemptError::Answered(WorkerRefusal::Full)),
        code::OVER => Err(AttemptError::Answered(WorkerRefusal::RequestEnded)),
        _ => Err(AttemptError::Answered(WorkerRefusal::Failed)),
    }
}

impl Exchange for FrameExchange {
    fn cancel(&mut self, cause: AbortReason) -> Option<AttemptError> {
        let connection = self.connection.take()?;
        let (stage, _) = lock(&connection.exchanges).give_up(self.id)?;
        if stage != Stage::Queued && self.cancels {
            let frame = Frame::command(code::GIVE_UP, self.id, String::new(), Vec::new());
            let _ = connection.outbox.send(WriterMessage::Frame(OutgoingFrame {
                frame,
                expects_answer: false,
                recipients: Recipients::Cancel,
                send_by: Ms::INFINITY,
                expires: None,
                notice: Some(self.notice.clone()),
            }));
        }
        Some(unanswered_error(stage, cause))
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
        send_by: Ms,
        end: OnAttemptEnd,
    ) -> Box<dyn Exchange> {
        let mut fields = format!("kind={},obj={:016x}", call.class_name, call.request.model.0);
        if let Some(key) = &call.key {
            fields.push_str(",token=");
            fields.push_str(key);
        }
        let frame = Frame::command(code::REQUEST, call.request.id.0, fields, call.body.clone());
        let waiter: Waiter = Box::new(move |answer| {
            end(answer.and_then(|frame| check_answer(frame, code::OK)).map(|frame| frame.body))
        });
        let connection = self.enqueue(host, frame, Recipients::Work, send_by, Some(expires), Some(waiter));
        let (id, cancels) = (call.request.id.0, self.limits.cancels);
        Box::new(FrameExchange { connection, id, cancels, notice: CancelNotice::default() })
    }

    fn load(
        &self,
        host: &Arc<Host>,
        model: ModelId,
        copies: u32,
        send_by: Ms,
        within: Duration,
    ) -> (Result<(), AttemptError>, u32) {
        let fields = format!("obj={:016x},replicas={copies}", model.0);
        let frame = Frame::command(code::LOAD, self.next_order_id(), fields, Vec::new());
        match self.send_and_wait(
            host,
            frame,
            if copies > 0 { Recipients::Work } else { Recipients::Query },
            send_by,
            within,
        ) {
            // The answer to a failed order also carries the number of loaded copies.
            Ok(frame) => {
                let loaded_copies = frame.field("replicas").and_then(|count| count.parse().ok());
                let end = check_answer(frame, code::OK).map(|_| ());
                (end, loaded_copies.unwrap_or(if end.is_ok() { copies } else { 0 }))
            }
            Err(error) => (Err(error), 0),
        }
    }

    fn evict(&self, host: &Arc<Host>, model: ModelId) {
        let frame = Frame::command(code::EVICT, model.0, String::new(), Vec::new());
        self.enqueue(host, frame, Recipients::Query, Ms::INFINITY, None, None);
    }

    fn connection_attempts(&self) -> Arc<ConnectionAttempts> {
        self.connection_attempts.clone()
    }

    fn probe(&self, host: &Arc<Host>, within: Duration) -> Result<(), AttemptError> {
        let frame = Frame::command(code::PROBE, self.next_order_id(), String::new(), Vec::new());
        self.send_and_wait(host, frame, Recipients::Query, Ms::INFINITY, within)
            .and_then(|frame| check_answer(frame, code::ALIVE))
            .map(|_| ())
    }
}

#[cfg(test)]
mod tests;
