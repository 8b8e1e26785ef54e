//! A control node's side of the feed.
use super::records::ConfigurationRecords;
use super::session::Session;
use crate::core::{lock, monotonic_ms, UnixTime};
use crate::life::spawn;
use crate::memory::record::Record;
use crate::memory::store::Store;
use crate::timers;
use crate::wire::accept::{Acceptor, Connection, ConnectionLimits};
use crate::wire::framing::{self, FramingError};
use crate::wire::index::{RecordIndex, Scope};
use corkbay::Ms;
use corkbay_feed::{
    CloseReason, Feed, FeedAction, FeedCounters, FeedLimits, FollowerLag, FollowerMessage, Position,
    SessionNumber,
};
use corkbay_ledger::{Account, Purpose};
use may::sync::{mpsc, Mutex};
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::Duration;

/// How long a follower may take nothing of a message.
pub const WRITE_STALL: Duration = Duration::from_secs(5);
/// Longest silence on a connection that the decisions have not closed by then.
const READ_STALL: Duration = Duration::from_secs(10);
/// Longest text of a follower's message: the hashes of its buckets.
const MOST_FOLLOWER_MESSAGE: usize = 8 << 10;
/// Connections beyond the most followers, so that these can be told to go elsewhere.
const SPARE_CONNECTIONS: usize = 16;
/// Longest time between two looks for what is due.
const TICK: Duration = Duration::from_millis(100);
/// The part of the account of replication that the records of one message may take.
const MESSAGE_PART: usize = 16;
/// A change is to be in force at every follower by then.
const LAGGARD_MS: Ms = 6000.0;
/// Most laggards that are named.
const MOST_LAGGARDS: usize = 16;

/// Listens for so many followers.
pub fn open(address: SocketAddr, store: &Store, followers: usize) -> io::Result<Arc<Acceptor>> {
    let account = store.ledger().account(Purpose::Replication).clone();
    let most = followers + SPARE_CONNECTIONS;
    Acceptor::open(address, ConnectionLimits { most, stall: WRITE_STALL, account })
}

/// Serves the configuration of a store to followers for as long as the process lives.
pub fn serve(store: Arc<Store>, limits: FeedLimits, acceptor: Arc<Acceptor>) -> Arc<FeedServer> {
    let (server, changes) = FeedServer::new(store, limits);
    let ticking = server.clone();
    spawn(move || ticking.follow_changes(&changes));
    let accepting = server.clone();
    spawn(move || acceptor.accept(move |connection| accepting.serve(connection)));
    server
}

/// What a control node tells of its feed.
#[derive(Clone, Debug)]
pub struct FeedReport {
    /// The position after the last change.
    pub position: Position,
    /// Followers that are connected.
    pub followers: usize,
    /// The one that is the most changes behind.
    pub oldest: Option<FollowerLag>,
    /// Those that have been behind for longer than a change may take: how many.
    pub laggards: usize,
    /// Some of these.
    pub named_laggards: Vec<FollowerLag>,
    /// Bytes sent to followers.
    pub sent_bytes: u64,
    /// Bytes received from them.
    pub received_bytes: u64,
    /// Copies that are being made.
    pub copies_running: usize,
    /// Followers that wait for a copy.
    pub copies_waiting: usize,
    /// What was done since the start.
    pub counters: FeedCounters,
}

/// The feed of one store.
pub struct FeedServer {
    store: Arc<Store>,
    state: Mutex<State>,
    next_session: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

struct State {
    feed: Feed<Record>,
    index: RecordIndex,
    sessions: HashMap<SessionNumber, Arc<Session>>,
}

impl FeedServer {
    fn new(store: Arc<Store>, limits: FeedLimits) -> (Arc<Self>, mpsc::Receiver<Record>) {
        let most_page = store.ledger().account(Purpose::Replication).cap() / MESSAGE_PART;
        let page_bytes = limits.page_bytes.min(most_page);
        let window_bytes = limits.window_bytes.min(most_page);
        let limits = FeedLimits { page_bytes, window_bytes, ..limits };
        let (index, changes) = RecordIndex::of_store(Scope::Configuration, &store);
        let feed = Feed::new(limits, Position::start(&mut rand::rng()), monotonic_ms());
        let server = FeedServer {
            store,
            state: Mutex::new(State { feed, index, sessions: HashMap::new() }),
            next_session: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
        };
        (Arc::new(server), changes)
    }

    /// How it stands.
    pub fn report(&self) -> FeedReport {
        let now = monotonic_ms();
        let state = lock(&self.state);
        let followers = state.feed.followers(now);
        let oldest = followers.iter().max_by_key(|lag| lag.behind).cloned();
        let is_laggard = |lag: &&FollowerLag| lag.behind_ms > LAGGARD_MS;
        let laggards = followers.iter().filter(is_laggard);
        let (copies_running, copies_waiting) = state.feed.copies();
        FeedReport {
            position: state.feed.position(),
            followers: followers.len(),
            oldest,
            laggards: laggards.clone().count(),
            named_laggards: laggards.take(MOST_LAGGARDS).cloned().collect(),
            sent_bytes: self.sent_bytes.load(Relaxed),
            received_bytes: self.received_bytes.load(Relaxed),
            copies_running,
            copies_waiting,
            counters: state.feed.counters(),
        }
    }

    /// Sends what changes, and does what is due, for as long as the store lives.
    fn follow_changes(self: &Arc<Self>, changes: &mpsc::Receiver<Record>) {
        let mut wait = TICK;
        loop {
            let first = match timers::receive(changes, wait) {
                Ok(record) => Some(record),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let now = monotonic_ms();
            let mut state = lock(&self.state);
            for record in first.into_iter().chain(changes.try_iter()) {
                state.note(&record, now);
            }
            state.index.expire(UnixTime::steady());
            let State { feed, index, .. } = &mut *state;
            feed.tick(&ConfigurationRecords { store: &self.store, index }, now);
            let next = state.feed.next_wakeup().unwrap_or(Ms::MAX);
            self.perform(&mut state);
            drop(state);
            let until_next = (next - now).clamp(1.0, TICK.as_secs_f64() * 1000.0);
            wait = Duration::from_secs_f64(until_next / 1000.0);
        }
    }

    /// The life of a follower's connection.
    fn serve(self: &Arc<Self>, connection: Arc<Connection>) {
        // It keeps its place while it says nothing.
        connection.opened();
        let number = SessionNumber(self.next_session.fetch_add(1, Relaxed));
        let session = Arc::new(Session::new(connection.clone()));
        {
            let mut state = lock(&self.state);
            state.sessions.insert(number, session);
            state.feed.connected(number, monotonic_ms());
            self.perform(&mut state);
        }
        let end = self.read(number, &connection);
        if let Err(error) = end.as_ref().map_err(|error| (error.is_closed(), error)) {
            let (is_closed, error) = error;
            if !is_closed {
                tracing::warn!(%error, "feed: a follower's connection");
            }
        }
        {
            let mut state = lock(&self.state);
            state.feed.disconnected(number);
            state.sessions.remove(&number);
        }
        connection.shut(Shutdown::Both);
    }

    /// Reads what a follower says until it leaves.
    fn read(self: &Arc<Self>, number: SessionNumber, connection: &Connection) -> Result<(), FramingError> {
        loop {
            let mut socket = connection.patient(READ_STALL);
            let received =
                framing::receive::<FollowerMessage>(self.account(), &mut socket, MOST_FOLLOWER_MESSAGE)?;
            self.received_bytes.fetch_add(received.bytes as u64, Relaxed);
            let mut state = lock(&self.state);
            let State { feed, index, .. } = &mut *state;
            let records = ConfigurationRecords { store: &self.store, index };
            feed.message(number, received.message, &records, monotonic_ms());
            self.perform(&mut state);
        }
    }

    /// Hands out what is to be done, in order; what is written is written by others.
    fn perform(self: &Arc<Self>, state: &mut State) {
        for action in state.feed.actions() {
            match action {
                FeedAction::Send { session, message } => {
                    let Some(session) = state.sessions.get(&session) else { continue };
                    if session.queue(message) {
                        self.start_writer(session);
                    }
                }
                FeedAction::Close { session, reason } => {
                    if !matches!(reason, CloseReason::Busy | CloseReason::Replaced) {
                        tracing::warn!(?reason, "feed: a follower is let go");
                    }
                    let Some(session) = state.sessions.remove(&session) else { continue };
                    if session.queue_close(reason) {
                        self.start_writer(&session);
                    }
                }
            }
        }
    }

    fn start_writer(self: &Arc<Self>, session: &Arc<Session>) {
        let (server, session) = (self.clone(), session.clone());
        spawn(move || match session.write_queued(server.account()) {
            Ok(bytes) => _ = server.sent_bytes.fetch_add(bytes, Relaxed),
            Err(error) => {
                tracing::warn!(%error, "feed: a follower can't be written to");
                session.end();
            }
        });
    }

    fn account(&self) -> &Account {
        self.store.ledger().account(Purpose::Replication)
    }
}

impl State {
    /// Takes in a record that newly stands.
    fn note(&mut self, record: &Record, now: Ms) {
        if !Scope::Configuration.contains(&record.key) {
            return;
        }
        self.index.note(record);
        self.feed.changed(&record.key, now);
    }
}
