//! From the configuration to the accounts of the process.
use super::config::ConfigError;
use super::spawn;
use crate::core::{monotonic_ms, Invoker};
use crate::memory::resident::resident_bytes;
use crate::memory::roster;
use crate::timers;
use corkbay::{Settings, Tables};
use corkbay_ledger::{Alarm, Budget, BudgetError, Purpose, Shares, TenantShare, MIB};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// What the process takes before it serves anything, where it can't be measured.
pub const USUAL_BASE: usize = 6 * MIB;
/// What is kept back on the platform for what no account sees, in percent.
const PLATFORM_RESERVE: f64 = 12.0;
/// Room for changes by API beside what the file configures, as a part of that.
const CATALOG_SPARE: f64 = 0.25;
/// Room for one worker in so many beside those that are known, for a release.
const SPARE_WORKERS: usize = 3;
/// How often accounts are looked at.
const LOOK: Duration = Duration::from_secs(1);

impl From<BudgetError> for ConfigError {
    fn from(error: BudgetError) -> Self {
        ConfigError::new(error.key, error.what)
    }
}

/// What the process takes by itself: to be asked once, before it serves.
pub fn measured_base() -> usize {
    resident_bytes().max(USUAL_BASE)
}

/// The workers that caps are planned for.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    /// Workers that are known.
    pub workers: usize,
    /// Classes of calls, each of which is judged apart at each worker.
    pub classes: usize,
}

impl FleetSize {
    /// The platform's shares with room for these workers, in the directory and beside what is learnt of models.
    fn shares(self, room: usize, keys: (&str, &str)) -> Result<Shares, BudgetError> {
        let shares = Shares::platform();
        let with_spare = |bytes: usize| self.workers * bytes / SPARE_WORKERS * (SPARE_WORKERS + 1);
        let of_models = (room as f64 * shares.percent(Purpose::Learnt) / 100.0) as usize;
        let learnt = of_models + with_spare(Tables::worker_cost(self.classes));
        let roster = with_spare(roster::usual_cost());
        let usual = (room as f64 * shares.percent(Purpose::Roster) / 100.0) as usize;
        if roster <= usual {
            return Ok(shares);
        }
        shares.raise(Purpose::Roster, roster, room, keys)?.raise(Purpose::Learnt, learnt, room, keys)
    }
}

/// The caps on the platform, whose configuration names only the memory, for one of so many processes that share it.
pub fn platform_budget(
    memory_mb: u64,
    base: usize,
    parts: usize,
    fleet: FleetSize,
) -> Result<Budget, ConfigError> {
    let keys = ("limits.memory_mb", "limits.memory_mb");
    let memory = memory_mb as usize * MIB / parts;
    let shares =
        fleet.shares(Budget::room_within(memory, base, PLATFORM_RESERVE), keys).or_else(|error| {
            tracing::warn!(error = error.what, workers = fleet.workers, "too little memory for all workers");
            FleetSize::default().shares(1, keys)
        })?;
    Ok(Budget::plan(memory, base, PLATFORM_RESERVE, &shares, keys)?)
}

/// What a deploy file says of memory.
#[derive(Clone, Debug)]
pub struct MemorySettings {
    /// Memory of the process, MB.
    pub memory_mb: u64,
    /// What the process takes by itself, MB; measured where it is not given.
    pub base_mb: Option<f64>,
    /// What is kept back for what no account sees, in percent.
    pub reserve_percent: f64,
    /// Parts of purposes, in percent of the rest.
    pub shares: BTreeMap<String, f64>,
    /// What the functions and workers of the file take, in bytes.
    pub catalog_bytes: usize,
}

/// The caps that a deploy file asks for. The catalog's part grows with what the file configures, at the expense of
/// parts that the file does not name.
pub fn deploy_budget(settings: &MemorySettings, base: usize) -> Result<Budget, ConfigError> {
    let base = settings.base_mb.map_or(base, |mb| (mb * MIB as f64) as usize);
    let memory = settings.memory_mb as usize * MIB;
    let reserve = settings.reserve_percent;
    let room = Budget::room_within(memory, base, reserve);
    let keys = ("memory_mb", "memory.shares");
    let shares = Shares::daemon().with(&settings.shares, keys.1)?;
    let raised_to = |bytes: usize| shares.clone().raise(Purpose::Catalog, bytes, room, keys);
    let needed = settings.catalog_bytes;
    let spare = (needed as f64 * CATALOG_SPARE) as usize;
    // Where there is no room to spare, what is configured still has to fit.
    let shares = raised_to(needed + spare).or_else(|_| raised_to(needed))?;
    Ok(Budget::plan(memory, base, reserve, &shares, keys)?)
}

/// The tenants and their shares, in the order of their numbers.
pub fn tenants(setup: &serde_json::Value) -> Vec<TenantShare> {
    let names = corkbay::Names::from_json(setup).tenants;
    let tenants = names.into_iter().zip(Settings::from_json(setup).tenants);
    tenants.map(|(name, tenant)| TenantShare { name, weight: tenant.quota_per_s }).collect()
}

/// Measures what has been learnt and warns of accounts that come close to their caps, for as long as the
/// process lives.
pub fn watch(invoker: &Arc<Invoker>) {
    let invoker = invoker.clone();
    spawn(move || {
        let mut alarm = Alarm::default();
        loop {
            timers::sleep(LOOK);
            invoker.measure();
            for warning in invoker.ledger().warnings(&mut alarm, monotonic_ms()) {
                tracing::warn!(
                    account = %warning.account, high = warning.high, cap = warning.cap, "close to its cap"
                );
            }
        }
    });
}

/// Writes the accounts to the log.
pub fn log(invoker: &Invoker) {
    let (resident, held) = (resident_bytes(), invoker.ledger().held());
    tracing::info!(resident, held, unaccounted = resident.saturating_sub(held), "memory");
    for line in invoker.ledger().lines() {
        let tenant = line.tenant.as_deref().unwrap_or("all");
        let (used, peak, cap, refused) = (line.used, line.peak, line.cap, line.refused);
        tracing::info!(purpose = line.purpose, tenant, used, peak, cap, refused, "account");
    }
}

#[cfg(test)]
mod tests;
