//! Chooses the worker for a call and sends it.
use super::*;

/// Interval at which preferred workers are ranked again, as cold workers warm up.
const RANKING_STEP_MS: Ms = 1000.0;

impl Dispatcher {
    /// Sends waiting calls of these models, the most valuable first, those past their latency target last.
    pub(super) fn dispatch_waiting(&mut self, model_ids: Vec<ModelId>, actions: &mut Vec<Action>) {
        let mut queue: Vec<(bool, f64, u64, RequestId)> = Vec::new();
        for model_id in model_ids {
            let waiting = self.models.get_mut(&model_id).map(|model| std::mem::take(&mut model.waiting));
            for id in waiting.unwrap_or_default() {
                if let Some(pending) = self.pending.get(&id) {
                    queue.push((self.is_past_aim(pending), -pending.value, pending.seq, id));
                }
            }
            self.backlogged_models.remove(&model_id);
            self.rank_preferred(model_id);
        }
        queue.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        // Where one call could not be placed, later calls of the same model and class wait unless they are
        // retries.
        let mut blocked: BTreeSet<(ModelId, usize)> = BTreeSet::new();
        for (_, _, _, id) in queue {
            let Some(pending) = self.pending.get(&id) else { continue };
            let (model_id, class, first) =
                (pending.request.model, pending.request.class, pending.attempts == 0);
            if first && blocked.contains(&(model_id, class)) || !self.place_call(id, actions) {
                self.models.entry(model_id).or_default().waiting.push(id);
                self.backlogged_models.insert(model_id);
                blocked.insert((model_id, class));
            }
        }
    }

    /// Odds that a call of a class fails at a worker, from the worker's answers and failures in this class.
    /// Where there are few of these, its failures in other classes and the class's overall failure rate
    /// weigh in: a worker known to answer is preferred while many fail, and none is avoided when all fail
    /// alike.
    pub(super) fn failure_odds(&self, worker: &Worker, class: usize) -> f64 {
        let decay =
            |health: &Health| 0.5f64.powf((self.now - health.updated_at) / self.settings.min_idle_keep);
        let all: f64 = worker.health.iter().map(|health| health.failures * decay(health)).sum();
        let own = &worker.health[class];
        let (successes, own) = (own.successes * decay(own), own.failures * decay(own));
        let failures = own + (all - own) / (1.0 + successes);
        (failures + self.failure_rate[class]) / (successes + 1.0 - self.failure_rate[class]).max(0.01)
    }

    /// Whether a worker may get a call now: it is ready, not full, below its limit and within the call's
    /// deduplication group.
    pub(super) fn accepts(&self, worker: &Worker, pending: &PendingRequest) -> bool {
        let blocked = !worker.ready
            || worker.full_until > self.now
            || f64::from(worker.in_flight) >= worker.in_flight_limit;
        !blocked && self.within_dedup_group(worker, pending)
    }

    /// Whether a call may be sent to a worker without the risk of a duplicate run. Restricts only keyed
    /// calls that may have run: to the deduplication group and window of the first attempt.
    pub(super) fn within_dedup_group(&self, worker: &Worker, pending: &PendingRequest) -> bool {
        let effect = self.settings.classes[pending.request.class].effect;
        let (Effect::Keyed(group, window), Some(first)) = (effect, pending.may_have_run.first()) else {
            return true;
        };
        self.now + self.settings.tick < first.sent_at + window
            && self.is_still_in_group(first, group)
            && first.location.shares_record(worker.location, group)
    }

    /// Whether the worker of an attempt is listed in the group in which it was when the attempt was sent. If
    /// it is listed elsewhere, either listing may be wrong, and the group of the attempt is not known.
    fn is_still_in_group(&self, sent: &SentAttempt, group: Group) -> bool {
        self.workers
            .get(&sent.worker)
            .is_some_and(|worker| sent.location.shares_record(worker.location, group))
    }

    /// Expected cost of a call at a worker, in ms: its expected time plus its failure odds times the
    /// latency target. Also returns the time for which the call would wait for a lane, in ms.
    pub(super) fn expected_cost(
        &self,
        worker: &Worker,
        entry: Option<&CopyEntry>,
        pending: &PendingRequest,
        lanes: f64,
    ) -> (f64, Ms) {
        let (class, now) = (pending.request.class, self.now);
        let usual_latency_ms = self.usual_latency_ms[class].max(1.0);
        let load = f64::from(worker.in_flight) + 1.0;
        let latency_ratio = 1.0
            + (worker.latency_ratio - 1.0)
                * 0.5f64.powf((now - worker.latency_ratio_at) / self.settings.min_idle_keep);
        let busy = entry.map_or(0.0, |entry| f64::from(entry.in_flight));
        let copies = f64::from(entry.map_or(1, |entry| entry.copies.max(1)));
        let queue = ((busy + 1.0) / (lanes * copies) - 1.0).max(0.0);
        let time =
            usual_latency_ms * latency_ratio * load / worker.weight.max(0.1) + usual_latency_ms * queue;
        (time + self.failure_odds(worker, class) * self.settings.classes[class].aim, usual_latency_ms * queue)
    }

    /// Sends a waiting call, ends it, or orders a load for it. Returns false if the call has to wait.
    pub(super) fn place_call(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let may_order = self.settings.load_orders_allowed && self.within_load_quota();
        let Some(pending) = self.pending.get(&id).filter(|pending| pending.in_flight == 0) else {
            return true;
        };
        let (model_id, class, now) = (pending.request.model, pending.request.class, self.now);
        // A call that can't be answered in time isn't sent: the worker would run it to the end for nothing
        // unless it is cancelled.
        let usual_latency_ms = self.usual_latency_ms[class];
        let reason = match () {
            _ if self.models.get(&model_id).is_some_and(|model| model.unknown_until > now) => {
                Some(EndReason::UnknownModel)
            }
            _ if pending.attempts >= self.settings.max_attempts => Some(EndReason::NoAttempts),
            _ if pending.request.expires - now < usual_latency_ms => Some(EndReason::NoTime),
            _ => None,
        };
        if let Some(reason) = reason {
            self.end_unserved(id, reason, actions);
            return true;
        }
        let Some(mut found) = self.search_workers(pending, may_order) else { return false };
        if found.no_healthy_worker && self.widen_preferred(model_id) {
            found = self
                .pending
                .get(&id)
                .and_then(|call| self.search_workers(call, may_order))
                .unwrap_or_default();
        }
        while found.best.is_some_and(|best| !self.admit_to_cold_worker(id, best.1)) {
            found = self
                .pending
                .get(&id)
                .and_then(|call| self.search_workers(call, may_order))
                .unwrap_or_default();
        }
        let is_expensive = found.best.is_none_or(|best| best.0 .2 > self.load_ms + usual_latency_ms);
        // Queries the workers for copies before ordering a load; also before sending a call that would
        // itself start a load at a worker.
        let worker_loads = self.settings.on_missing_model == MissingModelBehavior::Loads;
        if self.settings.load_orders_allowed
            && !self.finds_copies_by_calls()
            && !found.copy_known
            && (is_expensive || worker_loads)
            && self.query_copies(model_id, actions)
        {
            return false;
        }
        if is_expensive {
            self.order_load(id, model_id, actions);
        }
        found.best.is_some_and(|(_, worker_id)| self.send(id, worker_id, actions))
    }

    /// Whether copies in other zones are found by sending calls there instead of by queries: where a query
    /// costs more than half of a zone crossing and a call is answered with a miss where no copy is loaded.
    pub(super) fn finds_copies_by_calls(&self) -> bool {
        self.settings.on_missing_model == MissingModelBehavior::Misses
            && 2.0 * self.settings.price_probe > self.settings.price_cross
    }

    pub(super) fn send(&mut self, id: RequestId, worker_id: WorkerId, actions: &mut Vec<Action>) -> bool {
        let (now, keep) = (self.now, self.settings.min_idle_keep);
        let (Some(pending), Some(worker)) = (self.pending.get_mut(&id), self.workers.get_mut(&worker_id))
        else {
            return true;
        };
        let (class, model, attempt) = (pending.request.class, pending.request.model, pending.attempts);
        worker.in_flight += 1;
        worker.recent_sends.add(now, self.settings.overload_span.min(self.settings.cold_span));
        (pending.attempts, pending.in_flight) = (attempt + 1, pending.in_flight + 1);
        let location = worker.location;
        pending.may_have_run.push(SentAttempt { attempt, worker: worker_id, sent_at: now, location });
        let entry = self.models.entry(model).or_default().entries.entry(worker_id).or_default();
        entry.in_flight += 1;
        worker.known_models.insert(model);
        let (warm, incarnation) = (entry.is_loaded(now, keep), worker.incarnation);
        let sent_attempt = InFlightAttempt {
            worker: worker_id,
            incarnation,
            model,
            class,
            sent_at: now,
            warm,
            ..InFlightAttempt::default()
        };
        self.schedule(now + self.answer_timeout(&sent_attempt), ScheduledTask::CheckAnswer(id, attempt));
        self.attempts_in_flight.insert((id, attempt), sent_attempt);
        actions.push(Action::Send { id, worker: worker_id, within: 0.0 });
        true
    }

    pub(super) fn answer_timeout(&self, sent_attempt: &InFlightAttempt) -> Ms {
        ANSWER_TIMEOUT_FACTOR * self.usual_latency_ms[sent_attempt.class].max(1.0)
            + if sent_attempt.warm { 0.0 } else { self.load_ms }
    }

    /// Updates the preferred workers of a model with all changes since the last update.
    pub(super) fn rank_preferred(&mut self, model_id: ModelId) {
        self.with_preferred(model_id, |preferred, fleet, step, warmth| {
            preferred.refresh(fleet, model_id, step, warmth)
        });
    }

    /// Extends the list of a model's preferred workers, after none of those listed could be used. Returns
    /// whether the list was extended.
    pub(super) fn widen_preferred(&mut self, model_id: ModelId) -> bool {
        self.with_preferred(model_id, |preferred, fleet, _, warmth| preferred.widen(fleet, model_id, warmth))
            .unwrap_or(false)
    }

    /// Calls `update` with a model's preferred workers, the ready workers, the current ranking step and the
    /// warmth of workers in it.
    fn with_preferred<T>(
        &mut self,
        model_id: ModelId,
        update: impl FnOnce(&mut PreferredWorkers, &Fleet, u64, &WorkerWarmth<'_>) -> T,
    ) -> Option<T> {
        let step = (self.now / RANKING_STEP_MS) as u64;
        let of_worker = warmth_in(step, &self.workers, &self.settings);
        let warmth = WorkerWarmth { of_worker: (!self.cold_workers.is_empty()).then_some(&of_worker) };
        let model = self.models.get_mut(&model_id)?;
        Some(update(&mut model.preferred, &self.fleet, step, &warmth))
    }
}

/// Warmth of workers at the beginning of a ranking step, so that all invokers see cold workers warm up
/// in the same steps.
fn warmth_in<'a>(
    step: u64,
    workers: &'a BTreeMap<WorkerId, Worker>,
    settings: &'a Settings,
) -> impl Fn(WorkerId) -> f64 + 'a {
    move |id| match workers.get(&id) {
        Some(worker) if !worker.is_untried(settings) => {
            worker.warmth(step as f64 * RANKING_STEP_MS, settings)
        }
        _ => 1.0,
    }
}
