//! The daemon's deploy file: listen addresses, limits, functions and workers.
mod check;
mod entries;

use super::accounts::MemorySettings;
use super::config::ConfigError;
use super::roles::{FeedSettings, FollowSettings};
use crate::state::deploy_entries::{configured_size, pages_size};
use crate::state::keys::{FUNCTION, WORKER};
use corkbay_ledger::{Purpose, KIB, MIB};
pub use entries::{
    Class, Effect, FunctionEntry, Kind, Limits, Memory, Protocol, Replication, Scope, Style, Tenant,
    Transport, WorkerEntry, WorkersFile,
};
use serde::Deserialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Upper bound and default of `limits.answer_kb`, in KiB. A stored call reserves room for its answer from the start,
/// and the record of the answer must fit the log's share of the memory.
const MAX_ANSWER_KB: usize = 64;
/// A follower's catalog gets one byte in this many of the follower's memory.
const FOLLOWER_CATALOG_DIVISOR: usize = 12;

/// The content of a deploy file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deploy {
    /// The node's name, which is unique and stays the same after a restart.
    pub node: String,
    /// Listen address of the invoke API.
    pub listen: SocketAddr,
    /// Folder in which state is stored; without one, state is in memory only.
    pub data_dir: Option<PathBuf>,
    /// The node's own zone.
    #[serde(default)]
    pub zone: String,
    /// Maximum number of file descriptors of the process.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Memory limit of the process, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Division of the memory.
    #[serde(default)]
    pub memory: Memory,
    /// How long finished invocations are kept, in seconds.
    #[serde(default = "default_retention_s")]
    pub retention_s: f64,
    /// A file with further `[[worker]]` entries, for example one written by `corkbay import`.
    pub workers_file: Option<PathBuf>,
    /// Protocol between invoker and workers.
    #[serde(default)]
    pub transport: Transport,
    /// Limits of attempts and connections.
    #[serde(default)]
    pub limits: Limits,
    /// Replication with other nodes.
    pub replication: Option<Replication>,
    /// The feed that the node serves to followers, if it is a control node.
    pub feed: Option<FeedSettings>,
    /// The control nodes that the node follows, if it is a follower.
    pub follow: Option<FollowSettings>,
    /// Classes of calls.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// Machine kinds.
    #[serde(rename = "kind", default)]
    pub kinds: Vec<Kind>,
    /// Functions.
    #[serde(rename = "function", default)]
    pub functions: Vec<FunctionEntry>,
    /// Workers.
    #[serde(rename = "worker", default)]
    pub workers: Vec<WorkerEntry>,
}

fn default_memory_mb() -> u64 {
    128
}

fn default_sockets() -> usize {
    1024
}

fn default_retention_s() -> f64 {
    3600.0
}

/// Parses a TOML text; an error names the key at fault.
pub fn read<'de, T: Deserialize<'de>>(text: &'de str) -> Result<T, ConfigError> {
    let reader = toml::Deserializer::new(text);
    serde_path_to_error::deserialize(reader).map_err(|error| {
        let path = error.path().to_string();
        let inner = error.into_inner();
        ConfigError::new(if path == "." { "deploy file".into() } else { path }, inner.message())
    })
}

/// Reads a file; an error names `key` and the path.
fn read_file(path: &Path, key: &str) -> Result<String, ConfigError> {
    let describe_error = |error| ConfigError::new(key, format!("{}: {error}", path.display()));
    std::fs::read_to_string(path).map_err(describe_error)
}

impl Deploy {
    /// Reads the file and the workers file that it names, and checks both.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let mut deploy: Deploy = read(&read_file(path, "deploy file")?)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        if let Some(name) = &deploy.workers_file {
            let extra_file: WorkersFile = read(&read_file(&folder.join(name), "workers_file")?)?;
            deploy.workers.extend(extra_file.workers);
        }
        deploy.data_dir = deploy.data_dir.map(|data| folder.join(data));
        deploy.check()?;
        Ok(deploy)
    }

    /// Maximum body size of a worker's answer, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.limits.answer_kb * KIB
    }

    /// Number of invokers that share the workers, according to the file.
    fn invokers(&self) -> usize {
        match (&self.follow, &self.replication) {
            (Some(follow), _) => follow.invokers,
            (None, Some(replication)) => 1 + replication.peers.len(),
            (None, None) => 1,
        }
    }

    /// The memory settings of the file.
    pub fn memory_settings(&self) -> MemorySettings {
        MemorySettings {
            memory_mb: self.memory_mb,
            base_mb: self.memory.base_mb,
            reserve_percent: self.memory.reserve_percent,
            shares: self.memory.shares.clone(),
            catalog_bytes: self.catalog_bytes(),
        }
    }

    /// The size that the catalog needs room for, in bytes. A follower's file names no functions, but the catalog must
    /// hold those of its control nodes; it gets a fixed part of the memory unless the file sets its share.
    fn catalog_bytes(&self) -> usize {
        if self.follow.is_some() && !self.memory.shares.contains_key(Purpose::Catalog.name()) {
            return (self.memory_mb as usize * MIB) / FOLLOWER_CATALOG_DIVISOR;
        }
        self.configured_bytes()
    }

    /// Size of the file's functions and workers in the store, in bytes.
    fn configured_bytes(&self) -> usize {
        let functions = self
            .functions
            .iter()
            .map(|function| configured_size(&self.node, FUNCTION, &function.name, &function.function()));
        let workers =
            self.workers.iter().map(|worker| configured_size(&self.node, WORKER, &worker.name, worker));
        let pages = pages_size(&self.node, self.functions.len() + self.workers.len());
        functions.sum::<usize>() + workers.sum::<usize>() + pages
    }

    /// The settings object that the decision code reads.
    pub fn settings(&self) -> Value {
        let class = |class: &Class| {
            json!({
                "name": class.name, "aimMs": class.aim_ms, "giveUpMs": class.give_up_ms,
                "idempotency": class.effect, "dedupScope": class.dedup_scope,
                "dedupWindowMs": class.dedup_window_ms, "worth": class.worth, "lateWorth": class.late_worth,
            })
        };
        let tenant = |tenant: &Tenant| json!({"name": tenant.name, "quotaPerS": tenant.quota_per_s});
        let limits = &self.limits;
        json!({
            "balancers": self.invokers(),
            "classes": self.classes.iter().map(class).collect::<Vec<_>>(),
            "customers": self.tenants.iter().map(tenant).collect::<Vec<_>>(),
            "myZone": self.zone, "periodMs": 4.0,
            "models": self.kinds.iter().map(|kind| kind.name.as_str()).collect::<Vec<_>>(),
            "registryMode": "pushed",
            "ceilings": {
                "attemptsCap": limits.attempts, "cancel": true, "probes": true, "secondCopies": true,
                "retryAfter": true, "maxRetryAfterMs": limits.max_retry_after_ms,
                "connectTimeoutMs": limits.connect_timeout_ms, "connIdleMs": limits.idle_ms,
                "streamsPerConn": limits.streams,
            },
            "specifics": {
                "keepMs": limits.keep_ms,
                "notLoaded": if self.transport.orders { "miss" } else { "load" },
                "placementCalls": self.transport.orders,
                "ramMbByKind": self.kinds.iter().map(|kind| kind.memory_mb).collect::<Vec<_>>(),
            },
            "safety": {
                "drainGraceMs": 2000.0, "coldFrom": 1.0, "coldMs": 0.0, "fallMultiple": 2.0, "fallMs": 2000.0,
            },
            "prices": {},
        })
    }
}

#[cfg(test)]
mod tests;
