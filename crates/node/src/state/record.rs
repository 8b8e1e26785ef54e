//! Versioned records: the unit of the store, of the log and of replication between nodes.
//!
//! A value is kept as its serialized JSON text, shared between all copies of the record: a parsed JSON tree takes
//! several times the memory of its text, and the store needs the text for each comparison.
use super::keys::INVOCATION;
use crate::clock::UnixTime;
use corkbay_ledger::Purpose;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;
use std::cmp::Ordering;
use std::sync::Arc;

/// A value as JSON text. Equal values made by [`Text::of`] have equal texts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Text(Arc<str>);

impl Text {
    /// Serializes a value, with the fields of objects in alphabetical order.
    pub fn of(value: &impl Serialize) -> serde_json::Result<Self> {
        Ok(Text(serde_json::to_value(value)?.to_string().into()))
    }

    /// Deserializes the value.
    pub fn read<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_str(&self.0)
    }

    /// The JSON text.
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

/// One version of the value of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its key.
    pub key: Arc<str>,
    /// Whether this is the final version; a final record is never replaced by one that is not final.
    #[serde(rename = "final", default)]
    pub is_final: bool,
    /// Version number, increased by each write of the key.
    pub version: u64,
    /// The node that wrote it.
    pub node: Arc<str>,
    /// When the record expires and may be dropped; [`UnixTime::NONE`] for never.
    #[serde(default)]
    pub expires: UnixTime,
    /// The value; `None` for a tombstone of a deleted record.
    pub value: Option<Text>,
}

/// Identifies a version of a record without its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Whether the version is final.
    #[serde(rename = "final")]
    pub is_final: bool,
    /// Version number.
    pub version: u64,
    /// The node that wrote the version.
    pub node: Arc<str>,
    /// CRC-32 of its value and expiry time.
    pub check: u32,
}

/// Memory overhead of a record beside its texts, in bytes: the struct, its map entry including unused map capacity,
/// and the allocator headers of its allocations.
const OVERHEAD_BYTES: usize = 2 * std::mem::size_of::<Record>() + 3 * 32;

impl Record {
    /// The total order of the versions of one key: final versions are greater than all others; then compares the
    /// version number, the node name, the value and the expiry time.
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

    /// The JSON text of its value; empty for a tombstone.
    pub fn text(&self) -> &str {
        self.value.as_ref().map(Text::as_str).unwrap_or_default()
    }

    /// The memory purpose that the record is charged to.
    pub fn purpose(&self) -> Purpose {
        match (self.key.starts_with(INVOCATION), self.is_final) {
            (true, true) => Purpose::DeferredFinal,
            (true, false) => Purpose::DeferredOpen,
            (false, _) => Purpose::Catalog,
        }
    }

    /// Memory that the record takes, in bytes.
    pub fn size(&self) -> usize {
        Record::size_of(self.key.len(), self.text().len()) + self.node.len()
    }

    /// Memory that a record with a key and a value text of these lengths in bytes takes, without the name of its node, in
    /// bytes.
    pub fn size_of(key: usize, text: usize) -> usize {
        OVERHEAD_BYTES + key + text
    }

    /// Whether the record has expired at `now`.
    pub fn expired(&self, now: UnixTime) -> bool {
        !self.expires.is_none() && self.expires <= now
    }
}

#[cfg(test)]
mod tests;
