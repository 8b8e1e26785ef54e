//! Control nodes, followers, their disks and their network in one thread, under one seed.
mod checks;
mod controls;
mod followers;
mod network;
mod planted;
mod troubles;

use super::checker::{Checker, Origin, Violation};
use super::{TestRecord, TestStore};
use corkbay_feed::{
    BatchNumber, ChangeOrder, ConnectionNumber, ControlChoice, ControlMessage, ControlNode, Feed, FeedAction,
    FeedCounters, FeedLimits, FeedRecord, Follower, FollowerAction, FollowerLimits, FollowerMessage,
    GreaterRecord, Ms, Position, Records, SessionNumber,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// Time in the simulation, in microseconds.
pub type Time = u64;
pub const MS: Time = 1000;
pub const SECOND: Time = 1000 * MS;
const CONNECT_TIMEOUT: Time = 500 * MS;
const MESH_INTERVAL: Time = 300 * MS;
/// Bytes before each message.
const FRAME_HEAD: usize = 8;

/// Faults that are built in to see that the checker finds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    /// A follower whose position was compacted is sent on without the changes that were forgotten.
    SkipsAtCompaction,
    /// All control nodes count under one incarnation.
    OneNumbering,
    /// A batch is told as persisted before it is written.
    AcknowledgesEarly,
    /// A follower takes every record that isn't the one it holds, be it older.
    TakesOlder,
}

/// What a simulation begins with.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub planted: Planted,
    pub controls: usize,
    pub followers: usize,
    pub limits: FeedLimits,
    pub follower_limits: FollowerLimits,
    /// What control nodes hold, and what followers hold.
    pub content: TestStore,
    pub kept: TestStore,
    /// Until when there are troubles and changes.
    pub troubled_until: Time,
}

/// What came about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Course {
    pub crashes: u64,
    pub torn: u64,
    pub stops: u64,
    pub cuts: u64,
    pub breaks: u64,
    pub writes: u64,
    pub batches: u64,
    /// How long it took all to hold the same once the troubles were over.
    pub equal_after: Time,
    /// How long it took a change to be in force while a control node was away.
    pub in_force_after: Time,
    pub most_idle_pair: u64,
    pub most_idle_bytes: u64,
    pub feed: FeedCounters,
}

struct TestOrder {
    takes_older: bool,
}

impl ChangeOrder<TestRecord> for TestOrder {
    fn supersedes(&self, incoming: &TestRecord, held: Option<&TestRecord>) -> bool {
        let takes_older = self.takes_older && held.is_some_and(|held| incoming.order(held).is_lt());
        takes_older || GreaterRecord.supersedes(incoming, held)
    }

    fn next_version(&self, held: Option<&TestRecord>) -> u64 {
        GreaterRecord.next_version(held)
    }
}

#[derive(Default)]
struct Process {
    is_up: bool,
    life: u64,
    stopped_until: Time,
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
    claim: Option<(Position, Origin)>,
}

struct Disk {
    store: TestStore,
    claim: Option<(Position, Origin)>,
    writes: VecDeque<Write>,
    is_slow: bool,
}

struct FollowerNode {
    machine: Follower<TestRecord, TestOrder>,
    /// What it sees of its records, where that is ahead of the disk.
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
    lives: [u64; 2],
    origin: Origin,
    is_closed: [bool; 2],
    /// When the last message to each end arrives: the next one comes behind it.
    arrival: [Time; 2],
    skips: bool,
}

/// What passed between a follower and control nodes.
#[derive(Clone, Copy, Default)]
struct IdleTraffic {
    /// Bytes of the largest heartbeat.
    heartbeat: u64,
    /// Bytes of the largest answer to one.
    answer: u64,
    /// Bytes of all messages.
    all: u64,
    /// Whether anything else was said.
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
    Wake { node: usize, life: u64 },
    Start { node: usize },
    Message { connection: usize, end: usize, message: Message },
    Written { follower: usize, life: u64 },
    Merge { control: usize, record: TestRecord },
    Mesh,
    Trouble,
    Change,
}

/// Nodes are numbered with the control nodes first.
pub struct World {
    plan: Plan,
    rng: SmallRng,
    pub now: Time,
    events: BTreeMap<(Time, u64), Event>,
    scheduled: u64,
    processes: Vec<Process>,
    controls: Vec<Control>,
    followers: Vec<FollowerNode>,
    connections: Vec<Connection>,
    checker: Checker,
    course: Course,
    /// Bytes of records in differences, with the times at which they were sent.
    pub differences: Vec<(Time, usize)>,
    pub most_copies: usize,
    /// What each follower has to do with while nothing changes; nothing while that isn't counted.
    idle: Option<Vec<IdleTraffic>>,
}

type Checked = Result<(), Violation>;

impl World {
    pub fn new(plan: Plan) -> Self {
        let mut world = World {
            rng: SmallRng::seed_from_u64(plan.seed),
            now: 0,
            events: BTreeMap::new(),
            scheduled: 0,
            processes: (0..plan.controls + plan.followers).map(|_| Process::default()).collect(),
            controls: Vec::new(),
            followers: Vec::new(),
            connections: Vec::new(),
            checker: Checker::new(plan.followers),
            course: Course::default(),
            differences: Vec::new(),
            most_copies: 0,
            idle: None,
            plan,
        };
        for _ in 0..world.plan.controls {
            let store = world.plan.content.clone();
            let control = world.control(store);
            world.controls.push(control);
        }
        for follower in 0..world.plan.followers {
            let is_slow = world.is_troubled() && world.rng.random_bool(0.1);
            let store = world.plan.kept.clone();
            let disk = Disk { store, claim: None, writes: VecDeque::new(), is_slow };
            let machine = world.machine(follower, None);
            world.followers.push(FollowerNode { machine, view: None, disk, connection: None });
        }
        for node in 0..world.processes.len() {
            world.schedule(0, Event::Start { node });
        }
        if world.is_troubled() {
            world.schedule(0, Event::Change);
            world.schedule(SECOND, Event::Trouble);
        }
        world.schedule(0, Event::Mesh);
        world
    }

    pub fn course(&self) -> Course {
        let mut course = self.course;
        for control in &self.controls {
            add(&mut course.feed, control.feed.counters());
        }
        course
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

    fn is_troubled(&self) -> bool {
        self.now < self.plan.troubled_until
    }

    fn control(&mut self, store: TestStore) -> Control {
        let start = match self.plan.planted {
            Planted::OneNumbering => Position { incarnation: 7, revision: 0 },
            _ => Position::start(&mut self.rng),
        };
        let origin = self.checker.started(&store);
        Control { feed: Feed::new(self.plan.limits.clone(), start, self.now_ms()), store, origin }
    }

    fn machine(&self, follower: usize, position: Option<Position>) -> Follower<TestRecord, TestOrder> {
        let order = TestOrder { takes_older: self.plan.planted == Planted::TakesOlder };
        let limits = self.plan.follower_limits.clone();
        Follower::new(&name(follower), limits, self.choice(follower), order, position)
    }

    /// The choice of a follower that has not tried any control node yet.
    fn choice(&self, follower: usize) -> ControlChoice {
        let zone = |number: usize| format!("zone-{}", number % 2);
        let address = |number: usize| format!("127.0.0.1:{}", 7000 + number);
        let nodes = 0..self.plan.controls;
        let controls: Vec<ControlNode> =
            nodes.map(|number| ControlNode { address: address(number), zone: Some(zone(number)) }).collect();
        ControlChoice::new(&name(follower), Some(&zone(follower)), &controls).expect("has control nodes")
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// A node that has been stopped meets with what happened once it goes on.
    fn postponed_until(&self, event: &Event) -> Option<Time> {
        let node = match event {
            Event::Wake { node, .. } => *node,
            Event::Message { connection, end, .. } => self.node_at(*connection, *end),
            Event::Written { follower, .. } => self.plan.controls + follower,
            Event::Merge { control, .. } => *control,
            _ => return None,
        };
        let until = self.processes[node].stopped_until;
        (until > self.now).then_some(until)
    }

    fn handle(&mut self, event: Event) -> Checked {
        match event {
            Event::Start { node } => self.start(node),
            Event::Wake { node, life } if self.lives(node, life) => {
                self.processes[node].wakes_at = None;
                self.tick(node)
            }
            Event::Message { connection, end, message } => self.deliver(connection, end, message),
            Event::Written { follower, life } if self.lives(self.plan.controls + follower, life) => {
                self.written(follower)
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
            Event::Change if self.is_troubled() => {
                let control = self.rng.random_range(0..self.plan.controls);
                if self.runs(control) {
                    self.change(control);
                }
                let next = self.now + self.rng.random_range(0..150 * MS);
                self.schedule(next, Event::Change);
                Ok(())
            }
            Event::Trouble if self.is_troubled() => {
                let next = self.now + self.rng.random_range(0..600 * MS);
                self.schedule(next, Event::Trouble);
                self.trouble()
            }
            _ => Ok(()),
        }
    }

    fn lives(&self, node: usize, life: u64) -> bool {
        self.processes[node].is_up && self.processes[node].life == life
    }

    fn runs(&self, node: usize) -> bool {
        self.processes[node].is_up && self.processes[node].stopped_until <= self.now
    }

    fn start(&mut self, node: usize) -> Checked {
        let process = &mut self.processes[node];
        if std::mem::replace(&mut process.is_up, true) {
            return Ok(());
        }
        process.life += 1;
        process.wakes_at = None;
        if node < self.plan.controls {
            let counters = self.controls[node].feed.counters();
            add(&mut self.course.feed, counters);
            let store = std::mem::take(&mut self.controls[node].store);
            self.controls[node] = self.control(store);
            return Ok(());
        }
        let follower = node - self.plan.controls;
        let claim = self.followers[follower].disk.claim;
        self.checker.restarted(follower, claim.map(|(position, origin)| (origin, position.revision)));
        if let Some((position, origin)) = claim {
            let disk = &self.followers[follower].disk.store;
            self.checker.claimed(follower, origin, position.revision, disk)?;
        }
        self.followers[follower].machine = self.machine(follower, claim.map(|claim| claim.0));
        self.followers[follower].connection = None;
        // Half of the daemons show a record before it lasts.
        let shows_early = self.plan.planted == Planted::AcknowledgesEarly || self.rng.random_bool(0.5);
        self.followers[follower].view = shows_early.then(|| self.followers[follower].disk.store.clone());
        self.tick(node)
    }

    fn tick(&mut self, node: usize) -> Checked {
        let now = self.now_ms();
        if node < self.plan.controls {
            let control = &mut self.controls[node];
            control.feed.tick(&control.store, now);
            return self.act_control(node);
        }
        let follower = node - self.plan.controls;
        self.followers[follower].machine.tick(now, &mut self.rng);
        self.act_follower(follower)
    }

    fn wake(&mut self, node: usize, at: Option<Ms>) {
        let Some(at) = at else { return };
        let at = ((at * MS as Ms).ceil().max(0.0) as Time).max(self.now + 1);
        let process = &mut self.processes[node];
        if process.wakes_at.is_none_or(|earlier| at < earlier) {
            process.wakes_at = Some(at);
            let life = process.life;
            self.schedule(at, Event::Wake { node, life });
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
}
