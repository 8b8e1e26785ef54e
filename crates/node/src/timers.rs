//! Timed waits of tasks: all of them go through here.
//!
//! The coroutine library keeps a list of timers for each length that it is asked for. Beyond
//! [1,024 lengths](MOST_LENGTHS) it frees a list while the last timer of it may still be referred to, cuts waits on locks and
//! queues down to whole milliseconds, takes none of them for no limit, and receives for up to twice the time given. So
//! waits are made of pieces of few lengths, in whole milliseconds, and their ends are read from the clock.
//!
//! It also resumes a task whose time is up on the thread of its timers. Here such a task goes back to the queue of the
//! thread that runs all others: sockets' timers are not made for two threads, and a heartbeat tells how long that queue is.
use may::coroutine;
use may::sync::mpsc::Receiver;
use may::sync::{Condvar, MutexGuard, Semphore};
use std::sync::mpsc::{RecvTimeoutError, TryRecvError};
use std::time::{Duration, Instant};

/// Most lengths of timers that the coroutine library keeps lists for without ever freeing one.
pub const MOST_LENGTHS: usize = 1024;
/// The shortest wait on a lock or a queue, and what its pieces are multiples of.
const STEP: Duration = Duration::from_millis(1);
/// The same for sleep that is shorter than that.
const SHORT_STEP: Duration = Duration::from_micros(125);
/// Leading bits that a piece of so many steps keeps; the others are zero.
const LEADING_BITS: u32 = 7;
/// The longest piece: somewhat under nine minutes.
const LONGEST_STEPS: u64 = 1 << 19;

/// The length of the next timer of a wait that has so much left: longer than that by less than a step at most.
pub fn piece(left: Duration) -> Duration {
    let steps = left.as_nanos().div_ceil(STEP.as_nanos()).clamp(1, LONGEST_STEPS.into()) as u64;
    let dropped_bits = u64::BITS.saturating_sub(steps.leading_zeros() + LEADING_BITS);
    STEP * ((steps >> dropped_bits) << dropped_bits) as u32
}

/// The same for sleep.
pub fn sleep_piece(left: Duration) -> Duration {
    if left >= STEP {
        return piece(left);
    }
    let steps = left.as_nanos().div_ceil(SHORT_STEP.as_nanos()).max(1);
    SHORT_STEP * steps as u32
}

/// What is left until then; `None` once it has passed.
fn left_until(end: Instant) -> Option<Duration> {
    end.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())
}

/// Lets others have their turn for that long.
pub fn sleep(span: Duration) {
    let end = Instant::now() + span;
    while let Some(left) = left_until(end) {
        coroutine::sleep(sleep_piece(left));
    }
    coroutine::yield_now();
}

/// Receives what comes within that time.
pub fn receive<T>(receiver: &Receiver<T>, within: Duration) -> Result<T, RecvTimeoutError> {
    let end = Instant::now() + within;
    while let Some(left) = left_until(end) {
        match receiver.recv_timeout(piece(left)) {
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

/// Waits for a post for that long at most; whether one came.
pub fn wait_for_post(semaphore: &Semphore, within: Duration) -> bool {
    let end = Instant::now() + within;
    while let Some(left) = left_until(end) {
        if semaphore.wait_timeout(piece(left)) {
            return true;
        }
    }
    coroutine::yield_now();
    semaphore.try_wait()
}

/// Waits until it is notified, for that long at most.
pub fn wait<'a, T>(condition: &Condvar, mut guard: MutexGuard<'a, T>, within: Duration) -> MutexGuard<'a, T> {
    let end = Instant::now() + within;
    while let Some(left) = left_until(end) {
        let (held, result) = match condition.wait_timeout(guard, piece(left)) {
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
