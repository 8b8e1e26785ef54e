//! The control node's side of the feed: serves configuration and its changes to followers.
use super::records::ConfigurationRecords;
use super::session::Session;
use crate::core::{lock, monotonic_ms, peer_lines, UnixTime};
use crate::lifecycle::spawn;
use crate::state::record::Record;
use crate::state::store::Store;
use crate::timers;
use crate::wire::accept::{Acceptor, Connection, ConnectionLimits};
use crate::wire::framing::{self, FramingError};
use crate::wire::record_index::{RecordIndex, Scope};
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

/// A write fails if the follower accepts no bytes for this long.
pub const WRITE_STALL: Duration = Duration::from_secs(5);
/// Read timeout of a connection. The protocol logic normally closes silent connections earlier.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a message from a follower; the largest one holds its bucket hashes.
const MAX_FOLLOWER_MESSAGE_BYTES: usize = 8 << 10;
/// Connections beyond the maximum number of followers, so that further followers can be told to use another control node.
const SPARE_CONNECTIONS: usize = 16;
/// Maximum time between two checks for due timers.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The records of one message may take one part in this many of the cap of the replication account.
const MESSAGE_SHARE_DIVISOR: usize = 16;
/// A follower that has been behind for longer than this is a laggard: every change should be applied by then.
const LAGGARD_THRESHOLD_MS: Ms = 6000.0;
/// Maximum number of laggards listed in a report.
const MAX_NAMED_LAGGARDS: usize = 16;

/// Opens the feed listener for the given maximum number of followers.
pub fn open(address: SocketAddr, store: &Store, followers: usize) -> io::Result<Arc<Acceptor>> {
    let account = store.ledger().account(Purpose::Replication).clone();
    let most = followers + SPARE_CONNECTIONS;
    Acceptor::open(address, ConnectionLimits { max_connections: most, write_timeout: WRITE_STALL, account })
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

/// The state of a control node's feed.
#[derive(Clone, Debug)]
pub struct FeedReport {
    /// The position after the last change.
    pub position: Position,
    /// Number of connected followers.
    pub followers: usize,
    /// The follower that is the most changes behind.
    pub oldest: Option<FollowerLag>,
    /// Number of laggards: followers that have been behind for too long.
    pub laggards: usize,
    /// Some of the laggards.
    pub named_laggards: Vec<FollowerLag>,
    /// Number of followers that left out records for want of room.
    pub incomplete: usize,
    /// Bytes sent to followers.
    pub sent_bytes: u64,
    /// Bytes received from followers.
    pub received_bytes: u64,
    /// Number of running copies.
    pub copies_running: usize,
    /// Number of followers that wait for a copy.
    pub copies_waiting: usize,
    /// Counters since the start.
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
        let max_message_bytes = store.ledger().account(Purpose::Replication).cap() / MESSAGE_SHARE_DIVISOR;
        let page_bytes = limits.page_bytes.min(max_message_bytes);
        let window_bytes = limits.window_bytes.min(max_message_bytes);
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

    /// The current state.
    pub fn report(&self) -> FeedReport {
        let now = monotonic_ms();
        let state = lock(&self.state);
        let followers = state.feed.followers(now);
        let oldest = followers.iter().max_by_key(|lag| lag.behind).cloned();
        let is_laggard = |lag: &&FollowerLag| lag.behind_ms > LAGGARD_THRESHOLD_MS;
        let laggards = followers.iter().filter(is_laggard);
        let (copies_running, copies_waiting) = state.feed.copies();
        FeedReport {
            position: state.feed.position(),
            followers: followers.len(),
            oldest,
            laggards: laggards.clone().count(),
            incomplete: followers.iter().filter(|lag| lag.left_out_buckets > 0).count(),
            named_laggards: laggards.take(MAX_NAMED_LAGGARDS).cloned().collect(),
            sent_bytes: self.sent_bytes.load(Relaxed),
            received_bytes: self.received_bytes.load(Relaxed),
            copies_running,
            copies_waiting,
            counters: state.feed.counters(),
        }
    }

    /// Sends changes to followers and runs due timers for as long as the store lives.
    fn follow_changes(self: &Arc<Self>, changes: &mpsc::Receiver<Record>) {
        let mut wait = TICK_INTERVAL;
        loop {
            let first = match timers::receive(changes, wait) {
                Ok(record) => Some(record),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let now = monotonic_ms();
            let mut state = lock(&self.state);
            for record in first.into_iter().chain(changes.try_iter()) {
                state.apply_change(&record, now);
            }
            state.index.expire(UnixTime::steady());
            let State { feed, index, .. } = &mut *state;
            feed.tick(&ConfigurationRecords { store: &self.store, index }, now);
            let next = state.feed.next_wakeup().unwrap_or(Ms::MAX);
            self.perform(&mut state);
            drop(state);
            let until_next = (next - now).clamp(1.0, TICK_INTERVAL.as_secs_f64() * 1000.0);
            wait = Duration::from_secs_f64(until_next / 1000.0);
        }
    }

    /// Serves a follower's connection until it ends.
    fn serve(self: &Arc<Self>, connection: Arc<Connection>) {
        // Counted as busy for its lifetime, so that an idle follower is not evicted.
        connection.request_started();
        let number = SessionNumber(self.next_session.fetch_add(1, Relaxed));
        let session = Arc::new(Session::new(connection.clone()));
        {
            let mut state = lock(&self.state);
            state.sessions.insert(number, session);
            state.feed.connected(number, monotonic_ms());
            self.perform(&mut state);
        }
        let result = self.read_messages(number, &connection);
        if let Err(error) = result.as_ref().map_err(|error| (error.is_closed(), error)) {
            let (is_closed, error) = error;
            if !is_closed && peer_lines().take() {
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

    /// Reads and handles a follower's messages until the connection ends or fails.
    fn read_messages(
        self: &Arc<Self>,
        number: SessionNumber,
        connection: &Connection,
    ) -> Result<(), FramingError> {
        loop {
            let mut socket = connection.with_read_timeout(READ_TIMEOUT);
            let received =
                framing::receive::<FollowerMessage>(self.account(), &mut socket, MAX_FOLLOWER_MESSAGE_BYTES)?;
            self.received_bytes.fetch_add(received.bytes as u64, Relaxed);
            let mut state = lock(&self.state);
            let State { feed, index, .. } = &mut *state;
            let records = ConfigurationRecords { store: &self.store, index };
            feed.message(number, received.message, &records, monotonic_ms());
            self.perform(&mut state);
        }
    }

    /// Performs pending actions in order. Messages are only queued here; writer coroutines send them.
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
                    let is_usual = matches!(reason, CloseReason::Busy | CloseReason::Replaced);
                    if !is_usual && peer_lines().take() {
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
                if peer_lines().take() {
                    tracing::warn!(%error, "feed: a follower can't be written to");
                }
                session.end();
            }
        });
    }

    fn account(&self) -> &Account {
        self.store.ledger().account(Purpose::Replication)
    }
}

impl State {
    /// Updates the index and the feed with a changed record.
    fn apply_change(&mut self, record: &Record, now: Ms) {
        if !Scope::Configuration.contains(&record.key) {
            return;
        }
        self.index.note(record);
        self.feed.changed(&record.key, now);
    }
}
