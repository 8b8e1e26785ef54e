//! The follower's side of the feed.
mod in_flight;
mod receiving;
mod repairing;
mod returning;
mod state;

use crate::{
    BucketSet, ChangeOrder, ConnectDecision, ControlChoice, ControlMessage, FeedRecord, FollowerLimits,
    FollowerMessage, LeftOutRecords, Ms, Position, Progress, ProgressUpdate, Records,
};
use in_flight::InFlight;
use rand::Rng;
use repairing::Repair;
use returning::PlannedReturn;

pub use state::{BatchNumber, ConnectionNumber, FollowerAction, FollowerState, FollowerStatus};

/// A message that is sent once all batches in flight are on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeferredMessage {
    Nothing,
    Hello,
    Buckets,
}

/// Follows the changes of one control node at a time.
///
/// The caller reports events, then carries out the [`actions`](Self::actions), and calls [`tick`](Self::tick) once
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
    /// Start of the current timeout: when the state was entered or, if later, when the hello was sent or the last
    /// message received in it.
    timeout_start: Ms,
    last_heard: Option<Ms>,
    /// The latest position that the control node has told on this connection.
    control_position: Option<Position>,
    /// When the follower returns to a control node that it prefers.
    planned_return: PlannedReturn,
    deferred: DeferredMessage,
    /// The position of the last batch handed to the caller to be written.
    submitted_position: Option<Position>,
    /// The progress on disk.
    progress: Option<Progress>,
    /// The buckets of the records that were left out of the difference being received.
    left_out_of_pages: BucketSet,
    repair: Repair,
    in_flight: InFlight<R>,
    actions: Vec<FollowerAction<R>>,
}

impl<R: FeedRecord, O: ChangeOrder<R>> Follower<R, O> {
    /// A follower named `node` that has `progress` on disk. It connects with the first [`tick`](Self::tick).
    pub fn new(
        node: &str,
        limits: FollowerLimits,
        choice: ControlChoice,
        order: O,
        progress: Option<Progress>,
    ) -> Self {
        Follower {
            node: node.to_string(),
            limits,
            choice,
            order,
            state: FollowerState::Waiting { until: Ms::MIN },
            connection: ConnectionNumber(0),
            timeout_start: Ms::MIN,
            last_heard: None,
            control_position: None,
            planned_return: PlannedReturn::default(),
            deferred: DeferredMessage::Nothing,
            submitted_position: progress.map(|progress| progress.position),
            progress,
            left_out_of_pages: BucketSet::default(),
            repair: Repair::new(),
            in_flight: InFlight::new(),
            actions: Vec::new(),
        }
    }

    /// Reports that the connection is established.
    pub fn connected(&mut self, connection: ConnectionNumber, records: &impl Records<R>, now: Ms) {
        let FollowerState::Connecting { control } = self.state else { return };
        if connection != self.connection {
            return;
        }
        self.state = FollowerState::Greeting { control };
        self.control_position = None;
        self.timeout_start = now;
        self.deferred = DeferredMessage::Hello;
        self.send_deferred(records, now);
    }

    /// Reports that the connection broke, was closed, or couldn't be established.
    pub fn disconnected(&mut self, connection: ConnectionNumber, now: Ms, rng: &mut impl Rng) {
        if connection == self.connection {
            self.fail_over(now, rng);
        }
    }

    /// Handles a message from the control node. Messages on an older connection are ignored.
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
        self.timeout_start = now;
        if let ControlMessage::Busy { retry_after_ms } = message {
            self.handle_busy(retry_after_ms as Ms, now, rng);
            return;
        }
        if self.handle_message(message, records, now).is_err() {
            self.fail_over(now, rng);
            return;
        }
        self.plan_return(now, rng);
    }

    /// Reports that a batch and all batches before it are on disk, and which of its records were left out.
    pub fn persisted(
        &mut self,
        batch: BatchNumber,
        left_out: LeftOutRecords,
        records: &impl Records<R>,
        now: Ms,
    ) {
        while let Some(written) = self.in_flight.pop_upto(batch) {
            self.progress = written.update.apply(self.progress, left_out);
            match written.update {
                ProgressUpdate::Page => {
                    self.left_out_of_pages = self.left_out_of_pages.union(left_out.buckets());
                }
                ProgressUpdate::Repaired { bucket, .. } => {
                    self.finish_repair(bucket, written.keys.len(), left_out, now);
                }
                ProgressUpdate::Changes { .. } | ProgressUpdate::Copied { .. } => {}
            }
            self.acknowledge(&written.update);
        }
        self.send_deferred(records, now);
    }

    /// Reports that the oldest batch in flight couldn't be written and that none after it will be.
    pub fn persist_failed(&mut self, now: Ms, rng: &mut impl Rng) {
        self.in_flight.clear();
        self.submitted_position = self.persisted_position();
        self.fail_over(now, rng);
    }

    /// Performs what is due: connects, disconnects from a control node that timed out, or returns to a preferred one.
    pub fn tick(&mut self, now: Ms, rng: &mut impl Rng) {
        if self.next_wakeup() > now {
            return;
        }
        match self.state {
            FollowerState::Waiting { .. } => self.connect(now),
            FollowerState::Following { control } if now < self.timeout_start + self.limits.silence_ms => {
                self.return_to_preferred(control, now);
            }
            _ => self.fail_over(now, rng),
        }
    }

    /// The latest time at which [`tick`](Self::tick) must be called, in milliseconds.
    pub fn next_wakeup(&self) -> Ms {
        match self.state {
            FollowerState::Waiting { until } => until,
            FollowerState::Connecting { .. } => self.timeout_start + self.limits.connect_ms,
            // The hello waits for the follower's own disk, so the control node isn't late with its answer.
            FollowerState::Greeting { .. } if self.deferred == DeferredMessage::Hello => {
                self.timeout_start + self.limits.silence_ms
            }
            FollowerState::Greeting { .. } => self.timeout_start + self.limits.greeting_ms,
            FollowerState::Comparing { .. } => self.timeout_start + self.limits.silence_ms,
            FollowerState::Following { .. } => {
                self.planned_return.earlier_of(self.timeout_start + self.limits.silence_ms)
            }
        }
    }

    /// Takes the pending actions.
    pub fn actions(&mut self) -> Vec<FollowerAction<R>> {
        std::mem::take(&mut self.actions)
    }

    /// The current state, position and time of the last message.
    pub fn status(&self) -> FollowerStatus {
        FollowerStatus {
            state: self.state,
            progress: self.progress,
            control_position: self.control_position,
            last_heard: self.last_heard,
        }
    }

    /// The progress on disk.
    pub fn progress(&self) -> Option<Progress> {
        self.progress
    }

    fn persisted_position(&self) -> Option<Position> {
        self.progress.map(|progress| progress.position)
    }

    /// Acknowledges the position on disk.
    fn send_applied(&mut self) {
        let left_out_buckets = self.progress.map_or(0, |progress| progress.left_out.len() as u16);
        self.send(FollowerMessage::Applied { position: self.persisted_position(), left_out_buckets });
    }

    fn connect(&mut self, now: Ms) {
        match self.choice.next(now) {
            ConnectDecision::WaitUntil(until) => self.state = FollowerState::Waiting { until },
            ConnectDecision::Connect(control) => {
                self.connection.0 += 1;
                self.state = FollowerState::Connecting { control };
                self.timeout_start = now;
                self.actions.push(FollowerAction::Connect { connection: self.connection, control });
            }
        }
    }

    /// Disconnects from the control node and connects to the next one at once, if one may be tried.
    fn fail_over(&mut self, now: Ms, rng: &mut impl Rng) {
        let Some(control) = self.state.control() else { return };
        self.choice.failed(control, now, rng);
        self.disconnect_and_reconnect(now);
    }

    fn handle_busy(&mut self, retry_after: Ms, now: Ms, rng: &mut impl Rng) {
        let Some(control) = self.state.control() else { return };
        self.choice.busy(control, retry_after, now, rng);
        self.disconnect_and_reconnect(now);
    }

    fn disconnect_and_reconnect(&mut self, now: Ms) {
        self.planned_return.cancel();
        self.deferred = DeferredMessage::Nothing;
        self.repair.disconnected(now);
        self.actions.push(FollowerAction::Disconnect { connection: self.connection });
        self.connect(now);
    }

    fn send(&mut self, message: FollowerMessage) {
        self.actions.push(FollowerAction::Send { connection: self.connection, message });
    }
}
