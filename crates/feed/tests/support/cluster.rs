//! Simulates control nodes, followers, their disks and their network in one thread, from one seed.
mod checks;
mod controls;
mod faults;
mod followers;
mod injected_fault;
mod network;

use super::checker::{Checker, Origin, Violation};
use super::{TestRecord, TestStore};
use corkbay_feed::{
    BatchNumber, ChangeOrder, ConnectionNumber, ControlChoice, ControlMessage, ControlNode, Feed, FeedAction,
    FeedCounters, FeedLimits, FeedRecord, Follower, FollowerAction, FollowerLimits, FollowerMessage,
    GreaterRecord, LeftOutRecords, Ms, Position, Progress, ProgressUpdate, Records, SessionNumber,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// Simulated time, in microseconds.
pub type Time = u64;
pub const MS: Time = 1000;
pub const SECOND: Time = 1000 * MS;
const CONNECT_TIMEOUT: Time = 500 * MS;
const MESH_INTERVAL: Time = 300 * MS;
/// Size of the frame header before each message.
const FRAME_HEADER_BYTES: usize = 8;

/// Protocol faults injected to test that the checker detects them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    /// A follower whose position was compacted resumes without the changes that dropped out of the history.
    SkipsAtCompaction,
    /// All control nodes use the same incarnation.
    SharedIncarnation,
    /// A batch is reported as persisted before it is written.
    AcknowledgesBeforeSync,
    /// A follower accepts older records in place of the ones it holds.
    AcceptsOlderRecords,
    /// The progress on disk doesn't tell that records were left out.
    ForgetsLeftOutRecords,
    /// A full follower writes none of the records of a batch if it has no room for one of them.
    RejectsWholeBatches,
}

/// The configuration of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub seed: u64,
    pub injected_fault: InjectedFault,
    pub controls: usize,
    pub followers: usize,
    pub limits: FeedLimits,
    pub follower_limits: FollowerLimits,
    /// The initial records of the control nodes.
    pub control_records: TestStore,
    /// The initial records of the followers.
    pub follower_records: TestStore,
    /// How many bytes of records each follower has room for; followers beyond the end of the list have no limit.
    pub follower_caps: Vec<Option<usize>>,
    /// When the injection of random faults and changes ends.
    pub faults_until: Time,
}

/// The outcome of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SimulationOutcome {
    pub crashes: u64,
    pub torn_writes: u64,
    pub pauses: u64,
    pub partitions: u64,
    pub broken_connections: u64,
    pub writes: u64,
    /// Records that followers left out for want of room.
    pub left_out: u64,
    pub batches: u64,
    /// How long it took all nodes to converge once the injection of faults had ended.
    pub converged_after: Time,
    /// How long a change took to reach all followers while a control node was unavailable.
    pub propagated_after: Time,
    pub max_idle_pair_bytes: u64,
    pub max_idle_bytes: u64,
    pub feed: FeedCounters,
}

struct TestOrder {
    accepts_older: bool,
}

impl ChangeOrder<TestRecord> for TestOrder {
    fn supersedes(&self, incoming: &TestRecord, held: Option<&TestRecord>) -> bool {
        let accepts_older = self.accepts_older && held.is_some_and(|held| incoming.order(held).is_lt());
        accepts_older || GreaterRecord.supersedes(incoming, held)
    }

    fn next_version(&self, held: Option<&TestRecord>) -> u64 {
        GreaterRecord.next_version(held)
    }
}

#[derive(Default)]
struct Process {
    is_up: bool,
    generation: u64,
    paused_until: Time,
    isolated_until: Time,
    wakes_at: Option<Time>,
}

struct Control {
    feed: Feed<TestRecord>,
    store: TestStore,
    origin: Origin,
}

struct Write {
    batch: BatchNumber,
    records: Vec<TestRecord>,
    update: ProgressUpdate,
    origin: Origin,
}

struct Disk {
    store: TestStore,
    /// How many bytes of records there is room for; `None` if there is no limit.
    cap: Option<usize>,
    progress: Option<(Progress, Origin)>,
    writes: VecDeque<Write>,
    is_slow: bool,
}

struct FollowerNode {
    state_machine: Follower<TestRecord, TestOrder>,
    /// The records visible to the follower, if they may be ahead of the disk.
    view: Option<TestStore>,
    disk: Disk,
    connection: Option<usize>,
}

/// The ends of a connection, as indices.
const AT_FOLLOWER: usize = 0;
const AT_CONTROL: usize = 1;

struct Connection {
    number: ConnectionNumber,
    follower: usize,
    control: usize,
    process_generations: [u64; 2],
    origin: Origin,
    is_closed: [bool; 2],
    /// When the last message to each end arrives; the next one must arrive later, to keep the order.
    arrival: [Time; 2],
    skips: bool,
}

/// The traffic between a follower and control nodes while nothing changes.
#[derive(Clone, Copy, Default)]
struct IdleTraffic {
    /// Size of the largest heartbeat, in bytes.
    heartbeat: u64,
    /// Size of the largest answer to a heartbeat, in bytes.
    answer: u64,
    /// Total size of all messages, in bytes.
    all: u64,
    /// Whether other messages than heartbeats and their answers were sent.
    has_others: bool,
}

#[derive(Clone)]
enum Message {
    Opened,
    Closed,
    ToControl(FollowerMessage),
    ToFollower(ControlMessage<TestRecord>),
}

enum Event {
    Wake { node: usize, generation: u64 },
    Start { node: usize },
    Message { connection: usize, end: usize, message: Message },
    Written { follower: usize, generation: u64 },
    Merge { control: usize, record: TestRecord },
    Mesh,
    Fault,
    Change,
}

/// A simulated cluster. Nodes are numbered with the control nodes first.
pub struct SimulatedCluster {
    config: SimulationConfig,
    rng: SmallRng,
    pub now: Time,
    events: BTreeMap<(Time, u64), Event>,
    scheduled: u64,
    processes: Vec<Process>,
    controls: Vec<Control>,
    followers: Vec<FollowerNode>,
    connections: Vec<Connection>,
    checker: Checker,
    outcome: SimulationOutcome,
    /// When each difference page was sent, and the size of its records in bytes.
    pub differences: Vec<(Time, usize)>,
    pub max_running_copies: usize,
    /// The idle traffic of each follower; `None` while it isn't measured.
    idle: Option<Vec<IdleTraffic>>,
}

type Checked = Result<(), Violation>;

impl SimulatedCluster {
    pub fn new(config: SimulationConfig) -> Self {
        let mut cluster = SimulatedCluster {
            rng: SmallRng::seed_from_u64(config.seed),
            now: 0,
            events: BTreeMap::new(),
            scheduled: 0,
            processes: (0..config.controls + config.followers).map(|_| Process::default()).collect(),
            controls: Vec::new(),
            followers: Vec::new(),
            connections: Vec::new(),
            checker: Checker::new(config.followers),
            outcome: SimulationOutcome::default(),
            differences: Vec::new(),
            max_running_copies: 0,
            idle: None,
            config,
        };
        for _ in 0..cluster.config.controls {
            let store = cluster.config.control_records.clone();
            let control = cluster.control(store);
            cluster.controls.push(control);
        }
        for follower in 0..cluster.config.followers {
            let is_slow = cluster.injects_faults() && cluster.rng.random_bool(0.1);
            let store = cluster.config.follower_records.clone();
            let cap = cluster.config.follower_caps.get(follower).copied().flatten();
            let disk = Disk { store, cap, progress: None, writes: VecDeque::new(), is_slow };
            let state_machine = cluster.state_machine(follower, None);
            cluster.followers.push(FollowerNode { state_machine, view: None, disk, connection: None });
        }
        for node in 0..cluster.processes.len() {
            cluster.schedule(0, Event::Start { node });
        }
        if cluster.injects_faults() {
            cluster.schedule(0, Event::Change);
            cluster.schedule(SECOND, Event::Fault);
        }
        cluster.schedule(0, Event::Mesh);
        cluster
    }

    pub fn outcome(&self) -> SimulationOutcome {
        let mut outcome = self.outcome;
        for control in &self.controls {
            add(&mut outcome.feed, control.feed.counters());
        }
        outcome
    }

    pub fn run_until(&mut self, end: Time) -> Checked {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let (at, number) = *entry.key();
            let event = entry.remove();
            self.now = at;
            match self.postponed_until(&event) {
                Some(later) => _ = self.events.insert((later, number), event),
                None => self.handle(event)?,
            }
        }
        self.now = end;
        Ok(())
    }

    fn now_ms(&self) -> Ms {
        self.now as Ms / MS as Ms
    }

    fn injects_faults(&self) -> bool {
        self.now < self.config.faults_until
    }

    fn control(&mut self, store: TestStore) -> Control {
        let start = match self.config.injected_fault {
            InjectedFault::SharedIncarnation => Position { incarnation: 7, revision: 0 },
            _ => Position::start(&mut self.rng),
        };
        let origin = self.checker.register_process(&store);
        Control { feed: Feed::new(self.config.limits.clone(), start, self.now_ms()), store, origin }
    }

    fn state_machine(&self, follower: usize, progress: Option<Progress>) -> Follower<TestRecord, TestOrder> {
        let order =
            TestOrder { accepts_older: self.config.injected_fault == InjectedFault::AcceptsOlderRecords };
        let limits = self.config.follower_limits.clone();
        Follower::new(&name(follower), limits, self.choice(follower), order, progress)
    }

    /// The ranking of control nodes for a follower that hasn't tried any of them yet.
    fn choice(&self, follower: usize) -> ControlChoice {
        let zone = |number: usize| format!("zone-{}", number % 2);
        let address = |number: usize| format!("127.0.0.1:{}", 7000 + number);
        let nodes = 0..self.config.controls;
        let controls: Vec<ControlNode> =
            nodes.map(|number| ControlNode { address: address(number), zone: Some(zone(number)) }).collect();
        ControlChoice::new(&name(follower), Some(&zone(follower)), &controls).expect("has control nodes")
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// When a paused node resumes and handles the event; `None` if its node isn't paused.
    fn postponed_until(&self, event: &Event) -> Option<Time> {
        let node = match event {
            Event::Wake { node, .. } => *node,
            Event::Message { connection, end, .. } => self.node_at(*connection, *end),
            Event::Written { follower, .. } => self.config.controls + follower,
            Event::Merge { control, .. } => *control,
            _ => return None,
        };
        let until = self.processes[node].paused_until;
        (until > self.now).then_some(until)
    }

    fn handle(&mut self, event: Event) -> Checked {
        match event {
            Event::Start { node } => self.start(node),
            Event::Wake { node, generation } if self.is_alive(node, generation) => {
                self.processes[node].wakes_at = None;
                self.tick(node)
            }
            Event::Message { connection, end, message } => self.deliver(connection, end, message),
            Event::Written { follower, generation }
                if self.is_alive(self.config.controls + follower, generation) =>
            {
                self.finish_write(follower)
            }
            Event::Merge { control, record } if self.processes[control].is_up => {
                self.merge(control, record);
                Ok(())
            }
            Event::Mesh => {
                self.mesh();
                self.schedule(self.now + MESH_INTERVAL, Event::Mesh);
                Ok(())
            }
            Event::Change if self.injects_faults() => {
                let control = self.rng.random_range(0..self.config.controls);
                if self.is_running(control) {
                    self.change(control);
                }
                let next = self.now + self.rng.random_range(0..150 * MS);
                self.schedule(next, Event::Change);
                Ok(())
            }
            Event::Fault if self.injects_faults() => {
                let next = self.now + self.rng.random_range(0..600 * MS);
                self.schedule(next, Event::Fault);
                self.inject_random_fault()
            }
            _ => Ok(()),
        }
    }

    fn is_alive(&self, node: usize, generation: u64) -> bool {
        self.processes[node].is_up && self.processes[node].generation == generation
    }

    fn is_running(&self, node: usize) -> bool {
        self.processes[node].is_up && self.processes[node].paused_until <= self.now
    }

    fn start(&mut self, node: usize) -> Checked {
        let process = &mut self.processes[node];
        if std::mem::replace(&mut process.is_up, true) {
            return Ok(());
        }
        process.generation += 1;
        process.wakes_at = None;
        if node < self.config.controls {
            let counters = self.controls[node].feed.counters();
            add(&mut self.outcome.feed, counters);
            let store = std::mem::take(&mut self.controls[node].store);
            self.controls[node] = self.control(store);
            return Ok(());
        }
        let follower = node - self.config.controls;
        let on_disk = self.followers[follower].disk.progress;
        self.checker
            .record_restart(follower, on_disk.map(|(progress, origin)| (origin, progress.position.revision)));
        if let Some((progress, origin)) = on_disk {
            let disk = &self.followers[follower].disk.store;
            self.checker.check_progress(follower, origin, &progress, disk)?;
        }
        self.followers[follower].state_machine =
            self.state_machine(follower, on_disk.map(|(progress, _)| progress));
        self.followers[follower].connection = None;
        // Half of the followers see a record before it is on disk.
        let shows_early =
            self.config.injected_fault == InjectedFault::AcknowledgesBeforeSync || self.rng.random_bool(0.5);
        let shows_early = shows_early && self.followers[follower].disk.cap.is_none();
        self.followers[follower].view = shows_early.then(|| self.followers[follower].disk.store.clone());
        self.tick(node)
    }

    fn tick(&mut self, node: usize) -> Checked {
        let now = self.now_ms();
        if node < self.config.controls {
            let control = &mut self.controls[node];
            control.feed.tick(&control.store, now);
            return self.run_control_actions(node);
        }
        let follower = node - self.config.controls;
        self.followers[follower].state_machine.tick(now, &mut self.rng);
        self.run_follower_actions(follower)
    }

    fn wake(&mut self, node: usize, at: Option<Ms>) {
        let Some(at) = at else { return };
        let at = ((at * MS as Ms).ceil().max(0.0) as Time).max(self.now + 1);
        let process = &mut self.processes[node];
        if process.wakes_at.is_none_or(|earlier| at < earlier) {
            process.wakes_at = Some(at);
            let generation = process.generation;
            self.schedule(at, Event::Wake { node, generation });
        }
    }
}

fn name(follower: usize) -> String {
    format!("invoker-{follower}")
}

fn add(sum: &mut FeedCounters, more: FeedCounters) {
    sum.resumes += more.resumes;
    sum.comparisons += more.comparisons;
    sum.differences += more.differences;
    sum.copies += more.copies;
    sum.difference_bytes += more.difference_bytes;
    sum.changes += more.changes;
    sum.busy += more.busy;
    sum.compacted += more.compacted;
    sum.repairs += more.repairs;
    sum.repair_bytes += more.repair_bytes;
}
