//! Derives the memory accounts of the process from its configuration, and reports on them.
use super::config::ConfigError;
use super::spawn;
use crate::core::{monotonic_ms, Invoker};
use crate::state::resident::resident_bytes;
use crate::state::roster;
use crate::timers;
use corkbay::{Settings, TableSizes};
use corkbay_ledger::{Alarm, Budget, BudgetError, Purpose, Shares, TenantShare, MIB};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Minimum assumed for the memory that the process takes before it serves anything, in bytes; also used where it
/// can't be measured.
pub const MIN_BASE_BYTES: usize = 6 * MIB;
/// Part of the memory reserved on the platform for use that no account tracks, in percent.
const PLATFORM_RESERVE_PERCENT: f64 = 12.0;
/// Room in the catalog for changes through the API, as a fraction of the size of what the file configures.
const CATALOG_SPARE_FRACTION: f64 = 0.25;
/// Spare room for releases, in which workers are replaced: one additional worker for every this many known workers.
const WORKERS_PER_SPARE: usize = 3;
/// Interval between two checks of the accounts.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl From<BudgetError> for ConfigError {
    fn from(error: BudgetError) -> Self {
        ConfigError::new(error.key, error.what)
    }
}

/// The memory that the process takes by itself, in bytes. Must be measured once, before the process serves.
pub fn measured_base() -> usize {
    resident_bytes().max(MIN_BASE_BYTES)
}

/// The number of workers and classes that memory caps are planned for.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    /// Known workers.
    pub workers: usize,
    /// Classes of calls. Each worker has separate statistics for each class.
    pub classes: usize,
}

impl FleetSize {
    /// The platform's shares with room for these workers, both in the roster and in the account of learnt statistics,
    /// which keeps its usual room for models. `room_bytes` is in bytes.
    fn shares(self, room_bytes: usize, keys: (&str, &str)) -> Result<Shares, BudgetError> {
        let shares = Shares::platform();
        let with_spare = |bytes: usize| self.workers * bytes / WORKERS_PER_SPARE * (WORKERS_PER_SPARE + 1);
        let model_bytes = (room_bytes as f64 * shares.percent(Purpose::Learnt) / 100.0) as usize;
        let learnt_bytes = model_bytes + with_spare(TableSizes::worker_cost(self.classes));
        let roster_bytes = with_spare(roster::usual_cost());
        let usual_bytes = (room_bytes as f64 * shares.percent(Purpose::Roster) / 100.0) as usize;
        if roster_bytes <= usual_bytes {
            return Ok(shares);
        }
        shares.raise(Purpose::Roster, roster_bytes, room_bytes, keys)?.raise(
            Purpose::Learnt,
            learnt_bytes,
            room_bytes,
            keys,
        )
    }
}

/// The memory caps on the platform, whose configuration sets only the total, for one of `parts` processes that share
/// it. `base_bytes` is in bytes.
pub fn platform_budget(
    memory_mb: u64,
    base_bytes: usize,
    parts: usize,
    fleet: FleetSize,
) -> Result<Budget, ConfigError> {
    let keys = ("limits.memory_mb", "limits.memory_mb");
    let memory_bytes = memory_mb as usize * MIB / parts;
    let shares = fleet
        .shares(Budget::room_within(memory_bytes, base_bytes, PLATFORM_RESERVE_PERCENT), keys)
        .or_else(|error| {
            tracing::warn!(error = error.what, workers = fleet.workers, "too little memory for all workers");
            FleetSize::default().shares(1, keys)
        })?;
    Ok(Budget::plan(memory_bytes, base_bytes, PLATFORM_RESERVE_PERCENT, &shares, keys)?)
}

/// The memory settings of a deploy file.
#[derive(Clone, Debug)]
pub struct MemorySettings {
    /// Memory limit of the process, in MB.
    pub memory_mb: u64,
    /// Memory that the process takes by itself, in MB; measured if not given.
    pub base_mb: Option<f64>,
    /// Part reserved for use that no account tracks, in percent.
    pub reserve_percent: f64,
    /// Shares of the purposes, in percent of the remaining memory.
    pub shares: BTreeMap<String, f64>,
    /// Size of the file's functions and workers in the catalog, in bytes.
    pub catalog_bytes: usize,
}

/// The memory caps for a deploy file. The catalog's share grows with what the file configures, at the expense of shares
/// that the file does not set. `base_bytes` is in bytes.
pub fn deploy_budget(settings: &MemorySettings, base_bytes: usize) -> Result<Budget, ConfigError> {
    let base_bytes = settings.base_mb.map_or(base_bytes, |mb| (mb * MIB as f64) as usize);
    let memory_bytes = settings.memory_mb as usize * MIB;
    let reserve_percent = settings.reserve_percent;
    let room_bytes = Budget::room_within(memory_bytes, base_bytes, reserve_percent);
    let keys = ("memory_mb", "memory.shares");
    let shares = Shares::daemon().with(&settings.shares, keys.1)?;
    let raised_to = |bytes: usize| shares.clone().raise(Purpose::Catalog, bytes, room_bytes, keys);
    let needed_bytes = settings.catalog_bytes;
    let spare_bytes = (needed_bytes as f64 * CATALOG_SPARE_FRACTION) as usize;
    // Without room to spare, the configured entries must still fit.
    let shares = raised_to(needed_bytes + spare_bytes).or_else(|_| raised_to(needed_bytes))?;
    Ok(Budget::plan(memory_bytes, base_bytes, reserve_percent, &shares, keys)?)
}

/// The tenants and their weights, in the order of their numbers.
pub fn tenants(settings: &serde_json::Value) -> Vec<TenantShare> {
    let names = corkbay::Names::from_json(settings).tenants;
    let tenants = names.into_iter().zip(Settings::from_json(settings).tenants);
    tenants.map(|(name, tenant)| TenantShare { name, weight: tenant.quota_per_s }).collect()
}

/// Starts a task that measures the learnt statistics and warns of accounts close to their caps, until the process
/// exits.
pub fn watch(invoker: &Arc<Invoker>) {
    let invoker = invoker.clone();
    spawn(move || {
        let mut alarm = Alarm::default();
        loop {
            timers::sleep(CHECK_INTERVAL);
            invoker.measure();
            for warning in invoker.ledger().warnings(&mut alarm, monotonic_ms()) {
                tracing::warn!(
                    account = %warning.account, high = warning.recent_peak, cap = warning.cap, "close to its cap"
                );
            }
        }
    });
}

/// Writes the accounts to the log.
pub fn log(invoker: &Invoker) {
    let (resident, held) = (resident_bytes(), invoker.ledger().held());
    tracing::info!(resident, held, unaccounted = resident.saturating_sub(held), "memory");
    for line in invoker.ledger().statuses() {
        let tenant = line.tenant.as_deref().unwrap_or("all");
        let (used, peak, cap, refused) = (line.used, line.peak, line.cap, line.refused);
        tracing::info!(purpose = line.purpose, tenant, used, peak, cap, refused, "account");
    }
}

#[cfg(test)]
mod tests;
