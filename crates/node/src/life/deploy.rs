//! The daemon's own deploy file: where the invoke API listens, what it serves and who the workers are.
use super::accounts::{deploy_budget, MemorySettings, USUAL_BASE};
use super::config::ConfigError;
use super::roles::{FeedSettings, FollowSettings};
use crate::memory::catalog::{check_name, Function, State};
use crate::memory::keys::{FUNCTION, WORKER};
use crate::memory::seeds::{configured_size, pages_size};
use corkbay_ledger::{Purpose, KIB, MIB};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::{Path, PathBuf};

/// Largest answer that the file may allow, in KiB, and what holds where it says nothing: calls that are kept hold room
/// for one from the start, and the log's share has to take its record.
const LARGEST_ANSWER_KB: usize = 64;
/// A follower's catalog has room for this part of its memory, one in so many bytes.
const FOLLOWER_CATALOG_PART: usize = 12;

/// The whole file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deploy {
    /// The node's name, the same after a restart and unlike any other's.
    pub node: String,
    /// Where the invoke API listens.
    pub listen: SocketAddr,
    /// Where state is kept; in memory only without.
    pub data_dir: Option<PathBuf>,
    /// The node's own zone.
    #[serde(default)]
    pub zone: String,
    /// Most descriptors that the process may hold.
    #[serde(default = "sockets")]
    pub sockets: usize,
    /// Memory of the process, MB.
    #[serde(default = "memory")]
    pub memory_mb: u64,
    /// How it is shared out.
    #[serde(default)]
    pub memory: Memory,
    /// For how long finished invocations are kept.
    #[serde(default = "retention")]
    pub retention_s: f64,
    /// A file with further `[[worker]]` entries, such as `corkbay import` writes.
    pub workers_file: Option<PathBuf>,
    /// How workers are spoken to.
    #[serde(default)]
    pub transport: Transport,
    /// Limits of attempts.
    #[serde(default)]
    pub limits: Limits,
    /// Other nodes.
    pub replication: Option<Replication>,
    /// The feed that the node serves to followers, if it is a control node.
    pub feed: Option<FeedSettings>,
    /// The control nodes that it follows, if it is a follower.
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

/// What a workers file holds.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkersFile {
    /// The workers.
    #[serde(rename = "worker", default)]
    pub workers: Vec<WorkerEntry>,
}

/// A function as it stands in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionEntry {
    /// Its name.
    pub name: String,
    /// Its class.
    pub class: String,
    /// Its tenant, where there are tenants.
    #[serde(default)]
    pub tenant: String,
    /// Memory of one copy, MB.
    #[serde(default)]
    pub memory_mb: f64,
    /// Calls at a time in one copy.
    #[serde(default = "one_lane")]
    pub lanes: u32,
    /// Rough core time of a call, milliseconds.
    pub cost_ms: Option<f64>,
}

impl FunctionEntry {
    /// The function without its name.
    pub fn function(&self) -> Function {
        let FunctionEntry { class, tenant, memory_mb, lanes, cost_ms, .. } = self.clone();
        Function { class, tenant, memory_mb, lanes, cost_ms }
    }
}

/// A worker as it stands in a file; its address may name a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerEntry {
    /// Its name.
    pub name: String,
    /// Host and port.
    pub address: String,
    /// Its zone.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
    /// Its machine kind.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Its rack.
    #[serde(default)]
    pub cell: i64,
    /// Size in relation to the others.
    #[serde(default = "one")]
    pub weight: f64,
    /// Whether it takes work.
    #[serde(default)]
    pub state: State,
}

/// What is spoken to workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// The invoke API.
    #[default]
    Http,
    /// Binary frames.
    Frames,
}

/// How an answer travels from a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Style {
    /// On the exchange that carried the call.
    #[default]
    Held,
    /// Collected later.
    Deferred,
}

/// How workers are spoken to.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transport {
    /// What is spoken.
    #[serde(default)]
    pub protocol: Protocol,
    /// How answers travel.
    #[serde(default)]
    pub style: Style,
    /// Workers load models only when ordered to (frames only).
    #[serde(default)]
    pub orders: bool,
}

/// Limits of attempts and connections.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Most attempts for a call.
    pub attempts: u32,
    /// A connection not made by then has failed.
    pub connect_timeout_ms: f64,
    /// An idle connection is closed after this.
    pub idle_ms: f64,
    /// Exchanges that one connection carries at once.
    pub streams: u32,
    /// Least time for which workers keep an idle copy.
    pub keep_ms: f64,
    /// Longest advice to stay away.
    pub max_retry_after_ms: f64,
    /// Largest body of a worker's answer, KiB. Calls whose answers are kept hold room for it meanwhile.
    pub answer_kb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            attempts: 5,
            connect_timeout_ms: 250.0,
            idle_ms: 15_000.0,
            streams: 32,
            keep_ms: 10_000.0,
            max_retry_after_ms: 1000.0,
            answer_kb: LARGEST_ANSWER_KB,
        }
    }
}

/// How the memory is shared out between purposes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// What the process takes by itself, MB; measured at the start where it is not given.
    pub base_mb: Option<f64>,
    /// What is kept back for what no account sees, in percent.
    pub reserve_percent: f64,
    /// Parts of purposes, in percent of the rest; those not named split what is left.
    pub shares: BTreeMap<String, f64>,
}

impl Default for Memory {
    fn default() -> Self {
        Memory { base_mb: None, reserve_percent: 15.0, shares: BTreeMap::new() }
    }
}

/// Replication of the store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replication {
    /// Where other nodes call.
    pub listen: SocketAddr,
    /// Where they are called.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Time between two swaps of digests; writes are pushed at once.
    #[serde(default = "interval")]
    pub interval_ms: u64,
}

/// What running a call of a class twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Nothing.
    Pure,
    /// Workers drop repeats of a key.
    Token,
    /// Harm.
    SideEffect,
}

/// Which workers drop repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// Every one.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a rack.
    #[default]
    Cell,
}

/// A class of calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// When an answer is wanted.
    pub aim_ms: f64,
    /// When a client gives up at the latest.
    pub give_up_ms: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Which workers drop repeats.
    #[serde(default)]
    pub dedup_scope: Scope,
    /// For how long they do.
    #[serde(default)]
    pub dedup_window_ms: f64,
    /// Worth of a call.
    #[serde(default = "one")]
    pub worth: f64,
    /// Part of it that a late answer earns.
    #[serde(default)]
    pub late_worth: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Calls a second within its share; 0 for no share.
    #[serde(default)]
    pub quota_per_s: f64,
}

/// A machine kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its memory.
    pub memory_mb: f64,
}

fn memory() -> u64 {
    128
}

fn sockets() -> usize {
    1024
}

fn retention() -> f64 {
    3600.0
}

fn interval() -> u64 {
    2000
}

fn one() -> f64 {
    1.0
}

fn one_lane() -> u32 {
    1
}

/// Reads a TOML text; an error names the key.
pub fn read<'de, T: Deserialize<'de>>(text: &'de str) -> Result<T, ConfigError> {
    let reader = toml::Deserializer::new(text);
    serde_path_to_error::deserialize(reader).map_err(|error| {
        let path = error.path().to_string();
        let inner = error.into_inner();
        ConfigError::new(if path == "." { "deploy file".into() } else { path }, inner.message())
    })
}

fn file(path: &Path, key: &str) -> Result<String, ConfigError> {
    let named = |error| ConfigError::new(key, format!("{}: {error}", path.display()));
    std::fs::read_to_string(path).map_err(named)
}

impl Deploy {
    /// Reads the file and the workers file that it names, and checks both.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let mut deploy: Deploy = read(&file(path, "deploy file")?)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        if let Some(name) = &deploy.workers_file {
            let more: WorkersFile = read(&file(&folder.join(name), "workers_file")?)?;
            deploy.workers.extend(more.workers);
        }
        deploy.data_dir = deploy.data_dir.map(|data| folder.join(data));
        deploy.check()?;
        Ok(deploy)
    }

    /// Checks what the types of the settings leave open.
    pub(super) fn check(&self) -> Result<(), ConfigError> {
        let positive = |key: &str, value: f64| {
            let fine = value.is_finite() && value > 0.0;
            fine.then_some(()).ok_or_else(|| ConfigError::new(key, "not above 0"))
        };
        let names = |key: &str, names: Vec<&str>| {
            let mut seen = BTreeSet::new();
            for name in names {
                check_name(name).map_err(|error| ConfigError::new(format!("{key}.name"), error))?;
                if !seen.insert(name) {
                    return Err(ConfigError::new(format!("{key}.name"), format!("{name:?} stands twice")));
                }
            }
            Ok(())
        };
        check_name(&self.node).map_err(|error| ConfigError::new("node", error))?;
        if self.sockets < 64 {
            return Err(ConfigError::new("sockets", "fewer than 64"));
        }
        positive("retention_s", self.retention_s)?;
        positive("limits.attempts", f64::from(self.limits.attempts))?;
        positive("limits.connect_timeout_ms", self.limits.connect_timeout_ms)?;
        positive("limits.idle_ms", self.limits.idle_ms)?;
        positive("limits.streams", f64::from(self.limits.streams))?;
        positive("limits.keep_ms", self.limits.keep_ms)?;
        if !(1..=LARGEST_ANSWER_KB).contains(&self.limits.answer_kb) {
            return Err(ConfigError::new("limits.answer_kb", format!("not from 1 to {}", LARGEST_ANSWER_KB)));
        }
        if let Some(base) = self.memory.base_mb {
            positive("memory.base_mb", base)?;
        }
        if !(0.0..=90.0).contains(&self.memory.reserve_percent) {
            return Err(ConfigError::new("memory.reserve_percent", "not from 0 to 90"));
        }
        let budget = deploy_budget(&self.memory_settings(), USUAL_BASE)?;
        if let Some(follow) = &self.follow {
            follow.check(self)?;
        }
        if let Some(feed) = &self.feed {
            feed.check(self.sockets, budget.cap(Purpose::Replication))?;
        }
        if self.classes.is_empty() {
            return Err(ConfigError::new("class", "no class"));
        }
        names("class", self.classes.iter().map(|class| class.name.as_str()).collect())?;
        names("tenant", self.tenants.iter().map(|tenant| tenant.name.as_str()).collect())?;
        names("kind", self.kinds.iter().map(|kind| kind.name.as_str()).collect())?;
        names("function", self.functions.iter().map(|function| function.name.as_str()).collect())?;
        names("worker", self.workers.iter().map(|worker| worker.name.as_str()).collect())?;
        for class in &self.classes {
            positive("class.aim_ms", class.aim_ms)?;
            positive("class.give_up_ms", class.give_up_ms)?;
            if class.effect == Effect::Token {
                positive("class.dedup_window_ms", class.dedup_window_ms)?;
            }
        }
        for function in &self.functions {
            positive("function.lanes", f64::from(function.lanes))?;
            if !self.classes.iter().any(|class| class.name == function.class) {
                let what = format!("{:?} of {:?} is no class", function.class, function.name);
                return Err(ConfigError::new("function.class", what));
            }
            let known = self.tenants.iter().any(|tenant| tenant.name == function.tenant);
            if !self.tenants.is_empty() && !known {
                let what = format!("{:?} of {:?} is no tenant", function.tenant, function.name);
                return Err(ConfigError::new("function.tenant", what));
            }
        }
        for worker in &self.workers {
            positive("worker.weight", worker.weight)?;
            worker.resolve()?;
        }
        match (self.transport.protocol, self.transport.style, self.transport.orders) {
            (Protocol::Frames, Style::Deferred, _) => {
                Err(ConfigError::new("transport.style", "frames are held only"))
            }
            (Protocol::Http, _, true) => Err(ConfigError::new("transport.orders", "goes with frames only")),
            _ => Ok(()),
        }
    }

    /// Largest body of a worker's answer, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.limits.answer_kb * KIB
    }

    /// Invokers that share the workers, as far as the file tells.
    fn invokers(&self) -> usize {
        match (&self.follow, &self.replication) {
            (Some(follow), _) => follow.invokers,
            (None, Some(replication)) => 1 + replication.peers.len(),
            (None, None) => 1,
        }
    }

    /// What the file says of memory.
    pub fn memory_settings(&self) -> MemorySettings {
        MemorySettings {
            memory_mb: self.memory_mb,
            base_mb: self.memory.base_mb,
            reserve_percent: self.memory.reserve_percent,
            shares: self.memory.shares.clone(),
            catalog_bytes: self.catalog_bytes(),
        }
    }

    /// What the catalog is to have room for, in bytes. A follower's file names no functions: those of its control nodes
    /// have to fit, unless the file says itself what part of the memory is for them.
    fn catalog_bytes(&self) -> usize {
        if self.follow.is_some() && !self.memory.shares.contains_key(Purpose::Catalog.name()) {
            return (self.memory_mb as usize * MIB) / FOLLOWER_CATALOG_PART;
        }
        self.configured_bytes()
    }

    /// What the functions and workers of the file take in the store, in bytes.
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

    /// The settings object that the decisions read.
    pub fn settings(&self) -> Value {
        let mut zones: Vec<&str> = vec![&self.zone];
        zones.extend(self.workers.iter().map(|worker| worker.zone.as_str()));
        let mut seen = BTreeSet::new();
        zones.retain(|zone| seen.insert(*zone));
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
            "zones": zones, "myZone": self.zone, "periodMs": 4.0,
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

impl WorkerEntry {
    /// Its address, looked up if it names a host; only at the start, before the first coroutine runs.
    pub fn resolve(&self) -> Result<SocketAddr, ConfigError> {
        let unknown = || ConfigError::new("worker.address", format!("{:?} of {:?}", self.address, self.name));
        self.address.to_socket_addrs().ok().and_then(|mut found| found.next()).ok_or_else(unknown)
    }
}

#[cfg(test)]
mod tests;
