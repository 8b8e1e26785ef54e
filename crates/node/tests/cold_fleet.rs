//! Workers that have just started, under the sum of what a fleet of started programs sends them.
mod support;

use serde_json::json;
use std::time::{Duration, Instant};
use support::counting::{CountingWorker, Processes, WarmupSettings};

const PROCESSES: usize = 30;
const WORKERS: usize = 12;
const RAMP: WarmupSettings = WarmupSettings {
    from: 0.25,
    span: Duration::from_secs(8),
    multiple: 2.0,
    window: Duration::from_secs(2),
    work: Duration::from_millis(40),
};
/// The programs remember what was served by this half-life.
const KEEP: Duration = Duration::from_secs(4);
/// Requests a second, twice as many as the warm fleet can serve.
const DEMAND: f64 = 600.0;
/// Windows of the ramp that are watched.
const WINDOWS: u32 = 3;

/// Checks each window that begins with a request: its worker is allowed what the settings say for the window's middle,
/// which is their average over it.
fn assert_spared(name: &str, worker: &CountingWorker) {
    let arrivals = worker.arrivals();
    let mut closest = f64::MIN;
    for (first, from) in arrivals.iter().enumerate() {
        let count = arrivals[first..].iter().take_while(|at| **at - *from < RAMP.window).count();
        let age = *from - worker.started;
        let falls_above = RAMP.falls_above(age + RAMP.window / 2);
        closest = closest.max(count as f64 - falls_above);
        assert!(count as f64 <= falls_above, "{name} got {count} at {age:?}, {falls_above:.1} are allowed");
    }
    println!("{name}: {} requests, {closest:.1} over what is allowed at the worst", arrivals.len());
}

/// Replaces so many workers of a fleet that has long been warm by cold ones, while more is asked for than it can do.
fn replace(replaced: usize) {
    let mut processes = Processes::start(PROCESSES, RAMP, |settings| {
        settings["specifics"]["keepMs"] = json!(KEEP.as_secs_f64() * 1000.0);
    });
    let warm: Vec<CountingWorker> = (0..WORKERS).map(|_| CountingWorker::start(RAMP, false)).collect();
    let names: Vec<String> = (0..WORKERS).map(|number| format!("h{number}")).collect();
    let list: Vec<_> = names.iter().zip(&warm).map(|(name, worker)| (name.as_str(), worker, "up")).collect();
    processes.tell(&list);
    processes.load(DEMAND / PROCESSES as f64, 40);
    std::thread::sleep(2 * KEEP);

    let cold: Vec<CountingWorker> = (0..replaced).map(|_| CountingWorker::start(RAMP, true)).collect();
    let fresh: Vec<String> = (0..replaced).map(|number| format!("c{number}")).collect();
    let mut changes: Vec<_> = list[..replaced].iter().map(|line| (line.0, line.1, "removed")).collect();
    changes.extend(fresh.iter().zip(&cold).map(|(name, worker)| (name.as_str(), worker, "up")));
    let served_before: u64 = warm[replaced..].iter().map(CountingWorker::served).sum();
    let (asked_before, answered_before) = processes.counts();
    let replaced_at = Instant::now();
    processes.tell(&changes);
    std::thread::sleep(WINDOWS * RAMP.window);

    for (name, worker) in fresh.iter().zip(&cold) {
        assert_spared(name, worker);
        assert!(worker.served() > 0, "{name} is not used");
    }
    let (asked, answered) = processes.counts();
    let span = replaced_at.elapsed().as_secs_f64();
    println!("in {span:.1} s {} asked, {} answered", asked - asked_before, answered - answered_before);
    let share = (asked - asked_before) as f64 / WORKERS as f64 / f64::from(WINDOWS);
    let allowed = RAMP.falls_above(WINDOWS * RAMP.window / 2);
    assert!(share > 1.2 * allowed, "the demand does not exceed what cold workers are allowed: {share}");
    let served: u64 = warm[replaced..].iter().map(CountingWorker::served).sum::<u64>() - served_before;
    let capacity = (WORKERS - replaced) as f64 * span / RAMP.work.as_secs_f64();
    assert!(served as f64 >= capacity / 2.0, "the warm workers served {served} of {capacity:.0}");
}

/// Guards the limit of a cold worker over the sum of what all programs send it, where each sends only a few of its calls.
#[test]
fn some_cold_workers_are_spared_by_all_programs_together() {
    replace(WORKERS / 2);
}

/// Guards the same where the whole fleet goes cold at once: what each program remembers was served by warm workers.
#[test]
fn a_whole_fleet_that_has_gone_cold_is_spared_by_all_programs_together() {
    replace(WORKERS);
}
