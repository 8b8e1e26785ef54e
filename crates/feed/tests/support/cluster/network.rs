//! Connections: they deliver messages in order and can be refused, broken or closed by either end.
use super::*;

impl SimulatedCluster {
    pub(super) fn node_at(&self, connection: usize, end: usize) -> usize {
        let connection = &self.connections[connection];
        [self.config.controls + connection.follower, connection.control][end]
    }

    pub(super) fn partitioned_until(&self, one: usize, other: usize) -> Time {
        self.processes[one].isolated_until.max(self.processes[other].isolated_until)
    }

    pub(super) fn delay(&mut self) -> Time {
        let is_late = self.injects_faults() && self.rng.random_bool(0.03);
        self.rng.random_range(MS..if is_late { 900 * MS } else { 15 * MS })
    }

    pub(super) fn connect(&mut self, follower: usize, number: ConnectionNumber, control: usize) {
        let index = self.connections.len();
        let node = self.config.controls + follower;
        let process_generations = [self.processes[node].generation, self.processes[control].generation];
        let is_partitioned = self.partitioned_until(node, control) > self.now;
        let is_refused = !self.processes[control].is_up;
        let closed = is_partitioned || is_refused;
        self.connections.push(Connection {
            number,
            follower,
            control,
            process_generations,
            origin: self.controls[control].origin,
            is_closed: [false, closed],
            arrival: [0; 2],
            skips: false,
        });
        self.followers[follower].connection = Some(index);
        if closed {
            let at = self.now + if is_partitioned { CONNECT_TIMEOUT } else { MS };
            let event = Event::Message { connection: index, end: AT_FOLLOWER, message: Message::Closed };
            self.schedule(at, event);
            return;
        }
        self.send(index, AT_CONTROL, Message::Opened);
        // The kernel accepts the connection even if the process is paused.
        self.send(index, AT_FOLLOWER, Message::Opened);
    }

    pub(super) fn send(&mut self, index: usize, end: usize, message: Message) {
        if self.connections[index].is_closed[1 - end] {
            return;
        }
        if self.injects_faults() && self.rng.random_bool(0.002) {
            self.outcome.broken_connections += 1;
            for end in [AT_FOLLOWER, AT_CONTROL] {
                let at = self.now + self.delay();
                self.schedule(at, Event::Message { connection: index, end, message: Message::Closed });
            }
            return;
        }
        self.measure_idle(index, &message);
        // During a partition the message is retransmitted until the partition ends.
        let (follower, control) = (self.node_at(index, AT_FOLLOWER), self.node_at(index, AT_CONTROL));
        let leaves = self.now.max(self.partitioned_until(follower, control));
        let at = (leaves + self.delay()).max(self.connections[index].arrival[end] + 1);
        self.connections[index].arrival[end] = at;
        self.schedule(at, Event::Message { connection: index, end, message });
    }

    pub(super) fn close(&mut self, index: usize, end: usize) {
        self.send(index, 1 - end, Message::Closed);
        self.connections[index].is_closed[end] = true;
    }

    pub(super) fn deliver(&mut self, index: usize, end: usize, message: Message) -> Checked {
        let node = self.node_at(index, end);
        let connection = &mut self.connections[index];
        if connection.is_closed[end] || !self.processes[node].is_up {
            return Ok(());
        }
        if self.processes[node].generation != connection.process_generations[end] {
            return Ok(());
        }
        connection.is_closed[end] |= matches!(message, Message::Closed);
        let (follower, number, now) = (connection.follower, connection.number, self.now_ms());
        if end == AT_CONTROL {
            let session = SessionNumber(index as u64);
            let Control { feed, store, .. } = &mut self.controls[node];
            match message {
                Message::Opened => feed.connected(session, now),
                Message::Closed => feed.disconnected(session),
                Message::ToControl(message) => feed.message(session, message, store, now),
                Message::ToFollower(_) => unreachable!("message is for the other end"),
            }
            return self.run_control_actions(node);
        }
        let message = match message {
            Message::ToFollower(message) => match self.inject_skip(index, message)? {
                Some(message) => Message::ToFollower(message),
                None => return Ok(()),
            },
            other => other,
        };
        let FollowerNode { state_machine, view, disk, .. } = &mut self.followers[follower];
        let view = view.as_ref().unwrap_or(&disk.store);
        match message {
            Message::Opened => state_machine.connected(number, view, now),
            Message::Closed => state_machine.disconnected(number, now, &mut self.rng),
            Message::ToFollower(message) => state_machine.message(number, message, view, now, &mut self.rng),
            Message::ToControl(_) => unreachable!("message is for the other end"),
        }
        self.run_follower_actions(follower)
    }
}
