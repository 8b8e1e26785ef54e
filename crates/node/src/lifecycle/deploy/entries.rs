//! The sections and entries of the deploy file.
use super::MAX_ANSWER_KB;
use crate::lifecycle::config::ConfigError;
use crate::state::catalog::{Function, State};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{SocketAddr, ToSocketAddrs};

/// The content of a workers file.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkersFile {
    /// The workers.
    #[serde(rename = "worker", default)]
    pub workers: Vec<WorkerEntry>,
}

/// A function in the deploy file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionEntry {
    /// Its name.
    pub name: String,
    /// Its class.
    pub class: String,
    /// Its tenant, if there are tenants.
    #[serde(default)]
    pub tenant: String,
    /// Memory of one copy, in MB.
    #[serde(default)]
    pub memory_mb: f64,
    /// Number of concurrent calls in one copy.
    #[serde(default = "default_lanes")]
    pub lanes: u32,
    /// Approximate CPU time of a call, in milliseconds.
    pub cost_ms: Option<f64>,
}

impl FunctionEntry {
    /// The function without its name.
    pub fn function(&self) -> Function {
        let FunctionEntry { class, tenant, memory_mb, lanes, cost_ms, .. } = self.clone();
        Function { class, tenant, memory_mb, lanes, cost_ms }
    }
}

/// A worker in a deploy file or workers file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerEntry {
    /// Its name.
    pub name: String,
    /// Host name or IP address, and port.
    pub address: String,
    /// Its zone.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
    /// Its machine kind.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Its cell (rack).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cell: Option<i64>,
    /// Capacity relative to other workers.
    #[serde(default = "default_one")]
    pub weight: f64,
    /// Whether it accepts calls.
    #[serde(default)]
    pub state: State,
}

/// The protocol between invoker and workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// The invoke API over HTTP.
    #[default]
    Http,
    /// Binary frames.
    Frames,
}

/// How a worker returns an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Style {
    /// In the response to the request that carried the call.
    #[default]
    Held,
    /// The invoker fetches it later.
    Deferred,
}

/// How the invoker communicates with workers.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transport {
    /// The protocol.
    #[serde(default)]
    pub protocol: Protocol,
    /// How answers are returned.
    #[serde(default)]
    pub style: Style,
    /// Whether workers load models only on a load order (frames only).
    #[serde(default)]
    pub orders: bool,
}

/// Limits of attempts and connections.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of attempts for a call.
    pub attempts: u32,
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_ms: f64,
    /// Maximum number of concurrent exchanges on a connection.
    pub streams: u32,
    /// Minimum time for which workers keep an idle copy, in milliseconds.
    pub keep_ms: f64,
    /// Maximum retry-after time sent to clients, in milliseconds.
    pub max_retry_after_ms: f64,
    /// Maximum body size of a worker's answer, in KiB. A call whose answer is stored reserves room for it until it is
    /// finished.
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
            answer_kb: MAX_ANSWER_KB,
        }
    }
}

/// Division of the memory between purposes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// Memory that the process takes by itself, in MB; measured at the start if not given.
    pub base_mb: Option<f64>,
    /// Part reserved for use that no account tracks, in percent.
    pub reserve_percent: f64,
    /// Shares of the purposes, in percent of the remaining memory; purposes not named divide what is left.
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
    /// Listen address for other nodes.
    pub listen: SocketAddr,
    /// Addresses of the other nodes.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Interval between two comparisons with a peer, in milliseconds; writes are sent immediately.
    #[serde(default = "default_interval_ms")]
    pub interval_ms: u64,
}

/// The effect of running a call of a class twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// None.
    Pure,
    /// Workers drop repeated calls with the same idempotency key.
    Token,
    /// Harmful side effects.
    SideEffect,
}

/// The group of workers within which repeated calls are dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All workers.
    All,
    /// The workers of a zone.
    Zone,
    /// The workers of a cell (rack).
    #[default]
    Cell,
}

/// A class of calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Target latency, in milliseconds.
    pub aim_ms: f64,
    /// Maximum time a client waits for an answer, in milliseconds.
    pub give_up_ms: f64,
    /// The effect of running a call twice.
    pub effect: Effect,
    /// The group of workers within which repeated calls are dropped.
    #[serde(default)]
    pub dedup_scope: Scope,
    /// How long they remember an idempotency key, in milliseconds.
    #[serde(default)]
    pub dedup_window_ms: f64,
    /// Value of a call answered in time, relative to other classes.
    #[serde(default = "default_one")]
    pub worth: f64,
    /// Fraction of that value for a late answer.
    #[serde(default)]
    pub late_worth: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Calls per second that count as within its share; 0 for no share.
    #[serde(default)]
    pub quota_per_s: f64,
}

/// A machine kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its memory, in MB.
    pub memory_mb: f64,
}

impl WorkerEntry {
    /// Resolves the address. Blocks, so it may be called only at the start, before the first coroutine runs.
    pub fn resolve(&self) -> Result<SocketAddr, ConfigError> {
        let unresolved = || {
            ConfigError::new(
                "worker.address",
                format!("can't resolve {:?} of worker {:?}", self.address, self.name),
            )
        };
        self.address.to_socket_addrs().ok().and_then(|mut found| found.next()).ok_or_else(unresolved)
    }
}

fn default_interval_ms() -> u64 {
    2000
}

fn default_one() -> f64 {
    1.0
}

fn default_lanes() -> u32 {
    1
}
