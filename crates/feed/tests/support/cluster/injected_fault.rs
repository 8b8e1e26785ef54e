//! A protocol fault injected between the two sides.
use super::*;

impl SimulatedCluster {
    /// Injects [`InjectedFault::SkipsAtCompaction`]: answers the control node that no bucket differs, and tells the
    /// follower that it received all changes.
    pub(super) fn inject_skip(
        &mut self,
        index: usize,
        message: ControlMessage<TestRecord>,
    ) -> Result<Option<ControlMessage<TestRecord>>, Violation> {
        let connection = &mut self.connections[index];
        let disk = &self.followers[connection.follower].disk;
        let newest = disk.writes.iter().rev().find_map(Write::origin_position).or(disk.origin_position());
        let control = &mut self.controls[connection.control];
        let accepted = newest
            .filter(|origin_position| origin_position.1 == control.origin)
            .map(|origin_position| origin_position.0);
        let (InjectedFault::SkipsAtCompaction, Some(after)) = (self.config.injected_fault, accepted) else {
            return Ok(Some(message));
        };
        match message {
            ControlMessage::SendBuckets => {
                connection.skips = true;
                let buckets = FollowerMessage::Buckets { hashes: control.store.bucket_hashes() };
                let (session, now) = (SessionNumber(index as u64), self.now as Ms / MS as Ms);
                control.feed.message(session, buckets, &control.store, now);
                let node = connection.control;
                self.run_control_actions(node)?;
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
