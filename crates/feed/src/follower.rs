//! A follower's side of the feed.
mod in_flight;
mod receiving;
mod returning;
mod state;

use crate::{
    Attempt, ChangeOrder, ControlChoice, ControlMessage, FeedRecord, FollowerLimits, FollowerMessage, Ms,
    Position, Records,
};
use in_flight::InFlight;
use rand::Rng;
use returning::Return;

pub use state::{BatchNumber, ConnectionNumber, FollowerAction, FollowerState, FollowerStatus};

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
    /// When it goes back to a control node that it prefers.
    planned_return: Return,
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
            planned_return: Return::default(),
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
            return;
        }
        self.plan_return(now, rng);
    }

    /// A batch is on disk, and so are all before it.
    pub fn persisted(&mut self, batch: BatchNumber, records: &impl Records<R>, now: Ms) {
        while let Some(written) = self.in_flight.pop_upto(batch) {
            self.kept = written.position.or(self.kept);
            self.acknowledge(written.position);
        }
        self.say_owed(records, now);
    }

    /// The oldest batch that is on its way couldn't be written, and none after it will be.
    pub fn persist_failed(&mut self, now: Ms, rng: &mut impl Rng) {
        self.in_flight.clear();
        self.taken = self.kept;
        self.fail(now, rng);
    }

    /// Does what is due: connects, leaves a control node that is silent, and goes back to one that it prefers.
    pub fn tick(&mut self, now: Ms, rng: &mut impl Rng) {
        if self.next_wakeup() > now {
            return;
        }
        match self.state {
            FollowerState::Waiting { .. } => self.connect(now),
            FollowerState::Following { control } if now < self.since + self.limits.silence_ms => {
                self.go_back(control, now);
            }
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
            FollowerState::Comparing { .. } => self.since + self.limits.silence_ms,
            FollowerState::Following { .. } => {
                self.planned_return.or_before(self.since + self.limits.silence_ms)
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
        self.planned_return.put_off();
        self.owed = Owed::Nothing;
        self.actions.push(FollowerAction::Disconnect { connection: self.connection });
        self.connect(now);
    }

    fn send(&mut self, message: FollowerMessage) {
        self.actions.push(FollowerAction::Send { connection: self.connection, message });
    }
}
