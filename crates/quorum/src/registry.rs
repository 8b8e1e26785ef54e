//! What is agreed on: records by key, and leases.
use corkbay_tenure::{Book, Command, Owner, Reply, Stale, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change that the nodes agree on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Another value for a key; none removes it.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Option<String>,
    },
    /// The same on behalf of the fleet, by the holder of a name: refused once its term is over.
    PutUnder {
        /// The name.
        name: String,
        /// Its holder.
        owner: Owner,
        /// The holder's term.
        term: Term,
        /// The key.
        key: String,
        /// The value.
        value: Option<String>,
    },
    /// A change of leases.
    Lease(Command),
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// It was made.
    Done,
    /// It was not made: the term is over.
    Stale(Stale),
    /// What the leases say.
    Lease(Reply),
}

/// The agreed state; a pure function of the changes in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    records: BTreeMap<String, String>,
    leases: Book,
}

impl Registry {
    /// Makes a change.
    pub fn apply(&mut self, change: Change) -> Answer {
        match change {
            Change::Put { key, value } => self.put(key, value),
            Change::PutUnder { name, owner, term, key, value } => {
                match self.leases.admits(&name, owner, term) {
                    Ok(()) => self.put(key, value),
                    Err(stale) => Answer::Stale(stale),
                }
            }
            Change::Lease(command) => Answer::Lease(self.leases.apply(&command)),
        }
    }

    #[cfg(feature = "planted")]
    pub(crate) fn apply_unfenced(&mut self, change: Change) -> Answer {
        match change {
            Change::PutUnder { key, value, .. } => self.put(key, value),
            other => self.apply(other),
        }
    }

    fn put(&mut self, key: String, value: Option<String>) -> Answer {
        match value {
            Some(value) => _ = self.records.insert(key, value),
            None => _ = self.records.remove(&key),
        }
        Answer::Done
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.records.get(key).map(String::as_str)
    }

    /// All records, by key.
    pub fn records(&self) -> impl Iterator<Item = (&str, &str)> {
        self.records.iter().map(|(key, value)| (key.as_str(), value.as_str()))
    }

    /// The leases.
    pub fn leases(&self) -> &Book {
        &self.leases
    }
}
