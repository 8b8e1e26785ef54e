//! State shared by all replication connections of a node.
use super::agreements::Agreements;
use super::error::ReplicationError;
use super::messages::Held;
use crate::core::{lock, monotonic_ms, UnixTime};
use crate::state::keys::WORKER;
use crate::state::record::Record;
use crate::state::store::{LeftOut, Store};
use crate::wire::framing::{self, Received, MAX_MESSAGE};
use crate::wire::left_out::log_left_out;
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
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
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
    left_out_records: AtomicU64,
    /// Whether a record of a peer was left out since this node last held the same records as a peer.
    has_left_out: AtomicBool,
}

/// Records to be sent to a peer.
#[derive(Default)]
pub struct MissingRecords {
    /// As many of the records as fit into a message.
    pub records: Vec<Record>,
    /// Whether there are more that the peer has room for.
    pub is_truncated: bool,
    /// Number of records that the peer lacks and has no room for.
    pub without_room: usize,
}

/// The order in which records are sent to a peer that lacks them. Changes of what it knows need no room there, so that they
/// must not wait behind records that do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The peer holds another version.
    Known,
    /// A worker that the peer doesn't know.
    UnknownWorker,
    /// Any other record that the peer doesn't know.
    Unknown,
}

impl Urgency {
    fn of(key: &str, peer_held: &Held) -> Self {
        if peer_held.hashes.contains_key(key) {
            Urgency::Known
        } else if key.starts_with(WORKER) {
            Urgency::UnknownWorker
        } else {
            Urgency::Unknown
        }
    }
}

/// What is known of a configured peer.
#[derive(Default)]
struct ConfiguredPeer {
    /// Its name, once it has been reached.
    name: Option<Arc<str>>,
    /// Whether the first attempt to receive all its records has ended.
    is_tried: bool,
    /// Whether it holds records that this node lacks and has no room for.
    has_more: bool,
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
            left_out_records: AtomicU64::new(0),
            has_left_out: AtomicBool::new(false),
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

    /// Records of peers that were not kept, counted anew for each time that they were sent.
    pub fn left_out_records(&self) -> u64 {
        self.left_out_records.load(Relaxed)
    }

    /// Whether peers hold records that this node lacks for want of room.
    pub fn lacks_records(&self) -> bool {
        self.has_left_out.load(Relaxed) || self.peers_with_more() > 0
    }

    /// How many bytes of further functions and workers there is room for.
    pub fn room_bytes(&self) -> usize {
        self.store.ledger().account(Purpose::Catalog).free()
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
        self.has_left_out.store(false, Relaxed);
        lock(&self.agreements).record(peer, root_hash, monotonic_ms());
    }

    /// Records that nothing can be exchanged with a peer for want of room.
    pub fn record_settled(&self, peer: &Arc<str>, root_hash: u64) {
        lock(&self.agreements).record_settled(peer, root_hash, monotonic_ms());
    }

    /// The hashes of this node's records in the given buckets: as many buckets from the first on as fit into a message, and
    /// at least one.
    pub fn bucket_contents(&self, buckets: impl Iterator<Item = BucketNumber>) -> Held {
        let (index, max_bytes) = (lock(&self.index), self.max_message_bytes());
        let room_bytes = Some(self.room_bytes() as u64);
        let (mut held, mut bytes) = (Held { room_bytes, ..Held::default() }, 0);
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

    /// The records that a peer lacks or has in another version, given its hashes, the most urgent first. Returns as many as
    /// fit into a message, and at least one; the rest follows with the next comparison. Functions and workers that the
    /// peer has no room for are not sent.
    pub fn records_missing_at(&self, peer_held: &Held) -> MissingRecords {
        let mut room_bytes = peer_held.room_bytes.map_or(usize::MAX, |bytes| bytes as usize);
        let (mut missing, mut bytes) = (MissingRecords::default(), 0);
        let keys = self.keys_missing_at(peer_held);
        for record in keys.iter().filter_map(|key| self.store.get(key)) {
            let is_known = peer_held.hashes.contains_key(&record.key);
            if !is_known && record.purpose() == Purpose::Catalog {
                let Some(left) = room_bytes.checked_sub(record.size()) else {
                    missing.without_room += 1;
                    continue;
                };
                room_bytes = left;
            }
            bytes += record.size();
            if bytes > self.max_message_bytes() && !missing.records.is_empty() {
                missing.is_truncated = true;
                break;
            }
            missing.records.push(record);
        }
        missing
    }

    /// The keys of the records that a peer lacks or has in another version, the most urgent first.
    fn keys_missing_at(&self, peer_held: &Held) -> Vec<Arc<str>> {
        let mut keys: Vec<Arc<str>> = {
            let index = lock(&self.index);
            let entries =
                peer_held.bucket_numbers().flat_map(|bucket| index.bucket(bucket).collect::<Vec<_>>());
            let differing = entries.filter(|(key, hash)| peer_held.hashes.get(*key) != Some(hash));
            differing.map(|(key, _)| key.clone()).collect()
        };
        keys.sort_by_cached_key(|key| Urgency::of(key, peer_held));
        keys
    }

    /// Stores records that a peer sent, and reports changes. Returns the number of records that were new.
    pub fn store_records(&self, records: Vec<Record>) -> Result<usize, ReplicationError> {
        let changes = RecordChanges::of(&records, &self.store);
        let merged = match self.store.merge(records) {
            Ok(merged) => merged,
            Err(error) => {
                if changes.workers {
                    (self.on_record_changes)(changes);
                }
                return Err(error.into());
            }
        };
        if merged.new_records > 0 && !changes.is_empty() {
            (self.on_record_changes)(changes);
        }
        self.report_left_out(&merged.left_out);
        Ok(merged.new_records)
    }

    /// Counts and logs records that were left out.
    fn report_left_out(&self, left_out: &[LeftOut]) {
        if !left_out.is_empty() {
            self.left_out_records.fetch_add(left_out.len() as u64, Relaxed);
            self.has_left_out.store(true, Relaxed);
            log_left_out("replication", left_out);
        }
    }

    /// Records the name of the peer at a configured address.
    pub fn record_peer(&self, address: SocketAddr, name: &Arc<str>) {
        lock(&self.peers).entry(address).and_modify(|peer| peer.name = Some(name.clone()));
    }

    /// Records that the first attempt to receive all records of a configured peer has ended, successfully or not.
    pub fn record_first_attempt(&self, address: SocketAddr) {
        lock(&self.peers).entry(address).and_modify(|peer| peer.is_tried = true);
    }

    /// Records whether a configured peer holds records that this node lacks and has no room for.
    pub fn record_more_at_peer(&self, address: SocketAddr, has_more: bool) {
        lock(&self.peers).entry(address).and_modify(|peer| peer.has_more = has_more);
    }

    /// The number of configured peers that hold records that this node lacks and has no room for.
    pub fn peers_with_more(&self) -> usize {
        lock(&self.peers).values().filter(|peer| peer.has_more).count()
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

    /// Maximum size of the records or the hash list of one message, in bytes.
    fn max_message_bytes(&self) -> usize {
        self.account().cap() / MESSAGE_SHARE_DIVISOR
    }
}
