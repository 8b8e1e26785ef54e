//! What a follower makes of messages.
use super::{Follower, FollowerAction, FollowerState, Owed};
use crate::{ChangeOrder, ControlMessage, FeedRecord, FollowerMessage, Ms, Position, Records};

/// A message that doesn't fit what was said before.
pub(super) struct Unexpected;

impl<R: FeedRecord, O: ChangeOrder<R>> Follower<R, O> {
    pub(super) fn receive(
        &mut self,
        message: ControlMessage<R>,
        records: &impl Records<R>,
        now: Ms,
    ) -> Result<(), Unexpected> {
        match message {
            ControlMessage::Changes { after, upto, records: changes } => {
                self.take_changes(after, upto, changes, records)
            }
            ControlMessage::SendBuckets => self.begin_comparing(records, now),
            ControlMessage::Difference { records: page, last } => self.take_page(page, last, records),
            ControlMessage::Heartbeat { position } => self.answer_heartbeat(position),
            // Dealt with before.
            ControlMessage::Busy { .. } => Ok(()),
        }
    }

    /// Says what was put off until nothing is on its way to disk: so that what it says of its records is true of the disk.
    pub(super) fn say_owed(&mut self, records: &impl Records<R>, now: Ms) {
        if !self.in_flight.is_empty() {
            return;
        }
        match std::mem::replace(&mut self.owed, Owed::Nothing) {
            Owed::Nothing => {}
            Owed::Hello => {
                self.since = now;
                self.send(FollowerMessage::Hello { node: self.node.clone(), position: self.kept });
            }
            Owed::Buckets => self.send(FollowerMessage::Buckets { hashes: records.bucket_hashes() }),
        }
    }

    /// Acknowledges a batch that is on disk. One that came over an earlier connection isn't: there is no greeting before
    /// all of these are on disk.
    pub(super) fn acknowledge(&mut self, position: Option<Position>) {
        match (position, self.state) {
            (Some(_), FollowerState::Following { .. } | FollowerState::Comparing { .. }) => {
                self.send(FollowerMessage::Applied { position: self.kept });
            }
            (None, FollowerState::Comparing { .. }) => self.send(FollowerMessage::NextPage),
            _ => {}
        }
    }

    fn take_changes(
        &mut self,
        after: Position,
        upto: u64,
        changes: Vec<R>,
        records: &impl Records<R>,
    ) -> Result<(), Unexpected> {
        self.begin_following_at(after)?;
        if self.taken != Some(after) || upto <= after.revision {
            return Err(Unexpected);
        }
        self.persist(changes, Some(after.at(upto)), records)
    }

    /// The control node goes on from the position in the greeting, as its first message about it tells.
    fn begin_following_at(&mut self, position: Position) -> Result<(), Unexpected> {
        match self.state {
            FollowerState::Following { .. } => Ok(()),
            FollowerState::Greeting { control }
                if self.owed == Owed::Nothing && self.taken == Some(position) =>
            {
                self.state = FollowerState::Following { control };
                self.choice.succeeded(control);
                Ok(())
            }
            _ => Err(Unexpected),
        }
    }

    fn begin_comparing(&mut self, records: &impl Records<R>, now: Ms) -> Result<(), Unexpected> {
        let (FollowerState::Greeting { control } | FollowerState::Following { control }) = self.state else {
            return Err(Unexpected);
        };
        if self.owed != Owed::Nothing {
            return Err(Unexpected);
        }
        self.state = FollowerState::Comparing { control };
        self.owed = Owed::Buckets;
        self.say_owed(records, now);
        Ok(())
    }

    fn take_page(
        &mut self,
        page: Vec<R>,
        last: Option<Position>,
        records: &impl Records<R>,
    ) -> Result<(), Unexpected> {
        let FollowerState::Comparing { control } = self.state else { return Err(Unexpected) };
        if self.owed != Owed::Nothing {
            return Err(Unexpected);
        }
        if last.is_some() {
            self.state = FollowerState::Following { control };
            self.choice.succeeded(control);
        }
        self.persist(page, last, records)
    }

    fn answer_heartbeat(&mut self, position: Position) -> Result<(), Unexpected> {
        match self.state {
            FollowerState::Following { .. } => {
                // The control node can't be behind what it sent, nor count anew.
                let taken = self.taken.ok_or(Unexpected)?;
                taken.behind(position).ok_or(Unexpected)?;
            }
            FollowerState::Greeting { .. } => self.begin_following_at(position)?,
            _ => {}
        }
        self.send(FollowerMessage::Applied { position: self.kept });
        Ok(())
    }

    /// Hands out what supersedes the records held.
    fn persist(
        &mut self,
        mut incoming: Vec<R>,
        position: Option<Position>,
        records: &impl Records<R>,
    ) -> Result<(), Unexpected> {
        if self.in_flight.len() >= self.limits.pending_batches {
            return Err(Unexpected);
        }
        incoming.retain(|record| self.in_flight.admits(record, &self.order, records));
        self.taken = position.or(self.taken);
        let batch = self.in_flight.push(&incoming, position);
        self.actions.push(FollowerAction::Persist { batch, records: incoming, position });
        Ok(())
    }
}
