//! A follower's side of the feed.
mod in_flight;
mod receiving;

use crate::{
    Attempt, ChangeOrder, ControlChoice, ControlMessage, ControlNumber, FeedRecord, FollowerLimits,
    FollowerMessage, Ms, Position, Records,
};
use in_flight::InFlight;
use rand::Rng;

/// Tells the connections of a follower apart, failed attempts included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u64);

/// Counts the batches that a follower has handed out to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchNumber(pub u64);

/// What the caller is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction<R> {
    /// Connect to a control node, then call [`Follower::connected`] or [`Follower::disconnected`].
    Connect {
        /// The new connection.
        connection: ConnectionNumber,
        /// To which control node.
        control: ControlNumber,
    },
    /// Send a message.
    Send {
        /// Over which connection.
        connection: ConnectionNumber,
        /// What.
        message: FollowerMessage,
    },
    /// Close a connection, or give up the attempt. Nothing that comes of it counts any more.
    Disconnect {
        /// Which one.
        connection: ConnectionNumber,
    },
    /// Write records to disk in the place of those under their keys, and the position behind them: not one batch before the
    /// batches that came earlier. Then call [`Follower::persisted`]. Until then [`Records`] may show either state.
    Persist {
        /// The batch.
        batch: BatchNumber,
        /// Its records, each of which supersedes what was held.
        records: Vec<R>,
        /// The position that they lead to, where they lead to one.
        position: Option<Position>,
    },
}

/// What a follower is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FollowerState {
    /// It waits before it tries a control node.
    Waiting {
        /// Until when.
        until: Ms,
    },
    /// It is connecting.
    Connecting {
        /// To whom.
        control: ControlNumber,
    },
    /// It is connected, and not yet told how to go on.
    Greeting {
        /// To whom.
        control: ControlNumber,
    },
    /// It compares its records with the control node's.
    Comparing {
        /// With whom.
        control: ControlNumber,
    },
    /// It follows the changes of a control node.
    Following {
        /// Of whom.
        control: ControlNumber,
    },
}

impl FollowerState {
    /// The control node that it has to do with.
    pub fn control(&self) -> Option<ControlNumber> {
        match *self {
            FollowerState::Waiting { .. } => None,
            FollowerState::Connecting { control }
            | FollowerState::Greeting { control }
            | FollowerState::Comparing { control }
            | FollowerState::Following { control } => Some(control),
        }
    }
}

/// What a follower tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerStatus {
    /// What it is about.
    pub state: FollowerState,
    /// What it holds on disk.
    pub position: Option<Position>,
    /// When its control node was last heard; nothing before the first word of the first one.
    pub last_heard: Option<Ms>,
}

/// What is said once nothing is on its way to disk any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owed {
    Nothing,
    Hello,
    Buckets,
}

/// Follows the changes of one control node at a time.
///
/// The caller passes on what happens, then carries out [`actions`](Self::actions), and calls [`tick`](Self::tick) once
/// [`next_wakeup`](Self::next_wakeup) is reached.
#[derive(Debug)]
pub struct Follower<R, O> {
    node: String,
    limits: FollowerLimits,
    choice: ControlChoice,
    order: O,
    state: FollowerState,
    /// The newest connection.
    connection: ConnectionNumber,
    /// When the state was entered or the control node was last heard in it.
    since: Ms,
    last_heard: Option<Ms>,
    owed: Owed,
    /// What was handed out to be written.
    taken: Option<Position>,
    /// What is on disk.
    kept: Option<Position>,
    in_flight: InFlight<R>,
    actions: Vec<FollowerAction<R>>,
}

impl<R: FeedRecord, O: ChangeOrder<R>> Follower<R, O> {
    /// A follower named `node` whose disk holds `position`. It connects with the first [`tick`](Self::tick).
    pub fn new(
        node: &str,
        limits: FollowerLimits,
        choice: ControlChoice,
        order: O,
        position: Option<Position>,
    ) -> Self {
        Follower {
            node: node.to_string(),
            limits,
            choice,
            order,
            state: FollowerState::Waiting { until: Ms::MIN },
            connection: ConnectionNumber(0),
            since: Ms::MIN,
            last_heard: None,
            owed: Owed::Nothing,
            taken: position,
            kept: position,
            in_flight: InFlight::new(),
            actions: Vec::new(),
        }
    }

    /// The connection stands.
    pub fn connected(&mut self, connection: ConnectionNumber, records: &impl Records<R>, now: Ms) {
        let FollowerState::Connecting { control } = self.state else { return };
        if connection != self.connection {
            return;
        }
        self.state = FollowerState::Greeting { control };
        self.since = now;
        self.owed = Owed::Hello;
        self.say_owed(records, now);
    }

    /// The connection broke or was closed, or never came about.
    pub fn disconnected(&mut self, connection: ConnectionNumber, now: Ms, rng: &mut impl Rng) {
        if connection == self.connection {
            self.fail(now, rng);
        }
    }

    /// The control node has said something. What comes over an older connection is ignored.
    pub fn message(
        &mut self,
        connection: ConnectionNumber,
        message: ControlMessage<R>,
        records: &impl Records<R>,
        now: Ms,
        rng: &mut impl Rng,
    ) {
        let is_connected = matches!(
            self.state,
            FollowerState::Greeting { .. }
                | FollowerState::Comparing { .. }
                | FollowerState::Following { .. }
        );
        if connection != self.connection || !is_connected {
            return;
        }
        self.last_heard = Some(now);
        self.since = now;
        if let ControlMessage::Busy { retry_after_ms } = message {
            self.leave_busy(retry_after_ms as Ms, now, rng);
            return;
        }
        if self.receive(message, records, now).is_err() {
            self.fail(now, rng);
        }
    }

    /// A batch is on disk, and so are all before it.
    pub fn persisted(&mut self, batch: BatchNumber, records: &impl Records<R>, now: Ms) {
        while let Some(written) = self.in_flight.pop_upto(batch) {
            self.kept = written.position.or(self.kept);
            if written.connection == self.connection {
                self.acknowledge(written.position);
            }
        }
        self.say_owed(records, now);
    }

    /// The oldest batch that is on its way couldn't be written, and none after it will be.
    pub fn persist_failed(&mut self, now: Ms, rng: &mut impl Rng) {
        self.in_flight.clear();
        self.taken = self.kept;
        self.fail(now, rng);
    }

    /// Does what is due: connects, and leaves a control node that is silent.
    pub fn tick(&mut self, now: Ms, rng: &mut impl Rng) {
        if self.next_wakeup() > now {
            return;
        }
        match self.state {
            FollowerState::Waiting { .. } => self.connect(now),
            _ => self.fail(now, rng),
        }
    }

    /// When [`tick`](Self::tick) is to be called at the latest.
    pub fn next_wakeup(&self) -> Ms {
        match self.state {
            FollowerState::Waiting { until } => until,
            FollowerState::Connecting { .. } => self.since + self.limits.connect_ms,
            // The disk is slow, not the control node.
            FollowerState::Greeting { .. } if self.owed == Owed::Hello => self.since + self.limits.silence_ms,
            FollowerState::Greeting { .. } => self.since + self.limits.greeting_ms,
            FollowerState::Comparing { .. } | FollowerState::Following { .. } => {
                self.since + self.limits.silence_ms
            }
        }
    }

    /// Takes what is to be done.
    pub fn actions(&mut self) -> Vec<FollowerAction<R>> {
        std::mem::take(&mut self.actions)
    }

    /// How it stands.
    pub fn status(&self) -> FollowerStatus {
        FollowerStatus { state: self.state, position: self.kept, last_heard: self.last_heard }
    }

    fn connect(&mut self, now: Ms) {
        match self.choice.next(now) {
            Attempt::WaitUntil(until) => self.state = FollowerState::Waiting { until },
            Attempt::Connect(control) => {
                self.connection.0 += 1;
                self.state = FollowerState::Connecting { control };
                self.since = now;
                self.actions.push(FollowerAction::Connect { connection: self.connection, control });
            }
        }
    }

    /// Leaves the control node and tries the next one at once, if one may be tried.
    fn fail(&mut self, now: Ms, rng: &mut impl Rng) {
        let Some(control) = self.state.control() else { return };
        self.choice.failed(control, now, rng);
        self.leave(now);
    }

    fn leave_busy(&mut self, retry_after: Ms, now: Ms, rng: &mut impl Rng) {
        let Some(control) = self.state.control() else { return };
        self.choice.busy(control, retry_after, now, rng);
        self.leave(now);
    }

    fn leave(&mut self, now: Ms) {
        self.owed = Owed::Nothing;
        self.actions.push(FollowerAction::Disconnect { connection: self.connection });
        self.connect(now);
    }

    fn send(&mut self, message: FollowerMessage) {
        self.actions.push(FollowerAction::Send { connection: self.connection, message });
    }
}
