//! What memory is held for, and what becomes of more when a purpose is full: one table.
use crate::KIB;

/// What a full account leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The work is turned away, with advice when to come again.
    Refuse,
    /// What is owed to nobody gives way, the longest unused first; without any, the newcomer is turned away.
    Evict,
    /// Whoever sends is read no further until there is room, for a while.
    Slow,
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// Calls that are owed an answer: their tasks and bodies.
    Calls,
    /// Connections of clients and what was read from them.
    Clients,
    /// Connections to workers, orders that are out, and what was read.
    Workers,
    /// Workers heard of.
    Roster,
    /// What the decisions have learnt of models and workers.
    Learnt,
    /// Configured functions and workers.
    Catalog,
    /// Deferred calls without a final answer.
    DeferredOpen,
    /// Final answers of deferred calls, kept until they may be forgotten.
    DeferredFinal,
    /// Idempotency keys, with the answers that a repeat is given.
    Keys,
    /// Records on their way to the log.
    Log,
    /// Messages between nodes.
    Replication,
    /// Timers that are set.
    Timers,
    /// Operators' connections: their own, so that clients can't take them.
    Operators,
}

/// The terms of one purpose.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The purpose.
    pub purpose: Purpose,
    /// Its name in files, logs and metrics.
    pub name: &'static str,
    /// What a full account leads to.
    pub at_cap: Answer,
    /// Its part of the budget of a daemon, in percent, unless the file says otherwise.
    pub daemon: f64,
    /// The same on the platform, where nothing is deferred, keyed, logged or replicated.
    pub platform: f64,
    /// The least cap that is of use, in bytes: a smaller one is refused at load.
    pub floor: usize,
    /// Whether tenants have parts of their own.
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
    /// How many there are.
    pub const COUNT: usize = TABLE.len();

    /// All of them.
    pub fn all() -> impl Iterator<Item = Purpose> {
        TABLE.iter().map(|terms| terms.purpose)
    }

    /// Its line in the table.
    pub fn terms(self) -> &'static Terms {
        &TABLE[self as usize]
    }

    /// Its name in files, logs and metrics.
    pub fn name(self) -> &'static str {
        self.terms().name
    }

    /// The purpose of that name.
    pub fn named(name: &str) -> Option<Purpose> {
        Purpose::all().find(|purpose| purpose.name() == name)
    }
}

#[cfg(test)]
mod tests;
