//! A follower's side of the feed.
use super::records::ConfigurationRecords;
use crate::core::lock;
use crate::core::monotonic_ms;
use crate::life::spawn;
use crate::memory::log::LogError;
use crate::memory::record::{Record, Text};
use crate::memory::store::{Store, StoreError};
use crate::timers;
use crate::wire::framing::{self, FramingError, Head, Received, MAX_MESSAGE};
use crate::wire::index::{RecordIndex, Scope};
use crate::wire::news::{News, OnNews};
use crate::wire::socket::Socket;
use corkbay::Ms;
use corkbay_feed::{
    BatchNumber, ConnectionNumber, ControlChoice, ControlMessage, ControlNode, ControlNumber, Follower,
    FollowerAction, FollowerLimits, FollowerMessage, FollowerState, FollowerStatus, GreaterRecord,
    NoControlNodes, Position,
};
use corkbay_ledger::{Account, Purpose};
use may::sync::{mpsc, Mutex};
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Where the position is kept.
const POSITION_KEY: &str = "local/feed-position";
/// Where the last page of a copy that is not complete is noted.
const PAGE_KEY: &str = "local/feed-page";
/// How long the control node may send or take nothing of a message that has begun.
const STALL: Duration = Duration::from_secs(3);
/// Pauses after writes that failed, one after the other: the first in milliseconds, doubled up to the longest.
const FIRST_WRITE_PAUSE_MS: Ms = 500.0;
const LONGEST_WRITE_PAUSE_MS: Ms = 10_000.0;
/// Longest wait without a look at whether the follower is to end.
const LONGEST_WAIT_MS: Ms = 500.0;

/// A control node as a follower knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlAddress {
    /// Where it serves its feed.
    pub address: SocketAddr,
    /// Its zone, where that is known.
    pub zone: Option<String>,
    /// Where its invoke API listens, where that is known.
    pub api: Option<SocketAddr>,
}

/// Whom to follow.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowOptions {
    /// The follower's own zone, where that is known.
    pub zone: Option<String>,
    /// The control nodes.
    pub controls: Vec<ControlAddress>,
    /// After one to three times so long at another than its first choice, a follower tries that again, in milliseconds.
    pub return_ms: Ms,
}

/// What a follower has done since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Connections made.
    pub connections: u64,
    /// Comparisons with a control node: it could not go on from the position.
    pub comparisons: u64,
    /// Records that came in differences, which are what those comparisons led to.
    pub copied_records: u64,
    /// Records that came as changes.
    pub changed_records: u64,
    /// Batches that could not be kept.
    pub failed_writes: u64,
    /// Bytes of messages received.
    pub received_bytes: u64,
    /// Bytes of messages sent.
    pub sent_bytes: u64,
}

/// How a follower stands.
#[derive(Clone, Debug)]
pub struct FollowerReport {
    /// The address of the control node that it has to do with.
    pub control: Option<SocketAddr>,
    /// What it is about.
    pub state: FollowerState,
    /// What it holds on disk.
    pub position: Option<Position>,
    /// How many milliseconds ago the control node was last heard.
    pub silent_ms: Option<Ms>,
    /// What was done.
    pub counters: FollowerCounters,
}

impl FollowerReport {
    /// Whether it has had a whole copy of the configuration, now or before it was started.
    pub fn is_ready(&self) -> bool {
        self.position.is_some()
    }
}

/// A running follower, which ends with the last handle.
pub struct FollowerHandle {
    shared: Arc<Shared>,
    controls: Vec<ControlAddress>,
}

struct Shared {
    published: Mutex<Published>,
    is_ended: AtomicBool,
}

struct Published {
    status: FollowerStatus,
    counters: FollowerCounters,
}

impl FollowerHandle {
    /// How it stands.
    pub fn report(&self) -> FollowerReport {
        let published = lock(&self.shared.published);
        let FollowerStatus { state, position, last_heard } = published.status.clone();
        let control = state.control().map(|ControlNumber(number)| self.controls[number].address);
        let silent_ms = last_heard.map(|at| monotonic_ms() - at);
        FollowerReport { control, state, position, silent_ms, counters: published.counters }
    }

    /// Where the configuration can be changed: the invoke API of the control node that it follows, or of another one.
    pub fn control_api(&self) -> Option<SocketAddr> {
        let state = lock(&self.shared.published).status.state;
        let followed = state.control().and_then(|ControlNumber(number)| self.controls[number].api);
        followed.or_else(|| self.controls.iter().find_map(|control| control.api))
    }
}

impl Drop for FollowerHandle {
    fn drop(&mut self) {
        self.shared.is_ended.store(true, Ordering::Release);
    }
}

/// The disk holds configuration that did not come over the feed: it would stand beside that of the control nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("holds functions or workers of another role; a follower starts with an empty data_dir")]
pub struct OtherConfiguration;

/// Whether a node with this store can follow: all configuration that it holds came over the feed, which notes so beside it.
///
/// # Errors
/// [`OtherConfiguration`] where it holds any without such a note.
pub fn check_store(store: &Store) -> Result<(), OtherConfiguration> {
    let is_noted = [POSITION_KEY, PAGE_KEY].iter().any(|key| store.get(key).is_some());
    if is_noted || store.configuration_after(None, 1).is_empty() {
        return Ok(());
    }
    Err(OtherConfiguration)
}

/// Follows control nodes for as long as the handle lives: keeps what comes in the store, and tells of it.
///
/// # Errors
/// [`NoControlNodes`] where there is nobody to follow.
pub fn follow(
    store: Arc<Store>,
    options: FollowOptions,
    on_news: OnNews,
) -> Result<FollowerHandle, NoControlNodes> {
    let nodes: Vec<ControlNode> = options.controls.iter().map(control_node).collect();
    let choice = ControlChoice::new(store.node(), options.zone.as_deref(), &nodes)?;
    let position = stored_position(&store);
    let limits = FollowerLimits { return_ms: options.return_ms, ..FollowerLimits::default() };
    let follower = Follower::new(store.node(), limits, choice, GreaterRecord, position);
    let (index, changes) = RecordIndex::of_store(Scope::Configuration, &store);
    let published = Published { status: follower.status(), counters: FollowerCounters::default() };
    let shared = Arc::new(Shared { published: Mutex::new(published), is_ended: AtomicBool::new(false) });
    let task = Task {
        store,
        controls: options.controls.clone(),
        follower,
        index,
        changes,
        connection: None,
        write_pause_ms: FIRST_WRITE_PAUSE_MS,
        counters: FollowerCounters::default(),
        on_news,
        shared: shared.clone(),
    };
    spawn(move || task.run());
    Ok(FollowerHandle { shared, controls: options.controls })
}

fn control_node(control: &ControlAddress) -> ControlNode {
    ControlNode { address: control.address.to_string(), zone: control.zone.clone() }
}

fn stored_position(store: &Store) -> Option<Position> {
    let text = store.get(POSITION_KEY)?.value?;
    text.read().inspect_err(|error| tracing::warn!(%error, "feed: the position on disk")).ok()
}

/// A connection to a control node.
struct ControlConnection {
    number: ConnectionNumber,
    socket: Socket,
}

/// What the follower's coroutine owns.
struct Task {
    store: Arc<Store>,
    controls: Vec<ControlAddress>,
    follower: Follower<Record, GreaterRecord>,
    index: RecordIndex,
    /// Records that the index has not seen.
    changes: mpsc::Receiver<Record>,
    connection: Option<ControlConnection>,
    /// How long to pause after the next write that fails.
    write_pause_ms: Ms,
    counters: FollowerCounters,
    on_news: OnNews,
    shared: Arc<Shared>,
}

impl Task {
    fn run(mut self) {
        while !self.shared.is_ended.load(Ordering::Acquire) {
            self.follower.tick(monotonic_ms(), &mut rand::rng());
            self.perform_all();
            self.publish();
            self.wait();
        }
    }

    /// Does what is to be done, and what that leads to.
    fn perform_all(&mut self) {
        loop {
            let actions = self.follower.actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.perform(action);
            }
        }
    }

    fn perform(&mut self, action: FollowerAction<Record>) {
        match action {
            FollowerAction::Connect { connection, control } => self.connect(connection, control),
            FollowerAction::Send { connection, message } => self.send(connection, &message),
            FollowerAction::Disconnect { connection } => self.disconnect(connection),
            FollowerAction::Persist { batch, records, position } => self.persist(batch, records, position),
        }
    }

    fn connect(&mut self, number: ConnectionNumber, ControlNumber(control): ControlNumber) {
        let address = self.controls[control].address;
        let within = Duration::from_secs_f64(FollowerLimits::default().connect_ms / 1000.0);
        match Socket::connect(&address, within, STALL) {
            Ok(socket) => {
                self.counters.connections += 1;
                self.connection = Some(ControlConnection { number, socket });
                self.note_changes();
                let records = ConfigurationRecords { store: &self.store, index: &self.index };
                self.follower.connected(number, &records, monotonic_ms());
            }
            Err(error) => {
                tracing::debug!(%address, %error, "feed: a control node");
                self.follower.disconnected(number, monotonic_ms(), &mut rand::rng());
            }
        }
    }

    fn send(&mut self, number: ConnectionNumber, message: &FollowerMessage) {
        let Some(connection) = self.connection.as_ref().filter(|standing| standing.number == number) else {
            return;
        };
        if matches!(message, FollowerMessage::Buckets { .. }) {
            self.counters.comparisons += 1;
        }
        match framing::send(self.account(), &mut connection.socket.patient(STALL), message) {
            Ok(bytes) => self.counters.sent_bytes += bytes as u64,
            Err(error) => self.lose(number, &error),
        }
    }

    fn disconnect(&mut self, number: ConnectionNumber) {
        if let Some(connection) = self.connection.take_if(|standing| standing.number == number) {
            connection.socket.shut(Shutdown::Both);
        }
    }

    /// The connection is of no use any more.
    fn lose(&mut self, number: ConnectionNumber, error: &FramingError) {
        if !error.is_closed() {
            tracing::warn!(%error, "feed: the connection to a control node");
        }
        self.disconnect(number);
        self.follower.disconnected(number, monotonic_ms(), &mut rand::rng());
    }

    fn persist(&mut self, batch: BatchNumber, records: Vec<Record>, position: Option<Position>) {
        let news = News::of(&records);
        match self.write(batch, records, position) {
            Ok(count) => {
                self.write_pause_ms = FIRST_WRITE_PAUSE_MS;
                if count > 0 && news.workers {
                    (self.on_news)(news);
                }
                self.note_changes();
                let records = ConfigurationRecords { store: &self.store, index: &self.index };
                self.follower.persisted(batch, &records, monotonic_ms());
            }
            Err(error) => {
                tracing::error!(%error, "feed: what came can't be kept");
                self.counters.failed_writes += 1;
                self.pause_writes();
                self.follower.persist_failed(monotonic_ms(), &mut rand::rng());
            }
        }
    }

    /// Leaves the control nodes alone for a while: what can't be kept now would only be sent again.
    fn pause_writes(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.socket.shut(Shutdown::Both);
        }
        self.publish();
        timers::sleep(Duration::from_secs_f64(self.write_pause_ms / 1000.0));
        self.write_pause_ms = (2.0 * self.write_pause_ms).min(LONGEST_WRITE_PAUSE_MS);
    }

    /// Keeps records and, behind them, how far they lead.
    fn write(
        &self,
        BatchNumber(batch): BatchNumber,
        records: Vec<Record>,
        position: Option<Position>,
    ) -> Result<usize, StoreError> {
        let (key, note) = match position {
            Some(position) => (POSITION_KEY, Text::of(&position)),
            None => (PAGE_KEY, Text::of(&batch)),
        };
        let note = note.map_err(|error| LogError::Io(error.to_string()))?;
        self.store.merge_with_note(records, key, note)
    }

    fn note_changes(&mut self) {
        let index = &mut self.index;
        self.changes.try_iter().for_each(|record| index.note(&record));
    }

    /// Waits for a message, or until something is due.
    fn wait(&mut self) {
        let due_in = (self.follower.next_wakeup() - monotonic_ms()).clamp(1.0, LONGEST_WAIT_MS);
        let within = Duration::from_secs_f64(due_in / 1000.0);
        let Some(connection) = &self.connection else {
            timers::sleep(within);
            return;
        };
        let number = connection.number;
        match receive(self.account(), &connection.socket, within) {
            Ok(None) => {}
            Ok(Some(received)) => self.take(number, received),
            Err(error) => self.lose(number, &error),
        }
    }

    fn take(&mut self, number: ConnectionNumber, received: Received<ControlMessage<Record>>) {
        self.counters.received_bytes += received.bytes as u64;
        match &received.message {
            ControlMessage::Changes { records, .. } => self.counters.changed_records += records.len() as u64,
            ControlMessage::Difference { records, .. } => {
                self.counters.copied_records += records.len() as u64;
            }
            _ => {}
        }
        self.note_changes();
        let records = ConfigurationRecords { store: &self.store, index: &self.index };
        self.follower.message(number, received.message, &records, monotonic_ms(), &mut rand::rng());
    }

    fn publish(&self) {
        let mut published = lock(&self.shared.published);
        published.status = self.follower.status();
        published.counters = self.counters;
    }

    fn account(&self) -> &Account {
        self.store.ledger().account(Purpose::Replication)
    }
}

/// The next message, if one begins in that time.
fn receive(
    account: &Account,
    socket: &Socket,
    within: Duration,
) -> Result<Option<Received<ControlMessage<Record>>>, FramingError> {
    let mut head = Head::default();
    let begun = match socket.read(&mut head, within) {
        Ok(0) => return Err(io::Error::from(ErrorKind::UnexpectedEof).into()),
        Ok(size) => size,
        Err(error) if error.kind() == ErrorKind::TimedOut => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let mut rest = socket.patient(STALL);
    rest.read_exact(&mut head[begun..])?;
    framing::receive_after(account, &mut rest, head, MAX_MESSAGE).map(Some)
}
