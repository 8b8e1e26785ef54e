//! Connections: each keeps its order, and ends in many ways.
use super::*;

impl World {
    pub(super) fn node_at(&self, connection: usize, end: usize) -> usize {
        let connection = &self.connections[connection];
        [self.plan.controls + connection.follower, connection.control][end]
    }

    pub(super) fn cut_until(&self, one: usize, other: usize) -> Time {
        self.processes[one].isolated_until.max(self.processes[other].isolated_until)
    }

    pub(super) fn delay(&mut self) -> Time {
        let is_late = self.is_troubled() && self.rng.random_bool(0.03);
        self.rng.random_range(MS..if is_late { 900 * MS } else { 15 * MS })
    }

    pub(super) fn connect(&mut self, follower: usize, number: ConnectionNumber, control: usize) {
        let index = self.connections.len();
        let node = self.plan.controls + follower;
        let lives = [self.processes[node].life, self.processes[control].life];
        let is_cut = self.cut_until(node, control) > self.now;
        let is_refused = !self.processes[control].is_up;
        let closed = is_cut || is_refused;
        self.connections.push(Connection {
            number,
            follower,
            control,
            lives,
            origin: self.controls[control].origin,
            is_closed: [false, closed],
            arrival: [0; 2],
            skips: false,
        });
        self.followers[follower].connection = Some(index);
        if closed {
            let at = self.now + if is_cut { CONNECT_TIMEOUT } else { MS };
            let event = Event::Message { connection: index, end: AT_FOLLOWER, message: Message::Closed };
            self.schedule(at, event);
            return;
        }
        self.send(index, AT_CONTROL, Message::Opened);
        // The kernel answers, also for a process that is stopped.
        self.send(index, AT_FOLLOWER, Message::Opened);
    }

    pub(super) fn send(&mut self, index: usize, end: usize, message: Message) {
        if self.connections[index].is_closed[1 - end] {
            return;
        }
        if self.is_troubled() && self.rng.random_bool(0.002) {
            self.course.breaks += 1;
            for end in [AT_FOLLOWER, AT_CONTROL] {
                let at = self.now + self.delay();
                self.schedule(at, Event::Message { connection: index, end, message: Message::Closed });
            }
            return;
        }
        self.count_idle(index, &message);
        // Where the way is cut it is sent again until it isn't.
        let (follower, control) = (self.node_at(index, AT_FOLLOWER), self.node_at(index, AT_CONTROL));
        let leaves = self.now.max(self.cut_until(follower, control));
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
        if self.processes[node].life != connection.lives[end] {
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
                Message::ToFollower(_) => unreachable!("goes to the other end"),
            }
            return self.act_control(node);
        }
        let message = match message {
            Message::ToFollower(message) => match self.plant_skip(index, message)? {
                Some(message) => Message::ToFollower(message),
                None => return Ok(()),
            },
            other => other,
        };
        let FollowerNode { machine, view, disk, .. } = &mut self.followers[follower];
        let view = view.as_ref().unwrap_or(&disk.store);
        match message {
            Message::Opened => machine.connected(number, view, now),
            Message::Closed => machine.disconnected(number, now, &mut self.rng),
            Message::ToFollower(message) => machine.message(number, message, view, now, &mut self.rng),
            Message::ToControl(_) => unreachable!("goes to the other end"),
        }
        self.act_follower(follower)
    }
}
