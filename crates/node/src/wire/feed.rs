//! The change feed over TCP: control nodes serve their configuration to followers, which keep it on disk.
//!
//! The protocol logic is in the `corkbay-feed` package; this module connects it to sockets, the store and the clock. Messages
//! are [framed](super::framing), and their memory is charged to the account of replication.
//!
//! | module | job |
//! | --- | --- |
//! | `server` | the control node's side: connected followers and changes |
//! | `session` | a follower's connection and its send queue |
//! | `follower` | the follower's side |
//! | `progress` | the follower's position on disk, and what was left out |
//! | `records` | read access to the store for the protocol logic |
//! | `status` | status reports for operators |
mod follower;
mod progress;
mod records;
mod server;
mod session;
mod status;

pub use follower::{follow, ControlAddress, FollowOptions, FollowerCounters, FollowerHandle, FollowerReport};
pub use progress::check_store;
pub use server::{open, serve, FeedReport, FeedServer};
pub use status::{FeedRole, ReadOnly, Role};

pub use corkbay_feed::FeedLimits;
