//! The sections and entries of the deploy file.
use super::LARGEST_ANSWER_KB;
use crate::life::config::ConfigError;
use crate::memory::catalog::{Function, State};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{SocketAddr, ToSocketAddrs};

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
    /// Time between two comparisons with a peer in milliseconds; writes are pushed at once.
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

impl WorkerEntry {
    /// Its address, looked up if it names a host; only at the start, before the first coroutine runs.
    pub fn resolve(&self) -> Result<SocketAddr, ConfigError> {
        let unknown = || ConfigError::new("worker.address", format!("{:?} of {:?}", self.address, self.name));
        self.address.to_socket_addrs().ok().and_then(|mut found| found.next()).ok_or_else(unknown)
    }
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
