//! News of the workers.
use super::*;

/// Calls of ours that a worker may hold until its answers tell more, and the most of any bound.
const FIRST_LIMIT: f64 = 4.0;

impl Dispatcher {
    pub(super) fn roster(&mut self, roster: Roster) {
        let entries = match roster {
            Roster::Changes(entries) => entries,
            Roster::Whole(entries) | Roster::Remembered(entries) => {
                self.workers.values_mut().for_each(|worker| (worker.ready, worker.gone) = (false, true));
                entries
            }
            Roster::Refused => return,
        };
        let (now, classes) = (self.now, self.set.classes.len().max(1));
        for entry in entries {
            let worker = self.workers.entry(entry.worker).or_default();
            // A new process holds nothing, owes nothing and is judged afresh.
            if entry.born > worker.born || worker.health.is_empty() {
                for model in &worker.lines {
                    let line = self.models.get_mut(model).and_then(|m| m.holders.get_mut(&entry.worker));
                    if let Some(line) = line.filter(|line| line.seen <= entry.born) {
                        line.copies = 0;
                    }
                }
                self.loads.retain(|load| load.1 != entry.worker);
                let health = vec![Health { at: now, ..Health::default() }; classes];
                let (life, lines) = (worker.life + 1, std::mem::take(&mut worker.lines));
                *worker = Worker { life, lines, health, limit: FIRST_LIMIT, pace: 1.0, ..Worker::default() };
            }
            worker.hash = entry.name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
            });
            (worker.zone, worker.kind, worker.cell) = (entry.zone, entry.kind, entry.cell);
            worker.ready = entry.standing == Standing::Ready;
            worker.gone = entry.standing == Standing::Gone;
            worker.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            worker.born = entry.born;
        }
        self.roster_of += 1;
        let weights = || self.workers.values().filter(|worker| worker.ready).map(|worker| worker.weight);
        (self.ready, self.weight) = (weights().count(), weights().sum());
        self.weight /= self.ready.max(1) as f64;
    }
}
