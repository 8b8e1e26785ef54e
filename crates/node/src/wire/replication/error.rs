//! Replication errors.
use crate::state::store::StoreError;
use crate::wire::framing::FramingError;
use std::io;

/// Why an exchange between two nodes failed.
#[derive(Debug, thiserror::Error)]
pub enum ReplicationError {
    /// A connection or framing error.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// Received records could not be stored.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The other node uses a protocol version before 2.
    #[error("the other node uses an earlier version of the replication protocol and must be brought up to this one")]
    EarlierVersion,
    /// The other node closed the connection instead of replying to the greeting.
    #[error("the other node closed the connection during the greeting, as nodes of an earlier version do")]
    NotGreeted,
    /// The other node uses an unknown protocol version.
    #[error("the other node uses unknown version {0} of the replication protocol")]
    UnknownVersion(u32),
    /// A message that the protocol doesn't allow at this point.
    #[error("unexpected replication message")]
    UnexpectedMessage,
}

impl From<io::Error> for ReplicationError {
    fn from(error: io::Error) -> Self {
        ReplicationError::Framing(error.into())
    }
}
