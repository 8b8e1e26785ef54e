//! Which of two records of a key stands.
use crate::FeedRecord;
use std::cmp::Ordering;

/// What fixes the order of changes. The feed itself knows none: it asks here.
pub trait ChangeOrder<R> {
    /// Whether an incoming record replaces what is held under its key. It must never hold of a record against itself, nor
    /// of two records both ways.
    fn supersedes(&self, incoming: &R, held: Option<&R>) -> bool;

    /// The version that the next change of a key gets.
    fn next_version(&self, held: Option<&R>) -> u64;
}

/// The greater record stands, by [`FeedRecord::order`]; versions count up from 1.
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
