//! Messages between followers and control nodes. A connection delivers messages in order.
use crate::{BucketHashes, BucketNumber, Position, RecordHashes};
use serde::{Deserialize, Serialize};

/// A message from a follower to its control node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FollowerMessage {
    /// The first message of a connection.
    Hello {
        /// The follower's name. A new connection under the same name replaces the older one.
        node: String,
        /// The follower's position on disk; `None` if it has never followed a control node.
        position: Option<Position>,
    },
    /// The answer to [`ControlMessage::SendBuckets`].
    Buckets {
        /// The hashes of the follower's records.
        hashes: BucketHashes,
    },
    /// The last page of a difference is on disk; requests the next one.
    NextPage,
    /// Acknowledges the position on disk; also the answer to a heartbeat.
    Applied {
        /// Everything up to this position is on disk; `None` if the follower has no position yet.
        position: Option<Position>,
        /// The number of buckets with records before the position that the follower left out.
        #[serde(default, skip_serializing_if = "is_zero")]
        left_out_buckets: u16,
    },
    /// Requests the records of a bucket that the follower left out; sent only after [`ControlMessage::OfferRepair`].
    Repair {
        /// The bucket.
        bucket: BucketNumber,
        /// The hashes of the records in the bucket that the follower holds.
        held: RecordHashes,
        /// How many bytes of records the follower has room for.
        max_bytes: u64,
    },
}

fn is_zero(number: &u16) -> bool {
    *number == 0
}

/// A message from a control node to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlMessage<R> {
    /// The changes after a position.
    Changes {
        /// The position that the follower must have before it applies these changes.
        after: Position,
        /// The revision that the follower reaches by applying them.
        upto: u64,
        /// The current records of the changed keys; a key that changed more than once is sent once.
        records: Vec<R>,
    },
    /// The change stream can't resume at the follower's position; requests the follower's bucket hashes.
    SendBuckets,
    /// A page of the records in the buckets that differ.
    Difference {
        /// The records of this page.
        records: Vec<R>,
        /// The position that the follower reaches with the last page; `None` on earlier pages.
        last: Option<Position>,
    },
    /// The answer to the first [`FollowerMessage::Applied`] of a connection that says that records were left out: the
    /// control node answers [`FollowerMessage::Repair`].
    OfferRepair,
    /// The answer to [`FollowerMessage::Repair`]: records that the follower lacks. Unlike a change it has no position.
    Missing {
        /// The bucket of the records.
        bucket: BucketNumber,
        /// The records.
        records: Vec<R>,
        /// The number of further records of the bucket that the follower lacks.
        skipped: usize,
    },
    /// Sent when no other message was sent for [`FeedLimits::heartbeat_ms`](crate::FeedLimits::heartbeat_ms).
    Heartbeat {
        /// The control node's current position.
        position: Position,
    },
    /// The control node has no capacity for the follower now; the connection is closed.
    Busy {
        /// Minimum delay before the follower reconnects, in milliseconds.
        retry_after_ms: u64,
    },
}
