//! Counters of what is taken in, sent and answered.
use crate::core::Unserved;
use corkbay::Outcome;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// One more.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The number now.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Connections to workers.
#[derive(Debug, Default)]
pub struct Dials {
    /// Tried.
    pub tried: Counter,
    /// Refused or not made in time.
    pub failed: Counter,
}

/// All counters of a process; their text form is one line of `name=number`.
#[derive(Debug)]
pub struct Counters {
    /// Requests taken.
    pub taken: Counter,
    /// Attempts started.
    pub sent: Counter,
    /// Orders to load.
    pub orders: Counter,
    /// Questions whether a model stands, which cost what an order costs.
    pub questions: Counter,
    /// Connections that carry frames to workers.
    pub dials: Arc<Dials>,
    /// Calls of the command channel.
    pub channel_calls: Counter,
    /// Events and entries of the command channel that could not be read.
    pub channel_odd: Counter,
    /// Orders to unload.
    pub evictions: Counter,
    /// Answers by kind.
    pub served: Counter,
    /// Refusals.
    pub refused: Counter,
    /// Failures.
    pub failed: Counter,
    /// Requests that clients gave up.
    pub withdrawn: Counter,
    /// Requests that could not be read.
    pub malformed: Counter,
    /// Requests that were not taken, for crowding or a drain.
    pub turned_away: Counter,
    /// Of these, those that came while the process was behind.
    pub turned_away_behind: Counter,
    /// Times that the process fell behind.
    pub fell_behind: Counter,
    /// Operators' calls that were answered with yes.
    pub operators_yes: Counter,
    /// Operators' calls that were answered with no.
    pub operators_no: Counter,
    /// Those of each kind, by [`OPERATORS`]: yes, no.
    pub operators: [[Counter; 2]; OPERATORS.len()],
    /// Connections of clients that went to the successor.
    pub passed_on: Counter,
    /// Connections of clients that came from the process before.
    pub taken_over: Counter,
    /// Attempts behind the first of their request.
    pub retried: Counter,
    /// Attempts that brought nothing, by outcome.
    lost: [Counter; 9],
    /// Requests that ended without an answer of a worker, by [`Unserved::position`].
    unserved: Vec<Counter>,
    /// Bodies of calls that were taken, in bytes.
    pub body_bytes: Histogram,
    /// Times from taking a call to its end, in seconds.
    pub call_seconds: Histogram,
}

impl Counters {
    /// All at nothing, beside what the way to the workers counts.
    pub fn new(dials: Arc<Dials>) -> Self {
        let counter = Counter::default;
        Counters {
            taken: counter(),
            sent: counter(),
            orders: counter(),
            questions: counter(),
            dials,
            channel_calls: counter(),
            channel_odd: counter(),
            evictions: counter(),
            served: counter(),
            refused: counter(),
            failed: counter(),
            withdrawn: counter(),
            malformed: counter(),
            turned_away: counter(),
            turned_away_behind: counter(),
            fell_behind: counter(),
            operators_yes: counter(),
            operators_no: counter(),
            operators: Default::default(),
            passed_on: counter(),
            taken_over: counter(),
            retried: counter(),
            lost: Default::default(),
            unserved: Unserved::names().map(|_| counter()).collect(),
            body_bytes: Histogram::new(exponential_buckets(64.0, 4.0, 6)),
            call_seconds: Histogram::new(exponential_buckets(0.005, 2.0, 11)),
        }
    }
}

/// Operators' calls.
pub const OPERATORS: [&str; 5] = ["readyz", "suspend", "resume", "drain", "activate"];

const OUTCOMES: [(Outcome, &str); 9] = [
    (Outcome::Ok, "ok"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::Timeout, "timeout"),
    (Outcome::ConnectFailed, "connect_failed"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::Moot, "moot"),
    (Outcome::Miss, "miss"),
];

impl Counters {
    /// A request ended without an answer of a worker.
    pub fn unserved(&self, reason: Unserved) {
        if let Some(counter) = self.unserved.get(reason.position()) {
            counter.add();
        }
    }

    /// An attempt brought nothing.
    pub fn lost(&self, outcome: Outcome) {
        if let Some(place) = OUTCOMES.iter().position(|known| known.0 == outcome) {
            self.lost[place].add();
        }
    }
}

impl Counters {
    /// Each by its name, the attempts that brought nothing as `lost_` and their outcome.
    pub fn named(&self) -> impl Iterator<Item = (String, u64)> + '_ {
        let named = [
            ("taken", &self.taken),
            ("sent", &self.sent),
            ("orders", &self.orders),
            ("questions", &self.questions),
            ("dials", &self.dials.tried),
            ("dials_failed", &self.dials.failed),
            ("channel_calls", &self.channel_calls),
            ("channel_odd", &self.channel_odd),
            ("evictions", &self.evictions),
            ("served", &self.served),
            ("refused", &self.refused),
            ("failed", &self.failed),
            ("withdrawn", &self.withdrawn),
            ("malformed", &self.malformed),
            ("turned_away", &self.turned_away),
            ("turned_away_behind", &self.turned_away_behind),
            ("fell_behind", &self.fell_behind),
            ("operators_yes", &self.operators_yes),
            ("operators_no", &self.operators_no),
            ("passed_on", &self.passed_on),
            ("taken_over", &self.taken_over),
            ("retried", &self.retried),
        ];
        let calls = OPERATORS.iter().zip(&self.operators).flat_map(|(name, [yes, no])| {
            [(format!("operators_{name}_yes"), yes.get()), (format!("operators_{name}_no"), no.get())]
        });
        let lost = OUTCOMES.iter().zip(&self.lost).skip(1);
        let lost = lost.map(|((_, name), counter)| (format!("lost_{name}"), counter.get()));
        let unserved = Unserved::names().zip(&self.unserved);
        let unserved = unserved.map(|(name, counter)| (format!("unserved_{name}"), counter.get()));
        let named = named.into_iter().map(|(name, counter)| (name.to_string(), counter.get()));
        named.chain(calls).chain(lost).chain(unserved)
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counters")?;
        self.named().try_for_each(|(name, number)| write!(f, " {name}={number}"))
    }
}
