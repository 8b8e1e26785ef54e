//! The checks after the injection of faults has ended.
use super::*;
use corkbay_feed::{BucketNumber, FollowerState};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Time = 50 * MS;

impl SimulatedCluster {
    /// Runs for `span` and checks that all nodes hold the same records at its end; measures how long they took.
    pub fn check_converges(&mut self, span: Time) -> Checked {
        let faults_ended = self.now;
        while self.now < faults_ended + span && self.check_equal().is_err() {
            self.run_until(self.now + POLL_INTERVAL)?;
        }
        self.outcome.converged_after = self.now - faults_ended;
        self.run_until(faults_ended + span)?;
        self.check_equal()
    }

    /// Checks that all control nodes and the disks of all followers hold the same records.
    pub fn check_equal(&self) -> Checked {
        let control_records = &self.controls[0].store;
        if self.controls.iter().any(|control| control.store != *control_records) {
            return Err(Violation::ControlNodesDiffer);
        }
        let differs = |follower: &FollowerNode| follower.disk.store != *control_records;
        match self.followers.iter().position(differs) {
            Some(follower) => Err(Violation::NotConverged { follower }),
            None => Ok(()),
        }
    }

    /// Runs for `span` and checks that the followers hold what they have room for: the disk of each holds the current
    /// versions of all its keys, and its progress names the buckets of the keys that it lacks.
    pub fn check_full_followers(&mut self, span: Time) -> Checked {
        let end = self.now + span;
        while self.now < end && self.check_current().is_err() {
            self.run_until((self.now + POLL_INTERVAL).min(end))?;
        }
        self.check_current()
    }

    fn check_current(&self) -> Checked {
        let control_records = &self.controls[0].store.records;
        let is_current = |disk: &Disk, record: &TestRecord| match disk.store.records.get(&record.key) {
            Some(held) => held == record,
            None => disk
                .progress
                .is_some_and(|(progress, _)| progress.left_out.contains(BucketNumber::of(&record.key))),
        };
        let lacks =
            |node: &FollowerNode| control_records.values().any(|record| !is_current(&node.disk, record));
        match self.followers.iter().position(lacks) {
            Some(follower) => Err(Violation::NotConverged { follower }),
            None => Ok(()),
        }
    }

    /// Gives all followers room for all records.
    pub fn lift_caps(&mut self) {
        self.followers.iter_mut().for_each(|follower| follower.disk.cap = None);
    }

    /// The number of followers that lack records for want of room.
    pub fn full_followers(&self) -> usize {
        let has_left_out = |node: &&FollowerNode| {
            node.disk.progress.is_some_and(|(progress, _)| !progress.left_out.is_empty())
        };
        self.followers.iter().filter(has_left_out).count()
    }

    /// The number of followers that don't follow their first choice.
    pub fn followers_not_at_first_choice(&self) -> usize {
        let is_not_at_first_choice = |(number, follower): &(usize, &FollowerNode)| {
            let first = self.choice(*number);
            let state = follower.state_machine.status().state;
            !matches!(state, FollowerState::Following { control } if first.is_first_choice(control))
        };
        self.followers.iter().enumerate().filter(is_not_at_first_choice).count()
    }

    /// Runs for `span` without changes and checks that only heartbeats and their answers are sent.
    pub fn check_idle(&mut self, span: Time, max_pair_bytes: u64) -> Checked {
        self.idle = Some(vec![IdleTraffic::default(); self.config.followers]);
        self.run_until(self.now + span)?;
        let idle = self.idle.take().unwrap_or_default();
        let max_total_bytes = max_pair_bytes * (span / (1500 * MS) + 1);
        for (follower, traffic) in idle.into_iter().enumerate() {
            let pair = traffic.heartbeat + traffic.answer;
            self.outcome.max_idle_pair_bytes = self.outcome.max_idle_pair_bytes.max(pair);
            self.outcome.max_idle_bytes = self.outcome.max_idle_bytes.max(traffic.all);
            if traffic.heartbeat == 0
                || traffic.has_others
                || pair > max_pair_bytes
                || traffic.all > max_total_bytes
            {
                return Err(Violation::IdleTraffic { follower });
            }
        }
        Ok(())
    }

    /// Makes a control node unavailable at the moment at which another one changes a record, and checks that the change
    /// reaches all followers within `span`.
    pub fn check_change_during_outage(&mut self, span: Time) -> Checked {
        let unavailable = self.rng.random_range(0..self.config.controls);
        let writer = (unavailable + self.rng.random_range(1..self.config.controls)) % self.config.controls;
        let until = self.now + 2 * span;
        match self.rng.random_range(0..3) {
            0 => self.crash(unavailable, until)?,
            1 => self.processes[unavailable].paused_until = until,
            _ => self.processes[unavailable].isolated_until = until,
        }
        let record = self.change(writer);
        let lacks =
            |node: &FollowerNode| node.disk.store.records.get(&record.key).is_none_or(|held| *held != record);
        let changed = self.now;
        while let Some(follower) = self.followers.iter().position(lacks) {
            if self.now >= changed + span {
                return Err(Violation::ChangeLate { follower });
            }
            self.run_until((self.now + POLL_INTERVAL).min(changed + span))?;
        }
        self.outcome.propagated_after = self.now - changed;
        Ok(())
    }

    pub(super) fn measure_idle(&mut self, connection: usize, message: &Message) {
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
        let bytes = (text.expect("messages are JSON").len() + FRAME_HEADER_BYTES) as u64;
        *largest = bytes.max(*largest);
        traffic.all += bytes;
    }
}
