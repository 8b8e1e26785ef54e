//! The ready workers as rankings need them, and sums over them, all kept up by what changes.
use crate::interface::{Ms, WorkerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Least weight that a worker is ranked with.
const LEAST_WEIGHT: f64 = 0.01;
/// Greatest weight that counts: sums over workers stay far from what numbers can hold.
pub(crate) const GREATEST_WEIGHT: f64 = 1e9;
/// Changes that are remembered; a ranking that is further behind is made anew.
const REMEMBERED_CHANGES: usize = 1024;

/// What ranks a ready worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RankedWorker {
    pub id: WorkerId,
    /// Of its name: the same at every front end.
    pub hash: u64,
    pub weight: f64,
}

impl RankedWorker {
    /// Weight with which it is ranked.
    pub fn ranking_weight(&self) -> f64 {
        self.weight.clamp(LEAST_WEIGHT, GREATEST_WEIGHT)
    }
}

/// Which of the two groups a worker is in: those of the own zone are ranked ahead of all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Side {
    Own,
    Foreign,
}

/// Both groups, in the order in which they are ranked.
pub(crate) const SIDES: [Side; 2] = [Side::Own, Side::Foreign];

/// The ready workers of one group, in no order.
#[derive(Default)]
pub(crate) struct Group {
    pub members: Vec<RankedWorker>,
    /// Sum of the ranking weights.
    pub ranking_weight: f64,
}

/// The ready workers.
#[derive(Default)]
pub(crate) struct Fleet {
    groups: [Group; SIDES.len()],
    /// The group and the place in it of each ready worker.
    places: BTreeMap<WorkerId, (Side, usize)>,
    weight: f64,
    /// Whose rank has changed, oldest first, and the revision before the first of them.
    changes: VecDeque<WorkerId>,
    first_revision: u64,
}

impl Fleet {
    /// What a worker takes here at most, in bytes: its place in a list that is at times half empty.
    pub const WORKER_COST: usize = 2 * std::mem::size_of::<RankedWorker>();

    /// How many are ready.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Sum of the weights.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Mean weight; 1 where none is ready.
    pub fn mean_weight(&self) -> f64 {
        if self.places.is_empty() {
            return 1.0;
        }
        self.weight / self.places.len() as f64
    }

    pub fn group(&self, side: Side) -> &Group {
        &self.groups[side as usize]
    }

    /// A ready worker and its group.
    pub fn get(&self, id: WorkerId) -> Option<(Side, RankedWorker)> {
        self.places.get(&id).map(|&(side, place)| (side, self.groups[side as usize].members[place]))
    }

    /// Goes up with each change.
    pub fn revision(&self) -> u64 {
        self.first_revision + self.changes.len() as u64
    }

    /// Whose rank has changed since a revision; none where that is no longer known.
    pub fn changed_since(&self, revision: u64) -> Option<impl Iterator<Item = WorkerId> + '_> {
        let known = revision.checked_sub(self.first_revision)?;
        Some(self.changes.iter().skip(known as usize).copied())
    }

    /// A worker is ready, with this rank.
    pub fn set(&mut self, side: Side, worker: RankedWorker) {
        if self.get(worker.id) == Some((side, worker)) {
            return;
        }
        self.take_out(worker.id);
        let group = &mut self.groups[side as usize];
        self.places.insert(worker.id, (side, group.members.len()));
        group.members.push(worker);
        group.ranking_weight += worker.ranking_weight();
        self.weight += worker.weight;
        self.note_change(worker.id);
    }

    /// A worker is not ready any more.
    pub fn remove(&mut self, id: WorkerId) {
        if self.take_out(id) {
            self.note_change(id);
        }
    }

    fn take_out(&mut self, id: WorkerId) -> bool {
        let Some((side, place)) = self.places.remove(&id) else { return false };
        let group = &mut self.groups[side as usize];
        let worker = group.members.swap_remove(place);
        group.ranking_weight -= worker.ranking_weight();
        self.weight -= worker.weight;
        if let Some(moved) = group.members.get(place) {
            self.places.insert(moved.id, (side, place));
        }
        if group.members.is_empty() {
            group.ranking_weight = 0.0;
        }
        if self.places.is_empty() {
            self.weight = 0.0;
        }
        true
    }

    fn note_change(&mut self, id: WorkerId) {
        self.changes.push_back(id);
        if self.changes.len() > REMEMBERED_CHANGES {
            self.changes.pop_front();
            self.first_revision += 1;
        }
    }

    /// What it takes, in bytes, beside the workers themselves.
    pub fn bytes(&self) -> usize {
        let members: usize = self.groups.iter().map(|group| group.members.capacity()).sum();
        members * std::mem::size_of::<RankedWorker>()
            + self.changes.capacity() * std::mem::size_of::<WorkerId>()
    }
}

/// The ready workers that are cold, and how warm they are together.
#[derive(Default)]
pub(crate) struct ColdWorkers {
    known: BTreeMap<WorkerId, ColdWorker>,
    /// When each is warm, in microseconds.
    ends: BTreeSet<(u64, WorkerId)>,
    weight: f64,
    /// Sum of weight times start.
    weighted_start: f64,
}

#[derive(Clone, Copy)]
struct ColdWorker {
    weight: f64,
    started: Ms,
    end: u64,
}

impl ColdWorkers {
    /// A worker is cold: it started then, and is warm after the span.
    pub fn set(&mut self, id: WorkerId, weight: f64, started: Ms, span: Ms) {
        self.remove(id);
        let end = ((started + span).max(0.0) * 1000.0) as u64;
        self.known.insert(id, ColdWorker { weight, started, end });
        self.ends.insert((end, id));
        self.weight += weight;
        self.weighted_start += weight * started;
    }

    /// A worker is warm, or not ready any more.
    pub fn remove(&mut self, id: WorkerId) {
        let Some(cold) = self.known.remove(&id) else { return };
        self.ends.remove(&(cold.end, id));
        self.weight -= cold.weight;
        self.weighted_start -= cold.weight * cold.started;
        if self.known.is_empty() {
            (self.weight, self.weighted_start) = (0.0, 0.0);
        }
    }

    /// Takes out one that has become warm by then.
    pub fn pop_warm(&mut self, now: Ms) -> Option<WorkerId> {
        let &(end, id) = self.ends.first()?;
        if end as f64 > now * 1000.0 {
            return None;
        }
        self.remove(id);
        Some(id)
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Sum of their weights.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Sum of weight times age, in parts of the span after which they are warm.
    pub fn weighted_age(&self, now: Ms, span: Ms) -> f64 {
        if self.known.is_empty() || span <= 0.0 {
            return 0.0;
        }
        ((now * self.weight - self.weighted_start) / span).clamp(0.0, self.weight)
    }
}

#[cfg(test)]
mod tests;
