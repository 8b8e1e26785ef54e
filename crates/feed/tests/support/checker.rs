//! What must hold at all times, whatever goes wrong.
use super::{TestRecord, TestStore};
use corkbay_feed::{FeedRecord, Position};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A process of a control node, by its number over all control nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin(pub usize);

/// What was found to be broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A follower took revisions of one incarnation twice or out of order.
    OutOfOrder { follower: usize },
    /// A follower's position claims a change that its disk doesn't hold.
    ClaimsTooMuch { follower: usize, key: Arc<str> },
    /// A record of a follower was replaced by one that isn't greater.
    WentBack { follower: usize, key: Arc<str> },
    /// A follower acknowledged what isn't on its disk.
    AcknowledgedBeforeSync { follower: usize },
    /// A follower hasn't come to equal the control nodes in time.
    NotEqual { follower: usize },
    /// The control nodes don't equal each other, which is the simulation's own doing.
    MeshNotEqual,
    /// While nothing changes more is sent than heartbeats, or larger ones.
    IdleTraffic { follower: usize },
    /// A change isn't in force in time while a control node is away.
    Late { follower: usize },
    /// A control node does more at a time than its bounds allow.
    OverBounds,
}

/// The changes of one process of a control node.
#[derive(Default)]
struct Log {
    start: TestStore,
    /// By key, the latest revision and its record.
    latest: BTreeMap<Arc<str>, (u64, TestRecord)>,
    keys: Vec<Arc<str>>,
}

/// What a follower claims, and up to where that was checked, as revisions of a process.
#[derive(Clone, Default)]
struct Claim {
    taken: Option<(Origin, u64)>,
    checked: Option<(Origin, u64)>,
}

/// Follows what control nodes and followers do.
pub struct Checker {
    logs: Vec<Log>,
    claims: Vec<Claim>,
}

impl Checker {
    pub fn new(followers: usize) -> Self {
        Checker { logs: Vec::new(), claims: vec![Claim::default(); followers] }
    }

    /// A control node started with these records.
    pub fn started(&mut self, store: &TestStore) -> Origin {
        self.logs.push(Log { start: store.clone(), ..Log::default() });
        Origin(self.logs.len() - 1)
    }

    /// A control node took in a change.
    pub fn changed(&mut self, origin: Origin, record: &TestRecord) {
        let log = &mut self.logs[origin.0];
        log.keys.push(record.key.clone());
        log.latest.insert(record.key.clone(), (log.keys.len() as u64, record.clone()));
    }

    /// A follower handed out a batch that leads to a position.
    pub fn taken(&mut self, follower: usize, origin: Origin, revision: u64) -> Result<(), Violation> {
        let before = self.claims[follower].taken.replace((origin, revision));
        let is_again = before.is_some_and(|before| before.0 == origin && before.1 >= revision);
        if is_again {
            return Err(Violation::OutOfOrder { follower });
        }
        Ok(())
    }

    /// A follower started anew, with what its disk holds.
    pub fn restarted(&mut self, follower: usize, claim: Option<(Origin, u64)>) {
        self.claims[follower] = Claim { taken: claim, checked: None };
    }

    /// A record is written to a follower's disk.
    pub fn written(follower: usize, held: Option<&TestRecord>, record: &TestRecord) -> Result<(), Violation> {
        if held.is_some_and(|held| !record.order(held).is_gt()) {
            return Err(Violation::WentBack { follower, key: record.key.clone() });
        }
        Ok(())
    }

    /// A follower's disk holds a position that counts in the numbers of a process.
    pub fn claimed(
        &mut self,
        follower: usize,
        origin: Origin,
        revision: u64,
        disk: &TestStore,
    ) -> Result<(), Violation> {
        let log = &self.logs[origin.0];
        let holds = |record: &TestRecord| {
            disk.records.get(&record.key).is_some_and(|held| !record.order(held).is_gt())
        };
        let from = match self.claims[follower].checked {
            Some((checked, from)) if checked == origin => from,
            _ => {
                let lacks = log.start.records.values().find(|record| {
                    // What changed behind the position is still to come.
                    !holds(record) && log.latest.get(&record.key).is_none_or(|latest| latest.0 <= revision)
                });
                if let Some(record) = lacks {
                    return Err(Violation::ClaimsTooMuch { follower, key: record.key.clone() });
                }
                0
            }
        };
        // Nothing that was checked before can be lost since: records don't go back.
        let upto = (revision as usize).min(log.keys.len());
        for key in &log.keys[(from as usize).min(upto)..upto] {
            let (latest, record) = &log.latest[key];
            if *latest <= revision && !holds(record) {
                return Err(Violation::ClaimsTooMuch { follower, key: key.clone() });
            }
        }
        self.claims[follower].checked = Some((origin, revision));
        Ok(())
    }

    /// A follower tells what it holds while its disk holds this.
    pub fn acknowledged(
        follower: usize,
        said: Option<Position>,
        disk: Option<Position>,
    ) -> Result<(), Violation> {
        let Some(said) = said else { return Ok(()) };
        if disk.is_none_or(|disk| said.behind(disk).is_none()) {
            return Err(Violation::AcknowledgedBeforeSync { follower });
        }
        Ok(())
    }
}
