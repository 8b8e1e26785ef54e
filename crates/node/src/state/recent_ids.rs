//! The ids of requests that may have run and must not run again, in a table of fixed size.
//!
//! A client gives each request an id of its own. One that comes again, after its client left or on the other process of
//! an upgrade, must not be run twice if its class forbids repeats. The table is kept in memory or, where two processes
//! serve the same clients during an upgrade, in a file that both use. It holds the last [`CAPACITY`] ids or a little less:
//! an id replaces the oldest of its bucket.
use crate::clock::monotonic_ms;
use crate::core::lock;
use corkbay::{Ms, RequestId};
use corkbay_ledger::Reservation;
use may::sync::Mutex;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Number of buckets; the bucket of an id follows from its value.
const BUCKETS: u64 = 2048;
/// Number of ids in a bucket.
const BUCKET_ENTRIES: usize = 8;
/// Most ids that the table holds.
pub const CAPACITY: usize = BUCKETS as usize * BUCKET_ENTRIES;
/// An entry holds an id and when it was added, each in eight bytes.
const ENTRY_BYTES: usize = 16;
const BUCKET_BYTES: usize = BUCKET_ENTRIES * ENTRY_BYTES;
/// Size of the table.
pub const TABLE_BYTES: usize = BUCKETS as usize * BUCKET_BYTES;
/// Spreads ids that are numbered consecutively over the buckets.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// One id with the time at which it was added, in microseconds of the machine's monotonic clock; all zero if unused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Entry {
    id: u64,
    added_us: u64,
}

type Bucket = [Entry; BUCKET_ENTRIES];

/// Where the table is kept.
enum Table {
    Memory(Box<MemoryTable>),
    File(File),
}

struct MemoryTable {
    /// Empty until the first id is added.
    buckets: Mutex<Vec<Bucket>>,
    _held: Reservation,
}

/// The table of recent ids.
pub struct RecentIds {
    table: Table,
    /// How far the machine's clock, which all processes share, is ahead of [`monotonic_ms`].
    machine_ahead_ms: Ms,
}

impl RecentIds {
    /// An empty table in memory; the reservation of [`TABLE_BYTES`] is held as long as the table.
    pub fn in_memory(held: Reservation) -> Self {
        let table = Table::Memory(Box::new(MemoryTable { buckets: Mutex::default(), _held: held }));
        RecentIds { table, machine_ahead_ms: crate::clock::machine_clock_ahead_ms() }
    }

    /// The table in a file, which is created if missing. Other processes may use it at the same time.
    pub fn in_file(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        file.set_len(TABLE_BYTES as u64)?;
        Ok(RecentIds { table: Table::File(file), machine_ahead_ms: crate::clock::machine_clock_ahead_ms() })
    }

    /// Adds an id.
    pub fn insert(&self, id: RequestId) {
        let added_us = ((monotonic_ms() + self.machine_ahead_ms) * 1000.0) as u64;
        self.update(id, |bucket| {
            let place = bucket.iter().position(|entry| entry.id == id.0 && entry.added_us > 0);
            // Entries from before a restart of the machine, whose clock began anew, may lie in the future.
            let age = |place: &usize| match bucket[*place].added_us {
                future if future > added_us => 0,
                added => added,
            };
            let oldest = || (0..BUCKET_ENTRIES).min_by_key(age).unwrap_or(0);
            Some((place.unwrap_or_else(oldest), Entry { id: id.0, added_us }))
        });
    }

    /// Removes an id: its request is known not to have run.
    pub fn remove(&self, id: RequestId) {
        self.update(id, |bucket| {
            let place = bucket.iter().position(|entry| entry.id == id.0 && entry.added_us > 0)?;
            Some((place, Entry::default()))
        });
    }

    /// Whether the table holds an id.
    pub fn contains(&self, id: RequestId) -> bool {
        self.bucket(number_of(id)).iter().any(|entry| entry.id == id.0 && entry.added_us > 0)
    }

    /// Changes one entry of the bucket of an id.
    fn update(&self, id: RequestId, change: impl FnOnce(&Bucket) -> Option<(usize, Entry)>) {
        let number = number_of(id);
        let Some((place, entry)) = change(&self.bucket(number)) else { return };
        match &self.table {
            Table::Memory(table) => {
                let mut buckets = lock(&table.buckets);
                if buckets.is_empty() {
                    buckets.resize(BUCKETS as usize, Bucket::default());
                }
                buckets[number as usize][place] = entry;
            }
            Table::File(file) => {
                let offset = number * BUCKET_BYTES as u64 + (place * ENTRY_BYTES) as u64;
                let bytes = [entry.id.to_ne_bytes(), entry.added_us.to_ne_bytes()].concat();
                if let Err(error) = file.write_all_at(&bytes, offset) {
                    tracing::error!(%error, "ids of requests are not kept for the other process");
                }
            }
        }
    }

    fn bucket(&self, number: u64) -> Bucket {
        match &self.table {
            Table::Memory(table) => lock(&table.buckets).get(number as usize).copied().unwrap_or_default(),
            Table::File(file) => {
                let mut bytes = [0; BUCKET_BYTES];
                // A table that can't be read counts as empty; the error shows when it is written.
                let _ = file.read_exact_at(&mut bytes, number * BUCKET_BYTES as u64);
                decode(&bytes)
            }
        }
    }
}

fn number_of(id: RequestId) -> u64 {
    (id.0.wrapping_mul(HASH_FACTOR) >> 32) % BUCKETS
}

fn decode(bytes: &[u8; BUCKET_BYTES]) -> Bucket {
    let word = |index: usize| {
        let mut word = [0; 8];
        word.copy_from_slice(&bytes[8 * index..8 * index + 8]);
        u64::from_ne_bytes(word)
    };
    std::array::from_fn(|place| Entry { id: word(2 * place), added_us: word(2 * place + 1) })
}

#[cfg(test)]
mod tests;
