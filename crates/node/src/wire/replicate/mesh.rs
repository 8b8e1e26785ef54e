//! What the connections of a node to its peers have in common.
use super::agreements::Agreements;
use super::error::ReplicationError;
use super::messages::Held;
use crate::core::{lock, monotonic_ms, UnixTime};
use crate::memory::record::Record;
use crate::memory::store::Store;
use crate::wire::framing::{self, Received, MAX_MESSAGE};
use crate::wire::index::{RecordIndex, Scope};
use crate::wire::news::{News, OnNews};
use corkbay_feed::{BucketHashes, BucketNumber};
use corkbay_ledger::{Account, Purpose};
use may::sync::{mpsc, Mutex};
use serde::{de::DeserializeOwned, Serialize};
use std::io::{Read, Write};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

/// The part of the account that one message's records, or its list of hashes, may take.
const MESSAGE_PART: usize = 8;
/// What a key and its hash take in a list beside the key's text.
const HELD_OVERHEAD: usize = 48;

/// The store as its peers see it.
pub struct Mesh {
    store: Arc<Store>,
    index: Mutex<RecordIndex>,
    agreements: Mutex<Agreements>,
    on_news: OnNews,
    sent_bytes: AtomicU64,
}

impl Mesh {
    /// The mesh of a store, and what its index is to be told of.
    pub fn new(store: Arc<Store>, on_news: OnNews) -> (Arc<Self>, mpsc::Receiver<Record>) {
        let (index, changes) = RecordIndex::of_store(Scope::Shared, &store);
        let mesh = Mesh {
            store,
            index: Mutex::new(index),
            agreements: Mutex::default(),
            on_news,
            sent_bytes: AtomicU64::new(0),
        };
        (Arc::new(mesh), changes)
    }

    /// Keeps the index up to date for as long as the store lives.
    pub fn follow_changes(&self, changes: &mpsc::Receiver<Record>) {
        while let Ok(first) = changes.recv() {
            let mut index = lock(&self.index);
            index.note(&first);
            changes.try_iter().for_each(|record| index.note(&record));
        }
    }

    /// The name of this node.
    pub fn node(&self) -> &str {
        self.store.node()
    }

    /// Bytes of messages sent to peers so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Relaxed)
    }

    /// The hash over all records.
    pub fn root(&self) -> u64 {
        let mut index = lock(&self.index);
        index.expire(UnixTime::steady());
        index.root()
    }

    /// The hashes of the buckets.
    pub fn hashes(&self) -> BucketHashes {
        let mut index = lock(&self.index);
        index.expire(UnixTime::steady());
        index.hashes()
    }

    /// Whether it is time to compare with a peer.
    pub fn is_due(&self, peer: &str) -> bool {
        let root = self.root();
        lock(&self.agreements).is_due(self.node(), peer, root, monotonic_ms())
    }

    /// Notes that a peer holds the same records.
    pub fn agreed(&self, peer: &Arc<str>, root: u64) {
        lock(&self.agreements).note(peer, root, monotonic_ms());
    }

    /// What is held in these buckets: as many of them, from the first on, as go into a message; one at least.
    pub fn held(&self, buckets: impl Iterator<Item = BucketNumber>) -> Held {
        let (index, most) = (lock(&self.index), self.message_bytes());
        let (mut held, mut bytes) = (Held::default(), 0);
        for bucket in buckets {
            let entry_bytes = |(key, _): (&Arc<str>, u64)| key.len() + HELD_OVERHEAD;
            bytes += index.bucket(bucket).map(entry_bytes).sum::<usize>();
            if bytes > most && !held.buckets.is_empty() {
                break;
            }
            held.buckets.push(bucket.0);
            held.hashes.extend(index.bucket(bucket).map(|(key, hash)| (key.clone(), hash)));
        }
        held
    }

    /// The records that a node that holds this lacks or has in another version, as many as go into a message and at
    /// least one: the rest comes with the next comparison.
    pub fn lacking(&self, theirs: &Held) -> Vec<Record> {
        let keys: Vec<Arc<str>> = {
            let index = lock(&self.index);
            let entries = theirs.bucket_numbers().flat_map(|bucket| index.bucket(bucket).collect::<Vec<_>>());
            let differing = entries.filter(|(key, hash)| theirs.hashes.get(*key) != Some(hash));
            differing.map(|(key, _)| key.clone()).collect()
        };
        let (mut records, mut bytes) = (Vec::new(), 0);
        for record in keys.iter().filter_map(|key| self.store.get(key)) {
            bytes += record.size();
            if bytes > self.message_bytes() && !records.is_empty() {
                break;
            }
            records.push(record);
        }
        records
    }

    /// Keeps what a peer sent.
    pub fn take(&self, records: Vec<Record>) -> Result<(), ReplicationError> {
        let news = News::of(&records);
        if self.store.merge(records)? > 0 && !news.is_empty() {
            (self.on_news)(news);
        }
        Ok(())
    }

    /// Sends a message.
    pub fn send(&self, socket: &mut impl Write, message: &impl Serialize) -> Result<(), ReplicationError> {
        let bytes = framing::send(self.account(), socket, message)?;
        self.sent_bytes.fetch_add(bytes as u64, Relaxed);
        Ok(())
    }

    /// Receives a message.
    pub fn receive<T: DeserializeOwned>(
        &self,
        socket: &mut impl Read,
    ) -> Result<Received<T>, ReplicationError> {
        Ok(framing::receive(self.account(), socket, MAX_MESSAGE)?)
    }

    fn account(&self) -> &Account {
        self.store.ledger().account(Purpose::Replication)
    }

    fn message_bytes(&self) -> usize {
        self.account().cap() / MESSAGE_PART
    }
}
