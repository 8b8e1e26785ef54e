//! Applies updates of the roster: only entries that differ from what is known have an effect.
use super::*;

/// Initial limit of attempts in flight at a worker; its answers adapt the limit.
const INITIAL_LIMIT: f64 = 4.0;

/// Number of zones whose estimates are kept while their workers are away. Entries can name new zones without
/// end.
const MIN_REMEMBERED_ZONES: usize = 64;

fn hash_name(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

impl Worker {
    /// Whether a roster entry brings no change.
    fn matches_entry(&self, entry: &RosterEntry, hash: u64) -> bool {
        !self.health.is_empty()
            && (self.hash, self.location, self.kind) == (hash, entry.location, entry.kind)
            && (self.ready, self.gone)
                == (entry.state == WorkerState::Ready, entry.state == WorkerState::Removed)
            && (self.weight, self.started_at) == (weight_of(entry), entry.started_at)
    }
}

fn weight_of(entry: &RosterEntry) -> f64 {
    if entry.weight > 0.0 {
        entry.weight.min(MAX_WEIGHT)
    } else {
        1.0
    }
}

impl Dispatcher {
    pub(super) fn apply_roster(&mut self, roster: RosterUpdate) {
        let entries = match roster {
            RosterUpdate::Changes(entries) => entries,
            RosterUpdate::Complete(entries) | RosterUpdate::Stored(entries) => {
                self.mark_unlisted_gone(&entries);
                entries
            }
            RosterUpdate::Refused => return,
        };
        entries.iter().for_each(|entry| self.apply_entry(entry));
        if self.fastest_answer_ms.len() > self.workers.len().max(MIN_REMEMBERED_ZONES) {
            self.forget_unused_zones();
        }
    }

    /// Marks workers that a complete list doesn't contain as gone.
    fn mark_unlisted_gone(&mut self, entries: &[RosterEntry]) {
        let listed: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
        let is_unlisted = |entry: &(&WorkerId, &Worker)| !listed.contains(entry.0) && !entry.1.gone;
        let unlisted: Vec<WorkerId> = self.workers.iter().filter(is_unlisted).map(|(id, _)| *id).collect();
        for id in unlisted {
            self.workers.entry(id).and_modify(|worker| (worker.ready, worker.gone) = (false, true));
            self.index_worker(id);
        }
    }

    fn apply_entry(&mut self, entry: &RosterEntry) {
        let hash = hash_name(&entry.name);
        let worker = self.workers.entry(entry.worker).or_default();
        if worker.matches_entry(entry, hash) {
            return;
        }
        // A new process has no copies, no loads and no attempts in flight, and its health starts afresh.
        if entry.started_at > worker.started_at || worker.health.is_empty() {
            for model in &worker.known_models {
                let copy_entry = self.models.get_mut(model).and_then(|m| m.entries.get_mut(&entry.worker));
                if let Some(copy_entry) =
                    copy_entry.filter(|copy_entry| copy_entry.confirmed_at <= entry.started_at)
                {
                    copy_entry.copies = 0;
                }
            }
            self.loads_in_progress.retain(|load| load.1 != entry.worker);
            self.full_workers.remove(&entry.worker);
            let health = vec![
                Health { updated_at: self.now, ..Health::default() };
                self.settings.classes.len().max(1)
            ];
            let (incarnation, known_models) =
                (worker.incarnation + 1, std::mem::take(&mut worker.known_models));
            *worker = Worker {
                incarnation,
                known_models,
                health,
                in_flight_limit: INITIAL_LIMIT,
                latency_ratio: 1.0,
                ..Worker::default()
            };
        }
        worker.hash = hash;
        (worker.location, worker.kind) = (entry.location, entry.kind);
        worker.ready = entry.state == WorkerState::Ready;
        worker.gone = entry.state == WorkerState::Removed;
        worker.weight = weight_of(entry);
        worker.started_at = entry.started_at;
        self.index_worker(entry.worker);
    }

    /// Updates the indexes of ready, cold, returned and full workers for one worker.
    pub(super) fn index_worker(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(&id) else { return };
        if !worker.ready {
            self.fleet.remove(id);
            self.cold_workers.remove(id);
            self.returned_workers.remove(&id);
            self.full_workers.remove(&id);
            return;
        }
        let side = if worker.location.zone == self.settings.zone { Side::Own } else { Side::Foreign };
        self.fleet.set(side, RankedWorker { id, hash: worker.hash, weight: worker.weight });
        if worker.full_until > self.now {
            self.full_workers.insert(id, worker.full_until);
        }
        if !worker.is_cold(self.now, &self.settings) {
            return self.cold_workers.remove(id);
        }
        self.cold_workers.set(id, worker.weight, worker.started_at().min(self.now), self.settings.cold_span);
        if worker.incarnation > 1 && worker.is_untried(&self.settings) {
            self.returned_workers.insert(id);
        }
    }

    /// Capacity of the ready workers, cold ones at their present capacity, as a number of warm workers of
    /// mean weight.
    pub(super) fn effective_worker_count(&mut self) -> f64 {
        while let Some(warm) = self.cold_workers.pop_warm(self.now) {
            self.returned_workers.remove(&warm);
        }
        let (settings, cold) = (&self.settings, self.cold_workers.weight());
        let warmed = settings.cold_from * cold
            + (1.0 - settings.cold_from) * self.cold_workers.weighted_age(self.now, settings.cold_span);
        (self.fleet.weight() - cold + warmed) / self.fleet.mean_weight()
    }
}
