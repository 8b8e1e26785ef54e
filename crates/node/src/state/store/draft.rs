//! Record versions to be written.
use crate::clock::UnixTime;
use crate::state::record::Text;
use corkbay_ledger::Reservation;

/// Which nodes may write a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Writers {
    /// Any node; the last write wins.
    Any,
    /// Only the node that wrote the first version.
    First,
}

/// A record version to be written.
pub struct Draft<'a> {
    /// Key of the record.
    pub key: &'a str,
    /// New value; `None` deletes the record.
    pub value: Option<Text>,
    /// Whether this is the final version; later writes are rejected.
    pub is_final: bool,
    /// When the record expires and may be dropped; [`UnixTime::NONE`] for never.
    pub expires: UnixTime,
    /// Which nodes may write the key.
    pub writers: Writers,
    /// Memory reserved for it in advance.
    pub held: Option<Reservation>,
    /// Whether a new version of an existing key is written even if its account is full, for example to drain a worker.
    pub may_exceed_cap: bool,
}

impl<'a> Draft<'a> {
    /// A draft that any node may write, that is not final and never expires.
    pub fn new(key: &'a str, value: Option<Text>) -> Self {
        Draft {
            key,
            value,
            is_final: false,
            expires: UnixTime::NONE,
            writers: Writers::Any,
            held: None,
            may_exceed_cap: false,
        }
    }
}
