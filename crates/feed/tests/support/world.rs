//! Control nodes, followers, their disks and their network in one thread, under one seed.
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

    /// Whether all control nodes that run, and all followers, hold the same on disk.
    pub fn check_equal(&self) -> Checked {
        let content = &self.controls[0].store;
        if self.controls.iter().any(|control| control.store != *content) {
            return Err(Violation::MeshNotEqual);
        }
        let differs = |follower: &FollowerNode| follower.disk.store != *content;
        match self.followers.iter().position(differs) {
            Some(follower) => Err(Violation::NotEqual { follower }),
            None => Ok(()),
        }
    }

    /// Lets so much time pass in which nothing changes, and checks what is said in it.
    pub fn check_idle(&mut self, span: Time, most_pair: u64) -> Checked {
        self.idle = Some(vec![IdleTraffic::default(); self.plan.followers]);
        self.run_until(self.now + span)?;
        let idle = self.idle.take().unwrap_or_default();
        let most = most_pair * (span / (1500 * MS) + 1);
        for (follower, traffic) in idle.into_iter().enumerate() {
            let pair = traffic.heartbeat + traffic.answer;
            self.course.most_idle_pair = self.course.most_idle_pair.max(pair);
            self.course.most_idle_bytes = self.course.most_idle_bytes.max(traffic.all);
            if traffic.heartbeat == 0 || traffic.has_others || pair > most_pair || traffic.all > most {
                return Err(Violation::IdleTraffic { follower });
            }
        }
        Ok(())
    }

    /// Takes a control node away in the moment in which another changes a record, and checks that the change is in force.
    pub fn check_change_while_one_is_away(&mut self, span: Time) -> Checked {
        let away = self.rng.random_range(0..self.plan.controls);
        let writer = (away + self.rng.random_range(1..self.plan.controls)) % self.plan.controls;
        let until = self.now + 2 * span;
        match self.rng.random_range(0..3) {
            0 => self.crash(away, until)?,
            1 => self.processes[away].stopped_until = until,
            _ => self.processes[away].isolated_until = until,
        }
        let record = self.change(writer);
        self.run_until(self.now + span)?;
        let lacks =
            |node: &FollowerNode| node.disk.store.records.get(&record.key).is_none_or(|held| *held != record);
        match self.followers.iter().position(lacks) {
            Some(follower) => Err(Violation::Late { follower }),
            None => Ok(()),
        }
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
        let name = format!("invoker-{follower}");
        let zone = |number: usize| format!("zone-{}", number % 2);
        let address = |number: usize| format!("127.0.0.1:{}", 7000 + number);
        let nodes = 0..self.plan.controls;
        let controls: Vec<ControlNode> =
            nodes.map(|number| ControlNode { address: address(number), zone: Some(zone(number)) }).collect();
        let choice = ControlChoice::new(&name, Some(&zone(follower)), &controls).expect("has control nodes");
        let order = TestOrder { takes_older: self.plan.planted == Planted::TakesOlder };
        Follower::new(&name, FollowerLimits::default(), choice, order, position)
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

    // Control nodes.

    fn act_control(&mut self, control: usize) -> Checked {
        for action in self.controls[control].feed.actions() {
            match action {
                FeedAction::Send { session, message } => {
                    if let ControlMessage::Difference { records, .. } = &message {
                        let bytes = records.iter().map(FeedRecord::size).sum();
                        self.differences.push((self.now, bytes));
                    }
                    self.send(session.0 as usize, AT_FOLLOWER, Message::ToFollower(message));
                }
                FeedAction::Close { session, .. } => self.close(session.0 as usize, AT_CONTROL),
            }
        }
        let feed = &self.controls[control].feed;
        let ((copies, waiting), limits) = (feed.copies(), &self.plan.limits);
        self.most_copies = self.most_copies.max(copies);
        if copies > limits.full_copies
            || waiting > limits.waiting_copies
            || feed.connections() > limits.followers
        {
            return Err(Violation::OverBounds);
        }
        let next = feed.next_wakeup();
        self.wake(control, next);
        Ok(())
    }

    fn change(&mut self, control: usize) -> TestRecord {
        self.course.writes += 1;
        let key = format!("key/{}", self.rng.random_range(0..150));
        let held = self.controls[control].store.get(&key);
        let version = GreaterRecord.next_version(held.as_ref());
        let value = self.rng.random_bool(0.8).then(|| self.rng.random_range(0..u64::MAX).to_string());
        let record = TestRecord::new(&key, version, control as u64, value.as_deref());
        self.merge(control, record.clone());
        for other in (0..self.plan.controls).filter(|other| *other != control) {
            if self.cut_until(control, other) <= self.now {
                let at = self.now + self.delay();
                self.schedule(at, Event::Merge { control: other, record: record.clone() });
            }
        }
        record
    }

    fn merge(&mut self, node: usize, record: TestRecord) {
        let now = self.now_ms();
        let control = &mut self.controls[node];
        if control.store.merge(record.clone()) {
            control.feed.changed(&record.key, now);
            self.checker.changed(control.origin, &record);
            let next = control.feed.next_wakeup();
            self.wake(node, next);
        }
    }

    /// Control nodes that reach each other hold the same afterwards.
    fn mesh(&mut self) {
        for from in 0..self.plan.controls {
            for to in 0..self.plan.controls {
                let is_cut = self.cut_until(from, to) > self.now || !self.runs(from) || !self.runs(to);
                let (giver, taker) = (&self.controls[from].store, &self.controls[to].store);
                if is_cut || giver.bucket_hashes() == taker.bucket_hashes() {
                    continue;
                }
                for record in giver.records.values().cloned().collect::<Vec<_>>() {
                    self.merge(to, record);
                }
            }
        }
    }

    // Followers.

    fn act_follower(&mut self, follower: usize) -> Checked {
        // What is done may bring about more.
        loop {
            let actions = self.followers[follower].machine.actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    FollowerAction::Connect { connection, control } => {
                        self.connect(follower, connection, control.0);
                    }
                    FollowerAction::Disconnect { .. } => {
                        if let Some(connection) = self.followers[follower].connection.take() {
                            self.close(connection, AT_FOLLOWER);
                        }
                    }
                    FollowerAction::Send { message, .. } => self.say(follower, message)?,
                    FollowerAction::Persist { batch, records, position } => {
                        self.persist(follower, batch, records, position)?;
                    }
                }
            }
        }
        let next = self.followers[follower].machine.next_wakeup();
        self.wake(self.plan.controls + follower, Some(next));
        Ok(())
    }

    fn say(&mut self, follower: usize, message: FollowerMessage) -> Checked {
        let node = &self.followers[follower];
        if let FollowerMessage::Hello { position, .. } | FollowerMessage::Applied { position } = &message {
            Checker::acknowledged(follower, *position, node.disk.claim.map(|claim| claim.0))?;
        }
        if let Some(connection) = node.connection {
            self.send(connection, AT_CONTROL, Message::ToControl(message));
        }
        Ok(())
    }

    fn persist(
        &mut self,
        follower: usize,
        batch: BatchNumber,
        records: Vec<TestRecord>,
        position: Option<Position>,
    ) -> Checked {
        let connection = self.followers[follower].connection.expect("records come over a connection");
        let origin = self.connections[connection].origin;
        if let Some(position) = position {
            self.checker.taken(follower, origin, position.revision)?;
        }
        self.course.batches += 1;
        let node = &mut self.followers[follower];
        if let Some(view) = &mut node.view {
            records.iter().for_each(|record| view.put(record.clone()));
        }
        let claim = position.map(|position| (position, origin));
        node.disk.writes.push_back(Write { batch, records, claim });
        if node.disk.writes.len() == 1 {
            self.begin_write(follower);
        }
        if self.plan.planted == Planted::AcknowledgesEarly {
            self.tell_persisted(follower, batch);
        }
        Ok(())
    }

    fn begin_write(&mut self, follower: usize) {
        let is_slow = self.is_troubled() && self.followers[follower].disk.is_slow;
        let delay = self.rng.random_range(MS..if is_slow { 1000 * MS } else { 15 * MS });
        let life = self.processes[self.plan.controls + follower].life;
        self.schedule(self.now + delay, Event::Written { follower, life });
    }

    fn tell_persisted(&mut self, follower: usize, batch: BatchNumber) {
        let now = self.now_ms();
        let node = &mut self.followers[follower];
        let view = node.view.as_ref().unwrap_or(&node.disk.store);
        node.machine.persisted(batch, view, now);
    }

    fn written(&mut self, follower: usize) -> Checked {
        let batch = self.write_oldest(follower)?;
        if !self.followers[follower].disk.writes.is_empty() {
            self.begin_write(follower);
        }
        if self.plan.planted != Planted::AcknowledgesEarly {
            self.tell_persisted(follower, batch);
        }
        self.act_follower(follower)
    }

    fn write_oldest(&mut self, follower: usize) -> Result<BatchNumber, Violation> {
        let disk = &mut self.followers[follower].disk;
        let write = disk.writes.pop_front().expect("a write is on its way");
        put_all(follower, &mut disk.store, write.records)?;
        if let Some((position, origin)) = write.claim {
            disk.claim = write.claim;
            self.checker.claimed(follower, origin, position.revision, &disk.store)?;
        }
        Ok(write.batch)
    }

    // The network.

    fn node_at(&self, connection: usize, end: usize) -> usize {
        let connection = &self.connections[connection];
        [self.plan.controls + connection.follower, connection.control][end]
    }

    fn cut_until(&self, one: usize, other: usize) -> Time {
        self.processes[one].isolated_until.max(self.processes[other].isolated_until)
    }

    fn delay(&mut self) -> Time {
        let is_late = self.is_troubled() && self.rng.random_bool(0.03);
        self.rng.random_range(MS..if is_late { 900 * MS } else { 15 * MS })
    }

    fn connect(&mut self, follower: usize, number: ConnectionNumber, control: usize) {
        let index = self.connections.len();
        let node = self.plan.controls + follower;
        let lives = [self.processes[node].life, self.processes[control].life];
        let is_cut = self.cut_until(node, control) > self.now;
        let is_refused = !self.processes[control].is_up;
        let closed = is_cut || is_refused;
        self.connections.push(Connection {
            number,
            follower,
            control,
            lives,
            origin: self.controls[control].origin,
            is_closed: [false, closed],
            arrival: [0; 2],
            skips: false,
        });
        self.followers[follower].connection = Some(index);
        if closed {
            let at = self.now + if is_cut { CONNECT_TIMEOUT } else { MS };
            let event = Event::Message { connection: index, end: AT_FOLLOWER, message: Message::Closed };
            self.schedule(at, event);
            return;
        }
        self.send(index, AT_CONTROL, Message::Opened);
        // The kernel answers, also for a process that is stopped.
        self.send(index, AT_FOLLOWER, Message::Opened);
    }

    fn send(&mut self, index: usize, end: usize, message: Message) {
        if self.connections[index].is_closed[1 - end] {
            return;
        }
        if self.is_troubled() && self.rng.random_bool(0.002) {
            self.course.breaks += 1;
            for end in [AT_FOLLOWER, AT_CONTROL] {
                let at = self.now + self.delay();
                self.schedule(at, Event::Message { connection: index, end, message: Message::Closed });
            }
            return;
        }
        self.count_idle(index, &message);
        // Where the way is cut it is sent again until it isn't.
        let (follower, control) = (self.node_at(index, AT_FOLLOWER), self.node_at(index, AT_CONTROL));
        let leaves = self.now.max(self.cut_until(follower, control));
        let at = (leaves + self.delay()).max(self.connections[index].arrival[end] + 1);
        self.connections[index].arrival[end] = at;
        self.schedule(at, Event::Message { connection: index, end, message });
    }

    fn count_idle(&mut self, connection: usize, message: &Message) {
        let Some(idle) = &mut self.idle else { return };
        let traffic = &mut idle[self.connections[connection].follower];
        let mut other = 0;
        let (text, largest) = match message {
            Message::ToControl(message @ FollowerMessage::Applied { .. }) => {
                (serde_json::to_vec(message), &mut traffic.answer)
            }
            Message::ToFollower(message @ ControlMessage::Heartbeat { .. }) => {
                (serde_json::to_vec(message), &mut traffic.heartbeat)
            }
            _ => {
                traffic.has_others = true;
                (Ok(Vec::new()), &mut other)
            }
        };
        let bytes = (text.expect("messages are JSON").len() + FRAME_HEAD) as u64;
        *largest = bytes.max(*largest);
        traffic.all += bytes;
    }

    fn close(&mut self, index: usize, end: usize) {
        self.send(index, 1 - end, Message::Closed);
        self.connections[index].is_closed[end] = true;
    }

    fn deliver(&mut self, index: usize, end: usize, message: Message) -> Checked {
        let node = self.node_at(index, end);
        let connection = &mut self.connections[index];
        if connection.is_closed[end] || !self.processes[node].is_up {
            return Ok(());
        }
        if self.processes[node].life != connection.lives[end] {
            return Ok(());
        }
        connection.is_closed[end] |= matches!(message, Message::Closed);
        let (follower, number, now) = (connection.follower, connection.number, self.now_ms());
        if end == AT_CONTROL {
            let session = SessionNumber(index as u64);
            let Control { feed, store, .. } = &mut self.controls[node];
            match message {
                Message::Opened => feed.connected(session, now),
                Message::Closed => feed.disconnected(session),
                Message::ToControl(message) => feed.message(session, message, store, now),
                Message::ToFollower(_) => unreachable!("goes to the other end"),
            }
            return self.act_control(node);
        }
        let message = match message {
            Message::ToFollower(message) => match self.plant_skip(index, message)? {
                Some(message) => Message::ToFollower(message),
                None => return Ok(()),
            },
            other => other,
        };
        let FollowerNode { machine, view, disk, .. } = &mut self.followers[follower];
        let view = view.as_ref().unwrap_or(&disk.store);
        match message {
            Message::Opened => machine.connected(number, view, now),
            Message::Closed => machine.disconnected(number, now, &mut self.rng),
            Message::ToFollower(message) => machine.message(number, message, view, now, &mut self.rng),
            Message::ToControl(_) => unreachable!("goes to the other end"),
        }
        self.act_follower(follower)
    }

    /// Plants [`Planted::SkipsAtCompaction`]: the control node is told that nothing differs, the follower that it was sent
    /// everything.
    fn plant_skip(
        &mut self,
        index: usize,
        message: ControlMessage<TestRecord>,
    ) -> Result<Option<ControlMessage<TestRecord>>, Violation> {
        let connection = &mut self.connections[index];
        let disk = &self.followers[connection.follower].disk;
        let newest = disk.writes.iter().rev().find_map(|write| write.claim).or(disk.claim);
        let control = &mut self.controls[connection.control];
        let taken = newest.filter(|claim| claim.1 == control.origin).map(|claim| claim.0);
        let (Planted::SkipsAtCompaction, Some(after)) = (self.plan.planted, taken) else {
            return Ok(Some(message));
        };
        match message {
            ControlMessage::SendBuckets => {
                connection.skips = true;
                let buckets = FollowerMessage::Buckets { hashes: control.store.bucket_hashes() };
                let (session, now) = (SessionNumber(index as u64), self.now as Ms / MS as Ms);
                control.feed.message(session, buckets, &control.store, now);
                let node = connection.control;
                self.act_control(node)?;
                Ok(None)
            }
            ControlMessage::Difference { last: Some(last), .. } if connection.skips => {
                connection.skips = false;
                Ok(Some(ControlMessage::Changes { after, upto: last.revision, records: Vec::new() }))
            }
            message => Ok(Some(message)),
        }
    }

    // Troubles.

    fn trouble(&mut self) -> Checked {
        // Control nodes have as many as followers, though they are fewer.
        let is_control = self.rng.random_bool(0.5);
        let node = match is_control {
            true => self.rng.random_range(0..self.plan.controls),
            false => self.rng.random_range(self.plan.controls..self.processes.len()),
        };
        let span = if self.rng.random_bool(0.6) { SECOND } else { 8 * SECOND };
        let until = (self.now + self.rng.random_range(10 * MS..span)).min(self.plan.troubled_until);
        match self.rng.random_range(0..3) {
            0 => {
                let node = self.writing().filter(|_| !is_control).unwrap_or(node);
                self.crash(node, until)?;
            }
            1 => {
                self.course.stops += 1;
                self.processes[node].stopped_until = until;
            }
            _ => {
                self.course.cuts += 1;
                self.processes[node].isolated_until = until;
            }
        }
        Ok(())
    }

    /// A follower that has something on its way to disk, where there is one.
    fn writing(&mut self) -> Option<usize> {
        let writes = |node: &FollowerNode| !node.disk.writes.is_empty();
        Some(self.plan.controls + self.followers.iter().position(writes)?)
    }

    /// Kills a process and starts it again later.
    fn crash(&mut self, node: usize, until: Time) -> Checked {
        if !std::mem::take(&mut self.processes[node].is_up) {
            return Ok(());
        }
        self.course.crashes += 1;
        self.processes[node].stopped_until = 0;
        self.schedule(until, Event::Start { node });
        for index in 0..self.connections.len() {
            let ends = [AT_FOLLOWER, AT_CONTROL];
            let end = ends.into_iter().find(|end| self.node_at(index, *end) == node);
            if let Some(end) = end.filter(|end| !self.connections[index].is_closed[*end]) {
                self.close(index, end);
            }
        }
        if node >= self.plan.controls {
            self.tear(node - self.plan.controls)?;
        }
        Ok(())
    }

    /// Of what was on its way to disk, whole batches are kept, then a part of the records of one.
    fn tear(&mut self, follower: usize) -> Checked {
        let count = self.followers[follower].disk.writes.len();
        for _ in 0..self.rng.random_range(0..=count) {
            self.write_oldest(follower)?;
        }
        let disk = &mut self.followers[follower].disk;
        let torn = std::mem::take(&mut disk.writes).pop_front();
        if let Some(mut write) = torn {
            self.course.torn += 1;
            write.records.truncate(self.rng.random_range(0..=write.records.len()));
            put_all(follower, &mut disk.store, write.records)?;
        }
        Ok(())
    }
}

fn put_all(follower: usize, store: &mut TestStore, records: Vec<TestRecord>) -> Checked {
    for record in records {
        Checker::written(follower, store.records.get(&record.key), &record)?;
        store.put(record);
    }
    Ok(())
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
