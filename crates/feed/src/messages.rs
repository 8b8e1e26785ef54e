//! What followers and control nodes say to each other. A connection keeps messages in order.
use crate::{BucketHashes, Position};
use serde::{Deserialize, Serialize};

/// From a follower to its control node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FollowerMessage {
    /// The first message of a connection.
    Hello {
        /// The follower's name. A new connection under a name takes the place of the older one.
        node: String,
        /// What it holds on disk; nothing where it never followed.
        position: Option<Position>,
    },
    /// The answer to [`ControlMessage::SendBuckets`].
    Buckets {
        /// The hashes of what it holds.
        hashes: BucketHashes,
    },
    /// The page of a difference is on disk; the next may come.
    NextPage,
    /// What it holds on disk by now; also the answer to a heartbeat.
    Applied {
        /// Everything up to this position is on disk.
        position: Option<Position>,
    },
}

/// From a control node to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlMessage<R> {
    /// The changes behind a position.
    Changes {
        /// The position that the follower must have for them to make sense.
        after: Position,
        /// The revision that it has afterwards.
        upto: u64,
        /// The records as they stand now: where a key changed more than once it comes once.
        records: Vec<R>,
    },
    /// The stream can't go on from the follower's position; it is to send the hashes of its buckets.
    SendBuckets,
    /// A page of the records in buckets that differ.
    Difference {
        /// The records.
        records: Vec<R>,
        /// In the last page, the position that the follower has afterwards.
        last: Option<Position>,
    },
    /// Nothing else was sent for a while.
    Heartbeat {
        /// The position of the control node.
        position: Position,
    },
    /// There is no place for the follower now; the connection ends.
    Busy {
        /// After how many milliseconds to come again at the earliest.
        retry_after_ms: u64,
    },
}
