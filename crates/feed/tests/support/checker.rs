//! Checks the invariants of the feed, which must hold under all injected faults.
use super::{TestRecord, TestStore};
use corkbay_feed::{BucketNumber, FeedRecord, Position, Progress};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A process of a control node, numbered across the restarts of all control nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin(pub usize);

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A follower accepted revisions of one incarnation twice or out of order.
    OutOfOrder { follower: usize },
    /// A follower's progress covers a change that isn't on its disk.
    PositionAheadOfDisk { follower: usize, key: Arc<str> },
    /// A record of a follower was replaced by one that isn't greater.
    OlderRecordWritten { follower: usize, key: Arc<str> },
    /// A follower acknowledged a position that isn't on its disk.
    AcknowledgedBeforeSync { follower: usize },
    /// A follower's records didn't converge to those of the control nodes in time.
    NotConverged { follower: usize },
    /// The control nodes' records differ; the simulation replicates these itself, so this is an error in the
    /// simulation.
    ControlNodesDiffer,
    /// While nothing changes, other messages than heartbeats are sent, heartbeats are too large, or none are sent.
    IdleTraffic { follower: usize },
    /// A change didn't reach a follower in time while a control node was unavailable.
    ChangeLate { follower: usize },
    /// A control node exceeded its limits on copies, waiting followers or connections.
    LimitExceeded,
}

/// The log of changes of one control node process.
#[derive(Default)]
struct Log {
    start: TestStore,
    /// The latest revision and record of each key.
    latest: BTreeMap<Arc<str>, (u64, TestRecord)>,
    keys: Vec<Arc<str>>,
}

/// The revision that a follower has accepted, and the one up to which its disk was checked, each with its process.
#[derive(Clone, Default)]
struct FollowerProgress {
    accepted: Option<(Origin, u64)>,
    checked: Option<(Origin, u64)>,
}

/// Tracks the events of control nodes and followers and checks the invariants.
pub struct Checker {
    logs: Vec<Log>,
    progress: Vec<FollowerProgress>,
}

impl Checker {
    pub fn new(followers: usize) -> Self {
        Checker { logs: Vec::new(), progress: vec![FollowerProgress::default(); followers] }
    }

    /// Registers a control node process that started with these records.
    pub fn register_process(&mut self, store: &TestStore) -> Origin {
        self.logs.push(Log { start: store.clone(), ..Log::default() });
        Origin(self.logs.len() - 1)
    }

    /// Records that a control node accepted a change.
    pub fn record_change(&mut self, origin: Origin, record: &TestRecord) {
        let log = &mut self.logs[origin.0];
        log.keys.push(record.key.clone());
        log.latest.insert(record.key.clone(), (log.keys.len() as u64, record.clone()));
    }

    /// Checks that a batch handed out by a follower advances its position.
    pub fn check_batch_order(
        &mut self,
        follower: usize,
        origin: Origin,
        revision: u64,
    ) -> Result<(), Violation> {
        let before = self.progress[follower].accepted.replace((origin, revision));
        let is_again = before.is_some_and(|before| before.0 == origin && before.1 >= revision);
        if is_again {
            return Err(Violation::OutOfOrder { follower });
        }
        Ok(())
    }

    /// Records that a follower restarted with the position on its disk.
    pub fn record_restart(&mut self, follower: usize, origin_position: Option<(Origin, u64)>) {
        self.progress[follower] = FollowerProgress { accepted: origin_position, checked: None };
    }

    /// Checks that a record written to a follower's disk supersedes the held one.
    pub fn check_write(
        follower: usize,
        held: Option<&TestRecord>,
        record: &TestRecord,
    ) -> Result<(), Violation> {
        if held.is_some_and(|held| !record.order(held).is_gt()) {
            return Err(Violation::OlderRecordWritten { follower, key: record.key.clone() });
        }
        Ok(())
    }

    /// Checks that a follower's disk holds all changes up to its position, which is a revision of the process `origin`,
    /// except for keys that were left out. A change of a key that the disk holds may not be left out.
    pub fn check_progress(
        &mut self,
        follower: usize,
        origin: Origin,
        progress: &Progress,
        disk: &TestStore,
    ) -> Result<(), Violation> {
        let revision = progress.position.revision;
        if !progress.left_out.is_empty() {
            self.progress[follower].checked = None;
        }
        let log = &self.logs[origin.0];
        let holds = |record: &TestRecord| match disk.records.get(&record.key) {
            Some(held) => !record.order(held).is_gt(),
            None => progress.left_out.contains(BucketNumber::of(&record.key)),
        };
        let from = match self.progress[follower].checked {
            Some((checked, from)) if checked == origin => from,
            _ => {
                let lacks = log.start.records.values().find(|record| {
                    // Keys that changed after the position have yet to be sent.
                    !holds(record) && log.latest.get(&record.key).is_none_or(|latest| latest.0 <= revision)
                });
                if let Some(record) = lacks {
                    return Err(Violation::PositionAheadOfDisk { follower, key: record.key.clone() });
                }
                0
            }
        };
        // Changes that were checked before can't be lost, as records are only replaced by newer ones.
        let upto = (revision as usize).min(log.keys.len());
        for key in &log.keys[(from as usize).min(upto)..upto] {
            let (latest, record) = &log.latest[key];
            if *latest <= revision && !holds(record) {
                return Err(Violation::PositionAheadOfDisk { follower, key: key.clone() });
            }
        }
        // Whatever was left out has to be checked again, as it may be told to be there at the same position.
        self.progress[follower].checked = progress.left_out.is_empty().then_some((origin, revision));
        Ok(())
    }

    /// Checks that an acknowledged position isn't ahead of the one on the follower's disk.
    pub fn check_acknowledgement(
        follower: usize,
        acknowledged_position: Option<Position>,
        disk: Option<Position>,
    ) -> Result<(), Violation> {
        let Some(acknowledged_position) = acknowledged_position else { return Ok(()) };
        if disk.is_none_or(|disk| acknowledged_position.behind(disk).is_none()) {
            return Err(Violation::AcknowledgedBeforeSync { follower });
        }
        Ok(())
    }
}
