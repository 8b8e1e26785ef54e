//! The functions and workers that the store holds as configuration.
use super::hash::fnv1a;
use super::keys::{FUNCTION, WORKER};
use super::record::{Record, Text};
use super::roster::Listing;
use super::store::{Draft, Store, StoreError};
use crate::clock::UnixTime;
use crate::core::Invoker;
use corkbay::{ModelId, Ms, Standing};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Functions have ids below this.
const MODELS: u64 = 1 << 40;

/// A function that can be invoked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Function {
    /// Its class.
    pub class: String,
    /// Its tenant, where there are tenants.
    #[serde(default)]
    pub tenant: String,
    /// Memory of one copy, MB.
    #[serde(default)]
    pub memory_mb: f64,
    /// Calls at a time in one copy.
    #[serde(default = "one")]
    pub lanes: u32,
    /// Rough core time of a call, milliseconds.
    pub cost_ms: Option<f64>,
}

fn one() -> u32 {
    1
}

impl Function {
    /// The number under which the decisions know the function of that name: FNV-1a, cut to the range.
    pub fn model(&self, name: &str) -> ModelId {
        ModelId(fnv1a(name.as_bytes()) % MODELS)
    }
}

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It does.
    #[default]
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Removed,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its machine kind.
    #[serde(default)]
    pub kind: String,
    /// Its rack.
    #[serde(default)]
    pub cell: i64,
    /// Size in relation to the others.
    #[serde(default = "nominal")]
    pub weight: f64,
    /// Whether it takes work.
    #[serde(default)]
    pub state: State,
}

fn nominal() -> f64 {
    1.0
}

/// Why a change did not happen.
#[derive(Debug)]
pub enum CatalogError {
    /// The value can't stand.
    Value(String),
    /// The store did not take it.
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

/// The configuration in the store.
pub struct Catalog {
    store: Arc<Store>,
    give_up: Vec<Ms>,
}

impl Catalog {
    /// The catalog in a store, with the longest time of each class.
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

    /// The longest time of a class.
    pub fn give_up(&self, class: usize) -> Ms {
        self.give_up.get(class).copied().unwrap_or(1000.0)
    }

    /// A function.
    pub fn function(&self, name: &str) -> Option<Function> {
        self.store.get(&format!("{FUNCTION}{name}"))?.value?.read().ok()
    }

    /// All functions as a JSON object, by name.
    pub fn functions(&self) -> Object {
        Object { records: self.store.under(FUNCTION), prefix: FUNCTION.len() }
    }

    /// All workers as a JSON object, by name.
    pub fn listed_workers(&self) -> Object {
        Object { records: self.store.under(WORKER), prefix: WORKER.len() }
    }

    /// A worker.
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
        // Whatever is full, a worker can be told to take nothing more.
        self.put(&format!("{WORKER}{name}"), Text::of(worker).ok(), worker.state != State::Up)
    }

    /// Takes a function away.
    pub fn remove_function(&self, name: &str) -> Result<(), CatalogError> {
        self.put(&format!("{FUNCTION}{name}"), None, true)
    }

    /// Takes a worker away.
    pub fn remove_worker(&self, name: &str) -> Result<(), CatalogError> {
        self.put(&format!("{WORKER}{name}"), None, true)
    }

    /// Tells the decisions which workers there are.
    pub fn announce(&self, invoker: &Arc<Invoker>) {
        let listings = self.workers().into_iter().map(|(name, worker)| listing(name, worker));
        invoker.news(listings.collect(), true, false);
    }

    /// Tells the decisions of one worker that was added or changed.
    pub fn announce_worker(&self, invoker: &Arc<Invoker>, name: &str) {
        match self.worker(name) {
            Some(worker) => invoker.news(vec![listing(name.to_string(), worker)], false, false),
            // Taken away meanwhile.
            None => self.announce(invoker),
        }
    }

    fn put(&self, key: &str, value: Option<Text>, owed: bool) -> Result<(), CatalogError> {
        self.store.put(&mut Draft { owed, ..Draft::new(key, value) })?;
        Ok(())
    }

    fn all<T: DeserializeOwned>(&self, prefix: &str) -> BTreeMap<String, T> {
        let records = self.store.under(prefix).into_iter();
        let entry = |record: Record| {
            let name = record.key.strip_prefix(prefix)?.to_string();
            Some((name, record.value?.read().ok()?))
        };
        records.filter_map(entry).collect()
    }
}

fn listing(name: String, worker: Worker) -> Listing {
    Listing {
        name,
        address: worker.address,
        zone: worker.zone,
        kind: worker.kind,
        cell: worker.cell,
        standing: match worker.state {
            State::Up => Standing::Ready,
            State::Draining => Standing::Draining,
            State::Removed => Standing::Gone,
        },
        weight: worker.weight,
        since: UnixTime::NONE,
        heard_without: Ms::NEG_INFINITY,
    }
}

/// Entries on their way out as one JSON object. They share what they hold with the store until the text is
/// made, which takes [`Object::size`] more.
pub struct Object {
    records: Vec<Record>,
    prefix: usize,
}

impl Object {
    /// The length of the text, in bytes, or a little more.
    pub fn size(&self) -> usize {
        let entry = |record: &Record| record.key.len() + record.text().len() + 4;
        2 + self.records.iter().map(entry).sum::<usize>()
    }

    /// The text. Names need no quoting: they hold letters, digits and -_.: only.
    pub fn into_text(self) -> Vec<u8> {
        let mut text = Vec::with_capacity(self.size());
        for (place, record) in self.records.iter().enumerate() {
            text.extend_from_slice(if place == 0 { b"{\"" } else { b",\"" });
            text.extend_from_slice(&record.key.as_bytes()[self.prefix..]);
            text.extend_from_slice(b"\":");
            text.extend_from_slice(record.text().as_bytes());
        }
        text.extend_from_slice(if self.records.is_empty() { b"{}" } else { b"}" });
        text
    }
}

/// A name that can stand in a path and on the wire.
pub fn check_name(name: &str) -> Result<(), CatalogError> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if name.is_empty() || name.len() > 100 || !name.bytes().all(plain) {
        return Err(CatalogError::Value(format!("{name:?} is no name of letters, digits and -_.:")));
    }
    Ok(())
}
