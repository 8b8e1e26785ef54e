//! What a follower is about, and what it asks of its caller.
use crate::{ControlNumber, FollowerMessage, Ms, Position};

/// Tells the connections of a follower apart, failed attempts included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u64);

/// Counts the batches that a follower has handed out to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchNumber(pub u64);

/// What the caller is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction<R> {
    /// Connect to a control node, then call [`Follower::connected`](crate::Follower::connected) or
    /// [`Follower::disconnected`](crate::Follower::disconnected).
    Connect {
        /// The new connection.
        connection: ConnectionNumber,
        /// To which control node.
        control: ControlNumber,
    },
    /// Send a message.
    Send {
        /// Over which connection.
        connection: ConnectionNumber,
        /// What.
        message: FollowerMessage,
    },
    /// Close a connection, or give up the attempt. Nothing that comes of it counts any more.
    Disconnect {
        /// Which one.
        connection: ConnectionNumber,
    },
    /// Write records to disk in the place of those under their keys, and the position behind them: not one batch before the
    /// batches that came earlier. Then call [`Follower::persisted`](crate::Follower::persisted). Until then
    /// [`Records`](crate::Records) may show either state.
    Persist {
        /// The batch.
        batch: BatchNumber,
        /// Its records, each of which supersedes what was held.
        records: Vec<R>,
        /// The position that they lead to, where they lead to one.
        position: Option<Position>,
    },
}

/// What a follower is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FollowerState {
    /// It waits before it tries a control node.
    Waiting {
        /// Until when.
        until: Ms,
    },
    /// It is connecting.
    Connecting {
        /// To whom.
        control: ControlNumber,
    },
    /// It is connected, and not yet told how to go on.
    Greeting {
        /// To whom.
        control: ControlNumber,
    },
    /// It compares its records with the control node's.
    Comparing {
        /// With whom.
        control: ControlNumber,
    },
    /// It follows the changes of a control node.
    Following {
        /// Of whom.
        control: ControlNumber,
    },
}

impl FollowerState {
    /// The control node that it has to do with.
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

/// What a follower tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerStatus {
    /// What it is about.
    pub state: FollowerState,
    /// What it holds on disk.
    pub position: Option<Position>,
    /// When its control node was last heard; nothing before the first word of the first one.
    pub last_heard: Option<Ms>,
}
