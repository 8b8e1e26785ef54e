//! Requests: taken in, shed, and ended unserved.
use super::*;

const MOST_SHED: f64 = 0.5;

impl Dispatcher {
    pub(super) fn request(&mut self, request: Request, act: &mut Vec<Action>) -> Option<ModelId> {
        let (id, name) = (request.id, request.model);
        if self.pending.contains_key(&id) {
            return None;
        }
        if request.class >= self.set.classes.len() {
            act.push(self.refusal(id, EndReason::UnknownClass));
            return None;
        }
        let model = self.models.entry(name).or_default();
        model.memory = request.memory.max(0.0);
        model.lanes = request.lanes.clamp(1.0, 1e6);
        // Clients can make up names and repeat a request at will: neither earns loads.
        if model.used.last > 0.0 {
            self.taken.add(self.now, id, self.set.load_window);
        }
        model.used.add(self.now, self.set.keep);
        if let Some(hint) = request.load_hint.filter(|hint| *hint > 0.0) {
            blend(&mut self.load_ms, hint);
        }
        self.retries = (self.retries + RETRY_PART).min(1.0 / RETRY_PART);
        self.taking.add(self.now, self.set.keep);
        self.seq += 1;
        let left = request.expires - self.now;
        if left < 3.0 * self.period() {
            act.push(Action::Timer { token: self.seq, delay: (left - 2.0 * self.set.tick).max(0.0) });
        }
        self.plan(request.expires, Due::Expiry(id));
        let value = self.value(request.class);
        // What is worth least is refused first while too many answers are late; the client may return.
        let below = (0..self.set.classes.len()).filter(|class| self.value(*class) < value).count();
        let shed = (self.shed - below as f64).min(MOST_SHED);
        if shed > 0.0 && self.rng.random::<f64>() < shed {
            act.push(self.refusal(id, EndReason::Shed));
            return None;
        }
        self.models.entry(name).or_default().waiting.push(id);
        self.hungry.insert(name);
        let (since, seq) = (self.now, self.seq);
        self.pending.insert(id, Pending { request, since, seq, value, ..Pending::default() });
        Some(name)
    }

    /// Worth of a call of a class for the work it takes.
    pub(super) fn value(&self, class: usize) -> f64 {
        self.set.classes[class].worth / if self.set.worth_by_work { 1.0 } else { self.usual[class].max(1.0) }
    }

    /// Ends a request: refused where another try is harmless, failed where it may not be.
    pub(super) fn end(&mut self, id: RequestId, reason: EndReason, act: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let harmless = match self.set.classes[pending.request.class].effect {
            Effect::Repeatable | Effect::Keyed(Group::All, _) => true,
            _ => pending.ran.is_empty(),
        };
        act.push(if harmless { self.refusal(id, reason) } else { Action::Fail { id, reason } });
        self.call_off(id, self.late(&pending), act);
    }

    pub(super) fn late(&self, pending: &Pending) -> bool {
        self.now - pending.since > self.set.classes[pending.request.class].aim
    }

    /// A refusal tells when to come back: what is short is short for longer than a client's pause, and
    /// those who heed the advice stay away as long as it may keep them.
    pub(super) fn refusal(&self, id: RequestId, reason: EndReason) -> Action {
        let retry_after = if self.set.retry_after { self.set.max_retry_after } else { 0.0 };
        Action::Refuse { id, retry_after, reason }
    }

    /// Stops the work for a request that nobody waits for any more. One that waited past its aim counts as
    /// late, so that clients who leave and come back at once do not pile work on work; one taken back
    /// before tells nothing of the workers.
    pub(super) fn call_off(&mut self, id: RequestId, late: bool, act: &mut Vec<Action>) {
        for (&(_, attempt), flight) in self.flights.range_mut((id, 0)..=(id, u32::MAX)) {
            if self.set.cancel && !std::mem::replace(&mut flight.called_off, true) {
                act.push(Action::Cancel { id, attempt });
            }
            if !late || flight.lost {
                continue;
            }
            self.shed = (self.shed + SHED * (1.0 - LATE)).min(self.usual.len() as f64);
            self.workers.entry(flight.worker).and_modify(|worker| worker.narrow(self.now, self.aim));
        }
    }
}
