//! The change feed over TCP: control nodes serve their configuration to followers, which keep it on disk.
//!
//! The decisions are those of the `corkbay-feed` package; here are the sockets, the store and the clock. Messages are
//! [framed](super::framing) and count in the account of replication.
//!
//! | module | job |
//! | --- | --- |
//! | `server` | a control node's side: who follows, and what changes |
//! | `session` | one follower's connection and what is on its way to it |
//! | `follower` | a follower's side |
//! | `records` | the store as the decisions read it |
//! | `status` | what is told to operators |
mod follower;
mod records;
mod server;
mod session;
mod status;

pub use follower::{
    check_store, follow, ControlAddress, FollowOptions, FollowerCounters, FollowerHandle, FollowerReport,
};
pub use server::{open, serve, FeedReport, FeedServer};
pub use status::{FeedRole, ReadOnly, Role};

pub use corkbay_feed::FeedLimits;
