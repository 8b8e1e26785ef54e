//! What peers say to each other over a connection that stays.
use crate::memory::record::Record;
use corkbay_feed::{BucketHashes, BucketNumber};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The version of the protocol.
pub const VERSION: u32 = 2;

/// Who a node is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The version of the protocol that it speaks.
    pub version: u32,
    /// Its name.
    pub node: Arc<str>,
}

/// What a connection may begin with.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Opening {
    /// The greeting.
    Hello(Hello),
    /// The digest that versions before 2 began with.
    Digest(IgnoredAny),
    /// The records that versions before 2 sent without a greeting.
    Push(IgnoredAny),
}

/// From the node that connected.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// The first message; answered by [`Reply::Hello`].
    Hello(Hello),
    /// Records that it has just written; nothing is answered.
    Push(Vec<Record>),
    /// The hash over all its records; answered by [`Reply::Equal`] or [`Reply::Buckets`].
    Compare(u64),
    /// What it holds in buckets that differ; answered by [`Reply::Difference`].
    Held(Held),
    /// Records that the other side lacks; answered by [`Reply::Taken`].
    Records(Vec<Record>),
}

/// From the node that was connected to.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Who it is.
    Hello(Hello),
    /// It holds the same.
    Equal,
    /// It does not: the hashes of its buckets.
    Buckets(BucketHashes),
    /// Records that the other side lacks, and what it holds itself in the same buckets.
    Difference {
        /// The records, as many as go into a message.
        records: Vec<Record>,
        /// What it holds.
        held: Held,
    },
    /// The records are kept.
    Taken,
}

/// The records of some buckets by the hashes of their versions.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Held {
    /// The buckets.
    pub buckets: Vec<u8>,
    /// The hash of the record under each key in them.
    pub hashes: BTreeMap<Arc<str>, u64>,
}

impl Held {
    /// The buckets by their numbers.
    pub fn bucket_numbers(&self) -> impl Iterator<Item = BucketNumber> + '_ {
        self.buckets.iter().copied().map(BucketNumber)
    }
}
