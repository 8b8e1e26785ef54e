//! Workers that have just started, in small and large fleets of programs, on quiet and busy days, behind silences of
//! discovery, and with wall clocks that are stepped or wrong: none gets more than the operators' term allows.
mod support;

use serde_json::json;
use std::time::Duration;
use support::counting::{CountingWorker, Processes, WarmupSettings};
use support::faults::Faults;

const RAMP: WarmupSettings = WarmupSettings {
    from: 0.25,
    span: Duration::from_secs(8),
    multiple: 2.0,
    window: Duration::from_secs(2),
    work: Duration::from_millis(40),
};
/// What a warm worker can serve in a second.
const WARM_RATE: f64 = 25.0;
/// Long enough for the programs to know what the fleet serves.
const SETTLED: Duration = Duration::from_secs(4);
/// Steps of the wall clock, in seconds.
const STEPS: [f64; 6] = [2.0, -2.0, 30.0, -30.0, 3600.0, -3600.0];

/// How cold workers come to a fleet of programs.
#[derive(Clone, Copy, Debug)]
struct Day {
    programs: usize,
    workers: usize,
    /// Of these, how many are replaced by cold ones.
    replaced: usize,
    /// Requests in a second as a part of what the warm workers can serve.
    demand: f64,
    /// How long discovery was silent before it told of the cold ones.
    silence: Duration,
    /// The programs' wall clocks are stepped by so many seconds just before.
    step: f64,
    /// The sender's wall clock is off by so many seconds.
    sender_off: f64,
}

const QUIET: Day = Day {
    programs: 3,
    workers: 3,
    replaced: 1,
    demand: 0.3,
    silence: Duration::ZERO,
    step: 0.0,
    sender_off: 0.0,
};
/// Each program sends a few of its calls to a cold worker: what fells it is the sum.
const OVERLOADED_FLEET: Day = Day { programs: 30, workers: 12, replaced: 6, demand: 2.0, ..QUIET };

/// Plays a day; for each cold worker, how far it was over its limit at the worst, and how many requests it got.
fn play(day: Day) -> Vec<(f64, usize)> {
    let faults = Faults::new();
    let mut programs = Processes::start_with(day.programs, RAMP, &faults.environment(), |settings| {
        settings["specifics"]["keepMs"] = json!(4000.0);
    });
    let warm: Vec<CountingWorker> = (0..day.workers).map(|_| CountingWorker::start(RAMP, false)).collect();
    let names: Vec<String> = (0..day.workers).map(|number| format!("h{number}")).collect();
    let list: Vec<_> = names.iter().zip(&warm).map(|(name, worker)| (name.as_str(), worker, "up")).collect();
    programs.tell(&list);
    programs.load(day.demand * day.workers as f64 * WARM_RATE / day.programs as f64, 3 * day.workers as u64);
    std::thread::sleep(SETTLED);
    if !day.silence.is_zero() {
        programs.silence();
        std::thread::sleep(day.silence);
    }
    let mut cold: Vec<CountingWorker> =
        (0..day.replaced).map(|_| CountingWorker::start(RAMP, true)).collect();
    cold.iter_mut().for_each(|worker| worker.since_ms += day.sender_off * 1000.0);
    let fresh: Vec<String> = (0..day.replaced).map(|number| format!("c{number}")).collect();
    let mut changes: Vec<_> = list[..day.replaced].iter().map(|line| (line.0, line.1, "removed")).collect();
    changes.extend(fresh.iter().zip(&cold).map(|(name, worker)| (name.as_str(), worker, "up")));
    faults.step_clock(day.step);
    programs.tell(&changes);
    std::thread::sleep(4 * RAMP.window);
    cold.iter().map(|worker| (worker.worst_excess(&RAMP), worker.arrivals().len())).collect()
}

fn assert_spared(days: impl IntoIterator<Item = Day>) {
    let plays: Vec<_> = days.into_iter().map(|day| (day, std::thread::spawn(move || play(day)))).collect();
    for (day, played) in plays {
        let cold = played.join().expect("played");
        println!("{day:?}: {cold:.1?}");
        assert!(cold.iter().all(|(excess, _)| *excess <= 0.0), "{day:?}: more than one bears: {cold:.1?}");
        // Where there is little to do the others do it.
        let are_used = cold.iter().all(|(_, requests)| *requests > 0);
        assert!(are_used || day.demand < 1.0, "{day:?}: one is not used: {cold:.1?}");
    }
}

#[test]
fn a_cold_worker_is_spared_by_few_and_many_programs() {
    assert_spared([1, 3, 20].map(|programs| Day { programs, ..QUIET }));
    assert_spared([1, 3, 30].map(|programs| Day { programs, demand: 1.5, ..QUIET }));
}

#[test]
fn a_cold_worker_told_behind_a_long_silence_is_spared() {
    let silence = Duration::from_secs(6);
    assert_spared([0.3, 1.5].map(|demand| Day { demand, silence, ..QUIET }));
}

#[test]
fn cold_workers_are_spared_and_used_whatever_is_done_to_our_clock() {
    assert_spared(STEPS.map(|step| Day { demand: 1.5, step, ..QUIET }));
    for step in [30.0, 3600.0] {
        assert_spared([Day { step, ..OVERLOADED_FLEET }]);
    }
}

/// A sender that is off by less than a start may take to be told can't be known from one that is right.
#[test]
fn cold_workers_are_spared_and_used_whatever_the_senders_clock_says() {
    assert_spared([30.0, -30.0, 3600.0, -3600.0].map(|off| Day { demand: 1.5, sender_off: off, ..QUIET }));
    for sender_off in [-30.0, -3600.0] {
        assert_spared([Day { sender_off, ..OVERLOADED_FLEET }]);
    }
}
