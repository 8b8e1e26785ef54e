//! Followers and their disks.
use super::*;

impl SimulatedCluster {
    pub(super) fn run_follower_actions(&mut self, follower: usize) -> Checked {
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
                    FollowerAction::Persist { batch, records, position } => {
                        self.persist(follower, batch, records, position)?;
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
        if let FollowerMessage::Hello { position, .. } | FollowerMessage::Applied { position } = &message {
            Checker::check_acknowledgement(
                follower,
                *position,
                node.disk.origin_position.map(|origin_position| origin_position.0),
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
        position: Option<Position>,
    ) -> Checked {
        let connection = self.followers[follower].connection.expect("records are received over a connection");
        let origin = self.connections[connection].origin;
        if let Some(position) = position {
            self.checker.check_batch_order(follower, origin, position.revision)?;
        }
        self.outcome.batches += 1;
        let node = &mut self.followers[follower];
        if let Some(view) = &mut node.view {
            records.iter().for_each(|record| view.put(record.clone()));
        }
        let origin_position = position.map(|position| (position, origin));
        node.disk.writes.push_back(Write { batch, records, origin_position });
        if node.disk.writes.len() == 1 {
            self.begin_write(follower);
        }
        if self.config.injected_fault == InjectedFault::AcknowledgesBeforeSync {
            self.report_persisted(follower, batch);
        }
        Ok(())
    }

    pub(super) fn begin_write(&mut self, follower: usize) {
        let is_slow = self.injects_faults() && self.followers[follower].disk.is_slow;
        let delay = self.rng.random_range(MS..if is_slow { 1000 * MS } else { 15 * MS });
        let generation = self.processes[self.config.controls + follower].generation;
        self.schedule(self.now + delay, Event::Written { follower, generation });
    }

    pub(super) fn report_persisted(&mut self, follower: usize, batch: BatchNumber) {
        let now = self.now_ms();
        let node = &mut self.followers[follower];
        let view = node.view.as_ref().unwrap_or(&node.disk.store);
        node.state_machine.persisted(batch, view, now);
    }

    pub(super) fn finish_write(&mut self, follower: usize) -> Checked {
        let batch = self.write_oldest(follower)?;
        if !self.followers[follower].disk.writes.is_empty() {
            self.begin_write(follower);
        }
        if self.config.injected_fault != InjectedFault::AcknowledgesBeforeSync {
            self.report_persisted(follower, batch);
        }
        self.run_follower_actions(follower)
    }

    pub(super) fn write_oldest(&mut self, follower: usize) -> Result<BatchNumber, Violation> {
        let disk = &mut self.followers[follower].disk;
        let write = disk.writes.pop_front().expect("a write is pending");
        write_records(follower, &mut disk.store, write.records)?;
        if let Some((position, origin)) = write.origin_position {
            disk.origin_position = write.origin_position;
            self.checker.check_position(follower, origin, position.revision, &disk.store)?;
        }
        Ok(write.batch)
    }
}

pub(super) fn write_records(follower: usize, store: &mut TestStore, records: Vec<TestRecord>) -> Checked {
    for record in records {
        Checker::check_write(follower, store.records.get(&record.key), &record)?;
        store.put(record);
    }
    Ok(())
}
