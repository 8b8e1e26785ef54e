//! Accepting connections within a budget of descriptors.
use super::passage::{Passage, Passed};
use super::socket::Socket;
use crate::core::{lock, now_ms, until};
use crate::life::spawn;
use crate::memory::clients::{ClientState, ClientTable};
use crate::memory::room::wait;
use corkbay::Ms;
use corkbay_ledger::{Account, Reservation};
use may::net::TcpListener;
use may::sync::{Condvar, Mutex, Semphore};
use socket2::SockRef;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::Deref;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

/// Pause after an accept that failed, for want of descriptors above all.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a newcomer waits for an evicted connection to close before another one is evicted, and for how long all
/// connections have to be busy before newcomers are turned away.
const GIVE_WAY: Duration = Duration::from_millis(100);
/// How often idle connections are looked for while there are none.
const EVICT_LOOK: Duration = Duration::from_millis(2);
/// Connections beyond the limit that may be held at once to be turned away.
const SPARE_SLOTS: usize = 4;
const GIVE_WAY_MS: Ms = GIVE_WAY.as_millis() as Ms;

/// Longest time for taking up what stands in the queue, before the listener is closed.
const EMPTIED: Duration = Duration::from_millis(100);

/// How often connections are looked at while their process ends.
const WIND_UP_LOOK: Duration = Duration::from_millis(2);

/// Most bytes that are read and thrown away after the last answer, and how many of the longest waits for one that may take.
const LINGER_BYTES: usize = 4 << 20;
const LINGER_WAITS: u32 = 4;

type Table = Arc<Mutex<ClientTable<Weak<Connection>>>>;

/// A client's connection with its entry in the table, which it keeps until the descriptor is closed.
pub struct Connection {
    socket: Socket,
    number: u64,
    clients: Table,
    /// Posted when a request has come to its end on a connection that is drained.
    ended: Semphore,
    /// Where answers go once it was passed on. Held while one is written.
    passed: Mutex<Option<Passed>>,
    account: Account,
    slots: Arc<Slots>,
    kind: SlotKind,
    /// Given back when it is passed on, or last, after the descriptor.
    slot: Mutex<Option<Slot>>,
}

/// What a connection takes: the stack of its task as far as it is touched, a chunk, its entry. Measured.
pub const CONNECTION_BYTES: usize = 14 << 10;

/// What a front gives its clients.
pub struct ConnectionLimits {
    /// Most connections at a time.
    pub most: usize,
    /// How long a client may let an answer stand unread.
    pub stall: Duration,
    /// What connections take counts here.
    pub account: Account,
}

/// How many connections are held, and how many may be.
struct Slots {
    held: Mutex<Held>,
    most: AtomicUsize,
    changed: Condvar,
}

#[derive(Default)]
struct Held {
    regular: usize,
    /// Beyond the limit, to be turned away.
    spare: usize,
    /// Counts what may let a newcomer in: slots given back, and requests that have come to their end.
    changes: u64,
}

impl Slots {
    fn new(most: usize) -> Self {
        Slots { held: Mutex::default(), most: AtomicUsize::new(most.max(1)), changed: Condvar::new() }
    }

    fn is_full(&self, held: &Held) -> bool {
        held.regular >= self.most.load(Ordering::Acquire)
    }

    /// Takes a slot if one is free.
    fn take(&self) -> bool {
        let mut held = lock(&self.held);
        let free = !self.is_full(&held);
        held.regular += usize::from(free);
        free
    }

    /// Takes a slot beyond the limit if one is free.
    fn take_spare(&self) -> bool {
        let mut held = lock(&self.held);
        let free = held.spare < SPARE_SLOTS;
        held.spare += usize::from(free);
        free
    }

    fn give_back(&self, kind: SlotKind) {
        let mut held = lock(&self.held);
        match kind {
            SlotKind::Regular => held.regular -= 1,
            SlotKind::Spare => held.spare -= 1,
        }
        held.changes += 1;
        self.changed.notify_all();
    }

    /// A connection may have become idle.
    fn note_change(&self) {
        lock(&self.held).changes += 1;
        self.changed.notify_all();
    }

    fn changes(&self) -> u64 {
        lock(&self.held).changes
    }

    /// Waits until a slot is free, for that long at most.
    fn wait_for_free(&self, within: Duration) {
        let end = now_ms() + within.as_secs_f64() * 1000.0;
        let mut held = lock(&self.held);
        while self.is_full(&held) && now_ms() < end {
            held = match self.changed.wait_timeout(held, until(end)) {
                Ok((held, _)) => held,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    /// Waits until there are other changes than those that were seen, for that long at most.
    fn wait_for_change(&self, seen: u64, within: Duration) {
        let held = lock(&self.held);
        if held.changes == seen {
            let _ = self.changed.wait_timeout(held, within);
        }
    }
}

/// One address with the connections that came there.
pub struct Acceptor {
    listener: TcpListener,
    limits: ConnectionLimits,
    clients: Table,
    /// Those that were let in beyond the limit, to be told that there is no room.
    turned_away: Table,
    slots: Arc<Slots>,
    /// Since when no newcomer was let in because all connections were busy.
    crowded_since: Mutex<Option<Ms>>,
    closed: AtomicBool,
    /// What becomes of a client.
    serve: OnceLock<Serve>,
}

type Serve = Arc<dyn Fn(Arc<Connection>) + Send + Sync>;

impl Acceptor {
    /// Listens at an address; others of the same user may listen there, too.
    pub fn open(address: SocketAddr, limits: ConnectionLimits) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let slots = Arc::new(Slots::new(limits.most));
        Ok(Arc::new(Acceptor {
            listener,
            limits,
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
        while !self.closed.load(Ordering::Acquire) {
            let accepted =
                self.listener.accept().and_then(|(stream, _)| Socket::new(stream, self.limits.stall));
            match accepted.and_then(|socket| self.let_in(socket, serve, Ms::INFINITY)) {
                Ok(()) => {}
                Err(_) if self.closed.load(Ordering::Acquire) => return,
                Err(error) => {
                    tracing::warn!(%error, "accept");
                    may::coroutine::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    /// Serves a client, once there is a slot for it until then.
    fn let_in(&self, socket: Socket, serve: &Serve, until: Ms) -> std::io::Result<()> {
        let slot = self.make_way(until).ok_or(ErrorKind::TimedOut)?;
        let clients = if slot.kind == SlotKind::Spare { &self.turned_away } else { &self.clients };
        let (connection, serve) = (Connection::new(socket, clients, slot), serve.clone());
        spawn(move || serve(connection));
        Ok(())
    }

    /// Takes up what stands in the queue and listens no more; another process may listen at the address. The queue is
    /// emptied here: whether the acceptor has had its turn can't be known.
    pub fn close(&self) {
        if self.closed.swap(true, Ordering::AcqRel) {
            return;
        }
        let end = now_ms() + EMPTIED.as_secs_f64() * 1000.0;
        while let (Some(serve), true) = (self.serve.get(), now_ms() < end) {
            let Ok((stream, _)) = self.listener.inner().accept() else { break };
            let socket = stream.set_nodelay(true).and_then(|()| Socket::adopt(stream, self.limits.stall));
            if let Err(error) = socket.and_then(|socket| self.let_in(socket, serve, end)) {
                tracing::warn!(%error, "close");
            }
        }
        if let Err(error) = SockRef::from(self.listener.inner()).shutdown(Shutdown::Both) {
            tracing::warn!(%error, "close");
        }
    }

    /// Drains all connections that there are: their readers close them once nothing is owed on them. What a client has
    /// sent by then is still read. To be called again until all have ended: a reading side is shut once nothing is owed
    /// on its connection, for where it is shut a client can't be seen to leave.
    pub fn drain(&self) {
        for clients in [&self.clients, &self.turned_away] {
            let idle: Vec<_> = lock(clients).drain();
            idle.iter()
                .filter_map(Weak::upgrade)
                .for_each(|connection| connection.socket.shut(Shutdown::Read));
        }
    }

    /// Ends it with its process: what came by now is taken up, read and answered, and connections end once nothing is owed
    /// on them. What the kernel still held would be lost. Waits for so long at most.
    pub fn wind_up(&self, within: Duration) {
        let end = now_ms() + within.as_secs_f64() * 1000.0;
        self.close();
        self.drain();
        while self.held() > 0 && now_ms() < end {
            may::coroutine::sleep(WIND_UP_LOOK);
            self.drain();
        }
    }

    /// Takes over a connection that was accepted elsewhere, whether there is a slot for it or not: its client was let
    /// in.
    pub fn take_over(&self, stream: TcpStream) -> std::io::Result<Arc<Connection>> {
        let socket = Socket::adopt(stream, self.limits.stall)?;
        lock(&self.slots.held).regular += 1;
        let slot = self.slot(SlotKind::Regular, self.limits.account.owe(CONNECTION_BYTES));
        let connection = Connection::new(socket, &self.clients, slot);
        lock(&self.clients).answered(connection.number, now_ms());
        Ok(connection)
    }

    /// Connections that are held.
    pub fn held(&self) -> usize {
        let held = lock(&self.slots.held);
        held.regular + held.spare
    }

    fn slot(&self, kind: SlotKind, memory: Reservation) -> Slot {
        Slot { slots: self.slots.clone(), kind, memory }
    }

    /// Holds so many connections at most from now on; those beyond that give way as far as they are owed nothing.
    pub fn set_most(&self, most: usize) {
        self.slots.most.store(most.max(1), Ordering::Release);
        for _ in most..self.held() {
            self.evict_idle(&self.clients);
        }
    }

    /// Closes a connection on which nothing is owed and nothing stands unread; false where there is none.
    fn evict_idle(&self, clients: &Table) -> bool {
        // Dropped after the lock on the table, which the end of a connection takes.
        let mut looked_at = Vec::new();
        let evicted = lock(clients).evict_idle(|connection| {
            let Some(connection) = connection.upgrade() else { return false };
            let has_unread = connection.socket.has_unread();
            looked_at.push(connection);
            has_unread
        });
        let Some(evicted) = evicted else { return false };
        if let Some(evicted) = evicted.upgrade() {
            evicted.socket.shut(Shutdown::Read);
            if !evicted.socket.has_unread() {
                // Its client hears of it at once. What came just before is answered by its reader instead.
                evicted.socket.shut(Shutdown::Write);
            }
        }
        true
    }

    /// A slot for a newcomer, taken from an idle connection where none is free; a spare one where all others have been
    /// busy for some time; none where that time has come before.
    fn make_way(&self, until: Ms) -> Option<Slot> {
        loop {
            let seen = self.slots.changes();
            let lacks = match self.regular_slot() {
                Ok(slot) => {
                    *lock(&self.crowded_since) = None;
                    return Some(slot);
                }
                Err(lacks) => lacks,
            };
            let now = now_ms();
            if self.evict_idle(&self.clients) {
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
            if now >= patience_ends.min(until) {
                if self.slots.take_spare() {
                    return Some(self.slot(SlotKind::Spare, self.limits.account.owe(CONNECTION_BYTES)));
                }
                self.evict_idle(&self.turned_away);
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

/// What a newcomer waits for.
enum Lacks {
    Slot,
    Memory(Account),
}

impl Connection {
    fn new(socket: Socket, clients: &Table, slot: Slot) -> Arc<Self> {
        Arc::new_cyclic(|connection| {
            let number = lock(clients).insert(connection.clone(), now_ms());
            Connection {
                socket,
                number,
                clients: clients.clone(),
                ended: Semphore::new(0),
                passed: Mutex::new(None),
                account: slot.memory.account().clone(),
                slots: slot.slots.clone(),
                kind: slot.kind,
                slot: Mutex::new(Some(slot)),
            }
        })
    }

    /// A request was taken on the connection: it keeps its slot until [`Connection::closed`].
    pub fn opened(&self) {
        lock(&self.clients).opened(self.number);
    }

    /// A request on it has come to its end.
    pub fn closed(&self) {
        if lock(&self.clients).closed(self.number, now_ms()) {
            self.ended.post();
        }
        if lock(&self.clients).leave(self.number) {
            // What came meanwhile is read and answered by its reader, which ends after that.
            self.socket.shut(Shutdown::Read);
        }
        self.slots.note_change();
    }

    /// Keeps the slot while a request is looked at and answered.
    pub fn keep(&self) -> Kept<'_> {
        self.opened();
        Kept(self)
    }

    /// Whether it was let in only to be told that there is no room for it.
    pub fn is_turned_away(&self) -> bool {
        self.kind == SlotKind::Spare
    }

    /// Waits until a request has come to its end on the connection, which is drained, or for that long.
    pub fn wait_for_an_end(&self, within: Duration) {
        self.ended.wait_timeout(within);
    }

    /// Where what is read on the connection counts.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Writes an answer.
    pub fn answer(&self, bytes: &[u8]) -> std::io::Result<()> {
        self.socket.write(bytes)?;
        lock(&self.clients).answered(self.number, now_ms());
        Ok(())
    }

    /// Ends what is owed under that number, with these bytes or, where nobody waits any more, with none. `settle` strikes
    /// it out, and tells whether it was still owed; what is `held` for it is given back after, whichever process writes.
    pub fn end(&self, seqid: i32, bytes: Vec<u8>, settle: impl FnOnce() -> bool, held: impl Send + 'static) {
        // Not while the connection passes on: what is owed goes with it or is ended, never neither or both.
        let passed = lock(&self.passed);
        if !settle() {
            return;
        }
        if let Some(passed) = &*passed {
            return passed.end(seqid, bytes, Box::new(held));
        }
        if !bytes.is_empty() {
            // A client that can't be written to is seen by the reading side of its connection.
            let _ = self.answer(&bytes);
        }
        drop(passed);
        self.closed();
    }

    /// Passes the connection on, unless an answer is being written; told by its reader, which has read whole messages
    /// only and reads no more once it is true.
    pub fn pass(&self, passage: &Passage, owed: impl FnOnce() -> Vec<i32>) -> bool {
        let Ok(mut passed) = self.passed.try_lock() else { return false };
        if !passage.is_open() || !lock(&self.clients).hand_over(self.number) {
            return false;
        }
        let ours = self.socket.duplicate().ok().and_then(|stream| passage.pass(stream, owed()));
        if ours.is_none() {
            // It is left as any other.
            self.shut(Shutdown::Read);
            return false;
        }
        *passed = ours;
        lock(&self.clients).remove(self.number);
        drop(lock(&self.slot).take());
        true
    }

    /// Whether it is to be closed once nothing is owed on it.
    pub fn is_draining(&self) -> bool {
        lock(&self.clients).is_draining(self.number)
    }

    /// Whether its reader was told so: from then on an end of what is read tells nothing of the client.
    pub fn is_shut(&self) -> bool {
        lock(&self.clients).is_shut(self.number)
    }

    /// Whether another waits for its place, so that what has not come whole is not waited for.
    pub fn is_evicted(&self) -> bool {
        lock(&self.clients).is_evicted(self.number)
    }

    /// Lets the client read the last answer: a connection closed over bytes that were not read is reset, and
    /// the answer may be lost with it. `within` is for each wait, and [`LINGER_WAITS`] times that for all.
    pub fn linger(&self, within: Duration) {
        self.shut(Shutdown::Write);
        let end = now_ms() + (within * LINGER_WAITS).as_secs_f64() * 1000.0;
        let (mut chunk, mut left) = ([0; 1024], LINGER_BYTES);
        while let Ok(size @ 1..) = self.read(&mut chunk, within) {
            left = left.saturating_sub(size);
            if left == 0 || now_ms() > end {
                return;
            }
        }
    }

    /// What the connection is waiting for, and since when.
    pub fn state(&self) -> (ClientState, Ms) {
        lock(&self.clients).state(self.number)
    }
}

impl Deref for Connection {
    type Target = Socket;

    fn deref(&self) -> &Socket {
        &self.socket
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.clients).remove(self.number);
    }
}

/// A request that is being looked at on a connection.
pub struct Kept<'a>(&'a Connection);

impl Drop for Kept<'_> {
    fn drop(&mut self) {
        self.0.closed();
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum SlotKind {
    Regular,
    /// Beyond the limit: what is asked on the connection is refused.
    Spare,
}

/// A client's slot and memory, given back however its task ends.
struct Slot {
    slots: Arc<Slots>,
    kind: SlotKind,
    memory: Reservation,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.give_back(self.kind);
    }
}

#[cfg(test)]
mod tests;
