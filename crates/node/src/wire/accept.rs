//! Accepting connections within a budget of descriptors.
mod connection;
mod slots;

use super::socket::Socket;
use crate::core::{lock, monotonic_ms};
use crate::life::spawn;
use crate::memory::clients::{ClientTable, NoneIdle};
use crate::memory::room::wait;
use crate::timers;
pub use connection::{Connection, Kept, CONNECTION_BYTES};
use corkbay::Ms;
use corkbay_ledger::{Account, Reservation};
use may::net::TcpListener;
use may::sync::Mutex;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use slots::{Slot, SlotKind, Slots, SPARE_SLOTS};
use socket2::SockRef;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

/// How long a listener that can't be had for want of descriptors or buffers is tried for, in milliseconds, and the pause
/// between two tries.
const BIND_FOR_MS: Ms = 5000.0;
const BIND_PAUSE: Duration = Duration::from_millis(20);
/// Pause after an accept that failed, for want of descriptors above all.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a newcomer waits for an evicted connection to close before another one is evicted, and for how long all
/// connections have to be busy before newcomers are turned away.
const GIVE_WAY: Duration = Duration::from_millis(100);
/// How often idle connections are looked for while there are none.
const EVICT_LOOK: Duration = Duration::from_millis(2);
const GIVE_WAY_MS: Ms = GIVE_WAY.as_millis() as Ms;

/// Longest wait for slots for those that stand in the queue, before the listener is closed.
const EMPTIED: Duration = Duration::from_millis(100);
/// A newcomer has stood in the queue for so long at most, as far as its client's time goes, in milliseconds: where it never
/// empties, how long is not known.
const LONGEST_QUEUED_MS: Ms = 500.0;
/// Most connections that are taken up then: more than a queue holds, so that callers without end don't hold up the close.
const MOST_QUEUED: usize = 4096;

/// How often connections are looked at while their process ends.
const WIND_UP_LOOK: Duration = Duration::from_millis(2);

type Table = Arc<Mutex<ClientTable<Weak<Connection>>>>;

/// What a front gives its clients.
pub struct ConnectionLimits {
    /// Most connections at a time.
    pub most: usize,
    /// How long a client may let an answer stand unread.
    pub stall: Duration,
    /// What connections take counts here.
    pub account: Account,
}

/// One address with the connections that came there.
pub struct Acceptor {
    listener: TcpListener,
    limits: ConnectionLimits,
    clients: Table,
    /// Those that were let in beyond the limit, to be told that there is no room.
    turned_away: Table,
    slots: Arc<Slots>,
    /// What the connections beyond the limit take, so that they come out of no account that is full.
    _spare_memory: Reservation,
    /// Since when newcomers have had to wait because all connections were busy, with others waiting behind them.
    crowded_since: Mutex<Option<Ms>>,
    closed: AtomicBool,
    /// What becomes of a client.
    serve: OnceLock<Serve>,
}

type Serve = Arc<dyn Fn(Arc<Connection>) + Send + Sync>;

impl Acceptor {
    /// Listens at an address; others of the same user may listen there, too.
    pub fn open(address: SocketAddr, limits: ConnectionLimits) -> std::io::Result<Arc<Self>> {
        let listener = bind(address)?;
        let slots = Arc::new(Slots::new(limits.most));
        let spare_memory = limits.account.owe(SPARE_SLOTS * CONNECTION_BYTES);
        Ok(Arc::new(Acceptor {
            listener,
            limits,
            _spare_memory: spare_memory,
            clients: Table::default(),
            turned_away: Table::default(),
            slots,
            crowded_since: Mutex::new(None),
            closed: AtomicBool::new(false),
            serve: OnceLock::new(),
        }))
    }

    /// The address that it listens at.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts clients until it is closed. When all slots or the room for them are taken, a newcomer gets that of a
    /// client that is owed nothing: the silent go first. While all are owed something, newcomers are turned away: they
    /// are read, and what they ask is refused, since what waits in the listener's queue has no answer in its time.
    pub fn accept(&self, serve: impl Fn(Arc<Connection>) + Send + Sync + 'static) {
        let serve = self.serve.get_or_init(|| Arc::new(serve));
        let mut last_empty = monotonic_ms();
        while !self.closed.load(Ordering::Acquire) {
            let was_empty = !self.has_waiting();
            let accepted =
                self.listener.accept().and_then(|(stream, _)| Socket::new(stream, self.limits.stall));
            let now = monotonic_ms();
            last_empty = if was_empty { now } else { last_empty };
            let queued_since = last_empty.max(now - LONGEST_QUEUED_MS);
            match accepted.and_then(|socket| self.let_in(socket, serve, queued_since, Ms::INFINITY)) {
                Ok(()) => {}
                Err(_) if self.closed.load(Ordering::Acquire) => return,
                Err(error) => {
                    tracing::warn!(%error, "accept");
                    timers::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    /// Serves a client that may have come to the queue at the time given, once there is a slot for it until then.
    fn let_in(&self, socket: Socket, serve: &Serve, queued_since: Ms, until: Ms) -> std::io::Result<()> {
        let slot = self.make_way(until).ok_or(ErrorKind::TimedOut)?;
        let clients = if slot.kind == SlotKind::Spare { &self.turned_away } else { &self.clients };
        let (connection, serve) = (Connection::new(socket, clients, slot, queued_since), serve.clone());
        spawn(move || serve(connection));
        Ok(())
    }

    /// Takes up what stands in the queue and listens no more; another process may listen at the address. The queue is
    /// emptied here: whether the acceptor has had its turn can't be known.
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

    /// Lets in all that stand in the queue as far as there are slots for them, however late this process gets its turn.
    fn empty_queue(&self, serve: &Serve) {
        let end = monotonic_ms() + EMPTIED.as_secs_f64() * 1000.0;
        for _ in 0..MOST_QUEUED {
            let Ok((stream, _)) = self.listener.inner().accept() else { return };
            let socket = stream.set_nodelay(true).and_then(|()| Socket::adopt(stream, self.limits.stall));
            if let Err(error) = socket.and_then(|socket| self.let_in(socket, serve, monotonic_ms(), end)) {
                tracing::warn!(%error, "close");
                if monotonic_ms() >= end {
                    return;
                }
            }
        }
    }

    /// Drains all connections that there are: their readers close them once nothing is owed on them. What a client has
    /// sent by then is still read. To be called again until all have ended: a reading side is shut once nothing is owed
    /// and nothing stands unread on its connection, for where it is shut a client can't be seen to leave.
    pub fn drain(&self) {
        for clients in [&self.clients, &self.turned_away] {
            // Dropped after the lock on the table, which the end of a connection takes.
            let mut looked_at = Vec::new();
            let idle = lock(clients).drain(|connection| has_unused(connection, &mut looked_at));
            idle.iter().filter_map(Weak::upgrade).for_each(|connection| connection.shut(Shutdown::Read));
        }
    }

    /// Ends it with its process: what came by now is taken up, read and answered, and connections end once nothing is owed
    /// on them. What the kernel still held would be lost. Waits for so long at most.
    pub fn wind_up(&self, within: Duration) {
        let end = monotonic_ms() + within.as_secs_f64() * 1000.0;
        self.close();
        self.drain();
        while self.held() > 0 && monotonic_ms() < end {
            timers::sleep(WIND_UP_LOOK);
            self.drain();
        }
    }

    /// Takes over a connection that was accepted elsewhere, whether there is a slot for it or not: its client was let
    /// in.
    pub fn take_over(&self, stream: TcpStream) -> std::io::Result<Arc<Connection>> {
        let socket = Socket::adopt(stream, self.limits.stall)?;
        self.slots.take_over();
        let slot = self.slot(SlotKind::Regular, self.limits.account.owe(CONNECTION_BYTES));
        let connection = Connection::new(socket, &self.clients, slot, monotonic_ms());
        lock(&self.clients).answered(connection.number(), monotonic_ms());
        Ok(connection)
    }

    /// Connections that are held.
    pub fn held(&self) -> usize {
        self.slots.held()
    }

    fn slot(&self, kind: SlotKind, memory: Reservation) -> Slot {
        Slot { slots: self.slots.clone(), kind, memory }
    }

    /// Holds so many connections at most from now on; those beyond that give way as far as they are owed nothing.
    pub fn set_most(&self, most: usize) {
        self.slots.set_most(most);
        for _ in most..self.held() {
            let _ = self.evict_idle(&self.clients);
        }
    }

    /// Closes a connection on which nothing is owed and nothing stands unread, if there is one.
    fn evict_idle(&self, clients: &Table) -> Result<(), NoneIdle> {
        // Dropped after the lock on the table, which the end of a connection takes.
        let mut looked_at = Vec::new();
        let evicted = lock(clients).evict_idle(|connection| has_unused(connection, &mut looked_at));
        if let Some(evicted) = evicted?.upgrade() {
            evicted.shut(Shutdown::Read);
        }
        Ok(())
    }

    /// A slot for a newcomer, taken from an idle connection where none is free; a spare one where all others have been
    /// busy for some time; none where that time has come before.
    fn make_way(&self, until: Ms) -> Option<Slot> {
        loop {
            let seen = self.slots.changes();
            let lacks = match self.regular_slot() {
                Ok(slot) => {
                    // Connections that become free are too few as long as others still wait.
                    if !self.has_waiting() {
                        *lock(&self.crowded_since) = None;
                    }
                    return Some(slot);
                }
                Err(lacks) => lacks,
            };
            let now = monotonic_ms();
            let eviction = self.evict_idle(&self.clients);
            if eviction.is_ok() {
                if now >= until {
                    return None;
                }
                match lacks {
                    Lacks::Slot => self.slots.wait_for_free(GIVE_WAY),
                    Lacks::Memory(account) => wait(&account, CONNECTION_BYTES, GIVE_WAY_MS),
                }
                continue;
            }
            let crowded_since = *lock(&self.crowded_since).get_or_insert(now);
            let patience_ends = crowded_since + GIVE_WAY_MS;
            if now >= patience_ends.min(until) && eviction == Err(NoneIdle::Busy) {
                if self.slots.take_spare() {
                    return Some(self.slot(SlotKind::Spare, self.limits.account.nothing()));
                }
                let _ = self.evict_idle(&self.turned_away);
            }
            if now >= until {
                return None;
            }
            // Readers have their turn meanwhile, and what stood unread was read.
            match lacks {
                Lacks::Slot => self.slots.wait_for_change(seen, EVICT_LOOK),
                Lacks::Memory(account) => wait(&account, CONNECTION_BYTES, EVICT_LOOK.as_millis() as Ms),
            }
        }
    }

    /// Whether somebody stands in the listener's queue.
    fn has_waiting(&self) -> bool {
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let mut listener = [PollFd::new(self.listener.inner(), PollFlags::IN)];
        poll(&mut listener, Some(&at_once)).is_ok_and(|ready| ready > 0)
    }

    /// A slot within the limit, with the memory that its connection takes.
    fn regular_slot(&self) -> Result<Slot, Lacks> {
        if !self.slots.take() {
            return Err(Lacks::Slot);
        }
        // Given back with it, should there be no room.
        let mut slot = self.slot(SlotKind::Regular, self.limits.account.nothing());
        match slot.memory.resize(CONNECTION_BYTES) {
            Ok(()) => Ok(slot),
            Err(full) => Err(Lacks::Memory(full.account)),
        }
    }
}

/// Whether something stands unread on a connection, or its reader is at work on what it read or may be about to take what
/// is asked. A connection that was looked at is kept for the caller to drop, since it may be the last to hold it.
fn has_unused(connection: &Weak<Connection>, looked_at: &mut Vec<Arc<Connection>>) -> bool {
    let Some(connection) = connection.upgrade() else { return false };
    let has_unused = connection.has_unused() || connection.is_being_turned_away();
    looked_at.push(connection);
    has_unused
}

/// Listens at an address; what fails for want of descriptors or buffers is tried again for a while, since others on the
/// machine may give some back.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let began = monotonic_ms();
    loop {
        match TcpListener::bind(address) {
            Err(error) if is_momentary(&error) && monotonic_ms() - began < BIND_FOR_MS => {
                tracing::warn!(%error, %address, "listen");
                std::thread::sleep(BIND_PAUSE);
            }
            end => return end,
        }
    }
}

/// Whether a call for a socket failed for want of something that may be there again in a moment.
fn is_momentary(error: &std::io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(
        errno,
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::INTR | Errno::AGAIN)
    )
}

/// What a newcomer waits for.
enum Lacks {
    Slot,
    Memory(Account),
}

#[cfg(test)]
mod tests;
