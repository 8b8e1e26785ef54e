//! Injects random faults: crashes, pauses and network partitions.
use super::*;

impl SimulatedCluster {
    pub(super) fn inject_random_fault(&mut self) -> Checked {
        // Control nodes get half of the faults, although they are fewer than the followers.
        let is_control = self.rng.random_bool(0.5);
        let node = match is_control {
            true => self.rng.random_range(0..self.config.controls),
            false => self.rng.random_range(self.config.controls..self.processes.len()),
        };
        let span = if self.rng.random_bool(0.6) { SECOND } else { 8 * SECOND };
        let until = (self.now + self.rng.random_range(10 * MS..span)).min(self.config.faults_until);
        match self.rng.random_range(0..3) {
            0 => {
                let node = self.writing().filter(|_| !is_control).unwrap_or(node);
                self.crash(node, until)?;
            }
            1 => {
                self.outcome.pauses += 1;
                self.processes[node].paused_until = until;
            }
            _ => {
                self.outcome.partitions += 1;
                self.processes[node].isolated_until = until;
            }
        }
        Ok(())
    }

    /// The node number of a follower with a pending write, if there is one.
    pub(super) fn writing(&mut self) -> Option<usize> {
        let writes = |node: &FollowerNode| !node.disk.writes.is_empty();
        Some(self.config.controls + self.followers.iter().position(writes)?)
    }

    /// Crashes a process and restarts it at `until`.
    pub(super) fn crash(&mut self, node: usize, until: Time) -> Checked {
        if !std::mem::take(&mut self.processes[node].is_up) {
            return Ok(());
        }
        self.outcome.crashes += 1;
        self.processes[node].paused_until = 0;
        self.schedule(until, Event::Start { node });
        for index in 0..self.connections.len() {
            let ends = [AT_FOLLOWER, AT_CONTROL];
            let end = ends.into_iter().find(|end| self.node_at(index, *end) == node);
            if let Some(end) = end.filter(|end| !self.connections[index].is_closed[*end]) {
                self.close(index, end);
            }
        }
        if node >= self.config.controls {
            self.lose_pending_writes(node - self.config.controls)?;
        }
        Ok(())
    }

    /// Simulates the loss of pending writes in a crash: a random number of batches is written completely, then some
    /// records of the next one (a torn write).
    pub(super) fn lose_pending_writes(&mut self, follower: usize) -> Checked {
        let count = self.followers[follower].disk.writes.len();
        for _ in 0..self.rng.random_range(0..=count) {
            self.write_oldest(follower)?;
        }
        let disk = &mut self.followers[follower].disk;
        let torn = std::mem::take(&mut disk.writes).pop_front();
        if let Some(mut write) = torn {
            self.outcome.torn_writes += 1;
            write.records.truncate(self.rng.random_range(0..=write.records.len()));
            disk.write_records(follower, write.records)?;
        }
        Ok(())
    }
}
