//! Processes the results of attempts and load orders: retries or ends the request and updates the estimates
//! for the worker and the model.
use super::beliefs::{LIMIT_DECREASE_FACTOR, UNKNOWN_MODEL_ERRORS};
use super::*;

impl Dispatcher {
    pub(super) fn handle_finished(&mut self, end: &Finished, actions: &mut Vec<Action>) -> Option<ModelId> {
        let &Finished { id, attempt, outcome, .. } = end;
        let sent_attempt = self.attempts_in_flight.remove(&(id, attempt));
        if let Some(sent_attempt) = &sent_attempt {
            self.update_beliefs(sent_attempt, end);
        }
        let model = sent_attempt.as_ref().map(|sent_attempt| sent_attempt.model);
        let Some(pending) = self.pending.get_mut(&id) else { return model };
        if end.closed {
            self.pending.remove(&id);
            return model;
        }
        sent_attempt?;
        pending.in_flight = pending.in_flight.saturating_sub(1);
        let not_run = outcome.proves_not_run();
        if not_run {
            pending.may_have_run.retain(|sent| sent.attempt != attempt);
        }
        let may_repeat = match self.settings.classes[pending.request.class].effect {
            Effect::Unsafe => pending.may_have_run.is_empty(),
            Effect::Keyed(group, window) => pending.may_have_run.first().is_none_or(|first| {
                let is_group_known = first.location.shares_record(first.location, group);
                is_group_known && self.now < first.sent_at + window
            }),
            Effect::Repeatable => true,
        };
        // Only retries of attempts that may have run use up the budget, since only they add work. Calls of
        // models not known to exist, whose names a client may have made up, fail after few errors and use
        // none.
        let known_to_exist =
            self.models.get(&pending.request.model).is_some_and(|model| model.known_to_exist);
        let is_free = not_run || outcome == Outcome::Error && !known_to_exist;
        let is_affordable = is_free || self.retry_budget >= 1.0;
        let is_expired = pending.request.expires <= self.now + 2.0 * self.settings.tick;
        let reason = match () {
            _ if is_expired => Some(EndReason::NoTime),
            _ if !may_repeat => Some(EndReason::MayNotRepeat),
            _ if !is_affordable => Some(EndReason::RetryBudget),
            _ if pending.attempts >= self.settings.max_attempts => Some(EndReason::NoAttempts),
            _ => None,
        };
        if let Some(reason) = reason {
            self.end_unserved(id, reason, actions);
        } else {
            self.retry_budget -= if is_free { 0.0 } else { 1.0 };
            self.backlogged_models.insert(pending.request.model);
            self.models.entry(pending.request.model).or_default().waiting.push(id);
        }
        model
    }

    /// Updates the estimates for the worker, the model and the class from the result of an attempt.
    pub(super) fn update_beliefs(&mut self, sent_attempt: &InFlightAttempt, end: &Finished) {
        let &Finished { outcome, took, warmth, .. } = end;
        let (now, keep, class) = (self.now, self.settings.min_idle_keep, sent_attempt.class);
        let aim = self.settings.classes[class].aim;
        let Some(worker) = self.workers.get_mut(&sent_attempt.worker) else { return };
        let Some(model) = self.models.get_mut(&sent_attempt.model) else { return };
        model.note_answer(outcome, outcome == Outcome::Ok, now + keep / 2.0);
        let entry = model.entries.entry(sent_attempt.worker).or_default();
        entry.in_flight = entry.in_flight.saturating_sub(1);
        // Results of an earlier incarnation say nothing about the current one.
        if sent_attempt.incarnation != worker.incarnation {
            return;
        }
        worker.in_flight = worker.in_flight.saturating_sub(u32::from(!sent_attempt.lost));
        // If this invoker has just stalled, the time taken includes its own delay.
        let stalled =
            sent_attempt.sent_at < self.running_since && now - self.running_since < aim / TICKS_PER_AIM;
        let mut shed_change = 0.0;
        // A broken connection ends all attempts on it but counts as one failure.
        let is_repeated_reset =
            outcome == Outcome::Reset && now < worker.reset_at + worker.health.len() as f64;
        worker.reset_at = if outcome == Outcome::Reset { now } else { worker.reset_at };
        // An error for a model that no worker has known so far says nothing about the worker.
        let error = outcome == Outcome::Error && warmth != Warmth::LoadFailed && model.known_to_exist;
        let failed =
            error || outcome == Outcome::ConnectFailed || outcome == Outcome::Reset && !is_repeated_reset;
        if failed || outcome == Outcome::Ok {
            update_moving_average(&mut self.failure_rate[class], f64::from(u8::from(failed)));
            worker.health[class].record(now, keep, failed);
        }
        let usual_latency_ms = &mut self.usual_latency_ms[class];
        match outcome {
            Outcome::Ok => {
                (entry.copies, entry.confirmed_at, entry.absent_until) = (entry.copies.max(1), now, 0.0);
                self.served_calls.add(now, keep);
                worker.recent_answers.add(now, self.half_life);
                let loaded = matches!(warmth, Warmth::Loaded | Warmth::Waited)
                    || warmth == Warmth::Unknown && !sent_attempt.warm && took > self.load_ms / 2.0;
                if !loaded && !stalled {
                    update_moving_average(
                        &mut worker.latency_ratio,
                        (took / usual_latency_ms.max(1.0)).clamp(0.1, 10.0),
                    );
                    worker.latency_ratio_at = now;
                    update_moving_average(usual_latency_ms, took);
                    let fastest = self.fastest_answer_ms.entry(worker.location.zone).or_insert(took);
                    *fastest = fastest.min(took);
                    if took < aim / 2.0 {
                        worker.in_flight_limit =
                            (worker.in_flight_limit + 1.0 / worker.in_flight_limit).min(MAX_LIMIT);
                    } else if took > 0.75 * aim {
                        worker.reduce_limit(now, took);
                    }
                    shed_change = SHED_STEP * (f64::from(u8::from(took > aim)) - TOLERATED_LATE_RATIO);
                }
            }
            Outcome::Miss => (entry.copies, entry.absent_until) = (0, now + keep / 2.0),
            Outcome::Full => {
                worker.full_until = now + *usual_latency_ms;
                worker.reduce_limit(now, *usual_latency_ms);
                if worker.ready {
                    self.full_workers.insert(sent_attempt.worker, worker.full_until);
                }
                // Other workers may have room: shed load only when more than half of them are full.
                self.full_workers.retain(|_, until| *until > now);
                shed_change = if 2 * self.full_workers.len() > self.fleet.len() {
                    SHED_STEP * (1.0 - TOLERATED_LATE_RATIO)
                } else {
                    0.0
                };
            }
            _ if warmth == Warmth::LoadFailed => entry.copies = 0,
            _ => {}
        }
        self.shed_level = (self.shed_level + shed_change).clamp(0.0, self.usual_latency_ms.len() as f64);
        if outcome == Outcome::ConnectFailed {
            self.note_connect_failure(sent_attempt.worker);
        }
    }

    /// Records that a connection to a worker failed: a failure in every class, and the worker counts as
    /// just started from now on, because the roster reports a restart late. If a connection to it was also
    /// reset recently, the process has died and its copies are gone. A reset alone doesn't prove a restart.
    pub(super) fn note_connect_failure(&mut self, id: WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.health.iter_mut().for_each(|health| health.record(now, self.settings.min_idle_keep, true));
        let died = worker.reset_at > 0.0 && now < worker.reset_at + self.settings.min_idle_keep;
        worker.connect_failed_at = now;
        for model in worker.known_models.iter().filter(|_| died) {
            let entry = self.models.get_mut(model).and_then(|model| model.entries.get_mut(&id));
            entry.into_iter().for_each(|entry| entry.copies = 0);
        }
        self.index_worker(id);
    }

    pub(super) fn handle_loaded(
        &mut self,
        id: WorkerId,
        model_id: ModelId,
        outcome: Outcome,
        copies: u32,
        took: Ms,
    ) {
        let now = self.now;
        let Some(model) = self.models.get_mut(&model_id) else { return };
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.known_models.insert(model_id);
        model.note_answer(outcome, copies > 0, now + self.settings.min_idle_keep / 2.0);
        let entry = model.entries.entry(id).or_default();
        let is_own_order = self.loads_in_progress.remove(&(model_id, id));
        model.open_queries = model.open_queries.saturating_sub(u32::from(!is_own_order));
        entry.copies = copies;
        match outcome {
            Outcome::Ok => {
                entry.confirmed_at = now;
                entry.absent_until = if copies > 0 { 0.0 } else { now + self.load_ms };
                if is_own_order && took > self.min_aim / TICKS_PER_AIM {
                    update_moving_average(&mut self.load_ms, took);
                    self.max_concurrent_loads = (self.max_concurrent_loads + 0.1).min(MAX_LIMIT);
                }
            }
            _ => {
                // No memory at the worker or an overloaded store: allow fewer concurrent loads and delay
                // the next load of the model. A query that failed shows neither.
                let store_failed = outcome == Outcome::Error
                    && (model.known_to_exist || model.consecutive_errors < UNKNOWN_MODEL_ERRORS);
                if is_own_order && (store_failed || matches!(outcome, Outcome::Full | Outcome::Timeout)) {
                    self.max_concurrent_loads = (self.max_concurrent_loads * LIMIT_DECREASE_FACTOR).max(1.0);
                }
                if outcome == Outcome::Full {
                    worker.no_room_until = now + self.load_ms;
                } else {
                    model.load_retry_at = now + self.load_ms / 2.0;
                }
                if outcome == Outcome::ConnectFailed {
                    self.note_connect_failure(id);
                }
            }
        }
    }
}
