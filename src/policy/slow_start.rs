//! What workers that have just started are spared.
use super::*;

/// Cold workers at which a call may lose its draw until it spares them all.
const DRAWS: usize = 3;
/// First calls to a cold worker, of all front ends together, that need no draw: where those are few.
pub(super) const FIRST_CALLS: f64 = 4.0;
/// Calls taken for each one served beyond which it is not yet known what workers can do.
const UNSERVED: f64 = 4.0;

impl Dispatcher {
    /// Calls of ours that a cold worker bears in the span in which too many would fell it: its share, by its
    /// present capacity, of what the fleet served of late, or was asked for where it served hardly any yet,
    /// and what it proved by answers of its own, less than what would fell one of the usual speed.
    pub(super) fn bears(&self, worker: &Worker) -> f64 {
        let [taken, served] = [&self.taking, &self.served].map(|calls| calls.at(self.now, self.set.keep));
        let asked = (taken - UNSERVED * served) / self.fleet.len().max(1) as f64;
        let rate = (served / self.whole.value.max(1.0)).max(asked) / self.set.keep;
        let share =
            worker.warmth(self.now, &self.set) * worker.weight / self.fleet.mean_weight() * rate * self.half;
        let proved = (self.set.fall_multiple - 1.0) * worker.answered.at(self.now, self.half);
        (share + proved).min(self.set.fall_multiple * share)
    }

    /// Whether a call spares a worker: that one is cold, and has its fill or the call lost its draw there of
    /// late, or at several others.
    pub(super) fn spares(&self, pending: &Pending, worker: &Worker, at: WorkerId) -> bool {
        let lost = pending.draws.iter().filter(|draw| !draw.1 && self.now < draw.2 + self.set.fall_span);
        let lost = || lost.clone().count() >= DRAWS || lost.clone().any(|draw| draw.0 == at);
        let full = || worker.sent.count(self.now, self.set.fall_span) >= self.bears(worker).max(1.0);
        worker.cold(self.now, &self.set) && (full() || lost())
    }

    /// Whether a call may go to a worker. Where that one is cold and bears less than one call of each front
    /// end, it is drawn. Each counts how many of its own would go there, so that one with few calls needs
    /// no allowance saved up beforehand.
    pub(super) fn admitted(&mut self, id: RequestId, at: WorkerId) -> bool {
        let (now, set) = (self.now, &self.set);
        let Some(worker) = self.workers.get(&at).filter(|worker| worker.cold(now, set)) else { return true };
        let left = self.bears(worker) - worker.sent.count(now, set.fall_span);
        let (Some(pending), Some(worker)) = (self.pending.get_mut(&id), self.workers.get_mut(&at)) else {
            return true;
        };
        pending.draws.retain(|draw| now < draw.2 + set.fall_span);
        if let Some(met) = pending.draws.iter().find(|draw| draw.0 == at) {
            return met.1;
        }
        let wanted = worker.wanted.add(now, self.half);
        self.returned.remove(&at);
        let part = if left < 1.0 { left / wanted } else { 1.0 };
        let least = if wanted <= 1.0 { FIRST_CALLS / f64::from(set.front_ends) } else { 0.0 };
        let drawn = self.rng.random::<f64>() < part.max(least);
        pending.draws.push((at, drawn, now));
        drawn
    }
}
