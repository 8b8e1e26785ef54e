//! Slow start: limits the calls sent to workers that have just started (cold workers).
use super::*;

/// Lost draws at cold workers after which a call avoids all cold workers.
const MAX_LOST_DRAWS: usize = 3;
/// Number of first calls to a cold worker, over all invokers together, that are admitted without regard to
/// the allowance. With more invokers than this, each admits its first call with a probability.
pub(super) const UNRESTRICTED_FIRST_CALLS: f64 = 4.0;
/// Calls taken per call served above which the calls served don't show yet what workers can do.
const MAX_TAKEN_PER_SERVED: f64 = 4.0;

impl Dispatcher {
    /// Calls of this invoker that a cold worker may get within `overload_span`, the span over which overload
    /// makes it fail. It is the worker's share, by its present capacity, of the calls that the fleet served
    /// recently (of the calls taken, where hardly any were served yet), plus an allowance for the calls
    /// that it answered itself, at most `overload_multiple` times the share.
    pub(super) fn cold_call_allowance(&self, worker: &Worker) -> f64 {
        let [taken, served] = [&self.taken_calls, &self.served_calls]
            .map(|calls| calls.at(self.now, self.settings.min_idle_keep));
        let demand_per_worker = (taken - MAX_TAKEN_PER_SERVED * served) / self.fleet.len().max(1) as f64;
        let rate = (served / self.effective_workers.value.max(1.0)).max(demand_per_worker)
            / self.settings.min_idle_keep;
        let share = worker.warmth(self.now, &self.settings) * worker.weight / self.fleet.mean_weight()
            * rate
            * self.half_life;
        let earned =
            (self.settings.overload_multiple - 1.0) * worker.recent_answers.at(self.now, self.half_life);
        (share + earned).min(self.settings.overload_multiple * share)
    }

    /// Whether a call must avoid a worker: it is cold, and its allowance is used up, or the call recently
    /// lost its draw there or at several other cold workers.
    pub(super) fn avoids_cold_worker(
        &self,
        pending: &PendingRequest,
        worker: &Worker,
        worker_id: WorkerId,
    ) -> bool {
        let lost_draws = pending
            .cold_draws
            .iter()
            .filter(|draw| !draw.1 && self.now < draw.2 + self.settings.overload_span);
        let lost = || {
            lost_draws.clone().count() >= MAX_LOST_DRAWS || lost_draws.clone().any(|draw| draw.0 == worker_id)
        };
        let full = || {
            worker.recent_sends.count(self.now, self.settings.overload_span)
                >= self.cold_call_allowance(worker).max(1.0)
        };
        worker.is_cold(self.now, &self.settings) && (full() || lost())
    }

    /// Decides whether a call may go to a worker; always true for a warm one. Where less than one call is
    /// left of the allowance of a cold worker, the call is admitted at random, with the allowance left over
    /// the number of calls that would have gone there as probability. So an invoker with few calls needs no
    /// saved allowance.
    pub(super) fn admit_to_cold_worker(&mut self, id: RequestId, worker_id: WorkerId) -> bool {
        let (now, settings) = (self.now, &self.settings);
        let Some(worker) = self.workers.get(&worker_id).filter(|worker| worker.is_cold(now, settings)) else {
            return true;
        };
        let left = self.cold_call_allowance(worker) - worker.recent_sends.count(now, settings.overload_span);
        let (Some(pending), Some(worker)) = (self.pending.get_mut(&id), self.workers.get_mut(&worker_id))
        else {
            return true;
        };
        pending.cold_draws.retain(|draw| now < draw.2 + settings.overload_span);
        if let Some(previous) = pending.cold_draws.iter().find(|draw| draw.0 == worker_id) {
            return previous.1;
        }
        let demand = worker.cold_demand.add(now, self.half_life);
        self.returned_workers.remove(&worker_id);
        let probability = if left < 1.0 { left / demand } else { 1.0 };
        let min_probability =
            if demand <= 1.0 { UNRESTRICTED_FIRST_CALLS / f64::from(settings.invokers) } else { 0.0 };
        let drawn = self.rng.random::<f64>() < probability.max(min_probability);
        pending.cold_draws.push((worker_id, drawn, now));
        drawn
    }
}
