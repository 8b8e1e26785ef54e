//! Scheduled tasks: request deadlines, unanswered attempts, lost load orders, and removal of unused state.
use super::*;

/// Unused entries and models are forgotten after this many keep times.
const FORGET_AFTER_KEEPS: f64 = 4.0;

impl Dispatcher {
    /// Runs all tasks that are due by `until`.
    pub(super) fn run_due_tasks(&mut self, until: Ms, actions: &mut Vec<Action>) {
        let until = (until * 1000.0) as u64;
        while self.scheduled_tasks.first().is_some_and(|entry| entry.0 <= until) {
            let Some((_, due)) = self.scheduled_tasks.pop_first() else { return };
            match due {
                ScheduledTask::ExpireRequest(id) if self.pending.get(&id).is_some_and(|p| !p.streaming) => {
                    self.end_unserved(id, EndReason::NoTime, actions);
                }
                ScheduledTask::CheckAnswer(id, attempt) => self.check_overdue(id, attempt, actions),
                // A load order without a result for this long counts as lost; the load may go to another
                // worker.
                ScheduledTask::CheckLoadOrder(model, worker_id)
                    if self.loads_in_progress.remove(&(model, worker_id)) =>
                {
                    let until = self.now + self.load_ms;
                    self.workers.entry(worker_id).and_modify(|worker| worker.no_room_until = until);
                }
                ScheduledTask::ExpireRequest(_) | ScheduledTask::CheckLoadOrder(..) => {}
                ScheduledTask::Sweep => self.sweep(),
            }
        }
    }

    /// Handles an attempt without an answer for far longer than usual. If the worker answered other calls
    /// of the class since, the attempt counts as lost at first. Otherwise, or after a second timeout, it
    /// counts as a failure of the worker, and it is cancelled if its request can be retried elsewhere.
    pub(super) fn check_overdue(&mut self, id: RequestId, attempt: u32, actions: &mut Vec<Action>) {
        let Some(sent_attempt) = self.attempts_in_flight.get(&(id, attempt)) else { return };
        let (answer_timeout, since) =
            (self.answer_timeout(sent_attempt), sent_attempt.sent_at.max(self.running_since));
        let (class, worker_id) = (sent_attempt.class, sent_attempt.worker);
        if since + answer_timeout > self.now + 2.0 * (self.timer_period() + self.settings.tick) {
            return self.schedule(since + answer_timeout, ScheduledTask::CheckAnswer(id, attempt));
        }
        let Some(worker) =
            self.workers.get_mut(&worker_id).filter(|w| w.incarnation == sent_attempt.incarnation)
        else {
            return;
        };
        if !sent_attempt.overdue && worker.health[class].answered_at > since {
            // The worker answers other calls: this one is lost and no longer counts towards its limit.
            worker.in_flight = worker.in_flight.saturating_sub(1);
            self.attempts_in_flight.entry((id, attempt)).and_modify(|sent_attempt| sent_attempt.lost = true);
            self.schedule(self.now + answer_timeout, ScheduledTask::CheckAnswer(id, attempt));
        } else {
            worker.health[class].record(self.now, self.settings.min_idle_keep, true);
            update_moving_average(&mut self.failure_rate[class], 1.0);
            let has_attempts_left =
                |p: &PendingRequest| p.attempts < self.settings.max_attempts && !p.streaming;
            let may_retry = self.pending.get(&id).is_some_and(has_attempts_left)
                && self.settings.cancel
                && self.retry_budget >= 1.0;
            if may_retry
                && self.settings.classes[class].effect == Effect::Repeatable
                && !sent_attempt.cancelled
            {
                self.attempts_in_flight
                    .entry((id, attempt))
                    .and_modify(|sent_attempt| sent_attempt.cancelled = true);
                actions.push(Action::Cancel { id, attempt });
            }
        }
        self.attempts_in_flight.entry((id, attempt)).and_modify(|sent_attempt| sent_attempt.overdue = true);
    }

    /// Removes unused state, so that the memory of a long-running process stays bounded.
    pub(super) fn sweep(&mut self) {
        let (now, keep) = (self.now, self.settings.min_idle_keep);
        self.schedule(now + keep + 4.0 * (self.timer_period() + self.settings.tick), ScheduledTask::Sweep);
        self.workers.retain(|_, worker| !worker.gone || worker.in_flight > 0);
        for (model_id, model) in &mut self.models {
            model.preferred.reset_widened();
            model.entries.retain(|worker_id, entry| {
                let loading = self.loads_in_progress.contains(&(*model_id, *worker_id));
                let used =
                    entry.in_flight > 0 || loading || now - entry.confirmed_at < FORGET_AFTER_KEEPS * keep;
                let worker = self.workers.get_mut(worker_id);
                let kept = used && worker.is_some();
                worker
                    .filter(|_| !kept)
                    .into_iter()
                    .for_each(|worker| _ = worker.known_models.remove(model_id));
                kept
            });
        }
        let used = |model: &Model| !model.entries.is_empty() || !model.waiting.is_empty();
        // Models that were never loaded anywhere are forgotten sooner: clients can make up any number of
        // names.
        let kept = |model: &Model| if model.known_to_exist { FORGET_AFTER_KEEPS * keep } else { keep };
        self.models.retain(|_, model| used(model) || now - model.recent_calls.last_added_at < kept(model));
    }

    /// Removes the estimates of zones without workers.
    pub(super) fn forget_unused_zones(&mut self) {
        let zones: BTreeSet<Option<ZoneId>> =
            self.workers.values().map(|worker| worker.location.zone).collect();
        self.fastest_answer_ms.retain(|zone, _| zones.contains(zone));
    }

    /// Forgets models until `bytes` bytes are freed: those never loaded first, then the least recently
    /// used. Models with calls waiting or in flight or loads under way are kept. Returns the number of
    /// bytes freed.
    pub fn evict_state(&mut self, bytes: usize) -> usize {
        let (mut idle, mut freed) = (Vec::new(), 0);
        for (model_id, model) in &self.models {
            let busy = |worker_id, entry: &CopyEntry| {
                entry.in_flight > 0 || self.loads_in_progress.contains(&(*model_id, worker_id))
            };
            if model.waiting.is_empty() && !model.entries.iter().any(|entry| busy(*entry.0, entry.1)) {
                idle.push((model.known_to_exist, model.recent_calls.last_added_at, *model_id));
            }
        }
        idle.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for (_, _, model_id) in idle {
            let Some(model) = (freed < bytes).then(|| self.models.remove(&model_id)).flatten() else { break };
            freed += model.bytes();
            for worker_id in model.entries.keys() {
                self.workers.entry(*worker_id).and_modify(|worker| _ = worker.known_models.remove(&model_id));
            }
        }
        freed
    }
}
