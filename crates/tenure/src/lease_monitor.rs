//! When the lease of a silent holder expires.
use crate::{Command, Instant, LeaseTable, LeaseTiming, Term};
use std::collections::BTreeMap;

/// Tracks, on the leader of the replicas, how long each lease has not been renewed, by the leader's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseMonitor {
    timing: LeaseTiming,
    last_renewals: BTreeMap<String, LastRenewal>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LastRenewal {
    term: Term,
    renewals: u64,
    observed_at: Instant,
}

impl LeaseMonitor {
    /// A monitor that tracks no lease yet.
    pub fn new(timing: LeaseTiming) -> Self {
        LeaseMonitor { timing, last_renewals: BTreeMap::new() }
    }

    /// Starts anew after a change of leadership. How long a holder was silent before that is unknown, so each
    /// lease counts as renewed now.
    pub fn reset(&mut self, now: Instant, table: &LeaseTable) {
        self.last_renewals.clear();
        let names: Vec<String> = table.leases().map(|(name, _)| name.to_string()).collect();
        names.iter().for_each(|name| self.observe(now, name, table));
    }

    /// Called after a command on this lease was committed. Only a grant or a renewal resets the timeout:
    /// requests of other owners must not keep the lease of a dead holder alive.
    pub fn observe(&mut self, now: Instant, name: &str, table: &LeaseTable) {
        let Some(lease) = table.lease(name).filter(|lease| lease.holder.is_some()) else {
            self.last_renewals.remove(name);
            return;
        };
        let known = self.last_renewals.get(name);
        if known.is_none_or(|renewal| (renewal.term, renewal.renewals) != (lease.term, lease.renewals)) {
            let renewal = LastRenewal { term: lease.term, renewals: lease.renewals, observed_at: now };
            self.last_renewals.insert(name.to_string(), renewal);
        }
    }

    /// Commands to propose now, for leases whose holders must have stopped by themselves. A command is returned
    /// again until it is committed.
    pub fn expired(&self, now: Instant) -> Vec<Command> {
        let is_expired = |renewal: &LastRenewal| now >= renewal.observed_at + self.timing.expiry_timeout();
        let silent = self.last_renewals.iter().filter(|entry| is_expired(entry.1));
        let expire = |(name, renewal): (&String, &LastRenewal)| Command::Expire {
            name: name.clone(),
            term: renewal.term,
            renewals: renewal.renewals,
        };
        silent.map(expire).collect()
    }
}

#[cfg(test)]
mod tests;
