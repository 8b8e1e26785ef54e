//! What a soak does, all of it drawn from one seed.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Steps of the wall clock, in seconds.
const STEPS: [f64; 6] = [2.0, -2.0, 30.0, -30.0, 3600.0, -3600.0];

/// A call of the system that fails now and then in a way that breaks no connection: its number among the calls of
/// `corkbay-shim`, and an error of Linux's, or 0 for half of the bytes.
const SOFT_FAULTS: [(u64, u64, &str); 10] = [
    (0, 103, "accept4 ECONNABORTED"),
    (0, 24, "accept4 EMFILE"),
    (0, 105, "accept4 ENOBUFS"),
    (1, 99, "connect EADDRNOTAVAIL"),
    (1, 101, "connect ENETUNREACH"),
    (2, 23, "socket ENFILE"),
    (3, 4, "recv EINTR"),
    (3, 0, "recv short"),
    (4, 0, "send short"),
    (5, 4, "epoll_wait EINTR"),
];

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// SIGTERM, and SIGKILL as early as the page allows it; a new process after that.
    Terminate,
    /// SIGKILL, and a new process.
    Kill,
    /// SIGHUP several times in a row.
    Reload,
    /// SIGSTOP for so many milliseconds.
    Pause(u64),
    /// The wall clock is stepped by so many seconds.
    StepClock(f64),
    /// Each so many-th call fails: the place in the list of faults, the period.
    FailCalls(usize, u64),
    /// A worker breaks all its connections.
    WorkerBreaks(usize),
    /// A worker answers nothing for so many milliseconds.
    WorkerSilent(usize, u64),
    /// A worker drains and another takes its place, cold.
    WorkerReplaced(usize),
}

/// A trouble with its time and its daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// From the beginning.
    pub at: Duration,
    /// Which daemon, where it is about one.
    pub daemon: usize,
    /// What.
    pub trouble: Trouble,
}

/// A soak.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Daemons.
    pub daemons: usize,
    /// Workers at a time.
    pub workers: usize,
    /// How long clients wait, in milliseconds; also the classes' longest time.
    pub allowed_ms: u64,
    /// The window of the keyed class, in milliseconds.
    pub window_ms: u64,
    /// Requests a second of each daemon.
    pub rate: f64,
    /// A crowd of connections that ask once and stay.
    pub has_crowd: bool,
    /// How long clients send.
    pub span: Duration,
    /// In the order of time.
    pub events: Vec<Event>,
}

impl Scenario {
    /// The soak of a seed that takes about so long.
    pub fn draw(seed: u64, span: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let daemons = rng.random_range(2..=4);
        let workers = rng.random_range(3..=6);
        let count = (span.as_secs_f64() * 1.5) as usize;
        let mut events: Vec<Event> = (0..count)
            .map(|_| Event {
                at: span.mul_f64(rng.random_range(0.05..0.85)),
                daemon: rng.random_range(0..daemons),
                trouble: Self::trouble(&mut rng, workers),
            })
            .collect();
        events.sort_by_key(|event| event.at);
        Scenario {
            daemons,
            workers,
            allowed_ms: [400, 900, 1500, 2500][rng.random_range(0..4)],
            window_ms: [300, 700, 3000][rng.random_range(0..3)],
            rate: rng.random_range(20.0..60.0),
            has_crowd: rng.random_bool(0.25),
            span,
            events,
        }
    }

    fn trouble(rng: &mut ChaCha8Rng, workers: usize) -> Trouble {
        match rng.random_range(0..13) {
            0 | 1 => Trouble::Terminate,
            2 => Trouble::Kill,
            3 => Trouble::Reload,
            4 => Trouble::Pause(rng.random_range(50..600)),
            5..=7 => Trouble::StepClock(STEPS[rng.random_range(0..STEPS.len())]),
            8 | 9 => Trouble::FailCalls(rng.random_range(0..SOFT_FAULTS.len()), rng.random_range(2..6)),
            10 => Trouble::WorkerBreaks(rng.random_range(0..workers)),
            11 => Trouble::WorkerSilent(rng.random_range(0..workers), rng.random_range(200..1500)),
            _ => Trouble::WorkerReplaced(rng.random_range(0..workers)),
        }
    }
}

/// The call, the error and the name of a fault.
pub fn soft_fault(number: usize) -> (u64, u64, &'static str) {
    SOFT_FAULTS[number % SOFT_FAULTS.len()]
}
