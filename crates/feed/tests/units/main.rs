//! Each part of the feed by itself.
#[path = "../support/mod.rs"]
mod support;

mod buckets;
mod choice;
mod feed;
mod follower;
mod history;
mod messages;
mod returning;
