//! Followers and their disks.
use super::*;

impl SimulatedCluster {
    pub(super) fn run_follower_actions(&mut self, follower: usize) -> Checked {
        self.report_room(follower);
        // Carrying out actions may cause further actions.
        loop {
            let actions = self.followers[follower].state_machine.actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    FollowerAction::Connect { connection, control } => {
                        self.connect(follower, connection, control.0);
                    }
                    FollowerAction::Disconnect { .. } => {
                        if let Some(connection) = self.followers[follower].connection.take() {
                            self.close(connection, AT_FOLLOWER);
                        }
                    }
                    FollowerAction::Send { message, .. } => self.send_from_follower(follower, message)?,
                    FollowerAction::Persist { batch, records, update } => {
                        self.persist(follower, batch, records, update)?;
                    }
                }
            }
        }
        let next = self.followers[follower].state_machine.next_wakeup();
        self.wake(self.config.controls + follower, Some(next));
        Ok(())
    }

    pub(super) fn send_from_follower(&mut self, follower: usize, message: FollowerMessage) -> Checked {
        let node = &self.followers[follower];
        if let FollowerMessage::Hello { position, .. } | FollowerMessage::Applied { position, .. } = &message
        {
            Checker::check_acknowledgement(
                follower,
                *position,
                node.disk.progress.map(|(progress, _)| progress.position),
            )?;
        }
        if let Some(connection) = node.connection {
            self.send(connection, AT_CONTROL, Message::ToControl(message));
        }
        Ok(())
    }

    pub(super) fn persist(
        &mut self,
        follower: usize,
        batch: BatchNumber,
        records: Vec<TestRecord>,
        update: ProgressUpdate,
    ) -> Checked {
        let connection = self.followers[follower].connection.expect("records are received over a connection");
        let origin = self.connections[connection].origin;
        if let Some(position) = update.position() {
            self.checker.check_batch_order(follower, origin, position.revision)?;
        }
        self.outcome.batches += 1;
        let node = &mut self.followers[follower];
        if let Some(view) = &mut node.view {
            records.iter().for_each(|record| view.put(record.clone()));
        }
        node.disk.writes.push_back(Write { batch, records, update, origin });
        if node.disk.writes.len() == 1 {
            self.begin_write(follower);
        }
        if self.config.injected_fault == InjectedFault::AcknowledgesBeforeSync {
            self.report_persisted(follower, batch, LeftOutRecords::default());
        }
        Ok(())
    }

    pub(super) fn begin_write(&mut self, follower: usize) {
        let is_slow = self.injects_faults() && self.followers[follower].disk.is_slow;
        let delay = self.rng.random_range(MS..if is_slow { 1000 * MS } else { 15 * MS });
        let generation = self.processes[self.config.controls + follower].generation;
        self.schedule(self.now + delay, Event::Written { follower, generation });
    }

    /// Tells a running follower how much room its disk has.
    fn report_room(&mut self, follower: usize) {
        let now = self.now_ms();
        let FollowerNode { state_machine, view, disk, .. } = &mut self.followers[follower];
        state_machine.report_room(disk.room(), view.as_ref().unwrap_or(&disk.store), now);
    }

    pub(super) fn report_persisted(&mut self, follower: usize, batch: BatchNumber, left_out: LeftOutRecords) {
        let now = self.now_ms();
        let node = &mut self.followers[follower];
        let view = node.view.as_ref().unwrap_or(&node.disk.store);
        node.state_machine.persisted(batch, left_out, view, now);
    }

    pub(super) fn finish_write(&mut self, follower: usize) -> Checked {
        if self.rejects_oldest_write(follower) {
            let now = self.now_ms();
            let node = &mut self.followers[follower];
            node.disk.writes.clear();
            let on_disk = node.disk.origin_position().map(|(position, origin)| (origin, position.revision));
            self.checker.record_restart(follower, on_disk);
            node.state_machine.persist_failed(now, &mut self.rng);
            return self.run_follower_actions(follower);
        }
        let (batch, left_out) = self.write_oldest(follower)?;
        if !self.followers[follower].disk.writes.is_empty() {
            self.begin_write(follower);
        }
        if self.config.injected_fault != InjectedFault::AcknowledgesBeforeSync {
            self.report_persisted(follower, batch, left_out);
        }
        self.run_follower_actions(follower)
    }

    /// Whether the oldest pending write fails under [`InjectedFault::RejectsWholeBatches`].
    fn rejects_oldest_write(&self, follower: usize) -> bool {
        let disk = &self.followers[follower].disk;
        let injected = self.config.injected_fault == InjectedFault::RejectsWholeBatches;
        injected
            && disk
                .writes
                .front()
                .is_some_and(|write| write.records.iter().any(|new| !disk.has_room_for(new)))
    }

    pub(super) fn write_oldest(
        &mut self,
        follower: usize,
    ) -> Result<(BatchNumber, LeftOutRecords), Violation> {
        let forgets = self.config.injected_fault == InjectedFault::ForgetsLeftOutRecords;
        let disk = &mut self.followers[follower].disk;
        let write = disk.writes.pop_front().expect("a write is pending");
        let left_out = disk.write_records(follower, write.records)?;
        self.outcome.left_out += left_out.count() as u64;
        let before = disk.progress;
        let known_left_out = if forgets { LeftOutRecords::default() } else { left_out };
        let after = write.update.apply(before.map(|(progress, _)| progress), known_left_out);
        let origin = match write.update.position() {
            Some(_) => write.origin,
            None => before.map_or(write.origin, |(_, origin)| origin),
        };
        if let Some(progress) = after {
            disk.progress = Some((progress, origin));
            self.checker.check_progress(follower, origin, &progress, &disk.store)?;
        }
        Ok((write.batch, left_out))
    }
}

impl Disk {
    /// The position on disk, with the process of the control node that it belongs to.
    pub(super) fn origin_position(&self) -> Option<(Position, Origin)> {
        self.progress.map(|(progress, origin)| (progress.position, origin))
    }

    /// How many bytes of records there is room for.
    fn room(&self) -> usize {
        self.cap.map_or(usize::MAX, |cap| cap.saturating_sub(self.store.bytes()))
    }

    /// Whether a record is written: there is room for it, or it is a new version of one that is held.
    fn has_room_for(&self, record: &TestRecord) -> bool {
        self.store.records.contains_key(&record.key) || record.size() <= self.room()
    }

    /// Writes records; returns those that were left out for want of room.
    pub(super) fn write_records(
        &mut self,
        follower: usize,
        records: Vec<TestRecord>,
    ) -> Result<LeftOutRecords, Violation> {
        let mut left_out = LeftOutRecords::default();
        for record in records {
            Checker::check_write(follower, self.store.records.get(&record.key), &record)?;
            if self.has_room_for(&record) {
                self.store.put(record);
            } else {
                left_out.add(&record.key);
            }
        }
        Ok(left_out)
    }
}

impl Write {
    /// The position that the write leads to, with the process of the control node that it belongs to.
    pub(super) fn origin_position(&self) -> Option<(Position, Origin)> {
        Some((self.update.position()?, self.origin))
    }
}
