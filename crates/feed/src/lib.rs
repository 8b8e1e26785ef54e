//! A change feed: many followers hold the records of a few control nodes and learn of changes within seconds.
//!
//! Everything here decides without I/O, without a clock and without threads: points in time, random numbers, messages
//! and reads of records come in, messages and other actions go out.
//!
//! - [`Feed`] is a control node's side. It numbers the changes of its store ([`Position`]), remembers the latest of them
//!   ([`ChangeHistory`]), and sends each follower what it lacks.
//! - [`Follower`] is the other side. It follows one control node at a time, which [`ControlChoice`] picks.
//! - [`BucketIndex`] summarises records in 256 hashes, so that two nodes find what differs without listing their keys.
//! - [`ChangeOrder`] tells which of two records of a key stands. Records only move forward in it: nothing that a stale
//!   control node sends takes a newer record back.
//!
//! A follower acknowledges a position only after its records are on disk, and writes the position after the records.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod buckets;
mod choice;
mod copies;
mod feed;
mod follower;
mod hash;
mod history;
mod limits;
mod messages;
mod order;
mod position;
mod records;
mod report;
mod session;
mod token_bucket;

pub use buckets::{BadBucketHashes, BucketHashes, BucketIndex, BucketNumber, BucketSet, BUCKETS};
pub use choice::{Attempt, ControlChoice, ControlNode, ControlNumber, NoControlNodes};
pub use feed::{CloseReason, Feed, FeedAction, SessionNumber};
pub use follower::{BatchNumber, ConnectionNumber, Follower, FollowerAction, FollowerState, FollowerStatus};
pub use hash::stable_hash;
pub use history::{ChangeHistory, Compacted};
pub use limits::{FeedLimits, FollowerLimits};
pub use messages::{ControlMessage, FollowerMessage};
pub use order::{ChangeOrder, GreaterRecord};
pub use position::{BadPosition, Position};
pub use records::{FeedRecord, Page, Records};
pub use report::{FeedCounters, FollowerLag, FollowerStage};
pub use token_bucket::TokenBucket;

/// Milliseconds: points in time on any one clock that doesn't run backwards, and spans.
pub type Ms = f64;
