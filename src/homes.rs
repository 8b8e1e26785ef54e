//! The homes of a model: the workers that are named first for it, the same at every front end, so that copies
//! are shared without a word between them.
//!
//! Workers are ranked by weighted rendezvous hashing (highest random weight): the rank of a worker for a model
//! is an exponential draw from both names over the worker's weight, lowest first. A ranking holds all workers
//! up to a rank, some dozens however many there are; a worker that changes touches its own entry alone.
use crate::fleet::{Fleet, Group, RankedWorker, Side, SIDES};
use crate::interface::{ModelId, WorkerId};

/// Workers that a ranking of each group is made for at first, and at most.
const FIRST_WORKERS: [usize; SIDES.len()] = [24, 40];
const MOST_WORKERS: usize = 256;
/// A ranking that has grown by so much is cut back.
const OVERGROWN: usize = 3;
/// How much further a search goes that found nothing.
const WIDER: usize = 4;

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The draw between 0 and 1 of a worker for a model of that mixed name.
fn draw(worker: &RankedWorker, mixed_model: u64) -> f64 {
    mix(worker.hash ^ mixed_model) as f64 / u64::MAX as f64
}

fn rank_of(worker: &RankedWorker, draw: f64) -> f32 {
    (-draw.max(1e-12).ln() / worker.ranking_weight()) as f32
}

/// Place of a warm worker among the homes of a model, lowest first.
pub(crate) fn rank(worker: &RankedWorker, model: ModelId) -> f32 {
    rank_of(worker, draw(worker, mix(model.0)))
}

/// A worker with its rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Home {
    pub rank: f32,
    pub worker: WorkerId,
}

/// The part of its capacity that each worker has; all of it where nobody is cold.
pub(crate) struct WorkerWarmth<'a> {
    pub of_worker: Option<&'a dyn Fn(WorkerId) -> f64>,
}

impl WorkerWarmth<'_> {
    fn is_full(&self) -> bool {
        self.of_worker.is_none()
    }

    /// The rank of a worker as it is now.
    fn rank(&self, home: &Home) -> f64 {
        let warmth = self.of_worker.map_or(1.0, |of| of(home.worker));
        f64::from(home.rank) / warmth.max(f64::MIN_POSITIVE)
    }
}

/// All workers of a group up to a rank.
struct Ranking {
    homes: Vec<Home>,
    /// Infinite where all workers of the group are held.
    last_rank: f32,
    /// How many it is made for.
    wanted: usize,
}

impl Ranking {
    fn new(wanted: usize) -> Self {
        Ranking { homes: Vec::new(), last_rank: 0.0, wanted }
    }

    /// Finds the first workers of a group anew.
    fn rebuild(&mut self, group: &Group, model: ModelId) {
        let mixed_model = mix(model.0);
        let members = group.members.len();
        let is_whole = members <= 2 * self.wanted;
        let mut last_rank =
            if is_whole { f32::INFINITY } else { (self.wanted as f64 / group.ranking_weight) as f32 };
        loop {
            self.homes.clear();
            for worker in &group.members {
                let draw = draw(worker, mixed_model);
                // Most are out of reach: -ln(x) is at least 1 - x.
                if 1.0 - draw > f64::from(last_rank) * worker.ranking_weight() {
                    continue;
                }
                let rank = rank_of(worker, draw);
                if rank <= last_rank {
                    self.homes.push(Home { rank, worker: worker.id });
                }
            }
            if is_whole || self.homes.len() >= self.wanted / 2 {
                break;
            }
            last_rank *= 2.0;
        }
        self.last_rank = last_rank;
        self.homes.shrink_to(2 * self.wanted);
    }

    fn holds_all(&self) -> bool {
        self.last_rank == f32::INFINITY
    }

    fn add(&mut self, home: Home) {
        if home.rank <= self.last_rank {
            self.homes.push(home);
        }
    }

    fn remove(&mut self, worker: WorkerId) {
        if let Some(place) = self.homes.iter().position(|home| home.worker == worker) {
            self.homes.swap_remove(place);
        }
    }

    /// Makes a ranking anew that has lost too many, and cuts one back that has grown too long.
    fn settle(&mut self, group: &Group, model: ModelId) {
        if !self.holds_all() && self.homes.len() < self.wanted / 2
            || self.homes.len() > OVERGROWN * self.wanted
        {
            self.rebuild(group, model);
        }
    }
}

/// The homes of one model.
pub(crate) struct Homes {
    rankings: [Ranking; SIDES.len()],
    /// The revision of the fleet that they are of; none before the first.
    revision: Option<u64>,
    /// The step of time that their order is of.
    step: u64,
    /// The last step in which a search went further down.
    widened_in: Option<u64>,
    /// All were warm when they were put in order.
    is_warm: bool,
}

impl Default for Homes {
    fn default() -> Self {
        Homes {
            rankings: FIRST_WORKERS.map(Ranking::new),
            revision: None,
            step: 0,
            widened_in: None,
            is_warm: false,
        }
    }
}

impl Homes {
    /// Takes up what has changed, and puts them in the order of the step.
    pub fn refresh(&mut self, fleet: &Fleet, model: ModelId, step: u64, warmth: &WorkerWarmth<'_>) {
        let is_current = self.revision == Some(fleet.revision());
        let is_in_order = self.step == step || self.is_warm && warmth.is_full();
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
            self.rankings[side as usize].settle(fleet.group(side), model);
        }
        (self.revision, self.step) = (Some(fleet.revision()), step);
        self.sort(warmth);
    }

    /// Goes on down the order, after a search that found nothing, once in a step; false where nothing is left.
    pub fn widen(&mut self, fleet: &Fleet, model: ModelId, warmth: &WorkerWarmth<'_>) -> bool {
        let mut is_wider = false;
        if self.widened_in.replace(self.step) == Some(self.step) {
            return false;
        }
        for side in SIDES {
            let ranking = &mut self.rankings[side as usize];
            if !ranking.holds_all() && ranking.wanted < MOST_WORKERS {
                ranking.wanted = (WIDER * ranking.wanted).min(MOST_WORKERS);
                ranking.rebuild(fleet.group(side), model);
                is_wider = true;
            }
        }
        if is_wider {
            self.sort(warmth);
        }
        is_wider
    }

    /// Gives back what searches that found nothing have added.
    pub fn narrow(&mut self) {
        if self.rankings.iter().zip(FIRST_WORKERS).any(|(ranking, first)| ranking.wanted > first) {
            *self = Homes::default();
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
            let home = Home { rank: rank(&ranked, model), worker };
            self.rankings[side as usize].add(home);
        }
    }

    fn sort(&mut self, warmth: &WorkerWarmth<'_>) {
        for ranking in &mut self.rankings {
            let homes = &mut ranking.homes;
            if warmth.is_full() {
                homes.sort_unstable_by(|a, b| a.rank.total_cmp(&b.rank).then(a.worker.cmp(&b.worker)));
            } else {
                // The bits of positive numbers are in their order.
                homes.sort_by_cached_key(|home| (warmth.rank(home).to_bits(), home.worker));
            }
        }
        self.is_warm = warmth.is_full();
    }

    /// The homes of a group, the likeliest first.
    pub fn of(&self, side: Side) -> &[Home] {
        &self.rankings[side as usize].homes
    }

    /// All homes, those of the own zone first.
    pub fn iter(&self) -> impl Iterator<Item = WorkerId> + '_ {
        SIDES.into_iter().flat_map(|side| self.of(side)).map(|home| home.worker)
    }

    /// What they take on the heap, in bytes.
    pub fn bytes(&self) -> usize {
        let held: usize = self.rankings.iter().map(|ranking| ranking.homes.capacity()).sum();
        held * std::mem::size_of::<Home>()
    }

    /// What those of a model will take that is called first, with so many workers that are ready, in bytes.
    pub fn cost(ready: usize) -> usize {
        let most: usize = FIRST_WORKERS.iter().map(|first| 2 * first).sum();
        ready.min(most) * std::mem::size_of::<Home>()
    }
}

#[cfg(test)]
mod tests;
