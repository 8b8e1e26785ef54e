//! The configured functions and workers in the store.
use super::hash::fnv1a;
use super::keys::{FUNCTION, WORKER};
use super::record::{Record, Text};
use super::roster::WorkerListing;
use super::store::{Draft, Store, StoreError};
use crate::clock::UnixTime;
use crate::core::Invoker;
use corkbay::{ModelId, Ms, WorkerState};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Upper bound of the ids of functions, exclusive.
const MODEL_ID_LIMIT: u64 = 1 << 40;

/// The configuration of a function.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Function {
    /// Class of its calls.
    pub class: String,
    /// Name of its tenant; empty if no tenants are configured.
    #[serde(default)]
    pub tenant: String,
    /// Memory of one loaded copy, in MB.
    #[serde(default)]
    pub memory_mb: f64,
    /// Maximum number of concurrent calls in one copy.
    #[serde(default = "one")]
    pub lanes: u32,
    /// Approximate CPU time of a call, in milliseconds.
    pub cost_ms: Option<f64>,
}

fn one() -> u32 {
    1
}

impl Function {
    /// The model id of the function with this name: its FNV-1a hash modulo the id range.
    pub fn model(&self, name: &str) -> ModelId {
        ModelId(fnv1a(name.as_bytes()) % MODEL_ID_LIMIT)
    }
}

/// The administrative state of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts work.
    #[default]
    Up,
    /// Finishes its work and accepts no more.
    Draining,
    /// Removed from service.
    Removed,
}

/// The configuration of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Address it listens on.
    pub address: SocketAddr,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Name of its machine kind.
    #[serde(default)]
    pub kind: String,
    /// Number of its cell (rack); without one, or with a negative one, its cell is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cell: Option<i64>,
    /// Capacity relative to other workers; 1.0 is nominal.
    #[serde(default = "nominal")]
    pub weight: f64,
    /// Administrative state.
    #[serde(default)]
    pub state: State,
}

fn nominal() -> f64 {
    1.0
}

/// Why a change of the catalog failed.
#[derive(Debug)]
pub enum CatalogError {
    /// The value is invalid.
    Value(String),
    /// The store rejected the write.
    Store(StoreError),
}

impl fmt::Display for CatalogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CatalogError::Value(what) => write!(f, "{what}"),
            CatalogError::Store(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for CatalogError {}

impl From<StoreError> for CatalogError {
    fn from(error: StoreError) -> Self {
        CatalogError::Store(error)
    }
}

/// Access to the functions and workers in the store.
pub struct Catalog {
    store: Arc<Store>,
    give_up: Vec<Ms>,
}

impl Catalog {
    /// A catalog in `store`; `give_up` is the maximum duration of a call of each class, in milliseconds.
    pub fn new(store: Arc<Store>, give_up: Vec<Ms>) -> Self {
        Catalog { store, give_up }
    }

    /// The name of this node.
    pub fn node(&self) -> &str {
        self.store.node()
    }

    pub(super) fn store(&self) -> &Store {
        &self.store
    }

    /// Maximum duration of a call of this class, in milliseconds.
    pub fn give_up(&self, class: usize) -> Ms {
        self.give_up.get(class).copied().unwrap_or(1000.0)
    }

    /// The function with this name.
    pub fn function(&self, name: &str) -> Option<Function> {
        self.store.get(&format!("{FUNCTION}{name}"))?.value?.read().ok()
    }

    /// All functions by name, to be written as a JSON object.
    pub fn functions(&self) -> Object {
        Object { records: self.store.records_with_prefix(FUNCTION), prefix_bytes: FUNCTION.len() }
    }

    /// All workers by name, to be written as a JSON object.
    pub fn listed_workers(&self) -> Object {
        Object { records: self.store.records_with_prefix(WORKER), prefix_bytes: WORKER.len() }
    }

    /// The worker with this name.
    pub fn worker(&self, name: &str) -> Option<Worker> {
        self.store.get(&format!("{WORKER}{name}"))?.value?.read().ok()
    }

    /// All workers by name.
    pub fn workers(&self) -> BTreeMap<String, Worker> {
        self.all(WORKER)
    }

    /// Adds or changes a function.
    pub fn put_function(&self, name: &str, function: &Function) -> Result<(), CatalogError> {
        check_name(name)?;
        if function.lanes == 0 || !function.memory_mb.is_finite() || function.memory_mb < 0.0 {
            return Err(CatalogError::Value("lanes and memory_mb: out of range".into()));
        }
        self.put(&format!("{FUNCTION}{name}"), Text::of(function).ok(), false)
    }

    /// Adds or changes a worker.
    pub fn put_worker(&self, name: &str, worker: &Worker) -> Result<(), CatalogError> {
        check_name(name)?;
        if !worker.weight.is_finite() || worker.weight <= 0.0 {
            return Err(CatalogError::Value("weight: not above 0".into()));
        }
        // Draining or removing a worker must work even if the account is full.
        self.put(&format!("{WORKER}{name}"), Text::of(worker).ok(), worker.state != State::Up)
    }

    /// Removes a function.
    pub fn remove_function(&self, name: &str) -> Result<(), CatalogError> {
        self.put(&format!("{FUNCTION}{name}"), None, true)
    }

    /// Removes a worker.
    pub fn remove_worker(&self, name: &str) -> Result<(), CatalogError> {
        self.put(&format!("{WORKER}{name}"), None, true)
    }

    /// Passes the complete list of workers to the invoker.
    pub fn announce(&self, invoker: &Arc<Invoker>) {
        let listings = self.workers().into_iter().map(|(name, worker)| listing(name, worker));
        invoker.update_roster(listings.collect(), true, false);
    }

    /// Passes one added or changed worker to the invoker.
    pub fn announce_worker(&self, invoker: &Arc<Invoker>, name: &str) {
        match self.worker(name) {
            Some(worker) => invoker.update_roster(vec![listing(name.to_string(), worker)], false, false),
            // Removed in the meantime.
            None => self.announce(invoker),
        }
    }

    fn put(&self, key: &str, value: Option<Text>, may_exceed_cap: bool) -> Result<(), CatalogError> {
        self.store.put(&mut Draft { may_exceed_cap, ..Draft::new(key, value) })?;
        Ok(())
    }

    fn all<T: DeserializeOwned>(&self, prefix: &str) -> BTreeMap<String, T> {
        let records = self.store.records_with_prefix(prefix).into_iter();
        let entry = |record: Record| {
            let name = record.key.strip_prefix(prefix)?.to_string();
            Some((name, record.value?.read().ok()?))
        };
        records.filter_map(entry).collect()
    }
}

fn listing(name: String, worker: Worker) -> WorkerListing {
    WorkerListing {
        name,
        address: worker.address,
        zone: worker.zone,
        kind: worker.kind,
        cell: worker.cell,
        state: match worker.state {
            State::Up => WorkerState::Ready,
            State::Draining => WorkerState::Draining,
            State::Removed => WorkerState::Removed,
        },
        weight: worker.weight,
        since: UnixTime::NONE,
        last_contact_without_report: Ms::NEG_INFINITY,
    }
}

/// Entries of the catalog that are to be written as one JSON object. They share their contents with the store until the
/// text is built, which takes another [`Object::size`] bytes.
pub struct Object {
    records: Vec<Record>,
    prefix_bytes: usize,
}

impl Object {
    /// An upper bound of the length of the text, in bytes.
    pub fn size(&self) -> usize {
        let entry = |record: &Record| record.key.len() + record.text().len() + 4;
        2 + self.records.iter().map(entry).sum::<usize>()
    }

    /// The JSON text. Names need no escaping: they contain only letters, digits and -_.: characters.
    pub fn into_text(self) -> Vec<u8> {
        let mut text = Vec::with_capacity(self.size());
        for (index, record) in self.records.iter().enumerate() {
            text.extend_from_slice(if index == 0 { b"{\"" } else { b",\"" });
            text.extend_from_slice(&record.key.as_bytes()[self.prefix_bytes..]);
            text.extend_from_slice(b"\":");
            text.extend_from_slice(record.text().as_bytes());
        }
        text.extend_from_slice(if self.records.is_empty() { b"{}" } else { b"}" });
        text
    }
}

/// Checks that a name can be used in URL paths and on the wire: letters, digits and -_.: characters, 1 to 100 bytes.
pub fn check_name(name: &str) -> Result<(), CatalogError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if name.is_empty() || name.len() > 100 || !name.bytes().all(is_allowed) {
        return Err(CatalogError::Value(format!("{name:?} is no name of letters, digits and -_.:")));
    }
    Ok(())
}
