//! Where a missing model is loaded, within the ration of orders, and which idle models give way.
use super::*;

impl Dispatcher {
    /// Asks the first home of each zone whether the model stands there, once in half a keep time: a
    /// front end with little traffic finds what others brought. Tells whether answers are to come.
    pub(super) fn ask(&mut self, name: ModelId, act: &mut Vec<Action>) -> bool {
        let Some(model) = self.models.get_mut(&name) else { return false };
        let (now, since) = (self.now, self.now - model.asked_at);
        if model.asked_at > 0.0 && since < self.set.keep / 2.0 {
            return model.asking > 0 && since < self.aim / TICKS_PER_AIM;
        }
        (model.asked_at, model.asking) = (now, 0);
        let mut zones = BTreeSet::new();
        for at in model.homes.iter() {
            let Some(worker) = self.workers.get_mut(&at) else { continue };
            let broke = worker.broke > 0.0 && now < worker.broke + self.set.fall_span;
            let lacks = model.holders.get(&at).is_some_and(|line| line.lacks > now);
            if worker.full_until <= now && !broke && zones.insert(worker.zone) && !lacks {
                worker.lines.insert(name);
                model.holders.entry(at).or_default();
                model.asking += 1;
                act.push(Action::Load { worker: at, model: name, copies: 0 });
            }
        }
        model.asking > 0
    }

    /// Whether one more load keeps the ration, which is counted where orders arrive: each within the lag.
    pub(super) fn within_ration(&self) -> bool {
        let (set, since, lag) = (&self.set, self.now - self.set.load_window, self.set.order_lag);
        let allowed = set.load_free + set.load_share * self.taken.since(since + lag) as f64;
        set.load_window <= 0.0 || self.ordered.since(since - lag) as f64 + 1.0 <= allowed
    }

    /// Orders one more copy of a model held, making room by the paper's draw.
    pub(super) fn order(&mut self, id: RequestId, name: ModelId, act: &mut Vec<Action>) {
        let (Some(model), Some(pending)) = (self.models.get(&name), self.pending.get(&id)) else { return };
        let under_way = self.loads.range((name, WorkerId(0))..=(name, WorkerId(u32::MAX))).count();
        let barred = !self.set.orders || under_way >= LOADS_PER_MODEL || self.now < model.retry_at;
        if barred || self.loads.len() as f64 >= self.loads_cap || !self.within_ration() {
            return;
        }
        let class = pending.request.class;
        let shut = |id: &WorkerId, worker: &Worker| {
            let stands = model.holders.get(id).is_some_and(|line| line.stands(self.now, self.set.keep));
            let until = worker.no_room_until.max(worker.full_until);
            !worker.ready
                || !self.within_group(worker, pending)
                || stands
                || until > self.now
                || self.loads.contains(&(name, *id))
                || self.spares(pending, worker, *id)
        };
        let key = |worker: &Worker| (self.odds(worker, class) >= 1.0, worker.zone != self.set.zone);
        let homes = model.homes.iter().filter_map(|id| self.workers.get(&id).map(|worker| (id, worker)));
        let open = homes.filter(|(id, worker)| !shut(id, worker));
        let Some((worker, _)) = open.min_by_key(|home| key(home.1)) else {
            if self.widen_homes(name) {
                self.order(id, name, act);
            }
            return;
        };
        if !self.admitted(id, worker) {
            return self.order(id, name, act);
        }
        self.make_room(worker, name, act);
        self.models.entry(name).or_default().holders.entry(worker).or_default();
        self.workers.entry(worker).and_modify(|worker| _ = worker.lines.insert(name));
        self.loads.insert((name, worker));
        self.seq += 1;
        self.ordered.add(self.now, self.seq, self.set.load_window + self.set.order_lag);
        self.plan(self.now + PATIENCE / 2.0 * self.load_ms, Due::Order(name, worker));
        act.push(Action::Load { worker, model: name, copies: 1 });
    }

    pub(super) fn make_room(&mut self, at: WorkerId, name: ModelId, act: &mut Vec<Action>) {
        let Some(worker) = self.workers.get(&at) else { return };
        let Some(&total) = self.set.kind_memory.get(worker.kind) else { return };
        let mut placed = self.models.get(&name).map_or(0.0, |model| model.memory);
        let mut idle: Vec<(ModelId, f64, f64)> = Vec::new();
        for &id in worker.lines.iter().filter(|id| **id != name) {
            let Some(model) = self.models.get(&id) else { continue };
            let Some(holder) = model.holders.get(&at) else { continue };
            let stands = holder.stands(self.now, self.set.keep);
            let loading = self.loads.contains(&(id, at));
            if stands || loading {
                let held = model.memory * f64::from(holder.copies.max(1));
                placed += held;
                if stands && holder.out == 0 && !loading {
                    idle.push((id, held, self.eviction_weight(model)));
                }
            }
        }
        while placed > total {
            let Ok(&(id, held, _)) = idle.choose_weighted(&mut self.rng, |victim| victim.2) else { break };
            idle.retain(|victim| victim.0 != id);
            placed -= held;
            if let Some(holder) = self.models.get_mut(&id).and_then(|model| model.holders.get_mut(&at)) {
                holder.copies = 0;
            }
            act.push(Action::Evict { worker: at, model: id });
        }
    }

    /// The paper's u / (f + t), with f halved every keep time and t a recency between 0 and 1.
    pub(super) fn eviction_weight(&self, model: &Model) -> f64 {
        let age = (self.now - model.used.last).max(0.0) / self.set.keep;
        model.memory.max(1.0) / (model.used.at(self.now, self.set.keep) + 1.0 / (1.0 + age))
    }
}
