//! Decides which of two records of a key is current.
use crate::FeedRecord;
use std::cmp::Ordering;

/// The order of changes, supplied by the user of this crate.
pub trait ChangeOrder<R> {
    /// Whether an incoming record replaces the record held under its key. The relation must be irreflexive and
    /// asymmetric: no record supersedes itself, and no two records supersede each other.
    fn supersedes(&self, incoming: &R, held: Option<&R>) -> bool;

    /// The version of the next change to a key, given the record held under it.
    fn next_version(&self, held: Option<&R>) -> u64;
}

/// The greater record by [`FeedRecord::order`] is current; versions count up from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GreaterRecord;

impl<R: FeedRecord> ChangeOrder<R> for GreaterRecord {
    fn supersedes(&self, incoming: &R, held: Option<&R>) -> bool {
        held.is_none_or(|held| incoming.order(held) == Ordering::Greater)
    }

    fn next_version(&self, held: Option<&R>) -> u64 {
        held.map_or(0, FeedRecord::version) + 1
    }
}
