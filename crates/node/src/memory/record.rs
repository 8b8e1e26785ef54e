//! Versioned records: what the store holds, the log keeps and nodes swap.
//!
//! A value is held as the JSON text that it is written as, shared by all who hold the record: a tree of
//! values takes several times the memory of its text, and the store needs the text for every comparison.
use super::keys::INVOCATION;
use crate::clock::UnixTime;
use corkbay_ledger::Purpose;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;
use std::cmp::Ordering;
use std::sync::Arc;

/// A value as JSON text, the same for equal values.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Text(Arc<str>);

impl Text {
    /// The text of a value, its fields in the order of their names.
    pub fn of(value: &impl Serialize) -> serde_json::Result<Self> {
        Ok(Text(serde_json::to_value(value)?.to_string().into()))
    }

    /// The value.
    pub fn read<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_str(&self.0)
    }

    /// The text itself.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Serialize for Text {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let raw: &RawValue = serde_json::from_str(&self.0).map_err(serde::ser::Error::custom)?;
        raw.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Text {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let raw = Box::<RawValue>::deserialize(deserializer)?;
        Ok(Text(raw.get().into()))
    }
}

/// One version of what stands under a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Where it stands.
    pub key: Arc<str>,
    /// No later version may follow.
    #[serde(rename = "final", default)]
    pub is_final: bool,
    /// Counts the versions of the key.
    pub version: u64,
    /// The node that wrote it.
    pub node: Arc<str>,
    /// It may be forgotten after this time, or never.
    #[serde(default)]
    pub expires: UnixTime,
    /// What stands there; nothing for what was taken away.
    pub value: Option<Text>,
}

/// What tells a record from other versions without its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Whether it is final.
    #[serde(rename = "final")]
    pub is_final: bool,
    /// Its version.
    pub version: u64,
    /// Its writer.
    pub node: Arc<str>,
    /// A check over its value.
    pub check: u32,
}

/// What a record costs beside its texts: itself, its place in the map with the room that such maps leave
/// free, and the heads of its allocations.
const COST: usize = 2 * std::mem::size_of::<Record>() + 3 * 32;

impl Record {
    /// The total order of the versions of one key: a final one is greater than any that is not, then the
    /// version counts, then the node, then the value.
    pub fn order(&self, other: &Record) -> Ordering {
        let by_value =
            || self.text().cmp(other.text()).then(self.expires.as_ms().total_cmp(&other.expires.as_ms()));
        (self.is_final, self.version, &self.node)
            .cmp(&(other.is_final, other.version, &other.node))
            .then_with(by_value)
    }

    /// The greater of two versions of one key.
    pub fn merge(self, other: Record) -> Record {
        if other.order(&self) == Ordering::Greater {
            other
        } else {
            self
        }
    }

    /// Its stamp.
    pub fn stamp(&self) -> Stamp {
        let check = crc32fast::hash(format!("{}{}", self.text(), self.expires.as_ms()).as_bytes());
        Stamp { is_final: self.is_final, version: self.version, node: self.node.clone(), check }
    }

    /// The text of its value.
    pub fn text(&self) -> &str {
        self.value.as_ref().map(Text::as_str).unwrap_or_default()
    }

    /// What it is kept for.
    pub fn purpose(&self) -> Purpose {
        match (self.key.starts_with(INVOCATION), self.is_final) {
            (true, true) => Purpose::DeferredFinal,
            (true, false) => Purpose::DeferredOpen,
            (false, _) => Purpose::Catalog,
        }
    }

    /// What it takes in memory, in bytes.
    pub fn size(&self) -> usize {
        Record::size_of(self.key.len(), self.text().len()) + self.node.len()
    }

    /// What a record with a key and a value of these lengths takes, the name of its node aside.
    pub fn size_of(key: usize, text: usize) -> usize {
        COST + key + text
    }

    /// Whether it may be forgotten by then.
    pub fn expired(&self, now: UnixTime) -> bool {
        !self.expires.is_none() && self.expires <= now
    }
}

#[cfg(test)]
mod tests;
