//! Messages between followers and control nodes. A connection delivers messages in order.
use crate::{BucketHashes, Position};
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
    },
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
