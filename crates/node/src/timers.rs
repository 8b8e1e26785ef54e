//! Timed waits of tasks; all of them go through this module.
//!
//! The coroutine library keeps a list of timers for each distinct duration. Beyond [`MAX_TIMER_DURATIONS`]
//! of them it frees a list while its last timer may still be referenced. It also truncates
//! waits on locks and queues to whole milliseconds, treats a wait of zero as unlimited, and may receive for
//! up to twice the given time. Waits are therefore split into pieces of a few durations, in whole
//! milliseconds, and their end is read from the clock.
//!
//! It also resumes a task whose time is up on its timer thread. Here such a task yields back to the queue of
//! the thread that runs all others, as socket timers do not support two threads. A task that slept goes on only
//! after a poll of the kernel: tasks that sleep again and again could otherwise keep the thread from polling.
use crate::event_loop::wait_for_poll;
use may::coroutine;
use may::sync::mpsc::Receiver;
use may::sync::{Condvar, MutexGuard, Semphore};
use std::sync::mpsc::{RecvTimeoutError, TryRecvError};
use std::time::{Duration, Instant};

/// Most distinct timer durations for which the coroutine library never frees a list.
pub const MAX_TIMER_DURATIONS: usize = 1024;
/// The shortest wait on a lock or a queue; longer pieces are multiples of it.
const WAIT_STEP: Duration = Duration::from_millis(1);
/// The same for sleeps shorter than that.
const SHORT_SLEEP_STEP: Duration = Duration::from_micros(125);
/// A piece, counted in steps, keeps this many leading bits; the others are cleared.
const PIECE_LEADING_BITS: u32 = 7;
/// The longest piece: a little under nine minutes.
const MAX_PIECE_STEPS: u64 = 1 << 19;

/// The duration of the next timer for a wait with `left` remaining; exceeds `left` by less than a step.
pub fn timer_duration(left: Duration) -> Duration {
    let steps = left.as_nanos().div_ceil(WAIT_STEP.as_nanos()).clamp(1, MAX_PIECE_STEPS.into()) as u64;
    let dropped_bits = u64::BITS.saturating_sub(steps.leading_zeros() + PIECE_LEADING_BITS);
    WAIT_STEP * ((steps >> dropped_bits) << dropped_bits) as u32
}

/// The same for a sleep.
pub fn sleep_piece(left: Duration) -> Duration {
    if left >= WAIT_STEP {
        return timer_duration(left);
    }
    let steps = left.as_nanos().div_ceil(SHORT_SLEEP_STEP.as_nanos()).max(1);
    SHORT_SLEEP_STEP * steps as u32
}

/// The time left until `end`; `None` once it has passed.
fn remaining_until(end: Instant) -> Option<Duration> {
    end.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())
}

/// Suspends the current task for this long, and until the kernel has been polled.
pub fn sleep(span: Duration) {
    let end = Instant::now() + span;
    while let Some(left) = remaining_until(end) {
        coroutine::sleep(sleep_piece(left));
    }
    wait_for_poll();
}

/// Receives the next message, waiting for this long at most.
pub fn receive<T>(receiver: &Receiver<T>, within: Duration) -> Result<T, RecvTimeoutError> {
    let end = Instant::now() + within;
    while let Some(left) = remaining_until(end) {
        match receiver.recv_timeout(timer_duration(left)) {
            Err(RecvTimeoutError::Timeout) => {}
            received => return received,
        }
    }
    coroutine::yield_now();
    receiver.try_recv().map_err(|error| match error {
        TryRecvError::Empty => RecvTimeoutError::Timeout,
        TryRecvError::Disconnected => RecvTimeoutError::Disconnected,
    })
}

/// Waits for a semaphore post for this long at most; returns whether there was one.
pub fn wait_for_post(semaphore: &Semphore, within: Duration) -> bool {
    let end = Instant::now() + within;
    while let Some(left) = remaining_until(end) {
        if semaphore.wait_timeout(timer_duration(left)) {
            return true;
        }
    }
    coroutine::yield_now();
    semaphore.try_wait()
}

/// Waits until the condition is notified, for this long at most.
pub fn wait<'a, T>(condition: &Condvar, mut guard: MutexGuard<'a, T>, within: Duration) -> MutexGuard<'a, T> {
    let end = Instant::now() + within;
    while let Some(left) = remaining_until(end) {
        let (held, result) = match condition.wait_timeout(guard, timer_duration(left)) {
            Ok(waited) => waited,
            Err(poisoned) => poisoned.into_inner(),
        };
        guard = held;
        if !result.timed_out() {
            break;
        }
    }
    guard
}

#[cfg(test)]
mod tests;
