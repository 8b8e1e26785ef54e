//! Admits requests, sheds load and ends requests unserved.
use super::*;

/// Highest probability with which calls of a class are shed.
const MAX_SHED_PROBABILITY: f64 = 0.5;

impl Dispatcher {
    /// Admits a request, or refuses it. Returns its model if it was admitted.
    pub(super) fn take_request(&mut self, request: Request, actions: &mut Vec<Action>) -> Option<ModelId> {
        let (id, model_id) = (request.id, request.model);
        if self.pending.contains_key(&id) {
            return None;
        }
        if request.class >= self.settings.classes.len() {
            actions.push(self.refusal(id, EndReason::UnknownClass));
            return None;
        }
        let model = self.models.entry(model_id).or_default();
        model.memory = request.memory.max(0.0);
        model.lanes = request.lanes.clamp(1.0, 1e6);
        // The first call of a model and repeats of a request don't add to the load quota: clients can make
        // up model names and repeat requests at will.
        if model.recent_calls.last_added_at > 0.0 {
            self.recent_requests.add(self.now, id, self.settings.load_window);
        }
        model.recent_calls.add(self.now, self.settings.min_idle_keep);
        if let Some(hint) = request.load_hint.filter(|hint| *hint > 0.0) {
            update_moving_average(&mut self.load_ms, hint);
        }
        self.retry_budget = (self.retry_budget + RETRY_RATIO).min(1.0 / RETRY_RATIO);
        self.taken_calls.add(self.now, self.settings.min_idle_keep);
        self.seq += 1;
        let left = request.expires - self.now;
        if left < 3.0 * self.timer_period() {
            actions
                .push(Action::Timer { token: self.seq, delay: (left - 2.0 * self.settings.tick).max(0.0) });
        }
        self.schedule(request.expires, ScheduledTask::ExpireRequest(id));
        let value = self.class_value(request.class);
        // While too many answers are late, the least valuable classes are shed first.
        let below = (0..self.settings.classes.len()).filter(|class| self.class_value(*class) < value).count();
        let shed_probability = (self.shed_level - below as f64).min(MAX_SHED_PROBABILITY);
        if shed_probability > 0.0 && self.rng.random::<f64>() < shed_probability {
            actions.push(self.refusal(id, EndReason::Shed));
            return None;
        }
        self.models.entry(model_id).or_default().waiting.push(id);
        self.backlogged_models.insert(model_id);
        let (taken_at, seq) = (self.now, self.seq);
        self.pending
            .insert(id, PendingRequest { request, taken_at, seq, value, ..PendingRequest::default() });
        Some(model_id)
    }

    /// Worth of a call of a class, divided by its usual latency unless worth already counts by work.
    pub(super) fn class_value(&self, class: usize) -> f64 {
        self.settings.classes[class].worth
            / if self.settings.worth_by_work { 1.0 } else { self.usual_latency_ms[class].max(1.0) }
    }

    /// Ends a request without an answer: refuses it if a repeat by the client is harmless, fails it
    /// otherwise.
    pub(super) fn end_unserved(&mut self, id: RequestId, reason: EndReason, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let harmless = match self.settings.classes[pending.request.class].effect {
            Effect::Repeatable | Effect::Keyed(Group::All, _) => true,
            _ => pending.may_have_run.is_empty(),
        };
        actions.push(if harmless { self.refusal(id, reason) } else { Action::Fail { id, reason } });
        self.cancel_attempts(id, self.is_past_aim(&pending), actions);
    }

    /// Whether a request has waited for longer than its latency target.
    pub(super) fn is_past_aim(&self, pending: &PendingRequest) -> bool {
        self.now - pending.taken_at > self.settings.classes[pending.request.class].aim
    }

    /// Builds a refusal. Where clients may be told when to retry, it names the longest delay that they
    /// accept, because a shortage outlasts the usual pause of a client.
    pub(super) fn refusal(&self, id: RequestId, reason: EndReason) -> Action {
        let retry_after = if self.settings.retry_after { self.settings.max_retry_after } else { 0.0 };
        Action::Refuse { id, retry_after, reason }
    }

    /// Cancels the attempts of a request that no client waits for any more. If it is past its latency
    /// target, each attempt counts as a late answer: otherwise clients that leave and return at once would
    /// pile up work. One withdrawn earlier says nothing about the workers.
    pub(super) fn cancel_attempts(&mut self, id: RequestId, late: bool, actions: &mut Vec<Action>) {
        for (&(_, attempt), sent_attempt) in self.attempts_in_flight.range_mut((id, 0)..=(id, u32::MAX)) {
            if self.settings.cancel && !std::mem::replace(&mut sent_attempt.cancelled, true) {
                actions.push(Action::Cancel { id, attempt });
            }
            if !late || sent_attempt.lost {
                continue;
            }
            self.shed_level = (self.shed_level + SHED_STEP * (1.0 - TOLERATED_LATE_RATIO))
                .min(self.usual_latency_ms.len() as f64);
            self.workers
                .entry(sent_attempt.worker)
                .and_modify(|worker| worker.reduce_limit(self.now, self.min_aim));
        }
    }
}
