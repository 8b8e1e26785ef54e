//! The replicated store: versioned records under keys, merged by taking the greater of two.
//!
//! The greater of two under a total order is the same in whatever order and however often records arrive, so
//! replicas that have seen the same records agree. Each record is accounted for what it is kept for, before
//! it is kept.
use super::log::{Log, LogError};
use super::record::{Record, Stamp, Text};
use crate::core::{lock, now_ms};
use corkbay::Ms;
use corkbay_ledger::pressure::{decide, Case, Decision};
use corkbay_ledger::{Full, Ledger, Purpose, Reservation};
use may::sync::{mpsc, Mutex};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// Largest value, as text.
pub const MAX_VALUE: usize = 256 << 10;
/// Records that are written to a new log at a time.
const PAGE: usize = 64;
/// Least time between two looks for expired records that make room, in milliseconds.
const LOOK_MS: Ms = 1000.0;

/// Why a write did not happen.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// What stands there is final.
    #[error("the record is final")]
    Final,
    /// Another node alone may write there.
    #[error("only node {0} writes this record")]
    Foreign(Arc<str>),
    /// The value is larger than is kept.
    #[error("the value is larger than is kept")]
    Large,
    /// There is no room for it; what is there can still end.
    #[error("there is no room: {full}")]
    Full {
        /// What was full.
        full: Full,
        /// When to come again, in milliseconds; `None` where that is of no use.
        retry_after: Option<Ms>,
    },
    /// It could not be made to last.
    #[error(transparent)]
    Log(#[from] LogError),
}

/// Who may write under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Writers {
    /// Any node; the last write stands.
    Any,
    /// The node that wrote the first version.
    First,
}

/// A version that is to be written.
pub struct Draft<'a> {
    /// Where it is to stand.
    pub key: &'a str,
    /// What is to stand there; nothing to take away what does.
    pub value: Option<Text>,
    /// No later version may follow.
    pub is_final: bool,
    /// It may be forgotten after this time; 0 for never.
    pub expires: Ms,
    /// Who may write there.
    pub writers: Writers,
    /// What was reserved for it before.
    pub held: Option<Reservation>,
    /// It is kept whatever is full: a worker that is drained, say.
    pub owed: bool,
}

impl<'a> Draft<'a> {
    /// Anybody's next version, for as long as nobody writes another.
    pub fn new(key: &'a str, value: Option<Text>) -> Self {
        let (writers, held) = (Writers::Any, None);
        Draft { key, value, is_final: false, expires: 0.0, writers, held, owed: false }
    }
}

/// A record with what is reserved for it.
struct Kept {
    record: Record,
    _held: Reservation,
}

/// The records of one node.
pub struct Store {
    node: Arc<str>,
    ledger: Arc<Ledger>,
    records: Mutex<BTreeMap<Arc<str>, Kept>>,
    /// Held from the decision to write until the write lasts and shows: nobody sees what a crash could
    /// take back, and no new log misses a write.
    writing: Mutex<Upkeep>,
    listeners: Mutex<Vec<mpsc::Sender<Record>>>,
    log: Option<Log>,
}

#[derive(Default)]
struct Upkeep {
    /// When the next record expires, as far as known; 0 where none does.
    soonest: Ms,
    /// When expired records were last looked for because something was full.
    looked: Ms,
    /// No tombstone of a later version was dropped: new keys begin behind it, so that a record that the
    /// log still holds from before is no match for them.
    floor: u64,
}

impl Upkeep {
    fn expires(&mut self, at: Ms) {
        if at > 0.0 && (self.soonest == 0.0 || at < self.soonest) {
            self.soonest = at;
        }
    }
}

impl Store {
    /// A store in memory only.
    pub fn in_memory(node: &str, ledger: Arc<Ledger>) -> Self {
        Store {
            node: node.into(),
            ledger,
            records: Mutex::default(),
            writing: Mutex::default(),
            listeners: Mutex::default(),
            log: None,
        }
    }

    /// A store that lasts in the log of a folder. What the log holds is owed already, whatever fits.
    pub fn open(node: &str, folder: &std::path::Path, ledger: Arc<Ledger>) -> Result<Self, LogError> {
        let mut store = Store::in_memory(node, ledger);
        let queued = store.ledger.account(Purpose::Log).clone();
        store.log = Some(Log::open(folder, queued, |record| {
            let held = store.ledger.owe(record.purpose(), record.size());
            lock(&store.writing).expires(record.expires);
            store.show(record, held);
        })?);
        Ok(store)
    }

    /// Has these told of each write of this node.
    pub fn on_write(&self, listeners: Vec<mpsc::Sender<Record>>) {
        *lock(&self.listeners) = listeners;
    }

    /// The name of this node.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// The accounts that records count in.
    pub fn ledger(&self) -> &Arc<Ledger> {
        &self.ledger
    }

    /// What stands under a key.
    pub fn get(&self, key: &str) -> Option<Record> {
        let (records, now) = (lock(&self.records), now_ms());
        records.get(key).map(|kept| &kept.record).filter(|record| !record.expired(now)).cloned()
    }

    /// The records whose keys begin so, tombstones left out. They share what they hold with the store.
    pub fn under(&self, prefix: &str) -> Vec<Record> {
        let (records, now) = (lock(&self.records), now_ms());
        let range = records.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let range = range.take_while(|entry| entry.0.starts_with(prefix)).map(|entry| &entry.1.record);
        range.filter(|record| !record.expired(now) && record.value.is_some()).cloned().collect()
    }

    /// Writes the next version under a key and returns once it lasts.
    pub fn put(&self, draft: &mut Draft) -> Result<Record, StoreError> {
        let mut upkeep = lock(&self.writing);
        let old = lock(&self.records).get(draft.key).map(|kept| kept.record.clone());
        match &old {
            Some(old) if old.is_final => return Err(StoreError::Final),
            Some(old) if draft.writers == Writers::First && old.node != self.node => {
                return Err(StoreError::Foreign(old.node.clone()));
            }
            _ => {}
        }
        let record = Record {
            key: old.as_ref().map_or_else(|| draft.key.into(), |old| old.key.clone()),
            is_final: draft.is_final,
            version: old.as_ref().map_or(upkeep.floor, |old| old.version) + 1,
            node: self.node.clone(),
            expires: draft.expires,
            value: draft.value.clone(),
        };
        if record.text().len() > MAX_VALUE {
            return Err(StoreError::Large);
        }
        let (purpose, size) = (record.purpose(), record.size());
        let fresh = match &mut draft.held {
            Some(held) => {
                self.settle(&mut upkeep, purpose, || held.resize(size))?;
                None
            }
            // A change that wants no more than what stands there is taken whatever is full.
            None if old.is_some_and(|old| draft.owed || size <= old.size()) => {
                Some(self.ledger.owe(purpose, size))
            }
            None => Some(self.settle(&mut upkeep, purpose, || self.ledger.reserve(purpose, None, size))?),
        };
        self.keep(std::slice::from_ref(&record))?;
        let held = draft.held.take().or(fresh).unwrap_or_else(|| self.ledger.owe(purpose, size));
        upkeep.expires(record.expires);
        self.show(record.clone(), held);
        lock(&self.listeners).iter().for_each(|listener| _ = listener.send(record.clone()));
        Ok(record)
    }

    /// Reserves for what is to be kept for a tenant.
    pub fn reserve(
        &self,
        purpose: Purpose,
        tenant: Option<usize>,
        bytes: usize,
    ) -> Result<Reservation, StoreError> {
        let mut upkeep = lock(&self.writing);
        self.settle(&mut upkeep, purpose, || self.ledger.reserve(purpose, tenant, bytes))
    }

    /// Reserves; where there is no room, records past their use make some.
    fn settle<T>(
        &self,
        upkeep: &mut Upkeep,
        purpose: Purpose,
        mut reserve: impl FnMut() -> Result<T, Full>,
    ) -> Result<T, StoreError> {
        let now = now_ms();
        let full = match reserve() {
            Ok(held) => return Ok(held),
            Err(full) => full,
        };
        if upkeep.soonest > 0.0 && upkeep.soonest <= now && now - upkeep.looked >= LOOK_MS {
            upkeep.looked = now;
            self.forget_expired(upkeep, now);
            if let Ok(held) = reserve() {
                return Ok(held);
            }
        }
        let frees_in = (upkeep.soonest > 0.0).then_some(upkeep.soonest - now);
        Err(refuse(purpose, full, frees_in))
    }

    /// Takes in what another node sent; returns what was news, once it lasts. What there is no room for is
    /// left out, and comes again.
    pub fn merge(&self, incoming: Vec<Record>) -> Result<usize, StoreError> {
        let mut upkeep = lock(&self.writing);
        let now = now_ms();
        let mut fresh: Vec<(Record, Reservation)> = Vec::new();
        let mut left_out = 0;
        for record in incoming {
            let known = {
                let records = lock(&self.records);
                let old = records.get(&record.key).map(|kept| &kept.record);
                let news = old.is_none_or(|old| record.order(old) == Ordering::Greater);
                if !news || record.expired(now) || record.text().len() > MAX_VALUE {
                    continue;
                }
                old.is_some()
            };
            // What is known already may change, above all where a worker drains.
            let held = match known {
                true => Ok(self.ledger.owe(record.purpose(), record.size())),
                false => self.ledger.reserve(record.purpose(), None, record.size()),
            };
            match held {
                Ok(held) => fresh.push((record, held)),
                Err(_) => left_out += 1,
            }
        }
        if left_out > 0 {
            tracing::warn!(left_out, "replication: there is no room for records of a peer");
        }
        for page in fresh.chunks(PAGE) {
            self.keep(&page.iter().map(|fresh| fresh.0.clone()).collect::<Vec<_>>())?;
        }
        let count = fresh.len();
        for (record, held) in fresh {
            upkeep.expires(record.expires);
            self.show(record, held);
        }
        Ok(count)
    }

    /// The stamps of all records.
    pub fn digest(&self) -> BTreeMap<Arc<str>, Stamp> {
        let (records, now) = (lock(&self.records), now_ms());
        let live = records.values().map(|kept| &kept.record).filter(|record| !record.expired(now));
        live.map(|record| (record.key.clone(), record.stamp())).collect()
    }

    /// The records that a node with that digest lacks or has in another version, up to so many bytes of
    /// them: the rest comes with its next digest.
    pub fn lacking(&self, digest: &BTreeMap<Arc<str>, Stamp>, most: usize) -> Vec<Record> {
        let (records, now) = (lock(&self.records), now_ms());
        let live = records.values().map(|kept| &kept.record).filter(|record| !record.expired(now));
        let mut left = most;
        let differing = live.filter(|record| digest.get(&record.key) != Some(&record.stamp()));
        let fits = |record: &&Record| {
            left = left.saturating_sub(record.size());
            left > 0
        };
        differing.take_while(fits).cloned().collect()
    }

    /// Forgets what has expired and has the log hold no more than what stands.
    pub fn sweep(&self) -> Result<(), StoreError> {
        let mut upkeep = lock(&self.writing);
        self.forget_expired(&mut upkeep, now_ms());
        let Some(log) = &self.log else { return Ok(()) };
        let live = lock(&self.records).values().map(|kept| kept.record.size()).sum();
        if !log.is_worth_replacing(live) {
            return Ok(());
        }
        let mut last: Option<Arc<str>> = None;
        Ok(log.replace(std::iter::from_fn(|| {
            let from = last.as_ref().map_or(Bound::Unbounded, |last| Bound::Excluded(&**last));
            let records = lock(&self.records);
            let page = records.range::<str, _>((from, Bound::Unbounded)).take(PAGE);
            let page: Vec<Record> = page.map(|entry| entry.1.record.clone()).collect();
            last = page.last().map(|record| record.key.clone());
            (!page.is_empty()).then_some(page)
        }))?)
    }

    /// Drops expired records, and tombstones where no other node could bring back what they stand for.
    fn forget_expired(&self, upkeep: &mut Upkeep, now: Ms) {
        let alone = lock(&self.listeners).is_empty();
        upkeep.soonest = 0.0;
        lock(&self.records).retain(|_, kept| {
            let record = &kept.record;
            let dead = alone && record.value.is_none();
            if dead {
                upkeep.floor = upkeep.floor.max(record.version);
            }
            let stays = !dead && !record.expired(now);
            if stays {
                upkeep.expires(record.expires);
            }
            stays
        });
    }

    /// Merges one record into what is seen.
    fn show(&self, record: Record, held: Reservation) {
        let mut records = lock(&self.records);
        match records.get_mut(&record.key) {
            Some(kept) if record.order(&kept.record) != Ordering::Greater => {}
            Some(kept) => *kept = Kept { record, _held: held },
            None => _ = records.insert(record.key.clone(), Kept { record, _held: held }),
        }
    }

    fn keep(&self, records: &[Record]) -> Result<(), StoreError> {
        match &self.log {
            Some(log) if !records.is_empty() => Ok(log.append(records)?),
            _ => Ok(()),
        }
    }
}

/// The error for a full account, with the advice that its purpose calls for.
pub fn refuse(purpose: Purpose, full: Full, frees_in: Option<Ms>) -> StoreError {
    let (asked, cap) = (full.asked, full.cap);
    let retry_after = match decide(&Case { purpose, asked, cap, idle: 0, frees_in, waited: 0.0 }) {
        Decision::Refuse { retry_after } => retry_after,
        Decision::Evict { .. } | Decision::Wait { .. } => None,
    };
    StoreError::Full { full, retry_after }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memory::roomy;
    use corkbay_ledger::{Budget, Shares, KIB, MIB};
    use proptest::prelude::*;

    const ALL: usize = usize::MAX;

    fn text(value: impl serde::Serialize) -> Option<Text> {
        Text::of(&value).ok()
    }

    fn call(key: &str, value: u32, is_final: bool) -> Draft<'_> {
        Draft { is_final, writers: Writers::First, ..Draft::new(key, text(value)) }
    }

    fn record() -> impl Strategy<Value = Record> {
        (any::<bool>(), 0u64..4, "[ab]", 0u8..3, 0u8..3).prop_map(
            |(is_final, version, node, value, expires)| {
                let value = (value > 0).then(|| Text::of(&value).expect("text"));
                Record {
                    key: "k".into(),
                    is_final,
                    version,
                    node: node.into(),
                    expires: f64::from(expires),
                    value,
                }
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
            let (one, two) = (Store::in_memory("one", roomy()), Store::in_memory("two", roomy()));
            let lasting = |mut records: Vec<Record>| {
                records.iter_mut().for_each(|record| record.expires = 0.0);
                records
            };
            one.merge(lasting(left)).expect("in memory");
            two.merge(lasting(right)).expect("in memory");
            two.merge(one.lacking(&two.digest(), ALL)).expect("in memory");
            one.merge(two.lacking(&one.digest(), ALL)).expect("in memory");
            prop_assert_eq!(one.digest(), two.digest());
        }
    }

    #[test]
    fn a_record_with_one_writer_is_closed_to_others_and_once_final_to_all() {
        let (one, two) = (Store::in_memory("one", roomy()), Store::in_memory("two", roomy()));
        one.put(&mut call("call/1", 1, false)).expect("first");
        two.merge(one.lacking(&two.digest(), ALL)).expect("in memory");
        let foreign = two.put(&mut call("call/1", 2, true));
        assert!(matches!(foreign, Err(StoreError::Foreign(node)) if &*node == "one"));
        one.put(&mut call("call/1", 3, true)).expect("its writer");
        let late = one.put(&mut call("call/1", 4, true));
        assert!(matches!(late, Err(StoreError::Final)));
    }

    fn small() -> (Store, Arc<Ledger>) {
        let budget = Budget::plan(32 * MIB, 0, 0.0, &Shares::daemon(), ("memory_mb", "memory.shares"));
        let ledger = Arc::new(Ledger::new(&budget.expect("fits"), &[]));
        (Store::in_memory("one", ledger.clone()), ledger)
    }

    /// Guards memory against ever new names, and the rule on drains against a store that is full: nothing
    /// new is taken, with advice, but a worker can still be drained and taken away.
    #[test]
    fn a_full_catalog_takes_nothing_new_and_still_drains() {
        let (store, ledger) = small();
        store.put(&mut Draft::new("worker/w", text("up"))).expect("room");
        let filler = "x".repeat(10 * KIB);
        let mut names = 0;
        let end = loop {
            match store.put(&mut Draft::new(&format!("function/{names}"), text(&filler))) {
                Ok(_) => names += 1,
                Err(error) => break error,
            }
        };
        assert!(
            names > 100 && matches!(end, StoreError::Full { retry_after: Some(span), .. } if span > 1000.0)
        );
        store
            .put(&mut Draft { owed: true, ..Draft::new("worker/w", text("draining".repeat(2000))) })
            .expect("drained");
        assert_eq!(store.get("worker/w").map(|record| record.version), Some(2));
        store.put(&mut Draft::new("worker/w", None)).expect("taken away");
        store.put(&mut Draft::new("function/0", None)).expect("taken away");
        store.put(&mut Draft::new("function/new", text("x".repeat(9 * KIB)))).expect("room again");
        let account = ledger.account(Purpose::Catalog);
        assert!(account.used() <= account.cap());
        drop(store);
        assert_eq!(ledger.held(), 0);
    }

    /// Guards against tombstones that pile up for ever, and a name that comes back against what the log still
    /// holds of it.
    #[test]
    fn tombstones_of_a_node_alone_go_and_leave_their_versions() {
        let (store, ledger) = small();
        for name in 0..100 {
            store.put(&mut Draft::new(&format!("function/{name}"), text(name))).expect("room");
            store.put(&mut Draft::new(&format!("function/{name}"), None)).expect("taken away");
        }
        store.sweep().expect("in memory");
        assert_eq!(ledger.held(), 0);
        assert_eq!(store.put(&mut Draft::new("function/7", text(7))).expect("room").version, 3);
    }

    #[test]
    fn what_has_expired_is_neither_told_nor_taken_back() {
        let (one, two) = (Store::in_memory("one", roomy()), Store::in_memory("two", roomy()));
        let mut draft = Draft { expires: now_ms() - 1.0, ..Draft::new("a", text(1)) };
        let old = one.put(&mut draft).expect("in memory");
        assert!(one.get("a").is_none() && one.digest().is_empty());
        assert_eq!(two.merge(vec![old]).expect("in memory"), 0);
    }

    /// Guards replicas against messages without a bound: what does not go into one comes with the next.
    #[test]
    fn nodes_agree_by_pieces() {
        let (one, two) = (Store::in_memory("one", roomy()), Store::in_memory("two", roomy()));
        for name in 0..100 {
            one.put(&mut Draft::new(&format!("function/{name}"), text("x".repeat(100)))).expect("room");
        }
        let swaps =
            (0..100).take_while(|_| two.merge(one.lacking(&two.digest(), 8 * KIB)).expect("in memory") > 0);
        assert!((5..50).contains(&swaps.count()));
        assert_eq!(one.digest(), two.digest());
    }

    /// Guards memory while the log's disk stands still: what waits for it is counted, nothing shows before it
    /// lasts, other purposes have their room, and in the end all is there and nothing is held on its way.
    #[test]
    fn writes_that_wait_for_the_disk_are_counted_and_show_once_they_last() {
        let ledger = roomy();
        let (log, go_on) = Log::held_up(ledger.account(Purpose::Log).clone());
        let store = Arc::new(Store { log: Some(log), ..Store::in_memory("one", ledger.clone()) });
        let write = |key: &'static str| {
            let store = store.clone();
            crate::life::spawn(move || store.put(&mut Draft::new(key, text("x".repeat(1000)))).is_ok())
        };
        let writes: Vec<_> = ["function/a", "function/b"].into_iter().map(write).collect();
        let began = std::time::Instant::now();
        while ledger.account(Purpose::Log).used() == 0 {
            assert!(began.elapsed().as_secs() < 20, "nothing is on its way");
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        assert!(ledger.account(Purpose::Catalog).used() > 1000 && store.get("function/a").is_none());
        assert!(ledger.reserve(Purpose::Calls, None, KIB).is_ok());
        go_on();
        assert!(writes.into_iter().all(|write| write.join().expect("no panic")));
        assert_eq!(store.under("function/").len(), 2);
        assert_eq!(ledger.account(Purpose::Log).used(), 0);
        drop(store);
        assert_eq!(ledger.held(), 0);
    }
}
