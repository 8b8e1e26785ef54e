//! A fault that is planted between the two sides.
use super::*;

impl World {
    /// Plants [`Planted::SkipsAtCompaction`]: the control node is told that nothing differs, the follower that it was sent
    /// everything.
    pub(super) fn plant_skip(
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
}
