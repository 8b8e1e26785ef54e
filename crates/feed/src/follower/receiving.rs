//! Handles messages from the control node.
use super::{DeferredMessage, Follower, FollowerAction, FollowerState};
use crate::{
    BucketNumber, BucketSet, ChangeOrder, ControlMessage, FeedRecord, FollowerMessage, Ms, Position,
    ProgressUpdate, Records,
};

/// The message violates the protocol in the follower's current state.
pub(super) struct UnexpectedMessage;

impl<R: FeedRecord, O: ChangeOrder<R>> Follower<R, O> {
    pub(super) fn handle_message(
        &mut self,
        message: ControlMessage<R>,
        records: &impl Records<R>,
        now: Ms,
    ) -> Result<(), UnexpectedMessage> {
        match message {
            ControlMessage::Changes { after, upto, records: changes } => {
                self.handle_changes(after, upto, changes, records)
            }
            ControlMessage::SendBuckets => self.handle_send_buckets(records, now),
            ControlMessage::Difference { records: page, last } => self.handle_difference(page, last, records),
            ControlMessage::Heartbeat { position } => self.handle_heartbeat(position),
            ControlMessage::OfferRepair => {
                self.repair.offer();
                Ok(())
            }
            ControlMessage::Missing { bucket, records: missing, skipped } => {
                self.handle_missing(bucket, missing, skipped, records)
            }
            // Handled by `Follower::message`.
            ControlMessage::Busy { .. } => Ok(()),
        }
    }

    /// Sends the deferred message once no batch is in flight, so that the position or hashes in it describe what is on
    /// disk.
    pub(super) fn send_deferred(&mut self, records: &impl Records<R>, now: Ms) {
        if !self.in_flight.is_empty() {
            return;
        }
        match std::mem::replace(&mut self.deferred, DeferredMessage::Nothing) {
            DeferredMessage::Nothing => {}
            DeferredMessage::Hello => {
                self.timeout_start = now;
                self.send(FollowerMessage::Hello {
                    node: self.node.clone(),
                    position: self.persisted_position(),
                });
            }
            DeferredMessage::Buckets => {
                self.send(FollowerMessage::Buckets { hashes: records.bucket_hashes() })
            }
        }
    }

    /// Acknowledges a batch that is on disk. Batches from an earlier connection aren't acknowledged: the hello of a new
    /// connection waits until all of them are on disk.
    pub(super) fn acknowledge(&mut self, update: &ProgressUpdate) {
        match (update, self.state) {
            (ProgressUpdate::Page, FollowerState::Comparing { .. }) => self.send(FollowerMessage::NextPage),
            (
                ProgressUpdate::Changes { .. } | ProgressUpdate::Copied { .. },
                FollowerState::Following { .. } | FollowerState::Comparing { .. },
            ) => self.send_applied(),
            _ => {}
        }
    }

    fn handle_changes(
        &mut self,
        after: Position,
        upto: u64,
        changes: Vec<R>,
        records: &impl Records<R>,
    ) -> Result<(), UnexpectedMessage> {
        self.start_following_at(after)?;
        if self.submitted_position != Some(after) || upto <= after.revision {
            return Err(UnexpectedMessage);
        }
        self.control_position = Some(after.at(upto));
        self.persist(changes, ProgressUpdate::Changes { position: after.at(upto) }, records)
    }

    /// Enters the following state if the control node's first message shows that it resumes at the position in the
    /// hello.
    fn start_following_at(&mut self, position: Position) -> Result<(), UnexpectedMessage> {
        match self.state {
            FollowerState::Following { .. } => Ok(()),
            FollowerState::Greeting { control }
                if self.deferred == DeferredMessage::Nothing && self.submitted_position == Some(position) =>
            {
                self.state = FollowerState::Following { control };
                self.choice.succeeded(control);
                Ok(())
            }
            _ => Err(UnexpectedMessage),
        }
    }

    fn handle_send_buckets(&mut self, records: &impl Records<R>, now: Ms) -> Result<(), UnexpectedMessage> {
        let (FollowerState::Greeting { control } | FollowerState::Following { control }) = self.state else {
            return Err(UnexpectedMessage);
        };
        if self.deferred != DeferredMessage::Nothing {
            return Err(UnexpectedMessage);
        }
        self.state = FollowerState::Comparing { control };
        self.repair.abandon();
        self.left_out_of_pages = BucketSet::default();
        self.deferred = DeferredMessage::Buckets;
        self.send_deferred(records, now);
        Ok(())
    }

    fn handle_difference(
        &mut self,
        page: Vec<R>,
        last: Option<Position>,
        records: &impl Records<R>,
    ) -> Result<(), UnexpectedMessage> {
        let FollowerState::Comparing { control } = self.state else { return Err(UnexpectedMessage) };
        if self.deferred != DeferredMessage::Nothing {
            return Err(UnexpectedMessage);
        }
        let Some(position) = last else { return self.persist(page, ProgressUpdate::Page, records) };
        self.control_position = last;
        self.state = FollowerState::Following { control };
        self.choice.succeeded(control);
        self.persist(page, ProgressUpdate::Copied { position, left_out: self.left_out_of_pages }, records)
    }

    fn handle_missing(
        &mut self,
        bucket: BucketNumber,
        missing: Vec<R>,
        skipped: usize,
        records: &impl Records<R>,
    ) -> Result<(), UnexpectedMessage> {
        let is_following = matches!(self.state, FollowerState::Following { .. });
        if !is_following || !self.repair.expects(bucket) {
            return Err(UnexpectedMessage);
        }
        self.persist(missing, ProgressUpdate::Repaired { bucket, is_complete: skipped == 0 }, records)
    }

    fn handle_heartbeat(&mut self, position: Position) -> Result<(), UnexpectedMessage> {
        match self.state {
            FollowerState::Following { .. } => {
                // The control node can't be behind the changes that it sent, nor change its incarnation within a
                // connection.
                let submitted = self.submitted_position.ok_or(UnexpectedMessage)?;
                submitted.behind(position).ok_or(UnexpectedMessage)?;
            }
            FollowerState::Greeting { .. } => self.start_following_at(position)?,
            _ => {}
        }
        self.control_position = Some(position);
        self.send_applied();
        Ok(())
    }

    /// Hands the caller a batch of those records that supersede the held ones.
    fn persist(
        &mut self,
        mut incoming: Vec<R>,
        update: ProgressUpdate,
        records: &impl Records<R>,
    ) -> Result<(), UnexpectedMessage> {
        if self.in_flight.len() >= self.limits.pending_batches {
            return Err(UnexpectedMessage);
        }
        incoming.retain(|record| self.in_flight.is_newer(record, &self.order, records));
        self.submitted_position = update.position().or(self.submitted_position);
        let batch = self.in_flight.push(&incoming, update);
        self.actions.push(FollowerAction::Persist { batch, records: incoming, update });
        Ok(())
    }
}
