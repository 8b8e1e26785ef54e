//! Accepts client connections within a limit on their number and memory.
mod connection;
mod slots;

use super::socket::Socket;
use crate::core::{lock, monotonic_ms};
use crate::event_loop::{wait_for_poll, InputKind, Turn};
use crate::lifecycle::spawn;
use crate::state::clients::{ClientTable, EvictionError};
use crate::state::memory_wait::wait_for_release;
use crate::timers;
pub use connection::{Connection, Kept, CONNECTION_BYTES};
use corkbay::Ms;
use corkbay_ledger::{Account, Reservation};
use may::net::TcpListener;
use may::sync::Mutex;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use slots::{Slot, SlotKind, Slots, MAX_SPARE_SLOTS};
use socket2::SockRef;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

/// How long binding a listener is retried while descriptors or buffers are exhausted, in milliseconds, and the pause between
/// two attempts.
const BIND_RETRY_MS: Ms = 5000.0;
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a failed accept, usually caused by a lack of descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long a new connection waits for an evicted one to close before another one is evicted. Also how long all connections
/// must have been busy before new ones are refused.
const EVICTION_WAIT: Duration = Duration::from_millis(100);
/// Poll interval for an idle connection to evict while there is none.
const EVICTION_POLL_INTERVAL: Duration = Duration::from_millis(2);
const EVICTION_WAIT_MS: Ms = EVICTION_WAIT.as_millis() as Ms;

/// Maximum wait for free slots for connections in the accept queue before the listener is closed.
const EMPTY_QUEUE_TIMEOUT: Duration = Duration::from_millis(100);
/// Upper bound for the assumed time that a connection spent in the accept queue, in milliseconds. The real time is unknown
/// when the queue is never seen empty.
const MAX_QUEUED_MS: Ms = 500.0;
/// Maximum number of connections accepted while the listener closes. It exceeds the length of an accept queue, and bounds
/// the close while clients keep connecting.
const MAX_ACCEPTS_ON_CLOSE: usize = 4096;

/// Poll interval while connections are closed at the end of the process.
const WIND_UP_POLL_INTERVAL: Duration = Duration::from_millis(2);

type SharedClientTable = Arc<Mutex<ClientTable<Weak<Connection>>>>;

/// Limits for the client connections of a listener.
pub struct ConnectionLimits {
    /// Maximum number of connections at a time.
    pub max_connections: usize,
    /// A write fails if the client accepts no bytes for this long.
    pub write_timeout: Duration,
    /// The account that the memory of connections is charged to.
    pub account: Account,
}

/// A listener and the connections that were accepted from it.
pub struct Acceptor {
    listener: TcpListener,
    limits: ConnectionLimits,
    clients: SharedClientTable,
    /// Connections accepted beyond the limit, whose requests are refused.
    beyond_limit: SharedClientTable,
    slots: Arc<Slots>,
    /// Memory for the connections beyond the limit, reserved at the start so that they can be accepted while the account is
    /// full.
    _spare_memory: Reservation,
    /// Since when new connections have had to wait because all others were busy. Reset once a slot is free and the accept
    /// queue is empty.
    all_busy_since: Mutex<Option<Ms>>,
    closed: AtomicBool,
    /// The handler of accepted connections.
    serve: OnceLock<ServeConnection>,
}

type ServeConnection = Arc<dyn Fn(Arc<Connection>) + Send + Sync>;

impl Acceptor {
    /// Listens at an address. Other processes of the same user may listen there, too.
    pub fn open(address: SocketAddr, limits: ConnectionLimits) -> std::io::Result<Arc<Self>> {
        let listener = bind(address)?;
        let slots = Arc::new(Slots::new(limits.max_connections));
        let spare_memory = limits.account.reserve_over_cap(MAX_SPARE_SLOTS * CONNECTION_BYTES);
        let acceptor = Arc::new(Acceptor {
            listener,
            limits,
            _spare_memory: spare_memory,
            clients: SharedClientTable::default(),
            beyond_limit: SharedClientTable::default(),
            slots,
            all_busy_since: Mutex::new(None),
            closed: AtomicBool::new(false),
            serve: OnceLock::new(),
        });
        let reclaiming = Arc::downgrade(&acceptor);
        acceptor.limits.account.add_reclaimer(move |bytes| {
            if let Some(acceptor) = reclaiming.upgrade() {
                acceptor.reclaim(bytes);
            }
        });
        Ok(acceptor)
    }

    /// Evicts idle connections until they hold at least `bytes`, because a task waits for memory of their account.
    fn reclaim(&self, bytes: usize) {
        for _ in 0..bytes.div_ceil(CONNECTION_BYTES) {
            if self.evict_idle(&self.clients).is_err() {
                return;
            }
        }
    }

    /// The address of the listener.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until the listener is closed. When no slot or memory is left, a connection without unanswered
    /// requests is evicted; those that never had an answer go first. While all connections have unanswered requests, new
    /// ones are accepted and their requests refused, since clients that wait in the accept queue get no answer in time.
    pub fn accept(&self, serve: impl Fn(Arc<Connection>) + Send + Sync + 'static) {
        let serve = self.serve.get_or_init(|| Arc::new(serve));
        let mut last_empty = monotonic_ms();
        let turn = Turn::new(InputKind::Newcomer);
        while !self.closed.load(Ordering::Acquire) {
            if self.has_queued_connection() {
                // Each accept is a turn of its own: otherwise connections would be accepted faster than those of
                // them that end are noticed, and take up all slots.
                turn.take();
                turn.end();
            }
            let was_empty = !self.has_queued_connection();
            let accepted = self
                .listener
                .accept()
                .and_then(|(stream, _)| Socket::accepted(stream, self.limits.write_timeout));
            let now = monotonic_ms();
            last_empty = if was_empty { now } else { last_empty };
            let queued_since = last_empty.max(now - MAX_QUEUED_MS);
            match accepted.and_then(|socket| self.admit(socket, serve, queued_since, Ms::INFINITY)) {
                Ok(()) => {}
                Err(_) if self.closed.load(Ordering::Acquire) => return,
                Err(error) => {
                    tracing::warn!(%error, "accept");
                    timers::sleep(ACCEPT_RETRY_PAUSE);
                }
            }
        }
    }

    /// Serves a new connection that entered the accept queue at `queued_since` at the earliest. Fails if no slot is free
    /// until `until`.
    fn admit(
        &self,
        socket: Socket,
        serve: &ServeConnection,
        queued_since: Ms,
        until: Ms,
    ) -> std::io::Result<()> {
        let slot = self.wait_for_slot(until).ok_or(ErrorKind::TimedOut)?;
        let clients = if slot.kind == SlotKind::Spare { &self.beyond_limit } else { &self.clients };
        let (connection, serve) = (Connection::new(socket, clients, slot, queued_since), serve.clone());
        spawn(move || serve(connection));
        Ok(())
    }

    /// Accepts the connections in the accept queue and closes the listener; another process may listen at the address. The
    /// queue is emptied here because the accepting coroutine may not have been scheduled since they connected.
    pub fn close(&self) {
        if self.closed.swap(true, Ordering::AcqRel) {
            return;
        }
        if let Some(serve) = self.serve.get() {
            self.empty_queue(serve);
        }
        if let Err(error) = SockRef::from(self.listener.inner()).shutdown(Shutdown::Both) {
            tracing::warn!(%error, "close");
        }
    }

    /// Accepts all connections in the accept queue for which there are slots, even if this process is scheduled late.
    fn empty_queue(&self, serve: &ServeConnection) {
        let end = monotonic_ms() + EMPTY_QUEUE_TIMEOUT.as_secs_f64() * 1000.0;
        for _ in 0..MAX_ACCEPTS_ON_CLOSE {
            let Ok((stream, _)) = self.listener.inner().accept() else { return };
            let socket =
                stream.set_nodelay(true).and_then(|()| Socket::adopt(stream, self.limits.write_timeout));
            if let Err(error) = socket.and_then(|socket| self.admit(socket, serve, monotonic_ms(), end)) {
                tracing::warn!(%error, "close");
                if monotonic_ms() >= end {
                    return;
                }
            }
        }
    }

    /// Drains all connections: each is closed by its reader once all of its requests are answered. What a client has sent
    /// by then is still read. Must be called repeatedly until all connections have ended: the read side of a connection is
    /// shut down only when it has no unanswered request and no unread bytes, because a client that disconnects can't be
    /// noticed after that.
    pub fn drain(&self) {
        for clients in [&self.clients, &self.beyond_limit] {
            // Dropped after the table is unlocked, since dropping a connection locks the table.
            let mut kept_alive = Vec::new();
            let idle = lock(clients).drain(|connection| is_in_use(connection, &mut kept_alive));
            idle.iter().filter_map(Weak::upgrade).for_each(|connection| connection.shut(Shutdown::Read));
        }
    }

    /// Shuts down before the process ends: accepts queued connections, reads and answers requests that were sent by now, and
    /// closes connections once their requests are answered. Otherwise data in kernel buffers would be lost. Waits for
    /// `within` at most.
    pub fn shut_down(&self, within: Duration) {
        let end = monotonic_ms() + within.as_secs_f64() * 1000.0;
        self.close();
        self.drain();
        while self.open_connections() > 0 && monotonic_ms() < end {
            timers::sleep(WIND_UP_POLL_INTERVAL);
            self.drain();
        }
    }

    /// Takes over a connection that another process accepted. It ignores the limit, since its client was admitted
    /// already.
    pub fn take_over(&self, stream: TcpStream) -> std::io::Result<Arc<Connection>> {
        let socket = Socket::adopt(stream, self.limits.write_timeout)?;
        self.slots.take_over();
        let slot = self.slot(SlotKind::Regular, self.limits.account.reserve_over_cap(CONNECTION_BYTES));
        let connection = Connection::new(socket, &self.clients, slot, monotonic_ms());
        lock(&self.clients).answered(connection.number(), monotonic_ms());
        Ok(connection)
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.slots.open_connections()
    }

    fn slot(&self, kind: SlotKind, memory: Reservation) -> Slot {
        Slot { slots: self.slots.clone(), kind, memory }
    }

    /// Changes the maximum number of connections. Connections beyond it are closed if they have no unanswered requests.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.slots.set_limit(max_connections);
        for _ in max_connections..self.open_connections() {
            let _ = self.evict_idle(&self.clients);
        }
    }

    /// Closes a connection without unanswered requests and unread bytes, if there is one.
    fn evict_idle(&self, clients: &SharedClientTable) -> Result<(), EvictionError> {
        // Dropped after the table is unlocked, since dropping a connection locks the table.
        let mut kept_alive = Vec::new();
        let evicted = lock(clients).evict_idle(|connection| is_in_use(connection, &mut kept_alive));
        if let Some(evicted) = evicted?.upgrade() {
            evicted.shut(Shutdown::Read);
        }
        Ok(())
    }

    /// Waits for a slot for a new connection and evicts an idle one if none is free. Returns a spare slot if all connections
    /// have been busy for [`EVICTION_WAIT`], and `None` if there is no slot until `until`.
    fn wait_for_slot(&self, until: Ms) -> Option<Slot> {
        loop {
            let seen_changes = self.slots.changes();
            let missing = match self.regular_slot() {
                Ok(slot) => {
                    // While further connections are queued, slots still become free too slowly.
                    if !self.has_queued_connection() {
                        *lock(&self.all_busy_since) = None;
                    }
                    return Some(slot);
                }
                Err(missing) => missing,
            };
            let now = monotonic_ms();
            let eviction = self.evict_idle(&self.clients);
            if eviction.is_ok() {
                if now >= until {
                    return None;
                }
                match missing {
                    MissingResource::Slot => self.slots.wait_for_free(EVICTION_WAIT),
                    MissingResource::Memory(account) => {
                        wait_for_release(&account, CONNECTION_BYTES, EVICTION_WAIT_MS)
                    }
                }
                continue;
            }
            let all_busy_since = *lock(&self.all_busy_since).get_or_insert(now);
            let refuse_from = all_busy_since + EVICTION_WAIT_MS;
            if now >= refuse_from.min(until) && eviction == Err(EvictionError::Busy) {
                if self.slots.take_spare() {
                    return Some(self.slot(SlotKind::Spare, self.limits.account.empty_reservation()));
                }
                let _ = self.evict_idle(&self.beyond_limit);
            }
            if now >= until {
                return None;
            }
            // Gives readers time to read the bytes because of which their connections were not idle.
            match missing {
                MissingResource::Slot => self.slots.wait_for_change(seen_changes, EVICTION_POLL_INTERVAL),
                MissingResource::Memory(account) => {
                    wait_for_release(&account, CONNECTION_BYTES, EVICTION_POLL_INTERVAL.as_millis() as Ms)
                }
            }
            // Looking at all connections after each change of one would leave others little time.
            wait_for_poll();
        }
    }

    /// Whether a connection waits in the accept queue.
    fn has_queued_connection(&self) -> bool {
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        let mut listener = [PollFd::new(self.listener.inner(), PollFlags::IN)];
        poll(&mut listener, Some(&no_wait)).is_ok_and(|ready| ready > 0)
    }

    /// Takes a slot within the limit and reserves the memory of its connection.
    fn regular_slot(&self) -> Result<Slot, MissingResource> {
        if !self.slots.take() {
            return Err(MissingResource::Slot);
        }
        // Dropping the slot releases it if the memory can't be reserved.
        let mut slot = self.slot(SlotKind::Regular, self.limits.account.empty_reservation());
        match slot.memory.resize(CONNECTION_BYTES) {
            Ok(()) => Ok(slot),
            Err(full) => Err(MissingResource::Memory(full.account)),
        }
    }
}

/// Whether a connection has unread bytes, its reader is still processing what it read, or it was accepted only to be refused
/// and its request may still arrive. The connection is added to `kept_alive` for the caller to drop, since this may be the
/// last reference to it.
fn is_in_use(connection: &Weak<Connection>, kept_alive: &mut Vec<Arc<Connection>>) -> bool {
    let Some(connection) = connection.upgrade() else { return false };
    let is_in_use = connection.has_pending_input() || connection.is_awaiting_refused_request();
    kept_alive.push(connection);
    is_in_use
}

/// Binds a listener. Failures for lack of descriptors or buffers are retried for a while, since other processes on the
/// machine may release some.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let started_at = monotonic_ms();
    loop {
        match TcpListener::bind(address) {
            Err(error) if is_transient(&error) && monotonic_ms() - started_at < BIND_RETRY_MS => {
                tracing::warn!(%error, %address, "listen");
                std::thread::sleep(BIND_RETRY_PAUSE);
            }
            end => return end,
        }
    }
}

/// Whether a socket operation failed because of an interruption or a shortage that may soon be over.
fn is_transient(error: &std::io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(
        errno,
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::INTR | Errno::AGAIN)
    )
}

/// The resource that a new connection waits for.
enum MissingResource {
    Slot,
    Memory(Account),
}

#[cfg(test)]
mod tests;
