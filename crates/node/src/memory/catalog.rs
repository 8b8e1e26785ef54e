//! The functions and workers that the store holds as configuration.
use super::roster::Listing;
use super::store::{Store, StoreError, Writers};
use crate::core::Invoker;
use corkbay::{ModelId, Ms, Standing};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use serde_json::Value;
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
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        ModelId(hash % MODELS)
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

    /// The longest time of a class.
    pub fn give_up(&self, class: usize) -> Ms {
        self.give_up.get(class).copied().unwrap_or(1000.0)
    }

    /// A function.
    pub fn function(&self, name: &str) -> Option<Function> {
        let value = self.store.get(&format!("function/{name}"))?.value?;
        serde_json::from_value(value).ok()
    }

    /// All functions by name.
    pub fn functions(&self) -> BTreeMap<String, Function> {
        self.all("function/")
    }

    /// All workers by name.
    pub fn workers(&self) -> BTreeMap<String, Worker> {
        self.all("worker/")
    }

    /// Adds or changes a function.
    pub fn put_function(&self, name: &str, function: &Function) -> Result<(), CatalogError> {
        check_name(name)?;
        if function.lanes == 0 || !function.memory_mb.is_finite() || function.memory_mb < 0.0 {
            return Err(CatalogError::Value("lanes and memory_mb: out of range".into()));
        }
        self.put(&format!("function/{name}"), serde_json::to_value(function).ok())
    }

    /// Adds or changes a worker.
    pub fn put_worker(&self, name: &str, worker: &Worker) -> Result<(), CatalogError> {
        check_name(name)?;
        if !worker.weight.is_finite() || worker.weight <= 0.0 {
            return Err(CatalogError::Value("weight: not above 0".into()));
        }
        self.put(&format!("worker/{name}"), serde_json::to_value(worker).ok())
    }

    /// Takes a function away.
    pub fn remove_function(&self, name: &str) -> Result<(), CatalogError> {
        self.put(&format!("function/{name}"), None)
    }

    /// Takes a worker away.
    pub fn remove_worker(&self, name: &str) -> Result<(), CatalogError> {
        self.put(&format!("worker/{name}"), None)
    }

    /// Writes an entry of the deploy file, unless the file said the same when it was last read here:
    /// so the file's changes take effect, and what was changed by API since stays changed.
    pub fn seed(&self, key: &str, value: &Value) -> Result<(), CatalogError> {
        let seen = format!("seed/{}/{key}", self.node());
        if self.store.get(&seen).and_then(|record| record.value).as_ref() == Some(value) {
            return Ok(());
        }
        self.put(key, Some(value.clone()))?;
        self.put(&seen, Some(value.clone()))
    }

    /// Tells the decisions which workers there are.
    pub fn announce(&self, invoker: &Arc<Invoker>) {
        let listing = |(name, worker): (String, Worker)| Listing {
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
            born: 0.0,
        };
        invoker.news(self.workers().into_iter().map(listing).collect(), true, false);
    }

    fn put(&self, key: &str, value: Option<Value>) -> Result<(), CatalogError> {
        self.store.put(key, value, false, 0.0, Writers::Any)?;
        Ok(())
    }

    fn all<T: DeserializeOwned>(&self, prefix: &str) -> BTreeMap<String, T> {
        let records = self.store.under(prefix).into_iter();
        let entry = |record: super::store::Record| {
            let name = record.key.strip_prefix(prefix)?.to_string();
            Some((name, serde_json::from_value(record.value?).ok()?))
        };
        records.filter_map(entry).collect()
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
