//! The follower's side of the feed: receives configuration from a control node and stores it.
use super::progress::{left_out_records, stored_progress, write_batch};
use super::records::ConfigurationRecords;
use crate::core::lock;
use crate::core::monotonic_ms;
use crate::lifecycle::spawn;
use crate::state::record::Record;
use crate::state::store::{LeftOut, Store};
use crate::timers;
use crate::wire::framing::{self, FramingError, Head, Received, MAX_MESSAGE};
use crate::wire::left_out::log_left_out;
use crate::wire::record_changes::{OnRecordChanges, RecordChanges};
use crate::wire::record_index::{RecordIndex, Scope};
use crate::wire::socket::Socket;
use corkbay::Ms;
use corkbay_feed::{
    BatchNumber, BucketSet, ConnectionNumber, ControlChoice, ControlMessage, ControlNode, ControlNumber,
    Follower, FollowerAction, FollowerLimits, FollowerMessage, FollowerState, FollowerStatus, GreaterRecord,
    NoControlNodes, Position, Progress, ProgressUpdate,
};
use corkbay_ledger::{Account, Purpose};
use may::sync::{mpsc, Mutex};
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A message fails if the control node sends or accepts no bytes for this long after it has begun.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pauses after consecutive failed writes, in milliseconds: the first one, doubled each time up to the maximum, within which
/// a drain must be heard of.
const FIRST_WRITE_PAUSE_MS: Ms = 500.0;
const MAX_WRITE_PAUSE_MS: Ms = 2000.0;
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
    /// Batches that could not be written, or not completely.
    pub failed_writes: u64,
    /// Records that were left out for want of room, counted anew for each try.
    pub left_out_records: u64,
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
    /// The stored progress.
    pub progress: Option<Progress>,
    /// Number of changes of the control node that are not on disk, as far as it has told.
    pub behind: Option<u64>,
    /// Time since the last message from the control node, in milliseconds.
    pub silent_ms: Option<Ms>,
    /// Counters since the start.
    pub counters: FollowerCounters,
}

impl FollowerReport {
    /// Whether it has received a complete copy of the configuration, now or in an earlier process. Records may have been left
    /// out of it for want of room.
    pub fn is_ready(&self) -> bool {
        self.progress.is_some()
    }

    /// The stored position.
    pub fn position(&self) -> Option<Position> {
        self.progress.map(|progress| progress.position)
    }

    /// The buckets with records that were left out for want of room.
    pub fn left_out(&self) -> BucketSet {
        self.progress.map(|progress| progress.left_out).unwrap_or_default()
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
        let FollowerStatus { state, progress, last_heard, .. } = published.status.clone();
        let control = state.control().map(|ControlNumber(number)| self.controls[number].address);
        let silent_ms = last_heard.map(|at| monotonic_ms() - at);
        FollowerReport { control, state, progress, behind, silent_ms, counters: published.counters }
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
    let progress = stored_progress(&store);
    let limits = FollowerLimits { return_ms: options.return_ms, ..FollowerLimits::default() };
    let follower = Follower::new(store.node(), limits, choice, GreaterRecord, progress);
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
            self.request_left_out();
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
            FollowerAction::Persist { batch, records, update } => self.persist(batch, records, update),
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

    fn persist(&mut self, batch: BatchNumber, records: Vec<Record>, update: ProgressUpdate) {
        let changes = RecordChanges::of(&records, &self.store);
        match write_batch(&self.store, self.follower.progress(), batch, records, update) {
            Ok(merged) => {
                self.write_pause_ms = FIRST_WRITE_PAUSE_MS;
                if merged.new_records > 0 && changes.workers {
                    (self.on_record_changes)(changes);
                }
                self.update_index();
                let left_out = left_out_records(&merged.left_out);
                let records = ConfigurationRecords { store: &self.store, index: &self.index };
                self.follower.persisted(batch, left_out, &records, monotonic_ms());
                self.report_left_out(&merged.left_out);
            }
            Err(error) => {
                let behind = self.follower.status().behind();
                tracing::error!(%error, behind, "feed: what came can't be kept");
                self.counters.failed_writes += 1;
                if changes.workers {
                    (self.on_record_changes)(changes);
                }
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

    /// Counts and logs the records of a batch that were left out.
    fn report_left_out(&mut self, left_out: &[LeftOut]) {
        if !left_out.is_empty() {
            self.counters.failed_writes += 1;
            self.counters.left_out_records += left_out.len() as u64;
            log_left_out("feed", left_out);
        }
    }

    /// Requests records that were left out, if there is room by now.
    fn request_left_out(&mut self) {
        let room_bytes = self.store.ledger().account(Purpose::Catalog).free();
        let records = ConfigurationRecords { store: &self.store, index: &self.index };
        self.follower.report_room(room_bytes, &records, monotonic_ms());
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
