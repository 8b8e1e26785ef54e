//! What comes due: the ends of requests' times, silence, lost orders, and what is forgotten.
use super::*;

/// Keep times after which what was not used is forgotten.
const FORGET_KEEPS: f64 = 4.0;

impl Dispatcher {
    /// Does what is due by then.
    pub(super) fn due(&mut self, until: Ms, act: &mut Vec<Action>) {
        let until = (until * 1000.0) as u64;
        while self.agenda.first().is_some_and(|entry| entry.0 <= until) {
            let Some((_, due)) = self.agenda.pop_first() else { return };
            match due {
                Due::Expiry(id) if self.pending.get(&id).is_some_and(|p| !p.streaming) => {
                    self.end(id, EndReason::NoTime, act);
                }
                Due::Answer(id, attempt) => self.overdue(id, attempt, act),
                // An order that is long overdue is counted as lost; the load may go elsewhere.
                Due::Order(model, at) if self.loads.remove(&(model, at)) => {
                    let until = self.now + self.load_ms;
                    self.workers.entry(at).and_modify(|worker| worker.no_room_until = until);
                }
                Due::Expiry(_) | Due::Order(..) => {}
                Due::Sweep => self.sweep(),
            }
        }
    }

    /// Silence: an attempt is out for far longer than usual and nothing of its class was heard since,
    /// or it is out for twice as long whatever was heard.
    pub(super) fn overdue(&mut self, id: RequestId, attempt: u32, act: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&(id, attempt)) else { return };
        let (patience, since) = (self.patience(flight), flight.sent.max(self.awake));
        let (class, at) = (flight.class, flight.worker);
        if since + patience > self.now + 2.0 * (self.period() + self.set.tick) {
            return self.plan(since + patience, Due::Answer(id, attempt));
        }
        let Some(worker) = self.workers.get_mut(&at).filter(|w| w.life == flight.life) else { return };
        if !flight.overdue && worker.health[class].heard > since {
            // Others are answered there: this one is lost, and takes no place that is of use to others.
            worker.out = worker.out.saturating_sub(1);
            self.flights.entry((id, attempt)).and_modify(|flight| flight.lost = true);
            self.plan(self.now + patience, Due::Answer(id, attempt));
        } else {
            worker.health[class].note(self.now, self.set.keep, true);
            blend(&mut self.doubt[class], 1.0);
            let more = |p: &Pending| p.attempts < self.set.max_attempts && !p.streaming;
            let may = self.pending.get(&id).is_some_and(more) && self.set.cancel && self.retries >= 1.0;
            if may && self.set.classes[class].effect == Effect::Repeatable && !flight.called_off {
                self.flights.entry((id, attempt)).and_modify(|flight| flight.called_off = true);
                act.push(Action::Cancel { id, attempt });
            }
        }
        self.flights.entry((id, attempt)).and_modify(|flight| flight.overdue = true);
    }

    /// Forgets what is no longer of use, so that a process that runs for months stays bounded.
    pub(super) fn sweep(&mut self) {
        let (now, keep) = (self.now, self.set.keep);
        self.plan(now + keep + 4.0 * (self.period() + self.set.tick), Due::Sweep);
        self.workers.retain(|_, worker| !worker.gone || worker.out > 0);
        for (name, model) in &mut self.models {
            model.homes.narrow();
            model.holders.retain(|at, line| {
                let loading = self.loads.contains(&(*name, *at));
                let used = line.out > 0 || loading || now - line.seen < FORGET_KEEPS * keep;
                let worker = self.workers.get_mut(at);
                let kept = used && worker.is_some();
                worker.filter(|_| !kept).into_iter().for_each(|worker| _ = worker.lines.remove(name));
                kept
            });
        }
        let used = |model: &Model| !model.holders.is_empty() || !model.waiting.is_empty();
        // A name that never stood anywhere is hardly a model: clients can make up any number of them.
        let kept = |model: &Model| if model.proven { FORGET_KEEPS * keep } else { keep };
        self.models.retain(|_, model| used(model) || now - model.used.last < kept(model));
    }

    /// Forgets models until so many bytes are free: those that never stood first, then the longest unused.
    /// Those with calls waiting or out or loads under way stay. Tells how much that freed.
    pub fn forget(&mut self, bytes: usize) -> usize {
        let (mut idle, mut freed) = (Vec::new(), 0);
        for (name, model) in &self.models {
            let busy = |at, line: &Holder| line.out > 0 || self.loads.contains(&(*name, at));
            if model.waiting.is_empty() && !model.holders.iter().any(|line| busy(*line.0, line.1)) {
                idle.push((model.proven, model.used.last, *name));
            }
        }
        idle.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for (_, _, name) in idle {
            let Some(model) = (freed < bytes).then(|| self.models.remove(&name)).flatten() else { break };
            freed += model.bytes();
            for at in model.holders.keys() {
                self.workers.entry(*at).and_modify(|worker| _ = worker.lines.remove(&name));
            }
        }
        freed
    }
}
