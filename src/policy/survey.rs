//! Searches for the best worker for a call: the model's preferred workers in order until a healthy one is
//! found, and all others that are believed to hold a copy.
use super::*;

/// Longest wait for a lane of a copy in the own zone, as a part of the latency target.
const MAX_QUEUE_AIM_RATIO: f64 = 0.5;

/// The search for one call.
struct WorkerSearch<'a> {
    dispatcher: &'a Dispatcher,
    pending: &'a PendingRequest,
    model: &'a Model,
    may_order: bool,
    /// The call may be sent to a worker that isn't known to hold a copy: where a miss is answered at once
    /// and another attempt is left, or where no load may be ordered.
    may_try_unloaded: bool,
    /// Zones with a worker that is more likely to answer than to fail.
    healthy_zones: BTreeSet<Option<ZoneId>>,
    /// Preferred workers examined so far.
    examined: Vec<WorkerId>,
    found: SearchResult,
}

impl Dispatcher {
    /// Searches for the best worker for a call, without the cold workers that the call has to avoid.
    pub(super) fn search_workers(&self, pending: &PendingRequest, may_order: bool) -> Option<SearchResult> {
        let model = self.models.get(&pending.request.model)?;
        if let Some(worker_id) = self.untried_returned_worker(pending) {
            let best = Some(((false, false, 0.0), worker_id));
            return Some(SearchResult { best, copy_known: true, ..SearchResult::default() });
        }
        let misses = self.settings.on_missing_model == MissingModelBehavior::Misses;
        let may_try_unloaded = misses && pending.attempts + 1 < self.settings.max_attempts || !may_order;
        let (healthy_zones, examined, found) = (BTreeSet::new(), Vec::new(), SearchResult::default());
        let mut search = WorkerSearch {
            dispatcher: self,
            pending,
            model,
            may_order,
            may_try_unloaded,
            healthy_zones,
            examined,
            found,
        };
        SIDES.into_iter().for_each(|side| search.search_side(side));
        Some(SearchResult { no_healthy_worker: search.healthy_zones.is_empty(), ..search.found })
    }

    /// The first, in the model's order of preference, of the workers that came back and have had no call
    /// since. Such a worker gets one call even if copies are loaded elsewhere.
    fn untried_returned_worker(&self, pending: &PendingRequest) -> Option<WorkerId> {
        let candidates =
            self.returned_workers.iter().filter(|_| pending.attempts == 0).filter_map(|&worker_id| {
                let worker = self.workers.get(&worker_id).filter(|worker| {
                    worker.is_cold(self.now, &self.settings)
                        && worker.is_untried(&self.settings)
                        && self.accepts(worker, pending)
                })?;
                let fails = self.failure_odds(worker, pending.request.class)
                    > 1.0 + self.overall_failure_odds(pending.request.class);
                let would_risk_unsafe =
                    self.settings.classes[pending.request.class].effect == Effect::Unsafe && fails;
                let (side, ranked) = self
                    .fleet
                    .get(worker_id)
                    .filter(|_| !would_risk_unsafe && !self.avoids_cold_worker(pending, worker, worker_id))?;
                Some((side, preferred_workers::rank(&ranked, pending.request.model), worker_id))
            });
        candidates.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|candidate| candidate.2)
    }

    /// Odds that a call of a class fails, over all workers.
    fn overall_failure_odds(&self, class: usize) -> f64 {
        self.failure_rate[class] / (1.0 - self.failure_rate[class]).max(0.01)
    }

    /// Whether sending a call to another zone is cheaper than waiting for a load.
    fn crossing_beats_load(&self, zone: Option<ZoneId>) -> bool {
        let own = self.fastest_answer_ms.get(&self.settings.zone).copied().unwrap_or(0.0);
        let there = self.fastest_answer_ms.get(&zone).copied().unwrap_or(own);
        let crossing = self.settings.price_cross + (there - own).max(0.0) / self.min_aim;
        crossing <= self.settings.price_fetch + self.load_ms / self.min_aim
    }
}

impl WorkerSearch<'_> {
    /// Examines the preferred workers of one side until a healthy one is found (all of them where copies
    /// are found by calls), then all other workers of that side that are believed to hold a copy.
    fn search_side(&mut self, side: Side) {
        let (model, finds_copies_by_calls) = (self.model, self.dispatcher.finds_copies_by_calls());
        for candidate in model.preferred.of(side) {
            if !finds_copies_by_calls && !self.healthy_zones.is_empty() {
                break;
            }
            self.examined.push(candidate.worker);
            self.examine(candidate.worker);
        }
        let keep = self.dispatcher.settings.min_idle_keep;
        for (&worker_id, entry) in &model.entries {
            if !entry.is_loaded(self.dispatcher.now, keep) || self.examined.contains(&worker_id) {
                continue;
            }
            if self.dispatcher.fleet.get(worker_id).is_some_and(|(group, _)| group == side) {
                self.examine(worker_id);
            }
        }
    }

    fn examine(&mut self, worker_id: WorkerId) {
        let WorkerSearch { dispatcher, pending, model, .. } = *self;
        let (model_id, class, now, settings) =
            (pending.request.model, pending.request.class, dispatcher.now, &dispatcher.settings);
        let Some(worker) = dispatcher.workers.get(&worker_id) else { return };
        let entry = model.entries.get(&worker_id);
        let is_loaded = entry.is_some_and(|entry| entry.is_loaded(now, settings.min_idle_keep));
        let finds_copies_by_calls = dispatcher.finds_copies_by_calls();
        // Cold workers outside the first zone searched are left out: they hold few copies, and their
        // allowance of calls is small.
        let within_reach = self.healthy_zones.is_empty()
            || finds_copies_by_calls
                && !self.healthy_zones.contains(&worker.location.zone)
                && !worker.is_cold(now, settings);
        if !(is_loaded || within_reach)
            || dispatcher.avoids_cold_worker(pending, worker, worker_id)
            || !dispatcher.accepts(worker, pending)
        {
            return;
        }
        let odds = dispatcher.failure_odds(worker, class);
        self.healthy_zones.extend((odds < 1.0).then_some(worker.location.zone));
        let Class { aim, effect, .. } = settings.classes[class];
        // Unsafe calls aren't used to test a worker that probably fails, unless they fail as often
        // everywhere.
        if effect == Effect::Unsafe && odds > 1.0 + dispatcher.overall_failure_odds(class) {
            return;
        }
        let no_load_pending = entry.is_none_or(|entry| entry.absent_until <= now)
            && !dispatcher.loads_in_progress.contains(&(model_id, worker_id));
        let may_try = within_reach && self.may_try_unloaded && (no_load_pending || !self.may_order);
        if !is_loaded && !may_try {
            return;
        }
        self.found.copy_known |= is_loaded;
        let is_foreign = worker.location.zone != settings.zone;
        let (cost, queue) = dispatcher.expected_cost(worker, entry, pending, model.lanes);
        // In another zone the call must not wait at all; in the own zone the wait must leave enough of the
        // latency target.
        let fits = if is_foreign {
            queue <= 0.0 && dispatcher.crossing_beats_load(worker.location.zone)
        } else {
            queue < MAX_QUEUE_AIM_RATIO * aim
        };
        // Workers where an earlier attempt may have run are tried last.
        let cost =
            cost + if pending.may_have_run.iter().any(|sent| sent.worker == worker_id) { aim } else { 0.0 };
        let key = (is_foreign, is_foreign && finds_copies_by_calls && !is_loaded, cost);
        if fits && self.found.best.is_none_or(|best| key < best.0) {
            self.found.best = Some((key, worker_id));
        }
    }
}
