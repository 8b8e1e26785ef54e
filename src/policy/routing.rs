//! Which worker gets a call.
use super::*;

/// Time after which the homes of models are ranked anew, as cold workers grow warm.
const STEP: Ms = 1000.0;

impl Dispatcher {
    /// Gives waiting calls of these models to workers, the worthiest first, those past their aim last.
    pub(super) fn pump(&mut self, names: Vec<ModelId>, act: &mut Vec<Action>) {
        let mut queue: Vec<(bool, f64, u64, RequestId)> = Vec::new();
        for name in names {
            let waiting = self.models.get_mut(&name).map(|model| std::mem::take(&mut model.waiting));
            for id in waiting.unwrap_or_default() {
                if let Some(pending) = self.pending.get(&id) {
                    queue.push((self.late(pending), -pending.value, pending.seq, id));
                }
            }
            self.hungry.remove(&name);
            self.rank_homes(name);
        }
        queue.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        // What one call of a model found shut is shut to its like behind it.
        let mut shut: BTreeSet<(ModelId, usize)> = BTreeSet::new();
        for (_, _, _, id) in queue {
            let Some(pending) = self.pending.get(&id) else { continue };
            let (name, class, first) = (pending.request.model, pending.request.class, pending.attempts == 0);
            if first && shut.contains(&(name, class)) || !self.place(id, act) {
                self.models.entry(name).or_default().waiting.push(id);
                self.hungry.insert(name);
                shut.insert((name, class));
            }
        }
    }

    /// Odds that a call of a class fails at a worker, from its own answers and failures and, as far as
    /// there are few of those, the other classes' failures and the part that fails everywhere: so a
    /// worker known to answer is preferred while many do not, and none is shunned when all are alike.
    pub(super) fn odds(&self, worker: &Worker, class: usize) -> f64 {
        let faded = |health: &Health| 0.5f64.powf((self.now - health.at) / self.set.keep);
        let all: f64 = worker.health.iter().map(|health| health.bad * faded(health)).sum();
        let own = &worker.health[class];
        let (good, own) = (own.good * faded(own), own.bad * faded(own));
        let bad = own + (all - own) / (1.0 + good);
        (bad + self.doubt[class]) / (good + 1.0 - self.doubt[class]).max(0.01)
    }

    /// Whether a call may go to a worker now, as far as the rules go.
    pub(super) fn open(&self, worker: &Worker, pending: &Pending) -> bool {
        let shut = !worker.ready || worker.full_until > self.now || f64::from(worker.out) >= worker.limit;
        !shut && self.within_group(worker, pending)
    }

    /// Whether a keyed call that may have run may go to a worker.
    pub(super) fn within_group(&self, worker: &Worker, pending: &Pending) -> bool {
        let effect = self.set.classes[pending.request.class].effect;
        let (Effect::Keyed(group, window), Some(ran)) = (effect, pending.ran.first()) else { return true };
        self.now + self.set.tick < ran.2 + window
            && self.workers.get(&ran.1).is_some_and(|first| match group {
                Group::All => true,
                Group::Zone => first.zone == worker.zone,
                Group::Cell => first.cell == worker.cell && first.cell >= 0,
            })
    }

    /// Expected time of a call at a worker, its risk of failure and the crossing of zones counted in.
    /// Gives also the time for which it would wait for a lane.
    pub(super) fn cost(
        &self,
        worker: &Worker,
        holder: Option<&Holder>,
        pending: &Pending,
        lanes: f64,
    ) -> (f64, Ms) {
        let (class, now) = (pending.request.class, self.now);
        let usual = self.usual[class].max(1.0);
        let load = f64::from(worker.out) + 1.0;
        let pace = 1.0 + (worker.pace - 1.0) * 0.5f64.powf((now - worker.paced_at) / self.set.keep);
        let busy = holder.map_or(0.0, |line| f64::from(line.out));
        let copies = f64::from(holder.map_or(1, |line| line.copies.max(1)));
        let queue = ((busy + 1.0) / (lanes * copies) - 1.0).max(0.0);
        let time = usual * pace * load / worker.weight.max(0.1) + usual * queue;
        (time + self.odds(worker, class) * self.set.classes[class].aim, usual * queue)
    }

    pub(super) fn place(&mut self, id: RequestId, act: &mut Vec<Action>) -> bool {
        let may_order = self.set.orders && self.within_ration();
        let Some(pending) = self.pending.get(&id).filter(|pending| pending.out == 0) else { return true };
        let (name, class, now) = (pending.request.model, pending.request.class, self.now);
        // Work that cannot be answered in time is wasted, and where nothing stops it, so is the worker.
        let usual = self.usual[class];
        let reason = match () {
            _ if self.models.get(&name).is_some_and(|model| model.unknown_until > now) => {
                Some(EndReason::UnknownModel)
            }
            _ if pending.attempts >= self.set.max_attempts => Some(EndReason::NoAttempts),
            _ if pending.request.expires - now < usual => Some(EndReason::NoTime),
            _ => None,
        };
        if let Some(reason) = reason {
            self.end(id, reason, act);
            return true;
        }
        let Some(mut found) = self.survey(pending, may_order) else { return false };
        if found.is_blind && self.widen_homes(name) {
            found = self.pending.get(&id).and_then(|call| self.survey(call, may_order)).unwrap_or_default();
        }
        while found.best.is_some_and(|best| !self.admitted(id, best.1)) {
            found = self.pending.get(&id).and_then(|call| self.survey(call, may_order)).unwrap_or_default();
        }
        let dear = found.best.is_none_or(|best| best.0 .2 > self.load_ms + usual);
        // Before a load, other zones are asked; where a call would load by itself, the own one too.
        let loads = self.set.lacking == Lacking::Loads;
        if self.set.orders && !self.roams() && !found.known && (dear || loads) && self.ask(name, act) {
            return false;
        }
        if dear {
            self.order(id, name, act);
        }
        found.best.is_some_and(|(_, at)| self.send(id, at, act))
    }

    /// Whether calls look in each zone themselves: where a question costs more than half a crossing.
    pub(super) fn roams(&self) -> bool {
        self.set.lacking == Lacking::Misses && 2.0 * self.set.price_probe > self.set.price_cross
    }

    pub(super) fn send(&mut self, id: RequestId, at: WorkerId, act: &mut Vec<Action>) -> bool {
        let (now, keep) = (self.now, self.set.keep);
        let (Some(pending), Some(worker)) = (self.pending.get_mut(&id), self.workers.get_mut(&at)) else {
            return true;
        };
        let (class, model, attempt) = (pending.request.class, pending.request.model, pending.attempts);
        worker.out += 1;
        worker.sent.add(now, self.set.fall_span.min(self.set.cold_span));
        (pending.attempts, pending.out) = (attempt + 1, pending.out + 1);
        pending.ran.push((attempt, at, now));
        let holder = self.models.entry(model).or_default().holders.entry(at).or_default();
        holder.out += 1;
        worker.lines.insert(model);
        let (warm, life) = (holder.stands(now, keep), worker.life);
        let flight = Flight { worker: at, life, model, class, sent: now, warm, ..Flight::default() };
        self.plan(now + self.patience(&flight), Due::Answer(id, attempt));
        self.flights.insert((id, attempt), flight);
        act.push(Action::Send { id, worker: at, within: 0.0 });
        true
    }

    pub(super) fn patience(&self, flight: &Flight) -> Ms {
        PATIENCE * self.usual[flight.class].max(1.0) + if flight.warm { 0.0 } else { self.load_ms }
    }

    /// Ranks the homes of a model by what has changed since it was last looked at.
    pub(super) fn rank_homes(&mut self, name: ModelId) {
        self.look_at_homes(name, |homes, fleet, step, warmth| homes.refresh(fleet, name, step, warmth));
    }

    /// Goes on down the order of a model's homes, where none that is named so far was of use.
    pub(super) fn widen_homes(&mut self, name: ModelId) -> bool {
        self.look_at_homes(name, |homes, fleet, _, warmth| homes.widen(fleet, name, warmth)).unwrap_or(false)
    }

    /// Looks at a model's homes with the ready workers, the step of the clock and how warm workers are in it.
    fn look_at_homes<T>(
        &mut self,
        name: ModelId,
        look: impl FnOnce(&mut Homes, &Fleet, u64, &WorkerWarmth<'_>) -> T,
    ) -> Option<T> {
        let step = (self.now / STEP) as u64;
        let of_worker = warmth_in(step, &self.workers, &self.set);
        let warmth = WorkerWarmth { of_worker: (!self.cold.is_empty()).then_some(&of_worker) };
        let model = self.models.get_mut(&name)?;
        Some(look(&mut model.homes, &self.fleet, step, &warmth))
    }
}

/// How warm workers are at the beginning of a step: by the same clock, so that all front ends see cold ones
/// grow in the same steps.
fn warmth_in<'a>(
    step: u64,
    workers: &'a BTreeMap<WorkerId, Worker>,
    set: &'a Settings,
) -> impl Fn(WorkerId) -> f64 + 'a {
    move |id| match workers.get(&id) {
        Some(worker) if !worker.untried(set) => worker.warmth(step as f64 * STEP, set),
        _ => 1.0,
    }
}
