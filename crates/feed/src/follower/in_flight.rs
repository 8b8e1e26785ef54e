//! The batches that a follower has handed to its caller to be written.
use super::BatchNumber;
use crate::{ChangeOrder, FeedRecord, ProgressUpdate, Records};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// A batch being written to disk.
#[derive(Debug)]
pub(super) struct Batch {
    pub number: BatchNumber,
    /// How the batch changes the follower's progress.
    pub update: ProgressUpdate,
    pub keys: Vec<Arc<str>>,
}

/// The batches being written to disk and their records, which the store may not return yet.
#[derive(Debug)]
pub(super) struct InFlight<R> {
    batches: VecDeque<Batch>,
    records: HashMap<Arc<str>, (BatchNumber, R)>,
    last: BatchNumber,
}

impl<R: FeedRecord> InFlight<R> {
    pub fn new() -> Self {
        InFlight { batches: VecDeque::new(), records: HashMap::new(), last: BatchNumber(0) }
    }

    pub fn len(&self) -> usize {
        self.batches.len()
    }

    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Whether a record supersedes both the held record of its key and the one in flight.
    pub fn is_newer(&self, record: &R, order: &impl ChangeOrder<R>, held: &impl Records<R>) -> bool {
        let in_flight = self.records.get(record.key()).map(|entry| &entry.1);
        order.supersedes(record, in_flight) && order.supersedes(record, held.get(record.key()).as_ref())
    }

    pub fn push(&mut self, records: &[R], update: ProgressUpdate) -> BatchNumber {
        self.last.0 += 1;
        let number = self.last;
        for record in records {
            self.records.insert(record.key().clone(), (number, record.clone()));
        }
        let keys = records.iter().map(|record| record.key().clone()).collect();
        self.batches.push_back(Batch { number, update, keys });
        number
    }

    /// Removes the oldest batch if its number is at most `number`.
    pub fn pop_upto(&mut self, number: BatchNumber) -> Option<Batch> {
        let batch = self.batches.pop_front_if(|batch| batch.number <= number)?;
        for key in &batch.keys {
            // A later batch may hold a newer record of the key.
            if self.records.get(key).is_some_and(|entry| entry.0 == batch.number) {
                self.records.remove(key);
            }
        }
        Some(batch)
    }

    pub fn clear(&mut self) {
        self.batches.clear();
        self.records.clear();
    }
}
