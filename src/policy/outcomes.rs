//! The ends of attempts and orders: what becomes of the request, and what is learnt of the worker.
use super::beliefs::{NARROWER, UNKNOWN};
use super::*;

impl Dispatcher {
    pub(super) fn finished(&mut self, end: &Finished, act: &mut Vec<Action>) -> Option<ModelId> {
        let &Finished { id, attempt, outcome, .. } = end;
        let flight = self.flights.remove(&(id, attempt));
        if let Some(flight) = &flight {
            self.learn(flight, end);
        }
        let model = flight.as_ref().map(|flight| flight.model);
        let Some(pending) = self.pending.get_mut(&id) else { return model };
        if end.closed {
            self.pending.remove(&id);
            return model;
        }
        flight?;
        pending.out = pending.out.saturating_sub(1);
        let unharmed = outcome.proves_not_run();
        if unharmed {
            pending.ran.retain(|ran| ran.0 != attempt);
        }
        let may_repeat = match self.set.classes[pending.request.class].effect {
            Effect::Unsafe => pending.ran.is_empty(),
            Effect::Keyed(_, window) => pending.ran.first().is_none_or(|ran| self.now < ran.2 + window),
            Effect::Repeatable => true,
        };
        // Only what may have run draws on the budget: it is the kind of retry that adds work. Whatever its
        // client makes up is tried in few places, and leaves the budget to others.
        let proven = self.models.get(&pending.request.model).is_some_and(|model| model.proven);
        let free = unharmed || outcome == Outcome::Error && !proven;
        let paid = free || self.retries >= 1.0;
        let over = pending.request.expires <= self.now + 2.0 * self.set.tick;
        let reason = match () {
            _ if over => Some(EndReason::NoTime),
            _ if !may_repeat => Some(EndReason::MayNotRepeat),
            _ if !paid => Some(EndReason::RetryBudget),
            _ if pending.attempts >= self.set.max_attempts => Some(EndReason::NoAttempts),
            _ => None,
        };
        if let Some(reason) = reason {
            self.end(id, reason, act);
        } else {
            self.retries -= if free { 0.0 } else { 1.0 };
            self.hungry.insert(pending.request.model);
            self.models.entry(pending.request.model).or_default().waiting.push(id);
        }
        model
    }

    /// Corrects beliefs from the end of an attempt.
    pub(super) fn learn(&mut self, flight: &Flight, end: &Finished) {
        let &Finished { outcome, took, warmth, .. } = end;
        let (now, keep, class) = (self.now, self.set.keep, flight.class);
        let aim = self.set.classes[class].aim;
        let Some(worker) = self.workers.get_mut(&flight.worker) else { return };
        let Some(model) = self.models.get_mut(&flight.model) else { return };
        model.told(outcome, outcome == Outcome::Ok, now + keep / 2.0);
        let holder = model.holders.entry(flight.worker).or_default();
        holder.out = holder.out.saturating_sub(1);
        // What an earlier process did tells nothing of this one.
        if flight.life != worker.life {
            return;
        }
        worker.out = worker.out.saturating_sub(u32::from(!flight.lost));
        // After a stall of our own the time taken is ours, not the worker's.
        let own = flight.sent < self.awake && now - self.awake < aim / TICKS_PER_AIM;
        let mut shed = 0.0;
        // One broken connection takes all its calls along, and is one failure.
        let again = outcome == Outcome::Reset && now < worker.reset + worker.health.len() as f64;
        worker.reset = if outcome == Outcome::Reset { now } else { worker.reset };
        // That a worker can't use a name which none could use so far tells nothing of the worker.
        let error = outcome == Outcome::Error && warmth != Warmth::LoadFailed && model.proven;
        let failed = error || outcome == Outcome::ConnectFailed || outcome == Outcome::Reset && !again;
        if failed || outcome == Outcome::Ok {
            blend(&mut self.doubt[class], f64::from(u8::from(failed)));
            worker.health[class].note(now, keep, failed);
        }
        let usual = &mut self.usual[class];
        match outcome {
            Outcome::Ok => {
                (holder.copies, holder.seen, holder.lacks) = (holder.copies.max(1), now, 0.0);
                self.served.add(now, keep);
                worker.answered.add(now, self.half);
                let loaded = matches!(warmth, Warmth::Loaded | Warmth::Waited)
                    || warmth == Warmth::Untold && !flight.warm && took > self.load_ms / 2.0;
                if !loaded && !own {
                    blend(&mut worker.pace, (took / usual.max(1.0)).clamp(0.1, 10.0));
                    worker.paced_at = now;
                    blend(usual, took);
                    let fastest = self.zone_ms.entry(worker.zone).or_insert(took);
                    *fastest = fastest.min(took);
                    if took < aim / 2.0 {
                        worker.limit = (worker.limit + 1.0 / worker.limit).min(MOST_LIMIT);
                    } else if took > 0.75 * aim {
                        worker.narrow(now, took);
                    }
                    shed = SHED * (f64::from(u8::from(took > aim)) - LATE);
                }
            }
            Outcome::Miss => (holder.copies, holder.lacks) = (0, now + keep / 2.0),
            Outcome::Full => {
                worker.full_until = now + *usual;
                worker.narrow(now, *usual);
                if worker.ready {
                    self.full.insert(flight.worker, worker.full_until);
                }
                // Others may have room: only where most are full is there too much to do.
                self.full.retain(|_, until| *until > now);
                shed = if 2 * self.full.len() > self.fleet.len() { SHED * (1.0 - LATE) } else { 0.0 };
            }
            _ if warmth == Warmth::LoadFailed => holder.copies = 0,
            _ => {}
        }
        self.shed = (self.shed + shed).clamp(0.0, self.usual.len() as f64);
        if outcome == Outcome::ConnectFailed {
            self.broke(flight.worker);
        }
    }

    /// A connection was refused or never came up: bad for every class. A process that broke connections
    /// just before has died and holds nothing, and the list tells late that its successor is cold: it
    /// counts as just started from now on. A connection that breaks alone proves nothing of the kind.
    pub(super) fn broke(&mut self, id: WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.health.iter_mut().for_each(|health| health.note(now, self.set.keep, true));
        let died = worker.reset > 0.0 && now < worker.reset + self.set.keep;
        worker.broke = now;
        for model in worker.lines.iter().filter(|_| died) {
            let holder = self.models.get_mut(model).and_then(|model| model.holders.get_mut(&id));
            holder.into_iter().for_each(|holder| holder.copies = 0);
        }
        self.enlist(id);
    }

    pub(super) fn loaded(&mut self, id: WorkerId, name: ModelId, outcome: Outcome, copies: u32, took: Ms) {
        let now = self.now;
        let Some(model) = self.models.get_mut(&name) else { return };
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.lines.insert(name);
        model.told(outcome, copies > 0, now + self.set.keep / 2.0);
        let holder = model.holders.entry(id).or_default();
        let ours = self.loads.remove(&(name, id));
        model.asking = model.asking.saturating_sub(u32::from(!ours));
        holder.copies = copies;
        match outcome {
            Outcome::Ok => {
                holder.seen = now;
                holder.lacks = if copies > 0 { 0.0 } else { now + self.load_ms };
                if ours && took > self.aim / TICKS_PER_AIM {
                    blend(&mut self.load_ms, took);
                    self.loads_cap = (self.loads_cap + 0.1).min(MOST_LIMIT);
                }
            }
            _ => {
                // No room, or a jammed store: fewer loads at a time, and each model waits its turn. A lost
                // question tells of neither.
                let jam = outcome == Outcome::Error && (model.proven || model.strange < UNKNOWN);
                if ours && (jam || matches!(outcome, Outcome::Full | Outcome::Timeout)) {
                    self.loads_cap = (self.loads_cap * NARROWER).max(1.0);
                }
                if outcome == Outcome::Full {
                    worker.no_room_until = now + self.load_ms;
                } else {
                    model.retry_at = now + self.load_ms / 2.0;
                }
                if outcome == Outcome::ConnectFailed {
                    self.broke(id);
                }
            }
        }
    }
}
