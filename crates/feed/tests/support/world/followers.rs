//! Followers and their disks.
use super::*;

impl World {
    pub(super) fn act_follower(&mut self, follower: usize) -> Checked {
        // What is done may bring about more.
        loop {
            let actions = self.followers[follower].machine.actions();
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
                    FollowerAction::Send { message, .. } => self.say(follower, message)?,
                    FollowerAction::Persist { batch, records, position } => {
                        self.persist(follower, batch, records, position)?;
                    }
                }
            }
        }
        let next = self.followers[follower].machine.next_wakeup();
        self.wake(self.plan.controls + follower, Some(next));
        Ok(())
    }

    pub(super) fn say(&mut self, follower: usize, message: FollowerMessage) -> Checked {
        let node = &self.followers[follower];
        if let FollowerMessage::Hello { position, .. } | FollowerMessage::Applied { position } = &message {
            Checker::acknowledged(follower, *position, node.disk.claim.map(|claim| claim.0))?;
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
        let connection = self.followers[follower].connection.expect("records come over a connection");
        let origin = self.connections[connection].origin;
        if let Some(position) = position {
            self.checker.taken(follower, origin, position.revision)?;
        }
        self.course.batches += 1;
        let node = &mut self.followers[follower];
        if let Some(view) = &mut node.view {
            records.iter().for_each(|record| view.put(record.clone()));
        }
        let claim = position.map(|position| (position, origin));
        node.disk.writes.push_back(Write { batch, records, claim });
        if node.disk.writes.len() == 1 {
            self.begin_write(follower);
        }
        if self.plan.planted == Planted::AcknowledgesEarly {
            self.tell_persisted(follower, batch);
        }
        Ok(())
    }

    pub(super) fn begin_write(&mut self, follower: usize) {
        let is_slow = self.is_troubled() && self.followers[follower].disk.is_slow;
        let delay = self.rng.random_range(MS..if is_slow { 1000 * MS } else { 15 * MS });
        let life = self.processes[self.plan.controls + follower].life;
        self.schedule(self.now + delay, Event::Written { follower, life });
    }

    pub(super) fn tell_persisted(&mut self, follower: usize, batch: BatchNumber) {
        let now = self.now_ms();
        let node = &mut self.followers[follower];
        let view = node.view.as_ref().unwrap_or(&node.disk.store);
        node.machine.persisted(batch, view, now);
    }

    pub(super) fn written(&mut self, follower: usize) -> Checked {
        let batch = self.write_oldest(follower)?;
        if !self.followers[follower].disk.writes.is_empty() {
            self.begin_write(follower);
        }
        if self.plan.planted != Planted::AcknowledgesEarly {
            self.tell_persisted(follower, batch);
        }
        self.act_follower(follower)
    }

    pub(super) fn write_oldest(&mut self, follower: usize) -> Result<BatchNumber, Violation> {
        let disk = &mut self.followers[follower].disk;
        let write = disk.writes.pop_front().expect("a write is on its way");
        put_all(follower, &mut disk.store, write.records)?;
        if let Some((position, origin)) = write.claim {
            disk.claim = write.claim;
            self.checker.claimed(follower, origin, position.revision, &disk.store)?;
        }
        Ok(write.batch)
    }
}

pub(super) fn put_all(follower: usize, store: &mut TestStore, records: Vec<TestRecord>) -> Checked {
    for record in records {
        Checker::written(follower, store.records.get(&record.key), &record)?;
        store.put(record);
    }
    Ok(())
}
