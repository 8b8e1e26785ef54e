//! The purposes that memory is held for, and what happens when the account of one is full.
use crate::KIB;

/// What happens when an account is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The work is refused, with advice when to retry.
    Refuse,
    /// Memory that nothing needs is evicted, least recently used first; if there is none, the new entry is
    /// refused.
    Evict,
    /// Reading from the sender is paused until there is room, for a limited time.
    Slow,
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// Calls that are not yet answered: their tasks and bodies.
    Calls,
    /// Client connections and the data read from them.
    Clients,
    /// Connections to workers, orders in flight, and the data read from workers.
    Workers,
    /// Known workers.
    Roster,
    /// What the dispatcher has learnt about models and workers.
    Learnt,
    /// Configured functions and workers.
    Catalog,
    /// Deferred calls without a final answer.
    DeferredOpen,
    /// Final answers of deferred calls, kept until they may be dropped.
    DeferredFinal,
    /// Idempotency keys, with the answers returned to repeated calls.
    Keys,
    /// Records that are being written to the log.
    Log,
    /// Messages between nodes.
    Replication,
    /// Timers that are set.
    Timers,
    /// Operators' connections, counted separately so that clients cannot use up their memory.
    Operators,
}

/// The settings of one purpose.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The purpose.
    pub purpose: Purpose,
    /// Its name in files, logs and metrics.
    pub name: &'static str,
    /// What happens when an account is full.
    pub at_cap: Answer,
    /// Default share of the budget of a daemon, in percent.
    pub daemon: f64,
    /// Default share on the platform, where nothing is deferred, keyed, logged or replicated, in percent.
    pub platform: f64,
    /// Smallest useful cap, in bytes; a configuration with a smaller one is rejected.
    pub floor: usize,
    /// Whether the account is split between tenants.
    pub by_tenant: bool,
}

const fn terms(
    purpose: Purpose,
    name: &'static str,
    at_cap: Answer,
    (daemon, platform): (f64, f64),
    floor: usize,
) -> Terms {
    let by_tenant =
        matches!(purpose, Purpose::Calls | Purpose::DeferredOpen | Purpose::DeferredFinal | Purpose::Keys);
    Terms { purpose, name, at_cap, daemon, platform, floor, by_tenant }
}

/// The table of purposes, in the order of [`Purpose`].
const TABLE: [Terms; 13] = [
    terms(Purpose::Calls, "calls", Answer::Refuse, (31.0, 58.0), 512 * KIB),
    terms(Purpose::Clients, "clients", Answer::Slow, (9.0, 15.0), 256 * KIB),
    terms(Purpose::Workers, "workers", Answer::Slow, (9.0, 12.0), 256 * KIB),
    terms(Purpose::Roster, "roster", Answer::Evict, (2.0, 2.0), 64 * KIB),
    terms(Purpose::Learnt, "learnt", Answer::Evict, (6.0, 10.0), 256 * KIB),
    terms(Purpose::Catalog, "catalog", Answer::Refuse, (5.0, 0.0), 64 * KIB),
    terms(Purpose::DeferredOpen, "deferred-open", Answer::Refuse, (4.0, 0.0), 128 * KIB),
    terms(Purpose::DeferredFinal, "deferred-final", Answer::Refuse, (12.0, 0.0), 256 * KIB),
    terms(Purpose::Keys, "keys", Answer::Refuse, (15.0, 0.0), 256 * KIB),
    terms(Purpose::Log, "log", Answer::Refuse, (2.0, 0.0), 320 * KIB),
    terms(Purpose::Replication, "replication", Answer::Refuse, (3.0, 0.0), 320 * KIB),
    terms(Purpose::Timers, "timers", Answer::Refuse, (1.0, 2.0), 64 * KIB),
    terms(Purpose::Operators, "operators", Answer::Slow, (1.0, 1.0), 32 * KIB),
];

impl Purpose {
    /// Number of purposes.
    pub const COUNT: usize = TABLE.len();

    /// All purposes, in the order of the table.
    pub fn all() -> impl Iterator<Item = Purpose> {
        TABLE.iter().map(|terms| terms.purpose)
    }

    /// The table entry of the purpose.
    pub fn terms(self) -> &'static Terms {
        &TABLE[self as usize]
    }

    /// Its name in files, logs and metrics.
    pub fn name(self) -> &'static str {
        self.terms().name
    }

    /// Finds a purpose by name.
    pub fn named(name: &str) -> Option<Purpose> {
        Purpose::all().find(|purpose| purpose.name() == name)
    }
}

#[cfg(test)]
mod tests;
