//! State of an invoker: the replicated store and its log, the catalog, the roster, connection states and counters.
pub mod catalog;
pub mod clients;
pub mod counters;
pub mod deploy_entries;
pub mod exchanges;
pub mod hash;
pub mod invocations;
pub mod keys;
pub mod log;
pub mod memory_wait;
pub mod recent_ids;
pub mod record;
pub mod resident;
pub mod roster;
pub mod start_times;
pub mod store;

/// A ledger with a budget that is large enough for any test.
#[cfg(test)]
pub(crate) fn test_ledger() -> std::sync::Arc<corkbay_ledger::Ledger> {
    use corkbay_ledger::{Budget, Ledger, Shares, MIB};
    let budget = Budget::plan(1024 * MIB, 0, 0.0, &Shares::daemon(), ("memory_mb", "memory.shares"));
    std::sync::Arc::new(Ledger::new(&budget.expect("fits"), &[]))
}
