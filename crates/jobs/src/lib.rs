//! Work on behalf of the fleet, as state machines without I/O and without a clock.
//!
//! A job is a replicated record that only its [`maintenance::Event`]s change. Whoever owns it looks at the fleet, asks
//! [`maintenance::Job::next`] what is due and has it agreed; what was agreed then is so, whoever owns the job next. Its
//! bounds are kept where events are applied, not where they are thought of: an owner that wakes up late, or two at once,
//! can't break them.
//!
//! [`spread`] says which of the living nodes ought to own what, so that ownership is spread out and stays where it is.
pub mod maintenance;
pub mod spread;

use std::time::Duration;

/// A reading of a monotonic clock, as the span since some fixed moment.
pub type Instant = Duration;
