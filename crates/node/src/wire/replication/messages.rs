//! The messages of the replication protocol, which peers exchange over a long-lived connection.
use crate::state::record::Record;
use corkbay_feed::{BucketHashes, BucketNumber};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The protocol version of this node.
pub const PROTOCOL_VERSION: u32 = 2;

/// The greeting of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol version of the node.
    pub version: u32,
    /// The node's name.
    pub node: Arc<str>,
}

/// The first message on a connection, including those of earlier protocol versions.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Opening {
    /// The greeting.
    Hello(Hello),
    /// The digest that versions before 2 send first.
    Digest(IgnoredAny),
    /// The records that versions before 2 send without a greeting.
    Push(IgnoredAny),
}

/// A message from the node that opened the connection.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// The first message; answered by [`Reply::Hello`].
    Hello(Hello),
    /// Records that the sender has just written; not answered.
    Push(Vec<Record>),
    /// The hash over all records of the sender; answered by [`Reply::Equal`] or [`Reply::Buckets`].
    Compare(u64),
    /// The record hashes of the sender in buckets that differ; answered by [`Reply::Difference`].
    Held(Held),
    /// Records that the receiver lacks; answered by [`Reply::Taken`].
    Records(Vec<Record>),
}

/// A message from the node that accepted the connection.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The greeting.
    Hello(Hello),
    /// The sender holds the same records.
    Equal,
    /// The records differ; the sender's bucket hashes.
    Buckets(BucketHashes),
    /// Records that the receiver lacks, and the sender's record hashes in the same buckets.
    Difference {
        /// As many of the records as fit into a message.
        records: Vec<Record>,
        /// The sender's record hashes.
        held: Held,
        /// Number of functions and workers that the receiver lacks and has no room for.
        #[serde(default, skip_serializing_if = "is_zero")]
        without_room: usize,
    },
    /// The records are stored.
    Taken,
}

fn is_zero(number: &usize) -> bool {
    *number == 0
}

/// The hashes of a node's records in some buckets. A hash covers a record's version.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Held {
    /// The bucket numbers.
    pub buckets: Vec<u8>,
    /// The hash of each record in these buckets by key.
    pub hashes: BTreeMap<Arc<str>, u64>,
    /// How many bytes of functions and workers that it doesn't hold yet the node has room for; `None` from a node of an
    /// earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub room_bytes: Option<u64>,
}

impl Held {
    /// The bucket numbers as typed values.
    pub fn bucket_numbers(&self) -> impl Iterator<Item = BucketNumber> + '_ {
        self.buckets.iter().copied().map(BucketNumber)
    }
}
