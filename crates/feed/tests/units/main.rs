//! Unit tests of the parts of the feed.
#[path = "../support/mod.rs"]
mod support;

mod buckets;
mod choice;
mod feed;
mod follower;
mod history;
mod messages;
mod progress;
mod repairing;
mod returning;
