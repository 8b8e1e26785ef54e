//! What is checked once the troubles are over.
use super::*;
use corkbay_feed::FollowerState;

/// How often it is looked whether something has come about.
const LOOK_INTERVAL: Time = 50 * MS;

impl World {
    /// Lets so much time pass, within which all come to hold the same and then go on holding it.
    pub fn check_settles(&mut self, span: Time) -> Checked {
        let healed = self.now;
        while self.now < healed + span && self.check_equal().is_err() {
            self.run_until(self.now + LOOK_INTERVAL)?;
        }
        self.course.equal_after = self.now - healed;
        self.run_until(healed + span)?;
        self.check_equal()
    }

    /// Whether all control nodes that run, and all followers, hold the same on disk.
    pub fn check_equal(&self) -> Checked {
        let content = &self.controls[0].store;
        if self.controls.iter().any(|control| control.store != *content) {
            return Err(Violation::MeshNotEqual);
        }
        let differs = |follower: &FollowerNode| follower.disk.store != *content;
        match self.followers.iter().position(differs) {
            Some(follower) => Err(Violation::NotEqual { follower }),
            None => Ok(()),
        }
    }

    /// How many followers follow another control node than the first of their choice.
    pub fn strays(&self) -> usize {
        let is_stray = |(number, follower): &(usize, &FollowerNode)| {
            let first = self.choice(*number);
            let state = follower.machine.status().state;
            !matches!(state, FollowerState::Following { control } if first.is_first_choice(control))
        };
        self.followers.iter().enumerate().filter(is_stray).count()
    }

    /// Lets so much time pass in which nothing changes, and checks what is said in it.
    pub fn check_idle(&mut self, span: Time, most_pair: u64) -> Checked {
        self.idle = Some(vec![IdleTraffic::default(); self.plan.followers]);
        self.run_until(self.now + span)?;
        let idle = self.idle.take().unwrap_or_default();
        let most = most_pair * (span / (1500 * MS) + 1);
        for (follower, traffic) in idle.into_iter().enumerate() {
            let pair = traffic.heartbeat + traffic.answer;
            self.course.most_idle_pair = self.course.most_idle_pair.max(pair);
            self.course.most_idle_bytes = self.course.most_idle_bytes.max(traffic.all);
            if traffic.heartbeat == 0 || traffic.has_others || pair > most_pair || traffic.all > most {
                return Err(Violation::IdleTraffic { follower });
            }
        }
        Ok(())
    }

    /// Takes a control node away in the moment in which another changes a record, and checks that the change is in force.
    pub fn check_change_while_one_is_away(&mut self, span: Time) -> Checked {
        let away = self.rng.random_range(0..self.plan.controls);
        let writer = (away + self.rng.random_range(1..self.plan.controls)) % self.plan.controls;
        let until = self.now + 2 * span;
        match self.rng.random_range(0..3) {
            0 => self.crash(away, until)?,
            1 => self.processes[away].stopped_until = until,
            _ => self.processes[away].isolated_until = until,
        }
        let record = self.change(writer);
        let lacks =
            |node: &FollowerNode| node.disk.store.records.get(&record.key).is_none_or(|held| *held != record);
        let changed = self.now;
        while let Some(follower) = self.followers.iter().position(lacks) {
            if self.now >= changed + span {
                return Err(Violation::Late { follower });
            }
            self.run_until((self.now + LOOK_INTERVAL).min(changed + span))?;
        }
        self.course.in_force_after = self.now - changed;
        Ok(())
    }

    pub(super) fn count_idle(&mut self, connection: usize, message: &Message) {
        let Some(idle) = &mut self.idle else { return };
        let traffic = &mut idle[self.connections[connection].follower];
        let mut other = 0;
        let (text, largest) = match message {
            Message::ToControl(message @ FollowerMessage::Applied { .. }) => {
                (serde_json::to_vec(message), &mut traffic.answer)
            }
            Message::ToFollower(message @ ControlMessage::Heartbeat { .. }) => {
                (serde_json::to_vec(message), &mut traffic.heartbeat)
            }
            _ => {
                traffic.has_others = true;
                (Ok(Vec::new()), &mut other)
            }
        };
        let bytes = (text.expect("messages are JSON").len() + FRAME_HEAD) as u64;
        *largest = bytes.max(*largest);
        traffic.all += bytes;
    }
}
