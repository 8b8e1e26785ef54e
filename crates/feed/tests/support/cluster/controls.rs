//! Control nodes: their feeds, and replication among them.
use super::*;

impl SimulatedCluster {
    pub(super) fn run_control_actions(&mut self, control: usize) -> Checked {
        for action in self.controls[control].feed.actions() {
            match action {
                FeedAction::Send { session, message } => {
                    if let ControlMessage::Difference { records, .. } = &message {
                        let bytes = records.iter().map(FeedRecord::size).sum();
                        self.differences.push((self.now, bytes));
                    }
                    self.send(session.0 as usize, AT_FOLLOWER, Message::ToFollower(message));
                }
                FeedAction::Close { session, .. } => self.close(session.0 as usize, AT_CONTROL),
            }
        }
        let feed = &self.controls[control].feed;
        let ((copies, waiting), limits) = (feed.copies(), &self.config.limits);
        self.max_running_copies = self.max_running_copies.max(copies);
        if copies > limits.full_copies
            || waiting > limits.waiting_copies
            || feed.connections() > limits.followers
        {
            return Err(Violation::LimitExceeded);
        }
        let next = feed.next_wakeup();
        self.wake(control, next);
        Ok(())
    }

    pub(super) fn change(&mut self, control: usize) -> TestRecord {
        self.outcome.writes += 1;
        let key = format!("key/{}", self.rng.random_range(0..150));
        let held = self.controls[control].store.get(&key);
        let version = GreaterRecord.next_version(held.as_ref());
        let value = self.rng.random_bool(0.8).then(|| self.rng.random_range(0..u64::MAX).to_string());
        let record = TestRecord::new(&key, version, control as u64, value.as_deref());
        self.merge(control, record.clone());
        for other in (0..self.config.controls).filter(|other| *other != control) {
            if self.partitioned_until(control, other) <= self.now {
                let at = self.now + self.delay();
                self.schedule(at, Event::Merge { control: other, record: record.clone() });
            }
        }
        record
    }

    pub(super) fn merge(&mut self, node: usize, record: TestRecord) {
        let now = self.now_ms();
        let control = &mut self.controls[node];
        if control.store.merge(record.clone()) {
            control.feed.changed(&record.key, now);
            self.checker.record_change(control.origin, &record);
            let next = control.feed.next_wakeup();
            self.wake(node, next);
        }
    }

    /// Exchanges records among the control nodes that can reach each other, so that they hold the same ones.
    pub(super) fn mesh(&mut self) {
        for from in 0..self.config.controls {
            for to in 0..self.config.controls {
                let is_partitioned = self.partitioned_until(from, to) > self.now
                    || !self.is_running(from)
                    || !self.is_running(to);
                let (source, target) = (&self.controls[from].store, &self.controls[to].store);
                if is_partitioned || source.bucket_hashes() == target.bucket_hashes() {
                    continue;
                }
                for record in source.records.values().cloned().collect::<Vec<_>>() {
                    self.merge(to, record);
                }
            }
        }
    }
}
