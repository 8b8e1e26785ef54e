//! The purposes that memory is held for, and what happens when the account of one is full.
use crate::KIB;

/// What happens when an account is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapPolicy {
    /// The work is refused, with advice when to retry.
    Refuse,
    /// Memory that nothing needs is evicted, least recently used first; if there is none, the new entry is
    /// refused.
    Evict,
    /// Reading from the sender is paused until there is room, for a limited time.
    PauseReading,
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
pub struct PurposeSettings {
    /// The purpose.
    pub purpose: Purpose,
    /// Its name in files, logs and metrics.
    pub name: &'static str,
    /// What happens when an account is full.
    pub at_cap: CapPolicy,
    /// Default share of the budget of a daemon, in percent.
    pub daemon_percent: f64,
    /// Default share on the platform, where nothing is deferred, keyed, logged or replicated, in percent.
    pub platform_percent: f64,
    /// Smallest useful cap, in bytes; a configuration with a smaller one is rejected.
    pub min_bytes: usize,
    /// Whether the account is split between tenants.
    pub by_tenant: bool,
}

const fn settings(
    purpose: Purpose,
    name: &'static str,
    at_cap: CapPolicy,
    (daemon_percent, platform_percent): (f64, f64),
    min_bytes: usize,
) -> PurposeSettings {
    let by_tenant =
        matches!(purpose, Purpose::Calls | Purpose::DeferredOpen | Purpose::DeferredFinal | Purpose::Keys);
    PurposeSettings { purpose, name, at_cap, daemon_percent, platform_percent, min_bytes, by_tenant }
}

/// The table of purposes, in the order of [`Purpose`].
const TABLE: [PurposeSettings; 13] = [
    settings(Purpose::Calls, "calls", CapPolicy::Refuse, (31.0, 58.0), 512 * KIB),
    settings(Purpose::Clients, "clients", CapPolicy::PauseReading, (9.0, 15.0), 256 * KIB),
    settings(Purpose::Workers, "workers", CapPolicy::PauseReading, (9.0, 12.0), 256 * KIB),
    settings(Purpose::Roster, "roster", CapPolicy::Evict, (2.0, 2.0), 64 * KIB),
    settings(Purpose::Learnt, "learnt", CapPolicy::Evict, (6.0, 10.0), 256 * KIB),
    settings(Purpose::Catalog, "catalog", CapPolicy::Refuse, (5.0, 0.0), 64 * KIB),
    settings(Purpose::DeferredOpen, "deferred-open", CapPolicy::Refuse, (4.0, 0.0), 128 * KIB),
    settings(Purpose::DeferredFinal, "deferred-final", CapPolicy::Refuse, (12.0, 0.0), 256 * KIB),
    settings(Purpose::Keys, "keys", CapPolicy::Refuse, (15.0, 0.0), 256 * KIB),
    settings(Purpose::Log, "log", CapPolicy::Refuse, (2.0, 0.0), 320 * KIB),
    settings(Purpose::Replication, "replication", CapPolicy::Refuse, (3.0, 0.0), 320 * KIB),
    settings(Purpose::Timers, "timers", CapPolicy::Refuse, (1.0, 2.0), 64 * KIB),
    settings(Purpose::Operators, "operators", CapPolicy::PauseReading, (1.0, 1.0), 32 * KIB),
];

impl Purpose {
    /// Number of purposes.
    pub const COUNT: usize = TABLE.len();

    /// All purposes, in the order of the table.
    pub fn all() -> impl Iterator<Item = Purpose> {
        TABLE.iter().map(|settings| settings.purpose)
    }

    /// The table entry of the purpose.
    pub fn settings(self) -> &'static PurposeSettings {
        &TABLE[self as usize]
    }

    /// Its name in files, logs and metrics.
    pub fn name(self) -> &'static str {
        self.settings().name
    }

    /// Finds a purpose by name.
    pub fn named(name: &str) -> Option<Purpose> {
        Purpose::all().find(|purpose| purpose.name() == name)
    }
}

#[cfg(test)]
mod tests;
