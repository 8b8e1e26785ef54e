//! Checks of the deploy file that go beyond its types.
use super::{Deploy, Effect, Protocol, Style, MAX_ANSWER_KB};
use crate::lifecycle::accounts::{deploy_budget, MIN_BASE_BYTES};
use crate::lifecycle::config::ConfigError;
use crate::state::catalog::check_name;
use corkbay_ledger::Purpose;
use std::collections::BTreeSet;

/// Minimum number of file descriptors with which the daemon can serve.
const MIN_SOCKETS: usize = 64;
/// Maximum part of the memory that may be reserved for use that no account tracks, in percent.
const MAX_RESERVE_PERCENT: f64 = 90.0;

impl Deploy {
    /// Checks the whole file; returns the first error, which names its key.
    pub(in crate::lifecycle) fn check(&self) -> Result<(), ConfigError> {
        check_name(&self.node).map_err(|error| ConfigError::new("node", error))?;
        self.check_limits()?;
        self.check_memory_and_roles()?;
        self.check_names()?;
        self.check_classes()?;
        self.check_functions()?;
        self.check_workers()?;
        self.check_transport()
    }

    fn check_limits(&self) -> Result<(), ConfigError> {
        if self.sockets < MIN_SOCKETS {
            return Err(ConfigError::new("sockets", format!("must be at least {MIN_SOCKETS}")));
        }
        let limits = &self.limits;
        for (key, value) in [
            ("retention_s", self.retention_s),
            ("limits.attempts", f64::from(limits.attempts)),
            ("limits.connect_timeout_ms", limits.connect_timeout_ms),
            ("limits.idle_ms", limits.idle_ms),
            ("limits.streams", f64::from(limits.streams)),
            ("limits.keep_ms", limits.keep_ms),
        ] {
            check_positive(key, value)?;
        }
        if !(1..=MAX_ANSWER_KB).contains(&limits.answer_kb) {
            return Err(ConfigError::new("limits.answer_kb", format!("must be from 1 to {MAX_ANSWER_KB}")));
        }
        Ok(())
    }

    fn check_memory_and_roles(&self) -> Result<(), ConfigError> {
        if let Some(base) = self.memory.base_mb {
            check_positive("memory.base_mb", base)?;
        }
        if !(0.0..=MAX_RESERVE_PERCENT).contains(&self.memory.reserve_percent) {
            let reason = format!("must be from 0 to {MAX_RESERVE_PERCENT}");
            return Err(ConfigError::new("memory.reserve_percent", reason));
        }
        let budget = deploy_budget(&self.memory_settings(), MIN_BASE_BYTES)?;
        if let Some(follow) = &self.follow {
            follow.check(self)?;
        }
        if let Some(feed) = &self.feed {
            feed.check(self.sockets, budget.cap(Purpose::Replication))?;
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), ConfigError> {
        if self.classes.is_empty() {
            return Err(ConfigError::new("class", "at least one class is required"));
        }
        check_unique("class", self.classes.iter().map(|class| class.name.as_str()))?;
        check_unique("tenant", self.tenants.iter().map(|tenant| tenant.name.as_str()))?;
        check_unique("kind", self.kinds.iter().map(|kind| kind.name.as_str()))?;
        check_unique("function", self.functions.iter().map(|function| function.name.as_str()))?;
        check_unique("worker", self.workers.iter().map(|worker| worker.name.as_str()))
    }

    fn check_classes(&self) -> Result<(), ConfigError> {
        for class in &self.classes {
            check_positive("class.aim_ms", class.aim_ms)?;
            check_positive("class.give_up_ms", class.give_up_ms)?;
            if class.effect == Effect::Token {
                check_positive("class.dedup_window_ms", class.dedup_window_ms)?;
            }
        }
        Ok(())
    }

    fn check_functions(&self) -> Result<(), ConfigError> {
        for function in &self.functions {
            check_positive("function.lanes", f64::from(function.lanes))?;
            if !self.classes.iter().any(|class| class.name == function.class) {
                let reason = format!("unknown class {:?} in function {:?}", function.class, function.name);
                return Err(ConfigError::new("function.class", reason));
            }
            let is_known = self.tenants.iter().any(|tenant| tenant.name == function.tenant);
            if !self.tenants.is_empty() && !is_known {
                let reason = format!("unknown tenant {:?} in function {:?}", function.tenant, function.name);
                return Err(ConfigError::new("function.tenant", reason));
            }
        }
        Ok(())
    }

    fn check_workers(&self) -> Result<(), ConfigError> {
        for worker in &self.workers {
            check_positive("worker.weight", worker.weight)?;
            worker.resolve()?;
        }
        Ok(())
    }

    fn check_transport(&self) -> Result<(), ConfigError> {
        match (self.transport.protocol, self.transport.style, self.transport.orders) {
            (Protocol::Frames, Style::Deferred, _) => {
                Err(ConfigError::new("transport.style", "the frames protocol supports only the style held"))
            }
            (Protocol::Http, _, true) => {
                Err(ConfigError::new("transport.orders", "only the frames protocol supports orders"))
            }
            _ => Ok(()),
        }
    }
}

fn check_positive(key: &str, value: f64) -> Result<(), ConfigError> {
    let is_positive = value.is_finite() && value > 0.0;
    is_positive.then_some(()).ok_or_else(|| ConfigError::new(key, "must be above 0"))
}

/// Checks that names are valid and that none is given twice.
fn check_unique<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Result<(), ConfigError> {
    let key = format!("{key}.name");
    let mut seen = BTreeSet::new();
    for name in names {
        check_name(name).map_err(|error| ConfigError::new(key.clone(), error))?;
        if !seen.insert(name) {
            return Err(ConfigError::new(key, format!("duplicate name {name:?}")));
        }
    }
    Ok(())
}
