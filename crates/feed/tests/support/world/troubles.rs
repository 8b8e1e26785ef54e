//! Crashes, stops and cuts.
use super::followers::put_all;
use super::*;

impl World {
    pub(super) fn trouble(&mut self) -> Checked {
        // Control nodes have as many as followers, though they are fewer.
        let is_control = self.rng.random_bool(0.5);
        let node = match is_control {
            true => self.rng.random_range(0..self.plan.controls),
            false => self.rng.random_range(self.plan.controls..self.processes.len()),
        };
        let span = if self.rng.random_bool(0.6) { SECOND } else { 8 * SECOND };
        let until = (self.now + self.rng.random_range(10 * MS..span)).min(self.plan.troubled_until);
        match self.rng.random_range(0..3) {
            0 => {
                let node = self.writing().filter(|_| !is_control).unwrap_or(node);
                self.crash(node, until)?;
            }
            1 => {
                self.course.stops += 1;
                self.processes[node].stopped_until = until;
            }
            _ => {
                self.course.cuts += 1;
                self.processes[node].isolated_until = until;
            }
        }
        Ok(())
    }

    /// A follower that has something on its way to disk, where there is one.
    pub(super) fn writing(&mut self) -> Option<usize> {
        let writes = |node: &FollowerNode| !node.disk.writes.is_empty();
        Some(self.plan.controls + self.followers.iter().position(writes)?)
    }

    /// Kills a process and starts it again later.
    pub(super) fn crash(&mut self, node: usize, until: Time) -> Checked {
        if !std::mem::take(&mut self.processes[node].is_up) {
            return Ok(());
        }
        self.course.crashes += 1;
        self.processes[node].stopped_until = 0;
        self.schedule(until, Event::Start { node });
        for index in 0..self.connections.len() {
            let ends = [AT_FOLLOWER, AT_CONTROL];
            let end = ends.into_iter().find(|end| self.node_at(index, *end) == node);
            if let Some(end) = end.filter(|end| !self.connections[index].is_closed[*end]) {
                self.close(index, end);
            }
        }
        if node >= self.plan.controls {
            self.tear(node - self.plan.controls)?;
        }
        Ok(())
    }

    /// Of what was on its way to disk, whole batches are kept, then a part of the records of one.
    pub(super) fn tear(&mut self, follower: usize) -> Checked {
        let count = self.followers[follower].disk.writes.len();
        for _ in 0..self.rng.random_range(0..=count) {
            self.write_oldest(follower)?;
        }
        let disk = &mut self.followers[follower].disk;
        let torn = std::mem::take(&mut disk.writes).pop_front();
        if let Some(mut write) = torn {
            self.course.torn += 1;
            write.records.truncate(self.rng.random_range(0..=write.records.len()));
            put_all(follower, &mut disk.store, write.records)?;
        }
        Ok(())
    }
}
