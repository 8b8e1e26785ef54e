//! Accepting connections within a budget of descriptors.
use super::passage::{Passage, Passed};
use super::socket::Socket;
use crate::core::{lock, now_ms};
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
/// How long a newcomer waits for a place before another connection is asked to give way.
const GIVE_WAY: Duration = Duration::from_millis(100);

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
    /// Given back when it is passed on, or last, after the descriptor.
    place: Mutex<Option<Place>>,
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

/// The connections that are taken, and how many may be.
struct Places {
    taken: Mutex<usize>,
    most: AtomicUsize,
    freed: Condvar,
}

impl Places {
    fn is_full(&self, taken: usize) -> bool {
        taken >= self.most.load(Ordering::Acquire)
    }

    /// Takes a place if one is free.
    fn take(&self) -> bool {
        let mut taken = lock(&self.taken);
        let free = !self.is_full(*taken);
        *taken += usize::from(free);
        free
    }

    /// Waits until a place may be free, for that long at most.
    fn wait(&self, within: Duration) {
        let taken = lock(&self.taken);
        if self.is_full(*taken) {
            let _ = self.freed.wait_timeout(taken, within);
        }
    }
}

/// One address with the connections that came there.
pub struct Acceptor {
    listener: TcpListener,
    limits: ConnectionLimits,
    clients: Table,
    places: Arc<Places>,
    closed: AtomicBool,
    /// What becomes of a client.
    serve: OnceLock<Serve>,
}

type Serve = Arc<dyn Fn(Arc<Connection>) + Send + Sync>;

impl Acceptor {
    /// Listens at an address; others of the same user may listen there, too.
    pub fn open(address: SocketAddr, limits: ConnectionLimits) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let (taken, most, freed) = (Mutex::new(0), AtomicUsize::new(limits.most.max(1)), Condvar::new());
        Ok(Arc::new(Acceptor {
            listener,
            limits,
            clients: Table::default(),
            places: Arc::new(Places { taken, most, freed }),
            closed: AtomicBool::new(false),
            serve: OnceLock::new(),
        }))
    }

    /// The address that it listens at.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts clients until it is closed. When all places or the room for them are taken, a newcomer gets that of a
    /// client that is owed nothing: the silent go first.
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

    /// Serves a client, once there is a place for it until then.
    fn let_in(&self, socket: Socket, serve: &Serve, until: Ms) -> std::io::Result<()> {
        let place = self.make_way(until).ok_or(ErrorKind::TimedOut)?;
        let (connection, serve) = (Connection::new(socket, &self.clients, place), serve.clone());
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
        let idle: Vec<_> = lock(&self.clients).drain();
        idle.iter().filter_map(Weak::upgrade).for_each(|connection| connection.socket.shut(Shutdown::Read));
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

    /// Takes over a connection that was accepted elsewhere, whether there is a place for it or not: its client was let
    /// in.
    pub fn take_over(&self, stream: TcpStream) -> std::io::Result<Arc<Connection>> {
        let socket = Socket::adopt(stream, self.limits.stall)?;
        *lock(&self.places.taken) += 1;
        let place = Place { places: self.places.clone(), held: self.limits.account.owe(CONNECTION_BYTES) };
        let connection = Connection::new(socket, &self.clients, place);
        lock(&self.clients).answered(connection.number, now_ms());
        Ok(connection)
    }

    /// Connections that are held.
    pub fn held(&self) -> usize {
        *lock(&self.places.taken)
    }

    /// Holds so many connections at most from now on; those beyond that give way as far as they are owed nothing.
    pub fn set_most(&self, most: usize) {
        self.places.most.store(most.max(1), Ordering::Release);
        (most..self.held()).for_each(|_| self.give_way());
    }

    fn give_way(&self) {
        let leaver = lock(&self.clients).evict_idle().and_then(|leaver| leaver.upgrade());
        if let Some(leaver) = leaver {
            leaver.socket.shut(Shutdown::Read);
        }
    }

    /// A place for a newcomer, taken from another where none is free; none where that time has come before.
    fn make_way(&self, until: Ms) -> Option<Place> {
        while !self.places.take() {
            if now_ms() >= until {
                return None;
            }
            self.give_way();
            self.places.wait(GIVE_WAY);
        }
        // Given back with it, should there be no room.
        let mut place = Place { places: self.places.clone(), held: self.limits.account.nothing() };
        while let Err(full) = place.held.resize(CONNECTION_BYTES) {
            if now_ms() >= until {
                return None;
            }
            self.give_way();
            wait(&full.account, CONNECTION_BYTES, GIVE_WAY.as_secs_f64() * 1000.0);
        }
        Some(place)
    }
}

impl Connection {
    fn new(socket: Socket, clients: &Table, place: Place) -> Arc<Self> {
        Arc::new_cyclic(|connection| {
            let number = lock(clients).insert(connection.clone(), now_ms());
            let (account, place) = (place.held.account().clone(), Mutex::new(Some(place)));
            let (ended, passed) = (Semphore::new(0), Mutex::new(None));
            Connection { socket, number, clients: clients.clone(), ended, passed, account, place }
        })
    }

    /// A request was taken on the connection: it keeps its place until [`Connection::closed`].
    pub fn opened(&self) {
        lock(&self.clients).opened(self.number);
    }

    /// A request on it has come to its end.
    pub fn closed(&self) {
        if lock(&self.clients).closed(self.number, now_ms()) {
            self.ended.post();
        }
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
        drop(lock(&self.place).take());
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

/// A client's place, given back however its task ends.
struct Place {
    places: Arc<Places>,
    held: Reservation,
}

impl Drop for Place {
    fn drop(&mut self) {
        *lock(&self.places.taken) -= 1;
        self.places.freed.notify_all();
    }
}

#[cfg(test)]
mod tests;
