//! The states of a follower, and the actions that it requests from its caller.
use crate::{ControlNumber, FollowerMessage, Ms, Position, Progress, ProgressUpdate};

/// Identifies a connection of a follower; failed connection attempts are numbered too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u64);

/// The sequence number of a batch that a follower has handed to its caller to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchNumber(pub u64);

/// An action for the caller to carry out, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction<R> {
    /// Connect to a control node, then call [`Follower::connected`](crate::Follower::connected) or
    /// [`Follower::disconnected`](crate::Follower::disconnected).
    Connect {
        /// The new connection.
        connection: ConnectionNumber,
        /// The control node to connect to.
        control: ControlNumber,
    },
    /// Send a message.
    Send {
        /// The connection to send it on.
        connection: ConnectionNumber,
        /// The message.
        message: FollowerMessage,
    },
    /// Close a connection or abandon the connection attempt. Later events of this connection are ignored.
    Disconnect {
        /// The connection to close.
        connection: ConnectionNumber,
    },
    /// Write records to disk, replacing those under their keys, and after them the progress that
    /// [`ProgressUpdate::apply`] returns; batches must be written in order. A record that there is no room for is left
    /// out, but a new version of a held record never waits for the room that a new key needs. Then call
    /// [`Follower::persisted`](crate::Follower::persisted). Until then [`Records`](crate::Records) may return either the
    /// old or the new records.
    Persist {
        /// The number of the batch.
        batch: BatchNumber,
        /// Its records, each of which supersedes the held record of its key.
        records: Vec<R>,
        /// How the batch changes the progress on disk.
        update: ProgressUpdate,
    },
}

/// The connection state of a follower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FollowerState {
    /// Waiting before the next connection attempt.
    Waiting {
        /// When the wait ends, in milliseconds.
        until: Ms,
    },
    /// Connecting to a control node.
    Connecting {
        /// The control node.
        control: ControlNumber,
    },
    /// Connected, with no answer to the hello yet.
    Greeting {
        /// The control node.
        control: ControlNumber,
    },
    /// Comparing records with the control node, or receiving those that differ.
    Comparing {
        /// The control node.
        control: ControlNumber,
    },
    /// Receiving the change stream of a control node.
    Following {
        /// The control node.
        control: ControlNumber,
    },
}

impl FollowerState {
    /// The control node that the follower is connecting or connected to, if any.
    pub fn control(&self) -> Option<ControlNumber> {
        match *self {
            FollowerState::Waiting { .. } => None,
            FollowerState::Connecting { control }
            | FollowerState::Greeting { control }
            | FollowerState::Comparing { control }
            | FollowerState::Following { control } => Some(control),
        }
    }
}

/// The status of a follower.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerStatus {
    /// The connection state.
    pub state: FollowerState,
    /// The progress on disk.
    pub progress: Option<Progress>,
    /// The latest position known of the control node being followed; `None` until it has told one on this connection.
    pub control_position: Option<Position>,
    /// When the last message from a control node was received, in milliseconds; `None` before the first one.
    pub last_heard: Option<Ms>,
}

impl FollowerStatus {
    /// How many changes of the control node are not on disk, as far as it has told; `None` if that isn't known.
    pub fn behind(&self) -> Option<u64> {
        self.progress?.position.behind(self.control_position?)
    }
}
