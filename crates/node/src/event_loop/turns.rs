//! Fair scheduling of input: everything that is done because a peer sent something is done in a turn.
//!
//! The event loop polls the kernel only once its run queue is empty. Peers that send without a pause could keep it from
//! ever being empty, and no other socket and no answer of a worker would be noticed. Invariant: between two polls,
//! input is handled for at most [`MAX_ROUND`] and [`MAX_DIRECT_TURNS`] turns, however many peers of whatever kind send;
//! what has no turn stays unread in the kernel, so that its sender is held up.
//!
//! - A turn ends when its reader finds no more input, or when its time slice is used up; the reader then waits behind
//!   all others. A slice is bounded by time, as the cost of a byte differs much between messages. It becomes shorter as
//!   more readers wait, so that the wait for a turn grows little.
//! - Readers that wait are released one at a time by the dispatcher task, in rounds. Between two of them the tasks run
//!   that the first one made ready. A round begins with an event of the kernel, which proves a poll: neither a yield nor
//!   a timer of the coroutine library does.
//! - Readers wait in several queues, which are served in rotation: by kind, so that many clients do not hold up the
//!   answers of a few workers, nor many newcomers the clients that are served, and apart by whether the last slice was used up, as new and old flows are in fq_codel, so
//!   that a client with one request in hand does not wait for all that flood.
//! - A slice is shortened for work that is left to other tasks, such as a request that was accepted.
//! - While nobody waits, a few turns are granted without a poll, so that a process with little to do pays little.
//! - Tasks that slept wait for a poll as well, and go before new input.
use super::poll_signal::PollSignal;
use may::coroutine;
use may::sync::Blocker;
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

/// Time after which a round ends and the kernel is polled.
const MAX_ROUND: Duration = Duration::from_millis(1);
/// Turns between two polls for which no reader has to wait.
const MAX_DIRECT_TURNS: u32 = 8;
/// Longest time slice of a turn.
const MAX_SLICE: Duration = Duration::from_micros(500);
/// Shortest time slice of a turn.
const MIN_SLICE: Duration = Duration::from_micros(50);
/// Time in which all waiting readers should have had a turn; slices are shortened for it.
const TARGET_CYCLE: Duration = Duration::from_millis(10);

/// The kinds of readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputKind {
    /// Connections that this process opened: to workers, the command channel and peers.
    Upstream,
    /// Connections of clients, operators, peers and followers to which something was written before.
    Downstream,
    /// Accepted connections to which nothing was written yet, and the listeners that accept them.
    Newcomer,
}

/// Time for which one queue is served before the next one.
const QUEUE_TIME: Duration = MAX_SLICE;
/// Number of queues: one for readers of each kind that have used up a slice, and one for the others.
const QUEUES: usize = 6;

/// The queue in which a reader waits.
fn queue_of(kind: usize, has_used_slice: bool) -> usize {
    2 * kind + usize::from(has_used_slice)
}

/// Whether a queue is one of readers that have used up a slice.
fn has_used_slice(queue: usize) -> bool {
    queue % 2 == 1
}

/// How a turn began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnStart {
    /// The current turn goes on.
    Continued,
    /// There was no input since the turn before.
    AfterPause,
    /// The reader used up its last slice, and has waited since.
    AfterFullSlice,
}

/// The turns of one reader. Used by one task at a time.
#[derive(Debug)]
pub struct Turn {
    /// An [`InputKind`].
    kind: AtomicUsize,
    /// End of the time slice in nanoseconds of [`loop_clock`]; 0 if the reader has no turn.
    slice_end: AtomicU64,
}

impl Turn {
    /// The turns of a reader of that kind, which has none yet.
    pub fn new(kind: InputKind) -> Self {
        Turn { kind: AtomicUsize::new(kind as usize), slice_end: AtomicU64::new(0) }
    }

    /// Records that something was written to the peer, so that it is no newcomer any more.
    pub fn end_newcomer(&self) {
        let (newcomer, downstream) = (InputKind::Newcomer as usize, InputKind::Downstream as usize);
        let _ = self.kind.compare_exchange(newcomer, downstream, Relaxed, Relaxed);
    }

    /// Waits for a turn, unless the current one has time left. Has to be called before each unit of input is handled.
    pub fn take(&self) -> TurnStart {
        let (now, slice_end) = (loop_clock(), self.slice_end.load(Relaxed));
        if now < slice_end {
            return TurnStart::Continued;
        }
        let has_used_slice = slice_end > 0;
        let slice = scheduler().wait_for_turn(queue_of(self.kind.load(Relaxed), has_used_slice));
        self.slice_end.store(loop_clock() + slice.as_nanos() as u64, Relaxed);
        if has_used_slice {
            TurnStart::AfterFullSlice
        } else {
            TurnStart::AfterPause
        }
    }

    /// Shortens the time slice for work of this length that is left to other tasks.
    pub fn charge(&self, work: Duration) {
        let slice_end = self.slice_end.load(Relaxed);
        if slice_end > 0 {
            self.slice_end.store(slice_end.saturating_sub(work.as_nanos() as u64).max(1), Relaxed);
        }
    }

    /// Ends the turn, because there is no more input.
    pub fn end(&self) {
        self.slice_end.store(0, Relaxed);
    }
}

/// Waits until the kernel has been polled. A thread that is no coroutine does not wait.
pub fn wait_for_poll() {
    if coroutine::is_coroutine() {
        scheduler().wait_for_poll();
    }
}

/// Numbers of turns since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnCounts {
    /// Turns for which no reader waited.
    pub direct: u64,
    /// Turns for which a reader waited.
    pub queued: u64,
    /// Rounds, each of which follows a poll.
    pub rounds: u64,
    /// Most readers that waited at a time.
    pub most_waiting: usize,
    /// Longest wait for a turn.
    pub longest_wait: Duration,
}

impl fmt::Display for TurnCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "turns={} queued_turns={} rounds={} most_waiting={} longest_turn_wait={:?}",
            self.direct + self.queued,
            self.queued,
            self.rounds,
            self.most_waiting,
            self.longest_wait
        )
    }
}

/// Returns the numbers of turns so far.
pub fn turn_counts() -> TurnCounts {
    scheduler().state().counts
}

/// Nanoseconds since the first call.
fn loop_clock() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    // Never 0, which stands for no turn.
    START.get_or_init(Instant::now).elapsed().as_nanos() as u64 + 1
}

static SCHEDULER: OnceLock<TurnScheduler> = OnceLock::new();

/// Creates the event descriptor and starts the dispatcher. Has to be called before descriptors can be scarce.
pub fn start() -> io::Result<()> {
    let scheduler = TurnScheduler { state: Mutex::default(), signal: PollSignal::new()? };
    if SCHEDULER.set(scheduler).is_ok() {
        crate::lifecycle::spawn(|| self::scheduler().dispatch());
    }
    Ok(())
}

/// The scheduler of the process. Only tests use it without [`start`].
fn scheduler() -> &'static TurnScheduler {
    if SCHEDULER.get().is_none() {
        start().expect("an event descriptor");
    }
    SCHEDULER.get().expect("it was started")
}

/// A task that waits for its turn or for a poll.
struct Waiter {
    blocker: Blocker,
    slice_nanos: AtomicU64,
}

impl Waiter {
    fn new() -> Arc<Self> {
        Arc::new(Waiter { blocker: Blocker::new(true), slice_nanos: AtomicU64::new(0) })
    }

    fn release(&self, slice: Duration) {
        self.slice_nanos.store(slice.as_nanos() as u64, Relaxed);
        self.blocker.unpark();
    }

    /// Waits until it is released; returns its time slice.
    fn wait(&self) -> Duration {
        // Fails only if the task is cancelled, which no task of this program is.
        let _ = self.blocker.park(None);
        Duration::from_nanos(self.slice_nanos.load(Relaxed))
    }
}

#[derive(Default)]
struct State {
    /// Readers that wait for a turn, as [`queue_of`] orders them.
    readers: [VecDeque<Arc<Waiter>>; QUEUES],
    /// The queue that is served, and since when in nanoseconds of [`loop_clock`].
    current_queue: usize,
    served_since: u64,
    /// Tasks that wait for a poll.
    sleepers: Vec<Arc<Waiter>>,
    /// Turns since the last poll for which no reader waited.
    direct_turns: u32,
    /// Whether the dispatcher is in a round or will begin one with the next poll.
    is_dispatching: bool,
    counts: TurnCounts,
}

impl State {
    fn waiting(&self) -> usize {
        self.readers.iter().map(VecDeque::len).sum()
    }

    /// Removes the reader that is next at `now` (of [`loop_clock`]), and returns it with its time slice. A queue is served
    /// until it is empty or has had its time, so that many short turns get as much time as few long ones.
    fn pop_reader(&mut self, now: u64) -> Option<(Arc<Waiter>, Duration)> {
        let slice = slice_among(self.waiting());
        if now.saturating_sub(self.served_since) >= QUEUE_TIME.as_nanos() as u64 {
            self.go_to_next_queue(now);
        }
        for _ in 0..QUEUES {
            if let Some(reader) = self.readers[self.current_queue].pop_front() {
                return Some((reader, slice));
            }
            self.go_to_next_queue(now);
        }
        None
    }

    fn go_to_next_queue(&mut self, now: u64) {
        (self.current_queue, self.served_since) = ((self.current_queue + 1) % QUEUES, now);
    }
}

/// The time slice of a turn while that many readers wait.
fn slice_among(waiting: usize) -> Duration {
    (TARGET_CYCLE / waiting.max(1) as u32).clamp(MIN_SLICE, MAX_SLICE)
}

struct TurnScheduler {
    state: Mutex<State>,
    signal: PollSignal,
}

impl TurnScheduler {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the time slice of the next turn of a reader, after a wait if others wait or a poll is due.
    fn wait_for_turn(&self, queue: usize) -> Duration {
        let began = Instant::now();
        let waiter = {
            let mut state = self.state();
            let may_go_on = !has_used_slice(queue) && state.direct_turns < MAX_DIRECT_TURNS;
            if may_go_on && state.waiting() == 0 {
                state.direct_turns += 1;
                state.counts.direct += 1;
                return MAX_SLICE;
            }
            let waiter = Waiter::new();
            state.readers[queue].push_back(waiter.clone());
            state.counts.queued += 1;
            state.counts.most_waiting = state.counts.most_waiting.max(state.waiting());
            self.ask_for_poll(&mut state);
            waiter
        };
        let slice = waiter.wait();
        let mut state = self.state();
        state.counts.longest_wait = state.counts.longest_wait.max(began.elapsed());
        slice
    }

    fn wait_for_poll(&self) {
        let waiter = Waiter::new();
        {
            let mut state = self.state();
            state.sleepers.push(waiter.clone());
            self.ask_for_poll(&mut state);
        }
        waiter.wait();
    }

    /// Makes the dispatcher begin a round with the next poll, unless it is in one.
    fn ask_for_poll(&self, state: &mut State) {
        if !std::mem::replace(&mut state.is_dispatching, true) {
            self.signal.trigger();
        }
    }

    /// Runs rounds until the process exits.
    fn dispatch(&self) {
        loop {
            self.signal.wait();
            if self.run_round() {
                self.signal.trigger();
            }
        }
    }

    /// Releases waiting tasks after a poll. Returns whether some still wait, so that another poll is needed.
    fn run_round(&self) -> bool {
        let round_end = Instant::now() + MAX_ROUND;
        let sleepers = {
            let mut state = self.state();
            state.direct_turns = 0;
            state.counts.rounds += 1;
            std::mem::take(&mut state.sleepers)
        };
        sleepers.iter().for_each(|sleeper| sleeper.release(Duration::ZERO));
        loop {
            let (reader, slice) = {
                let mut state = self.state();
                match state.pop_reader(loop_clock()) {
                    Some(next) => next,
                    None => {
                        state.is_dispatching = !state.sleepers.is_empty();
                        return state.is_dispatching;
                    }
                }
            };
            reader.release(slice);
            // The reader runs now, and after the next yield the tasks that it made ready.
            coroutine::yield_now();
            if Instant::now() >= round_end {
                return true;
            }
        }
    }
}

#[cfg(test)]
mod tests;
