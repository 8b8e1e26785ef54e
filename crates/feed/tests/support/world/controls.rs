//! Control nodes: their feeds, and how they keep each other equal.
use super::*;

impl World {
    pub(super) fn act_control(&mut self, control: usize) -> Checked {
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
        let ((copies, waiting), limits) = (feed.copies(), &self.plan.limits);
        self.most_copies = self.most_copies.max(copies);
        if copies > limits.full_copies
            || waiting > limits.waiting_copies
            || feed.connections() > limits.followers
        {
            return Err(Violation::OverBounds);
        }
        let next = feed.next_wakeup();
        self.wake(control, next);
        Ok(())
    }

    pub(super) fn change(&mut self, control: usize) -> TestRecord {
        self.course.writes += 1;
        let key = format!("key/{}", self.rng.random_range(0..150));
        let held = self.controls[control].store.get(&key);
        let version = GreaterRecord.next_version(held.as_ref());
        let value = self.rng.random_bool(0.8).then(|| self.rng.random_range(0..u64::MAX).to_string());
        let record = TestRecord::new(&key, version, control as u64, value.as_deref());
        self.merge(control, record.clone());
        for other in (0..self.plan.controls).filter(|other| *other != control) {
            if self.cut_until(control, other) <= self.now {
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
            self.checker.changed(control.origin, &record);
            let next = control.feed.next_wakeup();
            self.wake(node, next);
        }
    }

    /// Control nodes that reach each other hold the same afterwards.
    pub(super) fn mesh(&mut self) {
        for from in 0..self.plan.controls {
            for to in 0..self.plan.controls {
                let is_cut = self.cut_until(from, to) > self.now || !self.runs(from) || !self.runs(to);
                let (giver, taker) = (&self.controls[from].store, &self.controls[to].store);
                if is_cut || giver.bucket_hashes() == taker.bucket_hashes() {
                    continue;
                }
                for record in giver.records.values().cloned().collect::<Vec<_>>() {
                    self.merge(to, record);
                }
            }
        }
    }
}
