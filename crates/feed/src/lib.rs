//! A change feed: replicates the records of a few control nodes to many followers, which receive changes within
//! seconds.
//!
//! Both sides are state machines without I/O, clock or threads: the caller passes in the time, random numbers, messages
//! and read access to records, and carries out the actions that come back.
//!
//! - [`Feed`] is the control node's side. It numbers the changes of its store ([`Position`]), keeps the latest of them
//!   ([`ChangeHistory`]), and sends each follower the records that it is missing.
//! - [`Follower`] is the follower's side. It follows one control node at a time, selected by [`ControlChoice`].
//! - [`BucketIndex`] summarises records in 256 hashes, so that two nodes can find differences without listing their
//!   keys.
//! - [`ChangeOrder`] decides which of two records of a key is current. A record is only ever replaced by a newer one,
//!   so a stale control node can't overwrite it with an older one.
//!
//! A follower acknowledges a position only once the records up to it are on disk, and writes the position after the
//! records. Records that it has no room for are left out: its [`Progress`] names the buckets that lack some, and it
//! requests them once there is room.
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
mod progress;
mod records;
mod repair;
mod report;
mod session;
mod token_bucket;
mod words;

pub use buckets::{
    BadBucketHashes, BadBucketSet, BucketHashes, BucketIndex, BucketNumber, BucketSet, BUCKETS,
};
pub use choice::{ConnectDecision, ControlChoice, ControlNode, ControlNumber, NoControlNodes};
pub use feed::{CloseReason, Feed, FeedAction, SessionNumber};
pub use follower::{BatchNumber, ConnectionNumber, Follower, FollowerAction, FollowerState, FollowerStatus};
pub use hash::stable_hash;
pub use history::{ChangeHistory, Compacted};
pub use limits::{FeedLimits, FollowerLimits};
pub use messages::{ControlMessage, FollowerMessage};
pub use order::{ChangeOrder, GreaterRecord};
pub use position::{BadPosition, Position};
pub use progress::{LeftOutRecords, Progress, ProgressUpdate};
pub use records::{FeedRecord, Page, Records};
pub use repair::{BadRecordHashes, RecordHashes};
pub use report::{FeedCounters, FollowerLag, FollowerStage};
pub use token_bucket::TokenBucket;

/// A point in time on a monotonic clock, or a duration, in milliseconds.
pub type Ms = f64;
