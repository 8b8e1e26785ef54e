//! Parameters and fault schedule of a soak, drawn from one seed.
use super::flood::FloodKind;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Steps by which the wall clock is moved, in seconds.
const CLOCK_STEPS_S: [f64; 6] = [2.0, -2.0, 30.0, -30.0, 3600.0, -3600.0];

/// Occasional system call failures that don't break a connection: the number of the call in `corkbay_shim::Call`, the
/// Linux error number (0 transfers half of the bytes instead), and a name.
const SYSCALL_FAULTS: [(u64, u64, &str); 10] = [
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

/// A fault that the soak injects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedFault {
    /// SIGTERM, SIGKILL at the earliest time the platform may send it, then a new process.
    Terminate,
    /// SIGKILL, then a new process.
    Kill,
    /// SIGHUP several times in a row.
    Reload,
    /// SIGSTOP, then SIGCONT after this many milliseconds.
    Pause(u64),
    /// Steps the wall clock by this many seconds.
    StepClock(f64),
    /// Fails every n-th system call of a kind: the number of the fault for [`syscall_fault`], and n.
    FailCalls(usize, u64),
    /// A worker closes all its connections.
    WorkerClosesConnections(usize),
    /// A worker sends no answers for this many milliseconds.
    WorkerSilent(usize, u64),
    /// A worker drains and a new, cold one replaces it.
    WorkerReplaced(usize),
    /// A worker is removed, and a new one is started at its address and announced later.
    WorkerReplacedAtAddress(usize),
    /// Clients send messages of a kind without a pause, on this many connections for this many milliseconds.
    Flood(FloodKind, usize, u64),
    /// This many clients connect at once and send slowly or not to the end, for this many milliseconds.
    SlowCrowd(usize, u64),
}

/// A fault with its time and the daemon it applies to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// Time from the start of the soak.
    pub at: Duration,
    /// The daemon, for faults that apply to one.
    pub daemon: usize,
    /// The fault to inject.
    pub fault: InjectedFault,
}

/// The parameters and faults of a soak.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of workers at any one time.
    pub workers: usize,
    /// How long clients wait for an answer, in milliseconds; also the `giveUpMs` setting of each class.
    pub allowed_ms: u64,
    /// Deduplication window of the keyed class, in milliseconds.
    pub window_ms: u64,
    /// Requests per second to each daemon.
    pub rate: f64,
    /// Whether there are also clients that send one request and keep their connection open.
    pub has_one_shot_clients: bool,
    /// How long clients send requests.
    pub span: Duration,
    /// Faults to inject, ordered by time.
    pub events: Vec<Event>,
}

impl Scenario {
    /// Draws a scenario whose clients send requests for `span`.
    pub fn draw(seed: u64, span: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let daemons = rng.random_range(2..=4);
        let workers = rng.random_range(3..=6);
        let count = (span.as_secs_f64() * 1.5) as usize;
        let mut events: Vec<Event> = (0..count)
            .map(|_| Event {
                at: span.mul_f64(rng.random_range(0.05..0.85)),
                daemon: rng.random_range(0..daemons),
                fault: Self::draw_fault(&mut rng, workers),
            })
            .collect();
        events.sort_by_key(|event| event.at);
        Scenario {
            daemons,
            workers,
            allowed_ms: [400, 900, 1500, 2500][rng.random_range(0..4)],
            window_ms: [300, 700, 3000][rng.random_range(0..3)],
            rate: rng.random_range(20.0..60.0),
            has_one_shot_clients: rng.random_bool(0.25),
            span,
            events,
        }
    }

    fn draw_fault(rng: &mut ChaCha8Rng, workers: usize) -> InjectedFault {
        match rng.random_range(0..17) {
            0 | 1 => InjectedFault::Terminate,
            2 => InjectedFault::Kill,
            3 => InjectedFault::Reload,
            4 => InjectedFault::Pause(rng.random_range(50..600)),
            5..=7 => InjectedFault::StepClock(CLOCK_STEPS_S[rng.random_range(0..CLOCK_STEPS_S.len())]),
            8 | 9 => {
                InjectedFault::FailCalls(rng.random_range(0..SYSCALL_FAULTS.len()), rng.random_range(2..6))
            }
            10 => InjectedFault::WorkerClosesConnections(rng.random_range(0..workers)),
            11 => InjectedFault::WorkerSilent(rng.random_range(0..workers), rng.random_range(200..1500)),
            12 => InjectedFault::WorkerReplaced(rng.random_range(0..workers)),
            13 => InjectedFault::WorkerReplacedAtAddress(rng.random_range(0..workers)),
            14 | 15 => {
                let kind = FloodKind::ALL[rng.random_range(0..FloodKind::ALL.len())];
                InjectedFault::Flood(kind, rng.random_range(1..=12), rng.random_range(1000..5000))
            }
            _ => InjectedFault::SlowCrowd(rng.random_range(50..=200), rng.random_range(1000..4000)),
        }
    }
}

/// Returns the call number, the error number and the name of a system call fault.
pub fn syscall_fault(number: usize) -> (u64, u64, &'static str) {
    SYSCALL_FAULTS[number % SYSCALL_FAULTS.len()]
}
