//! Measures the event loop: how long it takes until the kernel is polled, and how many tasks and turns of
//! readers there are.
use super::poll_signal::PollSignal;
use super::turns::{turn_counts, TurnCounts};
use crate::clock::monotonic_ms;
use crate::lifecycle::spawn;
use corkbay::Ms;
use std::fmt;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::OnceLock;
use std::time::Duration;

/// A poll that comes later than this after it was asked for is late, and logged.
const LATE_POLL_MS: Ms = 100.0;

/// The measurements of the process; there is one event loop in a process.
#[derive(Debug, Default)]
struct Measurements {
    polls: AtomicU64,
    late_polls: AtomicU64,
    longest_poll_delay_us: AtomicU64,
    tasks: AtomicUsize,
    /// When the probe that is under way began, as the bits of an `f64`; 0 if there is none.
    pending_since: AtomicU64,
    pending_logged: AtomicBool,
}

fn measurements() -> &'static Measurements {
    static MEASUREMENTS: OnceLock<Measurements> = OnceLock::new();
    MEASUREMENTS.get_or_init(Measurements::default)
}

/// The measurements since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoopReport {
    /// Number of polls that were waited for.
    pub polls: u64,
    /// Those that came late.
    pub late_polls: u64,
    /// Longest time until the kernel was polled.
    pub longest_poll_delay: Duration,
    /// Number of tasks.
    pub tasks: usize,
    /// Turns of readers.
    pub turns: TurnCounts,
}

impl fmt::Display for LoopReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event loop polls={} late_polls={} longest_poll_delay={:?} tasks={} {}",
            self.polls, self.late_polls, self.longest_poll_delay, self.tasks, self.turns
        )
    }
}

/// Returns the measurements so far.
pub fn report() -> LoopReport {
    let measurements = measurements();
    let micros = |value: &AtomicU64| Duration::from_micros(value.load(Relaxed));
    LoopReport {
        polls: measurements.polls.load(Relaxed),
        late_polls: measurements.late_polls.load(Relaxed),
        longest_poll_delay: micros(&measurements.longest_poll_delay_us),
        tasks: measurements.tasks.load(Relaxed),
        turns: turn_counts(),
    }
}

static PROBE: OnceLock<PollSignal> = OnceLock::new();

/// Starts the task that measures the delay of each poll that [`probe_next_poll`] asks for.
pub fn start_probe() -> io::Result<()> {
    if PROBE.set(PollSignal::new()?).is_ok() {
        spawn(|| loop {
            PROBE.get().into_iter().for_each(PollSignal::wait);
            record_poll(monotonic_ms());
        });
    }
    Ok(())
}

/// Starts to measure the time until the next poll, unless that is under way.
pub fn probe_next_poll() {
    let Some(signal) = PROBE.get() else { return };
    let now = monotonic_ms().to_bits();
    if measurements().pending_since.compare_exchange(0, now, Relaxed, Relaxed).is_ok() {
        signal.trigger();
    }
}

fn record_poll(now: Ms) {
    let measurements = measurements();
    let since = f64::from_bits(measurements.pending_since.swap(0, Relaxed));
    if since <= 0.0 {
        return;
    }
    let delay_ms = now - since;
    measurements.polls.fetch_add(1, Relaxed);
    measurements.longest_poll_delay_us.fetch_max((delay_ms * 1000.0) as u64, Relaxed);
    if delay_ms > LATE_POLL_MS {
        measurements.late_polls.fetch_add(1, Relaxed);
    }
    if measurements.pending_logged.swap(false, Relaxed) {
        tracing::info!(delay_ms = delay_ms.round(), "event loop: sockets are polled again");
    }
}

/// Logs once that the kernel has not been polled for too long. Called by a timer, which does not need a poll.
pub fn check_pending_poll() {
    let measurements = measurements();
    let since = f64::from_bits(measurements.pending_since.load(Relaxed));
    let is_late = since > 0.0 && monotonic_ms() - since > LATE_POLL_MS;
    if is_late && !measurements.pending_logged.swap(true, Relaxed) {
        let tasks = measurements.tasks.load(Relaxed);
        tracing::warn!(late_ms = LATE_POLL_MS, tasks, "event loop: sockets have not been polled");
    }
}

/// Counts a task while it exists.
pub struct TaskGuard(());

impl TaskGuard {
    /// Counts a task.
    pub fn new() -> Self {
        measurements().tasks.fetch_add(1, Relaxed);
        TaskGuard(())
    }
}

impl Default for TaskGuard {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        measurements().tasks.fetch_sub(1, Relaxed);
    }
}
