//! Which worker gets a call.
use super::*;

/// Time after which the homes of models are ranked anew, as cold workers grow warm.
const STEP: Ms = 1000.0;
/// Part of the aim for which a queue at an instance may keep a call.
const QUEUE: f64 = 0.5;

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Place of a worker among the homes of a model, lowest first: the same at every front end.
fn rank(worker: &Worker, model: ModelId, warmth: f64) -> f64 {
    let draw = mix(worker.hash ^ mix(model.0)) as f64 / u64::MAX as f64;
    -draw.max(1e-12).ln() / (worker.weight * warmth).max(0.01)
}

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
            self.homes(name);
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

    /// Looks for the best worker for a call: the likeliest home and what else is believed to stand; cold ones
    /// left out where they are spared.
    pub(super) fn survey(&self, pending: &Pending, may_order: bool) -> Option<Found> {
        let (name, class, now) = (pending.request.model, pending.request.class, self.now);
        let (model, &Class { aim, effect, .. }) = (self.models.get(&name)?, &self.set.classes[class]);
        let crossing_pays = |zone: usize| {
            let own = self.zone_ms.get(&self.set.zone).copied().unwrap_or(0.0);
            let there = self.zone_ms.get(&zone).copied().unwrap_or(own);
            let crossing = self.set.price_cross + (there - own).max(0.0) / self.aim;
            crossing <= self.set.price_fetch + self.load_ms / self.aim
        };
        // A call goes and looks itself where that proves harmless, or no order may be given.
        let misses = self.set.lacking == Lacking::Misses;
        let look = misses && pending.attempts + 1 < self.set.max_attempts || !may_order;
        // Unsafe calls are no bait: not sent where they rather fail than not, unless they do everywhere.
        let doubt = self.doubt[class] / (1.0 - self.doubt[class]).max(0.01);
        let (roams, mut zones, mut found) = (self.roams(), BTreeSet::new(), Found::default());
        for &at in &model.homes {
            let line = model.holders.get(&at);
            let stands = line.is_some_and(|line| line.stands(now, self.set.keep));
            let Some(worker) = self.workers.get(&at) else { continue };
            let cold = worker.cold(now, &self.set);
            // A cold worker that is far holds little yet, and has no calls to spare.
            let near = zones.is_empty() || roams && !cold && !zones.contains(&worker.zone);
            // One that has come back is looked at once, whatever stands elsewhere.
            let back = cold && worker.life > 1 && pending.attempts == 0 && worker.untried(&self.set);
            if !(stands || near || back) || self.spares(pending, worker, at) || !self.open(worker, pending) {
                continue;
            }
            let odds = self.odds(worker, class);
            zones.extend((odds < 1.0).then_some(worker.zone));
            if effect == Effect::Unsafe && odds > 1.0 + doubt {
                continue;
            }
            if back {
                return Some(Found { best: Some(((false, false, 0.0), at)), known: true });
            }
            let clear = line.is_none_or(|line| line.lacks <= now) && !self.loads.contains(&(name, at));
            let presumed = near && look && (clear || !may_order);
            if !stands && !presumed {
                continue;
            }
            found.known |= stands;
            let foreign = worker.zone != self.set.zone;
            let (cost, queue) = self.cost(worker, line, pending, model.lanes);
            // A queue there is worth joining while it is cleared well within the aim.
            let fits = if foreign { queue <= 0.0 && crossing_pays(worker.zone) } else { queue < QUEUE * aim };
            // Where it may have run without an answer it is tried again last.
            let cost = cost + if pending.ran.iter().any(|ran| ran.1 == at) { aim } else { 0.0 };
            let key = (foreign, foreign && roams && !stands, cost);
            if fits && found.best.is_none_or(|best| key < best.0) {
                found.best = Some((key, at));
            }
        }
        Some(found)
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

    /// Ranks the homes of a model, own zone first, and there in the order that every front end would
    /// name (highest random weight), so that copies are shared without a word between them.
    pub(super) fn homes(&mut self, name: ModelId) {
        let Some(model) = self.models.get_mut(&name) else { return };
        // By the same clock, so that all see cold workers grow in the same steps.
        let now = (self.now / STEP).floor() * STEP;
        if model.homes_of != (self.roster_of, now) {
            let key = |(id, worker): (&WorkerId, &Worker)| {
                let warmth = if worker.untried(&self.set) { 1.0 } else { worker.warmth(now, &self.set) };
                (worker.zone != self.set.zone, rank(worker, name, warmth), *id)
            };
            let mut ranked: Vec<_> = self.workers.iter().filter(|entry| entry.1.ready).map(key).collect();
            ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            model.homes = ranked.into_iter().map(|entry| entry.2).collect();
            model.homes_of = (self.roster_of, now);
        }
    }
}
