//! The preferred workers of a model, in an order that all invokers compute alike, so that they share copies
//! without communication.
//!
//! Workers are ranked by weighted rendezvous hashing (highest random weight): the rank of a worker for a
//! model is an exponential random number derived from both names, divided by the worker's weight, lowest
//! first. A ranking holds all workers up to a highest rank, some dozens in a fleet of any size; a change of
//! a worker affects only its own element.
use crate::fleet::{Fleet, RankedWorker, Side, ZoneGroup, SIDES};
use crate::interface::{ModelId, WorkerId};

/// Target size of the ranking of each side at first.
const INITIAL_WORKERS: [usize; SIDES.len()] = [24, 40];
/// Highest target size of a ranking.
const MAX_WORKERS: usize = 256;
/// A ranking that exceeds its target size by this factor is rebuilt.
const OVERGROWTH_FACTOR: usize = 3;
/// Growth of the target size after a search that found no worker.
const WIDEN_FACTOR: usize = 4;

fn mix_bits(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Deterministic draw between 0 and 1 for a worker and a model's hash.
fn draw(worker: &RankedWorker, model_hash: u64) -> f64 {
    mix_bits(worker.hash ^ model_hash) as f64 / u64::MAX as f64
}

fn rank_of(worker: &RankedWorker, draw: f64) -> f32 {
    (-draw.max(1e-12).ln() / worker.ranking_weight()) as f32
}

/// Rank of a warm worker for a model, lowest first.
pub(crate) fn rank(worker: &RankedWorker, model: ModelId) -> f32 {
    rank_of(worker, draw(worker, mix_bits(model.0)))
}

/// A worker with its rank when warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PreferredWorker {
    pub rank: f32,
    pub worker: WorkerId,
}

/// The present capacity of each worker as a part of its full capacity; `None` if no worker is cold.
pub(crate) struct WorkerWarmth<'a> {
    pub of_worker: Option<&'a dyn Fn(WorkerId) -> f64>,
}

impl WorkerWarmth<'_> {
    fn all_warm(&self) -> bool {
        self.of_worker.is_none()
    }

    /// The rank of a worker at its present warmth.
    fn rank(&self, candidate: &PreferredWorker) -> f64 {
        let warmth = self.of_worker.map_or(1.0, |of| of(candidate.worker));
        f64::from(candidate.rank) / warmth.max(f64::MIN_POSITIVE)
    }
}

/// All workers of one side up to a highest rank.
struct Ranking {
    workers: Vec<PreferredWorker>,
    /// The highest rank held; infinite if all workers of the side are held.
    last_rank: f32,
    /// Target number of workers.
    target_len: usize,
}

impl Ranking {
    fn new(target_len: usize) -> Self {
        Ranking { workers: Vec::new(), last_rank: 0.0, target_len }
    }

    /// Ranks all workers of a side again and keeps the first ones.
    fn rebuild(&mut self, group: &ZoneGroup, model: ModelId) {
        let model_hash = mix_bits(model.0);
        let members = group.members.len();
        let is_whole = members <= 2 * self.target_len;
        let mut last_rank =
            if is_whole { f32::INFINITY } else { (self.target_len as f64 / group.ranking_weight) as f32 };
        loop {
            self.workers.clear();
            for worker in &group.members {
                let draw = draw(worker, model_hash);
                // Skips the logarithm for most workers: -ln(x) is at least 1 - x.
                if 1.0 - draw > f64::from(last_rank) * worker.ranking_weight() {
                    continue;
                }
                let rank = rank_of(worker, draw);
                if rank <= last_rank {
                    self.workers.push(PreferredWorker { rank, worker: worker.id });
                }
            }
            if is_whole || self.workers.len() >= self.target_len / 2 {
                break;
            }
            last_rank *= 2.0;
        }
        self.last_rank = last_rank;
        self.workers.shrink_to(2 * self.target_len);
    }

    fn holds_all(&self) -> bool {
        self.last_rank == f32::INFINITY
    }

    fn add(&mut self, candidate: PreferredWorker) {
        if candidate.rank <= self.last_rank {
            self.workers.push(candidate);
        }
    }

    fn remove(&mut self, worker: WorkerId) {
        if let Some(position) = self.workers.iter().position(|candidate| candidate.worker == worker) {
            self.workers.swap_remove(position);
        }
    }

    /// Rebuilds the ranking if it has become too short or too long.
    fn rebuild_if_needed(&mut self, group: &ZoneGroup, model: ModelId) {
        if !self.holds_all() && self.workers.len() < self.target_len / 2
            || self.workers.len() > OVERGROWTH_FACTOR * self.target_len
        {
            self.rebuild(group, model);
        }
    }
}

/// The preferred workers of one model.
pub(crate) struct PreferredWorkers {
    rankings: [Ranking; SIDES.len()],
    /// The revision of the fleet that the rankings reflect; `None` before the first ranking.
    revision: Option<u64>,
    /// The ranking step whose warmth the order reflects.
    step: u64,
    /// The last step in which the rankings were extended.
    widened_in: Option<u64>,
    /// All workers were warm when the order was computed.
    sorted_all_warm: bool,
}

impl Default for PreferredWorkers {
    fn default() -> Self {
        PreferredWorkers {
            rankings: INITIAL_WORKERS.map(Ranking::new),
            revision: None,
            step: 0,
            widened_in: None,
            sorted_all_warm: false,
        }
    }
}

impl PreferredWorkers {
    /// Applies changes of the fleet and sorts by the warmth of workers in this step.
    pub fn refresh(&mut self, fleet: &Fleet, model: ModelId, step: u64, warmth: &WorkerWarmth<'_>) {
        let is_current = self.revision == Some(fleet.revision());
        let is_in_order = self.step == step || self.sorted_all_warm && warmth.all_warm();
        if is_current && is_in_order {
            self.step = step;
            return;
        }
        let changed = self.revision.and_then(|revision| fleet.changed_since(revision));
        match changed {
            Some(changed) => changed.for_each(|worker| self.update(fleet, model, worker)),
            None => self.rebuild(fleet, model),
        }
        for side in SIDES {
            self.rankings[side as usize].rebuild_if_needed(fleet.group(side), model);
        }
        (self.revision, self.step) = (Some(fleet.revision()), step);
        self.sort(warmth);
    }

    /// Extends the rankings after a search that found no worker, at most once per step. Returns false if
    /// they can't be extended.
    pub fn widen(&mut self, fleet: &Fleet, model: ModelId, warmth: &WorkerWarmth<'_>) -> bool {
        let mut is_wider = false;
        if self.widened_in.replace(self.step) == Some(self.step) {
            return false;
        }
        for side in SIDES {
            let ranking = &mut self.rankings[side as usize];
            if !ranking.holds_all() && ranking.target_len < MAX_WORKERS {
                ranking.target_len = (WIDEN_FACTOR * ranking.target_len).min(MAX_WORKERS);
                ranking.rebuild(fleet.group(side), model);
                is_wider = true;
            }
        }
        if is_wider {
            self.sort(warmth);
        }
        is_wider
    }

    /// Resets rankings that were extended.
    pub fn reset_widened(&mut self) {
        if self.rankings.iter().zip(INITIAL_WORKERS).any(|(ranking, first)| ranking.target_len > first) {
            *self = PreferredWorkers::default();
        }
    }

    fn rebuild(&mut self, fleet: &Fleet, model: ModelId) {
        for side in SIDES {
            self.rankings[side as usize].rebuild(fleet.group(side), model);
        }
    }

    fn update(&mut self, fleet: &Fleet, model: ModelId, worker: WorkerId) {
        self.rankings.iter_mut().for_each(|ranking| ranking.remove(worker));
        if let Some((side, ranked)) = fleet.get(worker) {
            let candidate = PreferredWorker { rank: rank(&ranked, model), worker };
            self.rankings[side as usize].add(candidate);
        }
    }

    fn sort(&mut self, warmth: &WorkerWarmth<'_>) {
        for ranking in &mut self.rankings {
            let workers = &mut ranking.workers;
            if warmth.all_warm() {
                workers.sort_unstable_by(|a, b| a.rank.total_cmp(&b.rank).then(a.worker.cmp(&b.worker)));
            } else {
                // The bit patterns of positive floats sort like their values.
                workers.sort_by_cached_key(|candidate| (warmth.rank(candidate).to_bits(), candidate.worker));
            }
        }
        self.sorted_all_warm = warmth.all_warm();
    }

    /// The preferred workers of one side, best first.
    pub fn of(&self, side: Side) -> &[PreferredWorker] {
        &self.rankings[side as usize].workers
    }

    /// All preferred workers, those of the own zone first.
    pub fn iter(&self) -> impl Iterator<Item = WorkerId> + '_ {
        SIDES.into_iter().flat_map(|side| self.of(side)).map(|candidate| candidate.worker)
    }

    /// Heap memory, in bytes.
    pub fn bytes(&self) -> usize {
        let held: usize = self.rankings.iter().map(|ranking| ranking.workers.capacity()).sum();
        held * std::mem::size_of::<PreferredWorker>()
    }

    /// Heap memory on the first call of a model, with `ready` ready workers, in bytes.
    pub fn cost(ready: usize) -> usize {
        let most: usize = INITIAL_WORKERS.iter().map(|first| 2 * first).sum();
        ready.min(most) * std::mem::size_of::<PreferredWorker>()
    }
}

#[cfg(test)]
mod tests;
