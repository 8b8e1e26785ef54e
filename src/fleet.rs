//! Indexes of the ready and the cold workers for rankings, and sums over them, updated incrementally.
use crate::interface::{Ms, WorkerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Lowest weight that a worker is ranked with.
const MIN_WEIGHT: f64 = 0.01;
/// Highest weight of a worker, so that sums over workers can't overflow.
pub(crate) const MAX_WEIGHT: f64 = 1e9;
/// Number of changes remembered; a ranking that lags by more is rebuilt.
const MAX_REMEMBERED_CHANGES: usize = 1024;

/// The data by which a ready worker is ranked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RankedWorker {
    pub id: WorkerId,
    /// Hash of its name: the same at every invoker.
    pub hash: u64,
    pub weight: f64,
}

impl RankedWorker {
    /// The weight used for ranking, within bounds.
    pub fn ranking_weight(&self) -> f64 {
        self.weight.clamp(MIN_WEIGHT, MAX_WEIGHT)
    }
}

/// Whether a worker is in the invoker's own zone; workers of the own zone are ranked ahead of all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Side {
    Own,
    Foreign,
}

/// Both sides, in the order in which they are ranked.
pub(crate) const SIDES: [Side; 2] = [Side::Own, Side::Foreign];

/// The ready workers of one side, in no order.
#[derive(Default)]
pub(crate) struct ZoneGroup {
    pub members: Vec<RankedWorker>,
    /// Sum of the ranking weights.
    pub ranking_weight: f64,
}

/// The ready workers.
#[derive(Default)]
pub(crate) struct Fleet {
    groups: [ZoneGroup; SIDES.len()],
    /// The side of each ready worker and its index in that side's members.
    positions: BTreeMap<WorkerId, (Side, usize)>,
    weight: f64,
    /// Workers whose rank has changed, oldest first, and the revision before the first of these changes.
    changes: VecDeque<WorkerId>,
    first_revision: u64,
}

impl Fleet {
    /// Highest memory of a worker here, in bytes: its element in a vector that may be half empty.
    pub const WORKER_COST: usize = 2 * std::mem::size_of::<RankedWorker>();

    /// Number of ready workers.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Sum of the weights of all ready workers.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Mean weight of the ready workers; 1 if there is none.
    pub fn mean_weight(&self) -> f64 {
        if self.positions.is_empty() {
            return 1.0;
        }
        self.weight / self.positions.len() as f64
    }

    pub fn group(&self, side: Side) -> &ZoneGroup {
        &self.groups[side as usize]
    }

    /// The side and the ranking data of a ready worker.
    pub fn get(&self, id: WorkerId) -> Option<(Side, RankedWorker)> {
        self.positions.get(&id).map(|&(side, position)| (side, self.groups[side as usize].members[position]))
    }

    /// Number of changes so far.
    pub fn revision(&self) -> u64 {
        self.first_revision + self.changes.len() as u64
    }

    /// Workers whose rank has changed since a revision; `None` if these changes are no longer remembered.
    pub fn changed_since(&self, revision: u64) -> Option<impl Iterator<Item = WorkerId> + '_> {
        let skipped = revision.checked_sub(self.first_revision)?;
        Some(self.changes.iter().skip(skipped as usize).copied())
    }

    /// Inserts or updates a ready worker.
    pub fn set(&mut self, side: Side, worker: RankedWorker) {
        if self.get(worker.id) == Some((side, worker)) {
            return;
        }
        self.remove_member(worker.id);
        let group = &mut self.groups[side as usize];
        self.positions.insert(worker.id, (side, group.members.len()));
        group.members.push(worker);
        group.ranking_weight += worker.ranking_weight();
        self.weight += worker.weight;
        self.record_change(worker.id);
    }

    /// Removes a worker that is no longer ready.
    pub fn remove(&mut self, id: WorkerId) {
        if self.remove_member(id) {
            self.record_change(id);
        }
    }

    fn remove_member(&mut self, id: WorkerId) -> bool {
        let Some((side, position)) = self.positions.remove(&id) else { return false };
        let group = &mut self.groups[side as usize];
        let worker = group.members.swap_remove(position);
        group.ranking_weight -= worker.ranking_weight();
        self.weight -= worker.weight;
        if let Some(moved) = group.members.get(position) {
            self.positions.insert(moved.id, (side, position));
        }
        if group.members.is_empty() {
            group.ranking_weight = 0.0;
        }
        if self.positions.is_empty() {
            self.weight = 0.0;
        }
        true
    }

    fn record_change(&mut self, id: WorkerId) {
        self.changes.push_back(id);
        if self.changes.len() > MAX_REMEMBERED_CHANGES {
            self.changes.pop_front();
            self.first_revision += 1;
        }
    }

    /// Memory of the vectors, in bytes.
    pub fn bytes(&self) -> usize {
        let members: usize = self.groups.iter().map(|group| group.members.capacity()).sum();
        members * std::mem::size_of::<RankedWorker>()
            + self.changes.capacity() * std::mem::size_of::<WorkerId>()
    }
}

/// The ready workers that are cold, with sums over their weights and ages.
#[derive(Default)]
pub(crate) struct ColdWorkers {
    workers: BTreeMap<WorkerId, ColdWorker>,
    /// When each worker will be warm, in microseconds.
    warm_times: BTreeSet<(u64, WorkerId)>,
    weight: f64,
    /// Sum of weight times start.
    weighted_start: f64,
}

#[derive(Clone, Copy)]
struct ColdWorker {
    weight: f64,
    started: Ms,
    warm_at: u64,
}

impl ColdWorkers {
    /// Inserts or updates a cold worker that started at `started` and is warm `span` ms later.
    pub fn set(&mut self, id: WorkerId, weight: f64, started: Ms, span: Ms) {
        self.remove(id);
        let warm_at = ((started + span).max(0.0) * 1000.0) as u64;
        self.workers.insert(id, ColdWorker { weight, started, warm_at });
        self.warm_times.insert((warm_at, id));
        self.weight += weight;
        self.weighted_start += weight * started;
    }

    /// Removes a worker that is warm or no longer ready.
    pub fn remove(&mut self, id: WorkerId) {
        let Some(cold) = self.workers.remove(&id) else { return };
        self.warm_times.remove(&(cold.warm_at, id));
        self.weight -= cold.weight;
        self.weighted_start -= cold.weight * cold.started;
        if self.workers.is_empty() {
            (self.weight, self.weighted_start) = (0.0, 0.0);
        }
    }

    /// Removes and returns one worker that is warm at `now`.
    pub fn pop_warm(&mut self, now: Ms) -> Option<WorkerId> {
        let &(warm_at, id) = self.warm_times.first()?;
        if warm_at as f64 > now * 1000.0 {
            return None;
        }
        self.remove(id);
        Some(id)
    }

    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Sum of the weights of all cold workers.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Sum of weight times age, with the age as a part of the span (ms) after which a worker is warm.
    pub fn weighted_age(&self, now: Ms, span: Ms) -> f64 {
        if self.workers.is_empty() || span <= 0.0 {
            return 0.0;
        }
        ((now * self.weight - self.weighted_start) / span).clamp(0.0, self.weight)
    }
}

#[cfg(test)]
mod tests;
