//! Replaces workers during a soak.
use super::log::Log;
use super::records::{DrainNotice, Millis, Records, Replacement};
use super::worker::Worker;
use super::{endpoint_entry, SoakRun};
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time from the removal of a worker until another process is at its address. A daemon that has not been told yet can't
/// tell the two apart, and repeats keyed requests there as in their cell.
const TAKEOVER_DELAY: Duration = Duration::from_millis(250);
/// Time from the removal of a worker until the one at its address is announced.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(3000);
/// What is in the command channel counts as told after this time at the latest, whether it arrived or not.
const TOLD_AT_LATEST_MS: Millis = 7000.0;
/// How long the address of a worker that ended is waited for, and the pause between two attempts.
const REBIND_TIMEOUT: Duration = Duration::from_secs(2);
const REBIND_PAUSE: Duration = Duration::from_millis(5);

impl SoakRun {
    /// Drains a worker and starts another in its place.
    pub(super) fn replace_worker(&self, index: usize) -> io::Result<()> {
        let (old, replacement) = {
            let mut workers = self.workers();
            let number = workers.iter().map(|worker| worker.number).max().unwrap_or(0) + 1;
            let replacement = Worker::start(number, workers[index].cell, self.seed, &self.log)?;
            (std::mem::replace(&mut workers[index], replacement.clone()), replacement)
        };
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        for (daemon, channel) in self.channels.iter().enumerate() {
            let event = channel.push_changes(&[
                endpoint_entry(&old, "draining", 0.0),
                endpoint_entry(&replacement, "up", since),
            ]);
            self.record_notice(&old, daemon, event);
        }
        Ok(())
    }

    /// Removes a worker, ends its process, starts another at its address, and announces that one later.
    pub(super) fn replace_worker_at_address(&self, index: usize) -> io::Result<()> {
        let old = self.workers()[index].clone();
        let removed = endpoint_entry(&old, "removed", 0.0);
        let events: Vec<usize> = self
            .channels
            .iter()
            .map(|channel| channel.push_changes(std::slice::from_ref(&removed)))
            .collect();
        events.iter().enumerate().for_each(|(daemon, event)| self.record_notice(&old, daemon, *event));
        std::thread::sleep(TAKEOVER_DELAY);
        old.end();
        let replacement = {
            let mut workers = self.workers();
            let number = workers.iter().map(|worker| worker.number).max().unwrap_or(0) + 1;
            let replacement = start_worker_at(&old, number, self.seed, &self.log)?;
            workers[index] = replacement.clone();
            replacement
        };
        std::thread::sleep(ANNOUNCEMENT_DELAY);
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        let announced_at = self.log.now();
        for (daemon, (channel, event)) in self.channels.iter().zip(events).enumerate() {
            let worker = replacement.number;
            // A daemon whose system calls fail may not have been told yet.
            let delivered_at = channel.delivered_at(event).map(|at| self.log.time_of(at));
            let removed_at = delivered_at.unwrap_or(announced_at);
            let replaced = Replacement { worker, daemon, removed_at, announced_at };
            self.log.records().replacements.push(replaced);
            channel.push_changes(&[endpoint_entry(&replacement, "up", since)]);
        }
        Ok(())
    }

    /// Records that an event that drains or removes a worker is in the command channel of a daemon.
    fn record_notice(&self, worker: &Worker, daemon: usize, event: usize) {
        let mut records = self.log.records();
        let notice = DrainNotice { worker: worker.number, daemon, notified_at: self.log.now() };
        records.drained.push(notice);
        self.notice_events().push(event);
    }

    /// Counts each notice from the moment in which its daemon was told, which may be unable to reach its command channel, but
    /// no later than the protocol allows.
    pub(super) fn count_notices_from_delivery(&self, records: &mut Records) {
        for (notice, event) in records.drained.iter_mut().zip(self.notice_events().iter()) {
            let latest = notice.notified_at + TOLD_AT_LATEST_MS;
            let delivered_at = self.channels[notice.daemon].delivered_at(*event);
            notice.notified_at = delivered_at.map_or(latest, |at| self.log.time_of(at).min(latest));
        }
    }

    fn notice_events(&self) -> std::sync::MutexGuard<'_, Vec<usize>> {
        self.notice_events.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Starts a worker in another cell at the address of one that has ended. The port is free once the old listener's thread
/// has noticed.
fn start_worker_at(old: &Worker, number: usize, seed: u64, log: &Log) -> io::Result<Worker> {
    let started = Instant::now();
    loop {
        match Worker::start_at(old.address, number, 1 - old.cell, seed, log) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && started.elapsed() < REBIND_TIMEOUT => {
                std::thread::sleep(REBIND_PAUSE);
            }
            end => return end,
        }
    }
}
