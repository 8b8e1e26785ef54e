//! What a follower has on disk: a position, and where records before it were left out for want of room.
use crate::{BucketNumber, BucketSet, Position};
use serde::{Deserialize, Serialize};

/// A follower's progress, stored with its records.
///
/// All changes up to the position are on disk, except for some of the keys in the buckets `left_out`. Stored as the text
/// of the position if nothing was left out, as earlier versions do, and otherwise as an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredProgress", into = "StoredProgress")]
pub struct Progress {
    /// The position in the changes of a control node.
    pub position: Position,
    /// The buckets with records that were left out.
    pub left_out: BucketSet,
}

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum StoredProgress {
    Complete(Position),
    Partial { position: Position, left_out: BucketSet },
}

impl From<StoredProgress> for Progress {
    fn from(stored: StoredProgress) -> Self {
        match stored {
            StoredProgress::Complete(position) => position.into(),
            StoredProgress::Partial { position, left_out } => Progress { position, left_out },
        }
    }
}

impl From<Progress> for StoredProgress {
    fn from(Progress { position, left_out }: Progress) -> Self {
        if left_out.is_empty() {
            StoredProgress::Complete(position)
        } else {
            StoredProgress::Partial { position, left_out }
        }
    }
}

impl From<Position> for Progress {
    fn from(position: Position) -> Self {
        Progress { position, left_out: BucketSet::default() }
    }
}

/// The records of one batch that could not be written, for want of room or because they are too large.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeftOutRecords {
    buckets: BucketSet,
    count: usize,
}

impl LeftOutRecords {
    /// Adds the record of a key.
    pub fn add(&mut self, key: &str) {
        self.buckets.insert(BucketNumber::of(key));
        self.count += 1;
    }

    /// The buckets of the records.
    pub fn buckets(&self) -> BucketSet {
        self.buckets
    }

    /// The number of records.
    pub fn count(&self) -> usize {
        self.count
    }
}

impl<'a> FromIterator<&'a str> for LeftOutRecords {
    fn from_iter<I: IntoIterator<Item = &'a str>>(keys: I) -> Self {
        let mut left_out = LeftOutRecords::default();
        keys.into_iter().for_each(|key| left_out.add(key));
        left_out
    }
}

/// How a batch changes a follower's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressUpdate {
    /// A page of a difference other than the last one: the progress stays.
    Page,
    /// Changes of the stream that lead to a position.
    Changes {
        /// The position.
        position: Position,
    },
    /// The last page of a difference.
    Copied {
        /// The position that the difference leads to.
        position: Position,
        /// The buckets of the records that were left out of its earlier pages.
        left_out: BucketSet,
    },
    /// Records that were left out before.
    Repaired {
        /// The bucket of the records.
        bucket: BucketNumber,
        /// Whether these are all records of the bucket that were left out.
        is_complete: bool,
    },
}

impl ProgressUpdate {
    /// The position that the batch leads to, if it leads to another one.
    pub fn position(&self) -> Option<Position> {
        match *self {
            ProgressUpdate::Changes { position } | ProgressUpdate::Copied { position, .. } => Some(position),
            ProgressUpdate::Page | ProgressUpdate::Repaired { .. } => None,
        }
    }

    /// The progress after the batch, given the progress before it and what was left out of the batch. It must be written
    /// after the records of the batch, and before any later batch.
    pub fn apply(&self, before: Option<Progress>, left_out: LeftOutRecords) -> Option<Progress> {
        let left_out_before = before.map(|progress| progress.left_out).unwrap_or_default();
        match *self {
            ProgressUpdate::Page => before,
            ProgressUpdate::Changes { position } => {
                Some(Progress { position, left_out: left_out_before.union(left_out.buckets) })
            }
            ProgressUpdate::Copied { position, left_out: left_out_of_pages } => {
                Some(Progress { position, left_out: left_out_of_pages.union(left_out.buckets) })
            }
            ProgressUpdate::Repaired { bucket, is_complete } => before.map(|progress| {
                let mut remaining = progress.left_out;
                if is_complete && left_out.count == 0 {
                    remaining.remove(bucket);
                }
                Progress { left_out: remaining, ..progress }
            }),
        }
    }
}
