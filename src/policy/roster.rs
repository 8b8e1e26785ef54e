//! News of the workers: a list is applied by what it changes.
use super::*;

/// Calls of ours that a worker may hold until its answers tell more, and the most of any bound.
const FIRST_LIMIT: f64 = 4.0;

fn hash_name(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

impl Worker {
    /// Whether an entry tells nothing new.
    fn is_as_told(&self, entry: &RosterEntry, hash: u64) -> bool {
        !self.health.is_empty()
            && (self.hash, self.zone, self.kind, self.cell) == (hash, entry.zone, entry.kind, entry.cell)
            && (self.ready, self.gone)
                == (entry.standing == Standing::Ready, entry.standing == Standing::Gone)
            && (self.weight, self.born) == (weight_of(entry), entry.born)
    }
}

fn weight_of(entry: &RosterEntry) -> f64 {
    if entry.weight > 0.0 {
        entry.weight.min(GREATEST_WEIGHT)
    } else {
        1.0
    }
}

impl Dispatcher {
    pub(super) fn roster(&mut self, roster: Roster) {
        let entries = match roster {
            Roster::Changes(entries) => entries,
            Roster::Whole(entries) | Roster::Remembered(entries) => {
                self.leave_out(&entries);
                entries
            }
            Roster::Refused => return,
        };
        entries.iter().for_each(|entry| self.news_of(entry));
    }

    /// Whom a whole list does not name has gone.
    fn leave_out(&mut self, entries: &[RosterEntry]) {
        let listed: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
        let is_left_out = |entry: &(&WorkerId, &Worker)| !listed.contains(entry.0) && !entry.1.gone;
        let left_out: Vec<WorkerId> = self.workers.iter().filter(is_left_out).map(|(id, _)| *id).collect();
        for id in left_out {
            self.workers.entry(id).and_modify(|worker| (worker.ready, worker.gone) = (false, true));
            self.enlist(id);
        }
    }

    fn news_of(&mut self, entry: &RosterEntry) {
        let hash = hash_name(&entry.name);
        let worker = self.workers.entry(entry.worker).or_default();
        if worker.is_as_told(entry, hash) {
            return;
        }
        // A new process holds nothing, owes nothing and is judged afresh.
        if entry.born > worker.born || worker.health.is_empty() {
            for model in &worker.lines {
                let line = self.models.get_mut(model).and_then(|m| m.holders.get_mut(&entry.worker));
                if let Some(line) = line.filter(|line| line.seen <= entry.born) {
                    line.copies = 0;
                }
            }
            self.loads.retain(|load| load.1 != entry.worker);
            self.full.remove(&entry.worker);
            let health = vec![Health { at: self.now, ..Health::default() }; self.set.classes.len().max(1)];
            let (life, lines) = (worker.life + 1, std::mem::take(&mut worker.lines));
            *worker = Worker { life, lines, health, limit: FIRST_LIMIT, pace: 1.0, ..Worker::default() };
        }
        worker.hash = hash;
        (worker.zone, worker.kind, worker.cell) = (entry.zone, entry.kind, entry.cell);
        worker.ready = entry.standing == Standing::Ready;
        worker.gone = entry.standing == Standing::Gone;
        worker.weight = weight_of(entry);
        worker.born = entry.born;
        self.enlist(entry.worker);
    }

    /// Has what is kept of all ready workers follow what is known of one.
    pub(super) fn enlist(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(&id) else { return };
        if !worker.ready {
            self.fleet.remove(id);
            self.cold.remove(id);
            self.returned.remove(&id);
            self.full.remove(&id);
            return;
        }
        let side = if worker.zone == self.set.zone { Side::Own } else { Side::Foreign };
        self.fleet.set(side, RankedWorker { id, hash: worker.hash, weight: worker.weight });
        if worker.full_until > self.now {
            self.full.insert(id, worker.full_until);
        }
        if !worker.cold(self.now, &self.set) {
            return self.cold.remove(id);
        }
        self.cold.set(id, worker.weight, worker.started().min(self.now), self.set.cold_span);
        if worker.life > 1 && worker.untried(&self.set) {
            self.returned.insert(id);
        }
    }

    /// The ready workers as whole ones, by warmth and weight.
    pub(super) fn whole_workers(&mut self) -> f64 {
        while let Some(warm) = self.cold.pop_warm(self.now) {
            self.returned.remove(&warm);
        }
        let (set, cold) = (&self.set, self.cold.weight());
        let warmed =
            set.cold_from * cold + (1.0 - set.cold_from) * self.cold.weighted_age(self.now, set.cold_span);
        (self.fleet.weight() - cold + warmed) / self.fleet.mean_weight()
    }
}
