//! The replicated store: versioned records under keys, merged by taking the greater of two.
//!
//! The order of two records of a key is total: a final one is greater than any that is not, then the
//! version counts, then the node, then the value. The greater of two under a total order is the same in
//! whatever order and however often records arrive, so replicas that have seen the same records agree.
use super::log::{Log, LogError};
use crate::core::{lock, now_ms};
use corkbay::Ms;
use may::sync::{mpsc, Mutex};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Largest value, as text.
pub const MAX_VALUE: usize = 256 << 10;

/// Bytes of all records at which nothing new is taken.
const MOST_BYTES: usize = 64 << 20;
/// What a record costs beside its key and value, roughly.
const RECORD_COST: usize = 200;

/// One version of what stands under a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Where it stands.
    pub key: String,
    /// No later version may follow.
    #[serde(rename = "final", default)]
    pub is_final: bool,
    /// Counts the versions of the key.
    pub version: u64,
    /// The node that wrote it.
    pub node: String,
    /// It may be forgotten after this time; 0 for never.
    #[serde(default)]
    pub expires: Ms,
    /// What stands there; nothing for what was taken away.
    pub value: Option<Value>,
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
    pub node: String,
    /// A check over its value.
    pub check: u32,
}

impl Record {
    /// The total order of the versions of one key.
    pub fn order(&self, other: &Record) -> Ordering {
        let by_value = || self.text().cmp(&other.text()).then(self.expires.total_cmp(&other.expires));
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
        let check = crc32fast::hash(format!("{}{}", self.text(), self.expires).as_bytes());
        Stamp { is_final: self.is_final, version: self.version, node: self.node.clone(), check }
    }

    fn text(&self) -> String {
        self.value.as_ref().map(Value::to_string).unwrap_or_default()
    }

    fn size(&self) -> usize {
        RECORD_COST + self.key.len() + self.text().len()
    }

    fn expired(&self, now: Ms) -> bool {
        self.expires > 0.0 && self.expires <= now
    }
}

/// Why a write did not happen.
#[derive(Debug)]
pub enum StoreError {
    /// What stands there is final.
    Final,
    /// Another node alone may write there.
    Foreign(String),
    /// The value is larger than is kept.
    Large,
    /// The store holds as much as it may; what is there can still be changed.
    Full,
    /// It could not be made to last.
    Log(LogError),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Final => write!(f, "the record is final"),
            StoreError::Foreign(node) => write!(f, "only node {node} writes this record"),
            StoreError::Large => write!(f, "the value is larger than is kept"),
            StoreError::Full => write!(f, "the store is full"),
            StoreError::Log(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<LogError> for StoreError {
    fn from(error: LogError) -> Self {
        StoreError::Log(error)
    }
}

/// Who may write under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Writers {
    /// Any node; the last write stands.
    Any,
    /// The node that wrote the first version.
    First,
}

/// The records of one node.
pub struct Store {
    node: String,
    records: Mutex<BTreeMap<String, Record>>,
    /// Held from the decision to write until the write lasts and shows: nobody sees what a crash could
    /// take back, and no compaction misses a write.
    writing: Mutex<()>,
    listeners: Mutex<Vec<mpsc::Sender<Record>>>,
    /// Bytes of what stands, and the most at which something new is taken.
    bytes: AtomicUsize,
    most: usize,
    log: Option<Log>,
}

impl Store {
    /// A store in memory only.
    pub fn in_memory(node: &str) -> Self {
        Store {
            node: node.to_string(),
            records: Mutex::default(),
            writing: Mutex::new(()),
            listeners: Mutex::default(),
            bytes: AtomicUsize::new(0),
            most: MOST_BYTES,
            log: None,
        }
    }

    /// A store that lasts in a log, with the records that the log holds.
    pub fn with_log(node: &str, log: Log, kept: Vec<Record>) -> Self {
        let store = Store { log: Some(log), ..Store::in_memory(node) };
        kept.into_iter().for_each(|record| store.show(record));
        store
    }

    /// Has these told of each write of this node.
    pub fn on_write(&self, listeners: Vec<mpsc::Sender<Record>>) {
        *lock(&self.listeners) = listeners;
    }

    /// The name of this node.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// What stands under a key.
    pub fn get(&self, key: &str) -> Option<Record> {
        let now = now_ms();
        lock(&self.records).get(key).filter(|record| !record.expired(now)).cloned()
    }

    /// The records whose keys begin so, tombstones left out.
    pub fn under(&self, prefix: &str) -> Vec<Record> {
        let (records, now) = (lock(&self.records), now_ms());
        let range = records.range(prefix.to_string()..).take_while(|entry| entry.0.starts_with(prefix));
        let live = |record: &&Record| !record.expired(now) && record.value.is_some();
        range.map(|entry| entry.1).filter(live).cloned().collect()
    }

    /// Writes the next version under a key and returns once it lasts.
    pub fn put(
        &self,
        key: &str,
        value: Option<Value>,
        is_final: bool,
        expires: Ms,
        writers: Writers,
    ) -> Result<Record, StoreError> {
        let _writing = lock(&self.writing);
        let old = lock(&self.records).get(key).cloned();
        match &old {
            Some(old) if old.is_final => return Err(StoreError::Final),
            Some(old) if writers == Writers::First && old.node != self.node => {
                return Err(StoreError::Foreign(old.node.clone()));
            }
            _ => {}
        }
        if old.is_none() && self.bytes.load(Relaxed) >= self.most {
            return Err(StoreError::Full);
        }
        let version = old.map_or(0, |old| old.version) + 1;
        let record =
            Record { key: key.to_string(), is_final, version, node: self.node.clone(), expires, value };
        if record.text().len() > MAX_VALUE {
            return Err(StoreError::Large);
        }
        self.keep(std::slice::from_ref(&record))?;
        self.show(record.clone());
        lock(&self.listeners).iter().for_each(|listener| _ = listener.send(record.clone()));
        Ok(record)
    }

    /// Takes in what another node sent; returns what was news, once it lasts.
    pub fn merge(&self, incoming: Vec<Record>) -> Result<usize, StoreError> {
        let _writing = lock(&self.writing);
        let now = now_ms();
        let fresh: Vec<Record> = {
            let records = lock(&self.records);
            let news = |record: &Record| {
                let old = records.get(&record.key);
                old.is_none_or(|old| record.order(old) == Ordering::Greater)
                    && !record.expired(now)
                    && record.text().len() <= MAX_VALUE
            };
            incoming.into_iter().filter(news).collect()
        };
        self.keep(&fresh)?;
        let count = fresh.len();
        fresh.into_iter().for_each(|record| self.show(record));
        Ok(count)
    }

    /// The stamps of all records.
    pub fn digest(&self) -> BTreeMap<String, Stamp> {
        let (records, now) = (lock(&self.records), now_ms());
        let live = records.iter().filter(|entry| !entry.1.expired(now));
        live.map(|(key, record)| (key.clone(), record.stamp())).collect()
    }

    /// The records that a node with that digest lacks or has in another version.
    pub fn lacking(&self, digest: &BTreeMap<String, Stamp>) -> Vec<Record> {
        let (records, now) = (lock(&self.records), now_ms());
        let differs = |record: &&Record| digest.get(&record.key) != Some(&record.stamp());
        records.values().filter(|record| !record.expired(now)).filter(differs).cloned().collect()
    }

    /// Forgets what has expired and has the log hold no more than what stands.
    pub fn sweep(&self) -> Result<(), StoreError> {
        let _writing = lock(&self.writing);
        let now = now_ms();
        let live: Vec<Record> = {
            let mut records = lock(&self.records);
            records.retain(|_, record| {
                let kept = !record.expired(now);
                if !kept {
                    self.bytes.fetch_sub(record.size(), Relaxed);
                }
                kept
            });
            records.values().cloned().collect()
        };
        match &self.log {
            Some(log) => Ok(log.compact(live)?),
            None => Ok(()),
        }
    }

    /// Merges one record into what is seen.
    fn show(&self, record: Record) {
        let mut records = lock(&self.records);
        let merged = match records.remove(&record.key) {
            Some(old) => {
                self.bytes.fetch_sub(old.size(), Relaxed);
                old.merge(record)
            }
            None => record,
        };
        self.bytes.fetch_add(merged.size(), Relaxed);
        records.insert(merged.key.clone(), merged);
    }

    fn keep(&self, records: &[Record]) -> Result<(), StoreError> {
        match &self.log {
            Some(log) if !records.is_empty() => Ok(log.append(records)?),
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn record() -> impl Strategy<Value = Record> {
        (any::<bool>(), 0u64..4, "[ab]", 0u8..3, 0u8..3).prop_map(
            |(is_final, version, node, value, expires)| {
                let value = (value > 0).then(|| Value::from(value));
                Record { key: "k".into(), is_final, version, node, expires: f64::from(expires), value }
            },
        )
    }

    proptest! {
        /// Guards against replicas that differ for having heard the same in another order or twice.
        #[test]
        fn merge_is_commutative_associative_and_idempotent(a in record(), b in record(), c in record()) {
            let merge = |x: &Record, y: &Record| x.clone().merge(y.clone());
            prop_assert_eq!(merge(&a, &b), merge(&b, &a));
            prop_assert_eq!(merge(&merge(&a, &b), &c), merge(&a, &merge(&b, &c)));
            prop_assert_eq!(merge(&a, &a), a.clone());
        }

        /// Guards the one final answer: whatever arrives later, a final record gives way to no other
        /// that is not.
        #[test]
        fn final_is_final(records in proptest::collection::vec(record(), 1..8)) {
            let whole = records.iter().cloned().reduce(Record::merge).expect("some");
            prop_assert_eq!(whole.is_final, records.iter().any(|record| record.is_final));
        }

        #[test]
        fn nodes_that_swap_what_each_lacks_agree(left in proptest::collection::vec(record(), 0..6),
                                                 right in proptest::collection::vec(record(), 0..6)) {
            let (one, two) = (Store::in_memory("one"), Store::in_memory("two"));
            let lasting = |mut records: Vec<Record>| {
                records.iter_mut().for_each(|record| record.expires = 0.0);
                records
            };
            one.merge(lasting(left)).expect("in memory");
            two.merge(lasting(right)).expect("in memory");
            two.merge(one.lacking(&two.digest())).expect("in memory");
            one.merge(two.lacking(&one.digest())).expect("in memory");
            prop_assert_eq!(one.digest(), two.digest());
        }
    }

    #[test]
    fn a_record_with_one_writer_is_closed_to_others_and_once_final_to_all() {
        let (one, two) = (Store::in_memory("one"), Store::in_memory("two"));
        one.put("call/1", Some(1.into()), false, 0.0, Writers::First).expect("first");
        two.merge(one.lacking(&two.digest())).expect("in memory");
        let foreign = two.put("call/1", Some(2.into()), true, 0.0, Writers::First);
        assert!(matches!(foreign, Err(StoreError::Foreign(node)) if node == "one"));
        one.put("call/1", Some(3.into()), true, 0.0, Writers::First).expect("its writer");
        let late = one.put("call/1", Some(4.into()), true, 0.0, Writers::First);
        assert!(matches!(late, Err(StoreError::Final)));
    }

    /// Guards memory against clients that hand calls over faster than records expire: nothing new is
    /// taken, but what was accepted still reaches its end.
    #[test]
    fn a_full_store_takes_nothing_new_and_lets_the_old_end() {
        let store = Store { most: 500, ..Store::in_memory("one") };
        let put =
            |key: &str, is_final| store.put(key, Some("x".repeat(200).into()), is_final, 0.0, Writers::First);
        put("a", false).expect("room");
        put("b", false).expect("room");
        assert!(matches!(put("c", false), Err(StoreError::Full)));
        put("a", true).expect("an end");
        store
            .merge(vec![Record { expires: 1.0, is_final: true, version: 9, ..put("b", false).expect("old") }])
            .expect("merged");
    }

    #[test]
    fn what_has_expired_is_neither_told_nor_taken_back() {
        let (one, two) = (Store::in_memory("one"), Store::in_memory("two"));
        let old = one.put("a", Some(1.into()), false, now_ms() - 1.0, Writers::Any).expect("in memory");
        assert!(one.get("a").is_none() && one.digest().is_empty());
        assert_eq!(two.merge(vec![old]).expect("in memory"), 0);
    }
}
