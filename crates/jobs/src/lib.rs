//! Fleet-wide jobs, as state machines without I/O and without a clock.
//!
//! A job is a replicated record that only [`maintenance::Event`]s change. The job's owner observes the fleet,
//! asks [`maintenance::Job::next_events`] what is due and has those events committed; a committed event stays
//! in effect when the job gets another owner. The job's limits are enforced where events are applied, not where
//! they are computed, so neither a delayed owner nor two concurrent owners can exceed them.
//!
//! [`ownership`] decides which of the live nodes should own what, so that ownership is spread evenly and rarely
//! moves.
pub mod maintenance;
pub mod ownership;

use std::time::Duration;

/// A reading of a monotonic clock, as the duration since some fixed moment.
pub type Instant = Duration;
