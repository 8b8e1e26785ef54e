//! Versions that are to be written.
use crate::clock::UnixTime;
use crate::memory::record::Text;
use corkbay_ledger::Reservation;

/// Who may write under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Writers {
    /// Any node; the last write stands.
    Any,
    /// The node that wrote the first version.
    First,
}

/// A version that is to be written.
pub struct Draft<'a> {
    /// Where it is to stand.
    pub key: &'a str,
    /// What is to stand there; nothing to take away what does.
    pub value: Option<Text>,
    /// No later version may follow.
    pub is_final: bool,
    /// It may be forgotten after this time, or never.
    pub expires: UnixTime,
    /// Who may write there.
    pub writers: Writers,
    /// What was reserved for it before.
    pub held: Option<Reservation>,
    /// It is kept whatever is full: a worker that is drained, say.
    pub owed: bool,
}

impl<'a> Draft<'a> {
    /// Anybody's next version, for as long as nobody writes another.
    pub fn new(key: &'a str, value: Option<Text>) -> Self {
        Draft {
            key,
            value,
            is_final: false,
            expires: UnixTime::NONE,
            writers: Writers::Any,
            held: None,
            owed: false,
        }
    }
}
