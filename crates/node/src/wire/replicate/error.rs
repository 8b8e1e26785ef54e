//! Errors of replication.
use crate::memory::store::StoreError;
use crate::wire::framing::FramingError;
use std::io;

/// Why two nodes did not come together.
#[derive(Debug, thiserror::Error)]
pub enum ReplicationError {
    /// The connection or a message.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// What came could not be kept.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The other node began as versions before 2 do.
    #[error("the other node speaks an earlier version of replication; it is to be brought up to this one")]
    EarlierVersion,
    /// The other node closed the connection instead of greeting.
    #[error("the other node closed the connection at the greeting, as one of an earlier version does")]
    NotGreeted,
    /// The other node speaks a version that is not known here.
    #[error("the other node speaks version {0} of replication")]
    UnknownVersion(u32),
    /// A message that does not belong where it came.
    #[error("a message out of turn")]
    OutOfTurn,
}

impl From<io::Error> for ReplicationError {
    fn from(error: io::Error) -> Self {
        ReplicationError::Framing(error.into())
    }
}
