//! The follower's side of the feed: receives configuration from a control node and stores it.
use super::records::ConfigurationRecords;
use crate::core::lock;
use crate::core::monotonic_ms;
use crate::lifecycle::spawn;
use crate::state::log::LogError;
use crate::state::record::{Record, Text};
use crate::state::store::{Store, StoreError};
use crate::timers;
use crate::wire::framing::{self, FramingError, Head, Received, MAX_MESSAGE};
use crate::wire::record_changes::{OnRecordChanges, RecordChanges};
use crate::wire::record_index::{RecordIndex, Scope};
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

/// Key of the stored feed position.
const POSITION_KEY: &str = "local/feed-position";
/// Key of the last stored page of an incomplete copy.
const PAGE_KEY: &str = "local/feed-page";
/// A message fails if the control node sends or accepts no bytes for this long after it has begun.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pauses after consecutive failed writes, in milliseconds: the first one, doubled each time up to the maximum.
const FIRST_WRITE_PAUSE_MS: Ms = 500.0;
const MAX_WRITE_PAUSE_MS: Ms = 10_000.0;
/// Maximum wait before the follower checks whether it has been stopped, in milliseconds.
const MAX_WAIT_MS: Ms = 500.0;

/// A control node as a follower knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlAddress {
    /// Address of its feed.
    pub address: SocketAddr,
    /// Its zone, if known.
    pub zone: Option<String>,
    /// Address of its invoke API, if known.
    pub api: Option<SocketAddr>,
}

/// The control nodes to follow and how to choose between them.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowOptions {
    /// The follower's own zone, if known.
    pub zone: Option<String>,
    /// The control nodes.
    pub controls: Vec<ControlAddress>,
    /// A follower that is connected to another control node than its first choice tries that again after one to three times
    /// this time, in milliseconds.
    pub return_ms: Ms,
}

/// Counters of a follower since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Connections established.
    pub connections: u64,
    /// Comparisons with a control node, needed where the feed could not be resumed from the stored position.
    pub comparisons: u64,
    /// Records received as differences, which are the results of comparisons.
    pub copied_records: u64,
    /// Records received as changes.
    pub changed_records: u64,
    /// Batches that could not be written.
    pub failed_writes: u64,
    /// Bytes of messages received.
    pub received_bytes: u64,
    /// Bytes of messages sent.
    pub sent_bytes: u64,
}

/// The state of a follower.
#[derive(Clone, Debug)]
pub struct FollowerReport {
    /// The address of the control node that it is connected or connecting to.
    pub control: Option<SocketAddr>,
    /// The state of the feed protocol.
    pub state: FollowerState,
    /// The stored position.
    pub position: Option<Position>,
    /// Number of changes of the control node that are not on disk, as far as it has told.
    pub behind: Option<u64>,
    /// Time since the last message from the control node, in milliseconds.
    pub silent_ms: Option<Ms>,
    /// Counters since the start.
    pub counters: FollowerCounters,
}

impl FollowerReport {
    /// Whether it holds a complete copy of the configuration, received by this or an earlier process.
    pub fn is_ready(&self) -> bool {
        self.position.is_some()
    }
}

/// Handle to a running follower. Dropping it stops the follower.
pub struct FollowerHandle {
    shared: Arc<SharedState>,
    controls: Vec<ControlAddress>,
}

struct SharedState {
    published: Mutex<PublishedState>,
    is_stopped: AtomicBool,
}

struct PublishedState {
    status: FollowerStatus,
    counters: FollowerCounters,
}

impl FollowerHandle {
    /// The current state.
    pub fn report(&self) -> FollowerReport {
        let published = lock(&self.shared.published);
        let behind = published.status.behind();
        let FollowerStatus { state, position, last_heard, .. } = published.status.clone();
        let control = state.control().map(|ControlNumber(number)| self.controls[number].address);
        let silent_ms = last_heard.map(|at| monotonic_ms() - at);
        FollowerReport { control, state, position, behind, silent_ms, counters: published.counters }
    }

    /// The address where configuration can be changed: the invoke API of the followed control node, or else of another one.
    pub fn control_api(&self) -> Option<SocketAddr> {
        let state = lock(&self.shared.published).status.state;
        let followed = state.control().and_then(|ControlNumber(number)| self.controls[number].api);
        followed.or_else(|| self.controls.iter().find_map(|control| control.api))
    }
}

impl Drop for FollowerHandle {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Release);
    }
}

/// The store holds configuration that was not received over the feed and would be mixed with that of the control nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("holds functions or workers of another role; a follower starts with an empty data_dir")]
pub struct OtherConfiguration;

/// Checks that a node with this store can follow: configuration received over the feed is stored together with a position or
/// page number.
///
/// # Errors
/// [`OtherConfiguration`] if the store holds configuration without either.
pub fn check_store(store: &Store) -> Result<(), OtherConfiguration> {
    let is_from_feed = [POSITION_KEY, PAGE_KEY].iter().any(|key| store.get(key).is_some());
    if is_from_feed || store.configuration_after(None, 1).is_empty() {
        return Ok(());
    }
    Err(OtherConfiguration)
}

/// Follows control nodes for as long as the handle lives: stores received records and reports changes to `on_record_changes`.
///
/// # Errors
/// [`NoControlNodes`] if `options` names no control node.
pub fn follow(
    store: Arc<Store>,
    options: FollowOptions,
    on_record_changes: OnRecordChanges,
) -> Result<FollowerHandle, NoControlNodes> {
    let nodes: Vec<ControlNode> = options.controls.iter().map(control_node).collect();
    let choice = ControlChoice::new(store.node(), options.zone.as_deref(), &nodes)?;
    let position = stored_position(&store);
    let limits = FollowerLimits { return_ms: options.return_ms, ..FollowerLimits::default() };
    let follower = Follower::new(store.node(), limits, choice, GreaterRecord, position);
    let (index, changes) = RecordIndex::of_store(Scope::Configuration, &store);
    let published = PublishedState { status: follower.status(), counters: FollowerCounters::default() };
    let shared =
        Arc::new(SharedState { published: Mutex::new(published), is_stopped: AtomicBool::new(false) });
    let task = FollowerTask {
        store,
        controls: options.controls.clone(),
        follower,
        index,
        changes,
        connection: None,
        write_pause_ms: FIRST_WRITE_PAUSE_MS,
        counters: FollowerCounters::default(),
        on_record_changes,
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

/// The state of the follower's coroutine.
struct FollowerTask {
    store: Arc<Store>,
    controls: Vec<ControlAddress>,
    follower: Follower<Record, GreaterRecord>,
    index: RecordIndex,
    /// Records that the index does not include yet.
    changes: mpsc::Receiver<Record>,
    connection: Option<ControlConnection>,
    /// Pause after the next failed write, in milliseconds.
    write_pause_ms: Ms,
    counters: FollowerCounters,
    on_record_changes: OnRecordChanges,
    shared: Arc<SharedState>,
}

impl FollowerTask {
    fn run(mut self) {
        while !self.shared.is_stopped.load(Ordering::Acquire) {
            self.follower.tick(monotonic_ms(), &mut rand::rng());
            self.perform_all();
            self.publish();
            self.wait();
        }
    }

    /// Performs all pending actions, and those that result from them.
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
        match Socket::connect(&address, within, STALL_TIMEOUT) {
            Ok(socket) => {
                self.counters.connections += 1;
                self.connection = Some(ControlConnection { number, socket });
                self.update_index();
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
        let Some(connection) = self.connection.as_ref().filter(|connection| connection.number == number)
        else {
            return;
        };
        if matches!(message, FollowerMessage::Buckets { .. }) {
            self.counters.comparisons += 1;
        }
        match framing::send(self.account(), &mut connection.socket.with_read_timeout(STALL_TIMEOUT), message)
        {
            Ok(bytes) => self.counters.sent_bytes += bytes as u64,
            Err(error) => self.close_failed(number, &error),
        }
    }

    fn disconnect(&mut self, number: ConnectionNumber) {
        if let Some(connection) = self.connection.take_if(|connection| connection.number == number) {
            connection.socket.shut(Shutdown::Both);
        }
    }

    /// Closes a connection after an error.
    fn close_failed(&mut self, number: ConnectionNumber, error: &FramingError) {
        if !error.is_closed() {
            tracing::warn!(%error, "feed: the connection to a control node");
        }
        self.disconnect(number);
        self.follower.disconnected(number, monotonic_ms(), &mut rand::rng());
    }

    fn persist(&mut self, batch: BatchNumber, records: Vec<Record>, position: Option<Position>) {
        let changes = RecordChanges::of(&records, &self.store);
        match self.write(batch, records, position) {
            Ok(count) => {
                self.write_pause_ms = FIRST_WRITE_PAUSE_MS;
                if count > 0 && changes.workers {
                    (self.on_record_changes)(changes);
                }
                self.update_index();
                let records = ConfigurationRecords { store: &self.store, index: &self.index };
                self.follower.persisted(batch, &records, monotonic_ms());
            }
            Err(error) => {
                let behind = self.follower.status().behind();
                tracing::error!(%error, behind, "feed: what came can't be kept");
                self.counters.failed_writes += 1;
                self.pause_writes();
                self.follower.persist_failed(monotonic_ms(), &mut rand::rng());
            }
        }
    }

    /// Disconnects and pauses: records that can't be written now would only be sent again.
    fn pause_writes(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.socket.shut(Shutdown::Both);
        }
        self.publish();
        timers::sleep(Duration::from_secs_f64(self.write_pause_ms / 1000.0));
        self.write_pause_ms = (2.0 * self.write_pause_ms).min(MAX_WRITE_PAUSE_MS);
    }

    /// Writes records and, after them, the position or page that they lead to.
    fn write(
        &self,
        BatchNumber(batch): BatchNumber,
        records: Vec<Record>,
        position: Option<Position>,
    ) -> Result<usize, StoreError> {
        let (key, progress) = match position {
            Some(position) => (POSITION_KEY, Text::of(&position)),
            None => (PAGE_KEY, Text::of(&batch)),
        };
        let progress = progress.map_err(|error| LogError::Io(error.to_string()))?;
        self.store.merge_with_note(records, key, progress)
    }

    fn update_index(&mut self) {
        let index = &mut self.index;
        self.changes.try_iter().for_each(|record| index.note(&record));
    }

    /// Waits for a message or until the next timer of the protocol is due.
    fn wait(&mut self) {
        let due_in = (self.follower.next_wakeup() - monotonic_ms()).clamp(1.0, MAX_WAIT_MS);
        let within = Duration::from_secs_f64(due_in / 1000.0);
        let Some(connection) = &self.connection else {
            timers::sleep(within);
            return;
        };
        let number = connection.number;
        match receive(self.account(), &connection.socket, within) {
            Ok(None) => {}
            Ok(Some(received)) => self.handle_message(number, received),
            Err(error) => self.close_failed(number, &error),
        }
    }

    fn handle_message(&mut self, number: ConnectionNumber, received: Received<ControlMessage<Record>>) {
        self.counters.received_bytes += received.bytes as u64;
        match &received.message {
            ControlMessage::Changes { records, .. } => self.counters.changed_records += records.len() as u64,
            ControlMessage::Difference { records, .. } => {
                self.counters.copied_records += records.len() as u64;
            }
            _ => {}
        }
        self.update_index();
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

/// Receives the next message; `None` if none begins within `within`.
fn receive(
    account: &Account,
    socket: &Socket,
    within: Duration,
) -> Result<Option<Received<ControlMessage<Record>>>, FramingError> {
    let mut head = Head::default();
    let head_bytes = match socket.read(&mut head, within) {
        Ok(0) => return Err(io::Error::from(ErrorKind::UnexpectedEof).into()),
        Ok(size) => size,
        Err(error) if error.kind() == ErrorKind::TimedOut => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let mut reader = socket.with_read_timeout(STALL_TIMEOUT);
    reader.read_exact(&mut head[head_bytes..])?;
    framing::receive_after(account, &mut reader, head, MAX_MESSAGE).map(Some)
}
