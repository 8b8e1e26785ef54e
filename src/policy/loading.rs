//! Chooses where a missing model is loaded, within the quota of load orders, and which idle models are
//! evicted.
use super::*;

impl Dispatcher {
    /// Queries the first suitable preferred worker of each zone for copies of the model, at most once per
    /// half keep time, so that an invoker with little traffic finds copies that others had loaded. Returns
    /// whether answers are still expected.
    pub(super) fn query_copies(&mut self, model_id: ModelId, actions: &mut Vec<Action>) -> bool {
        let Some(model) = self.models.get_mut(&model_id) else { return false };
        let (now, since) = (self.now, self.now - model.queried_at);
        if model.queried_at > 0.0 && since < self.settings.min_idle_keep / 2.0 {
            return model.open_queries > 0 && since < self.min_aim / TICKS_PER_AIM;
        }
        (model.queried_at, model.open_queries) = (now, 0);
        let mut zones = BTreeSet::new();
        for worker_id in model.preferred.iter() {
            let Some(worker) = self.workers.get_mut(&worker_id) else { continue };
            let recently_unreachable = worker.connect_failed_at > 0.0
                && now < worker.connect_failed_at + self.settings.overload_span;
            let known_absent = model.entries.get(&worker_id).is_some_and(|entry| entry.absent_until > now);
            if worker.full_until <= now
                && !recently_unreachable
                && zones.insert(worker.location.zone)
                && !known_absent
            {
                worker.known_models.insert(model_id);
                model.entries.entry(worker_id).or_default();
                model.open_queries += 1;
                actions.push(Action::Load { worker: worker_id, model: model_id, copies: 0 });
            }
        }
        model.open_queries > 0
    }

    /// Whether one more load order keeps within the quota. The quota is counted where orders arrive, up to
    /// `order_lag` after the decision, so orders count for longer and requests for less by that time.
    pub(super) fn within_load_quota(&self) -> bool {
        let (settings, since, lag) =
            (&self.settings, self.now - self.settings.load_window, self.settings.order_lag);
        let allowed = settings.load_quota_base
            + settings.load_quota_per_request * self.recent_requests.since(since + lag) as f64;
        settings.load_window <= 0.0 || self.recent_load_orders.since(since - lag) as f64 + 1.0 <= allowed
    }

    /// Orders the load of one more copy of a model and evicts idle models to make room for it.
    pub(super) fn order_load(&mut self, id: RequestId, model_id: ModelId, actions: &mut Vec<Action>) {
        let (Some(model), Some(pending)) = (self.models.get(&model_id), self.pending.get(&id)) else {
            return;
        };
        let under_way =
            self.loads_in_progress.range((model_id, WorkerId(0))..=(model_id, WorkerId(u32::MAX))).count();
        let is_blocked = !self.settings.load_orders_allowed
            || under_way >= MAX_LOADS_PER_MODEL
            || self.now < model.load_retry_at;
        if is_blocked
            || self.loads_in_progress.len() as f64 >= self.max_concurrent_loads
            || !self.within_load_quota()
        {
            return;
        }
        let class = pending.request.class;
        let is_unsuitable = |id: &WorkerId, worker: &Worker| {
            let is_loaded = model
                .entries
                .get(id)
                .is_some_and(|entry| entry.is_loaded(self.now, self.settings.min_idle_keep));
            let until = worker.no_room_until.max(worker.full_until);
            !worker.ready
                || !self.within_dedup_group(worker, pending)
                || is_loaded
                || until > self.now
                || self.loads_in_progress.contains(&(model_id, *id))
                || self.avoids_cold_worker(pending, worker, *id)
        };
        let key = |worker: &Worker| {
            (self.failure_odds(worker, class) >= 1.0, worker.location.zone != self.settings.zone)
        };
        let preferred =
            model.preferred.iter().filter_map(|id| self.workers.get(&id).map(|worker| (id, worker)));
        let open = preferred.filter(|(id, worker)| !is_unsuitable(id, worker));
        let Some((worker, _)) = open.min_by_key(|candidate| key(candidate.1)) else {
            if self.widen_preferred(model_id) {
                self.order_load(id, model_id, actions);
            }
            return;
        };
        if !self.admit_to_cold_worker(id, worker) {
            return self.order_load(id, model_id, actions);
        }
        self.evict_for(worker, model_id, actions);
        self.models.entry(model_id).or_default().entries.entry(worker).or_default();
        self.workers.entry(worker).and_modify(|worker| _ = worker.known_models.insert(model_id));
        self.loads_in_progress.insert((model_id, worker));
        self.seq += 1;
        self.recent_load_orders.add(self.now, self.seq, self.settings.load_window + self.settings.order_lag);
        self.schedule(
            self.now + ANSWER_TIMEOUT_FACTOR / 2.0 * self.load_ms,
            ScheduledTask::CheckLoadOrder(model_id, worker),
        );
        actions.push(Action::Load { worker, model: model_id, copies: 1 });
    }

    /// Evicts idle models at a worker, drawn at random by weight, until the model fits into its memory.
    pub(super) fn evict_for(&mut self, worker_id: WorkerId, model_id: ModelId, actions: &mut Vec<Action>) {
        let Some(worker) = self.workers.get(&worker_id) else { return };
        let total_mb = worker.kind.and_then(|kind| self.settings.kind_memory.get(kind).copied());
        let Some(total_mb) = total_mb else { return };
        let mut placed_mb = self.models.get(&model_id).map_or(0.0, |model| model.memory);
        let mut idle: Vec<(ModelId, f64, f64)> = Vec::new();
        for &id in worker.known_models.iter().filter(|id| **id != model_id) {
            let Some(model) = self.models.get(&id) else { continue };
            let Some(entry) = model.entries.get(&worker_id) else { continue };
            let is_loaded = entry.is_loaded(self.now, self.settings.min_idle_keep);
            let loading = self.loads_in_progress.contains(&(id, worker_id));
            if is_loaded || loading {
                let held_mb = model.memory * f64::from(entry.copies.max(1));
                placed_mb += held_mb;
                if is_loaded && entry.in_flight == 0 && !loading {
                    idle.push((id, held_mb, self.eviction_weight(model)));
                }
            }
        }
        while placed_mb > total_mb {
            let Ok(&(id, held_mb, _)) = idle.choose_weighted(&mut self.rng, |victim| victim.2) else { break };
            idle.retain(|victim| victim.0 != id);
            placed_mb -= held_mb;
            if let Some(entry) = self.models.get_mut(&id).and_then(|model| model.entries.get_mut(&worker_id))
            {
                entry.copies = 0;
            }
            actions.push(Action::Evict { worker: worker_id, model: id });
        }
    }

    /// The eviction weight of the paper, size / (frequency + recency): the frequency decays by half in each
    /// keep time, the recency lies between 0 and 1.
    pub(super) fn eviction_weight(&self, model: &Model) -> f64 {
        let age = (self.now - model.recent_calls.last_added_at).max(0.0) / self.settings.min_idle_keep;
        model.memory.max(1.0)
            / (model.recent_calls.at(self.now, self.settings.min_idle_keep) + 1.0 / (1.0 + age))
    }
}
