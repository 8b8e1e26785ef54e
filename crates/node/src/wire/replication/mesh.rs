//! State shared by all replication connections of a node.
use super::agreements::Agreements;
use super::error::ReplicationError;
use super::messages::Held;
use crate::core::{lock, monotonic_ms, UnixTime};
use crate::state::record::Record;
use crate::state::store::Store;
use crate::wire::framing::{self, Received, MAX_MESSAGE};
use crate::wire::record_changes::{OnRecordChanges, RecordChanges};
use crate::wire::record_index::{RecordIndex, Scope};
use corkbay::Ms;
use corkbay_feed::{BucketHashes, BucketNumber};
use corkbay_ledger::{Account, Purpose};
use may::sync::{mpsc, Mutex};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

/// The records or the hash list of one message may take up to one part in this many of the account's cap.
const MESSAGE_SHARE_DIVISOR: usize = 8;
/// Memory of an entry in a hash list in addition to the key's bytes.
const HASH_ENTRY_OVERHEAD_BYTES: usize = 48;

/// The replicated store with its index and the results of comparisons with peers.
pub struct Mesh {
    store: Arc<Store>,
    index: Mutex<RecordIndex>,
    agreements: Mutex<Agreements>,
    peers: Mutex<HashMap<SocketAddr, ConfiguredPeer>>,
    on_record_changes: OnRecordChanges,
    sent_bytes: AtomicU64,
}

/// What is known of a configured peer.
#[derive(Default)]
struct ConfiguredPeer {
    /// Its name, once it has been reached.
    name: Option<Arc<str>>,
    /// Whether the first attempt to receive all its records has ended.
    is_tried: bool,
}

impl Mesh {
    /// Creates the shared state for a store and its configured peers, and the receiver of changes for
    /// [`Mesh::follow_changes`].
    pub fn new(
        store: Arc<Store>,
        peers: &[SocketAddr],
        on_record_changes: OnRecordChanges,
    ) -> (Arc<Self>, mpsc::Receiver<Record>) {
        let peers = peers.iter().map(|peer| (*peer, ConfiguredPeer::default())).collect();
        let (index, changes) = RecordIndex::of_store(Scope::Shared, &store);
        let mesh = Mesh {
            store,
            index: Mutex::new(index),
            agreements: Mutex::default(),
            peers: Mutex::new(peers),
            on_record_changes,
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

    /// Bytes sent to peers so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Relaxed)
    }

    /// Hash over all records.
    pub fn root_hash(&self) -> u64 {
        let mut index = lock(&self.index);
        index.expire(UnixTime::steady());
        index.root()
    }

    /// Hash of each bucket.
    pub fn bucket_hashes(&self) -> BucketHashes {
        let mut index = lock(&self.index);
        index.expire(UnixTime::steady());
        index.hashes()
    }

    /// Whether a comparison with a peer is due.
    pub fn is_due(&self, peer: &str) -> bool {
        let root_hash = self.root_hash();
        lock(&self.agreements).is_due(self.node(), peer, root_hash, monotonic_ms())
    }

    /// Records that a peer holds the same records.
    pub fn record_agreement(&self, peer: &Arc<str>, root_hash: u64) {
        lock(&self.agreements).record(peer, root_hash, monotonic_ms());
    }

    /// The hashes of this node's records in the given buckets: as many buckets from the first on as fit into a message, and
    /// at least one.
    pub fn bucket_contents(&self, buckets: impl Iterator<Item = BucketNumber>) -> Held {
        let (index, max_bytes) = (lock(&self.index), self.max_message_bytes());
        let (mut held, mut bytes) = (Held::default(), 0);
        for bucket in buckets {
            let entry_bytes = |(key, _): (&Arc<str>, u64)| key.len() + HASH_ENTRY_OVERHEAD_BYTES;
            bytes += index.bucket(bucket).map(entry_bytes).sum::<usize>();
            if bytes > max_bytes && !held.buckets.is_empty() {
                break;
            }
            held.buckets.push(bucket.0);
            held.hashes.extend(index.bucket(bucket).map(|(key, hash)| (key.clone(), hash)));
        }
        held
    }

    /// The records that a peer lacks or has in another version, given its hashes. Returns as many as fit into a message, and
    /// at least one; the rest follows with the next comparison.
    pub fn records_missing_at(&self, peer_held: &Held) -> Vec<Record> {
        let keys: Vec<Arc<str>> = {
            let index = lock(&self.index);
            let entries =
                peer_held.bucket_numbers().flat_map(|bucket| index.bucket(bucket).collect::<Vec<_>>());
            let differing = entries.filter(|(key, hash)| peer_held.hashes.get(*key) != Some(hash));
            differing.map(|(key, _)| key.clone()).collect()
        };
        let (mut records, mut bytes) = (Vec::new(), 0);
        for record in keys.iter().filter_map(|key| self.store.get(key)) {
            bytes += record.size();
            if bytes > self.max_message_bytes() && !records.is_empty() {
                break;
            }
            records.push(record);
        }
        records
    }

    /// Stores records that a peer sent, and reports changes. Returns the number of records that were new.
    pub fn store_records(&self, records: Vec<Record>) -> Result<usize, ReplicationError> {
        let changes = RecordChanges::of(&records, &self.store);
        let merged = self.store.merge(records)?;
        if merged.new_records > 0 && !changes.is_empty() {
            (self.on_record_changes)(changes);
        }
        Ok(merged.new_records)
    }

    /// Records the name of the peer at a configured address.
    pub fn record_peer(&self, address: SocketAddr, name: &Arc<str>) {
        lock(&self.peers).entry(address).and_modify(|peer| peer.name = Some(name.clone()));
    }

    /// Records that the first attempt to receive all records of a configured peer has ended, successfully or not.
    pub fn record_first_attempt(&self, address: SocketAddr) {
        lock(&self.peers).entry(address).and_modify(|peer| peer.is_tried = true);
    }

    /// Whether the first attempt to receive all records of each configured peer has ended.
    pub fn has_tried_all_peers(&self) -> bool {
        lock(&self.peers).values().all(|peer| peer.is_tried)
    }

    /// Whether each configured peer was found to hold the same records as this node since then, in milliseconds of the
    /// monotonic clock.
    pub fn have_all_peers_agreed_since(&self, since: Ms) -> bool {
        let (peers, agreements) = (lock(&self.peers), lock(&self.agreements));
        let has_agreed = |peer: &ConfiguredPeer| {
            peer.name.as_ref().and_then(|name| agreements.found_at(name)).is_some_and(|at| at >= since)
        };
        peers.values().all(has_agreed)
    }

    /// Sends a message; its memory is charged to the account of replication.
    pub fn send(&self, socket: &mut impl Write, message: &impl Serialize) -> Result<(), ReplicationError> {
        let bytes = framing::send(self.account(), socket, message)?;
        self.sent_bytes.fetch_add(bytes as u64, Relaxed);
        Ok(())
    }

    /// Receives a message; its memory is charged to the account of replication.
    pub fn receive<T: DeserializeOwned>(
        &self,
        socket: &mut impl Read,
    ) -> Result<Received<T>, ReplicationError> {
        Ok(framing::receive(self.account(), socket, MAX_MESSAGE)?)
    }

    fn account(&self) -> &Account {
        self.store.ledger().account(Purpose::Replication)
    }

    fn max_message_bytes(&self) -> usize {
        self.account().cap() / MESSAGE_SHARE_DIVISOR
    }
}
