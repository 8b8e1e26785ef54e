//! Counters and histograms of requests, attempts, connections and operator calls.
use crate::core::Unserved;
use corkbay::Outcome;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A monotonically increasing counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Increments the counter.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Connection attempts to workers.
#[derive(Debug, Default)]
pub struct ConnectionAttempts {
    /// All connection attempts.
    pub tried: Counter,
    /// Connection attempts that were refused or timed out.
    pub failed: Counter,
}

/// All counters of a process. Displayed as one line of `name=value` pairs.
#[derive(Debug)]
pub struct Counters {
    /// Requests accepted.
    pub taken: Counter,
    /// Attempts started.
    pub sent: Counter,
    /// Load orders sent.
    pub orders: Counter,
    /// Probes of whether a model is loaded, which cost a worker as much as a load order.
    pub questions: Counter,
    /// Connection attempts of the framed protocol to workers.
    pub connection_attempts: Arc<ConnectionAttempts>,
    /// Calls to the command channel.
    pub channel_calls: Counter,
    /// Events and entries of the command channel that could not be parsed.
    pub channel_odd: Counter,
    /// Unload orders sent.
    pub evictions: Counter,
    /// Requests served.
    pub served: Counter,
    /// Requests refused.
    pub refused: Counter,
    /// Requests failed.
    pub failed: Counter,
    /// Requests cancelled by clients.
    pub withdrawn: Counter,
    /// Requests that could not be parsed.
    pub malformed: Counter,
    /// Requests rejected because of overload or a drain.
    pub turned_away: Counter,
    /// Those of them that were rejected because the process could not keep up with its work.
    pub turned_away_behind: Counter,
    /// Those of them for whose message there was no memory.
    pub turned_away_memory: Counter,
    /// Number of times that the process began to lag behind its work.
    pub fell_behind: Counter,
    /// Operator calls that were accepted.
    pub operators_yes: Counter,
    /// Operator calls that were rejected.
    pub operators_no: Counter,
    /// Operator calls by kind, in the order of [`OPERATORS`]: accepted, rejected.
    pub operators: [[Counter; 2]; OPERATORS.len()],
    /// Client connections handed over to the successor process.
    pub passed_on: Counter,
    /// Client connections taken over from the previous process.
    pub taken_over: Counter,
    /// Withdrawals sent to the previous process for requests that it answers.
    pub withdrawn_at_predecessor: Counter,
    /// Requests that were not accepted because one with their id may have run.
    pub repeated_ids: Counter,
    /// Deferred calls that an earlier life of this node left open, ended or run again.
    pub orphans_ended: Counter,
    /// Retries: attempts after the first of their request.
    pub retried: Counter,
    /// Unsuccessful attempts by outcome, in the order of [`OUTCOMES`].
    lost: [Counter; 9],
    /// Requests that ended without an answer from a worker, by [`Unserved::position`].
    unserved: Vec<Counter>,
    /// Body sizes of accepted calls, in bytes.
    pub body_bytes: Histogram,
    /// Times from the acceptance of a call to its end, in seconds.
    pub call_seconds: Histogram,
}

impl Counters {
    /// All counters at zero, except `connection_attempts`, which is shared with the code that connects to workers.
    pub fn new(connection_attempts: Arc<ConnectionAttempts>) -> Self {
        let counter = Counter::default;
        Counters {
            taken: counter(),
            sent: counter(),
            orders: counter(),
            questions: counter(),
            connection_attempts,
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
            turned_away_memory: counter(),
            fell_behind: counter(),
            operators_yes: counter(),
            operators_no: counter(),
            operators: Default::default(),
            passed_on: counter(),
            taken_over: counter(),
            withdrawn_at_predecessor: counter(),
            repeated_ids: counter(),
            orphans_ended: counter(),
            retried: counter(),
            lost: Default::default(),
            unserved: Unserved::names().map(|_| counter()).collect(),
            body_bytes: Histogram::new(exponential_buckets(64.0, 4.0, 6)),
            call_seconds: Histogram::new(exponential_buckets(0.005, 2.0, 11)),
        }
    }
}

/// The kinds of operator calls.
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
    /// Counts a request that ended without an answer from a worker.
    pub fn unserved(&self, reason: Unserved) {
        if let Some(counter) = self.unserved.get(reason.position()) {
            counter.increment();
        }
    }

    /// Counts an unsuccessful attempt by its outcome.
    pub fn lost(&self, outcome: Outcome) {
        if let Some(index) = OUTCOMES.iter().position(|entry| entry.0 == outcome) {
            self.lost[index].increment();
        }
    }
}

impl Counters {
    /// All counters with their names; unsuccessful attempts are named `lost_` and the outcome.
    pub fn named(&self) -> impl Iterator<Item = (String, u64)> + '_ {
        let named = [
            ("taken", &self.taken),
            ("sent", &self.sent),
            ("orders", &self.orders),
            ("questions", &self.questions),
            ("dials", &self.connection_attempts.tried),
            ("dials_failed", &self.connection_attempts.failed),
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
            ("turned_away_memory", &self.turned_away_memory),
            ("fell_behind", &self.fell_behind),
            ("operators_yes", &self.operators_yes),
            ("operators_no", &self.operators_no),
            ("passed_on", &self.passed_on),
            ("taken_over", &self.taken_over),
            ("withdrawn_at_predecessor", &self.withdrawn_at_predecessor),
            ("repeated_ids", &self.repeated_ids),
            ("orphans_ended", &self.orphans_ended),
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
