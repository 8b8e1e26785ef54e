//! Memory accounting by purpose: how much is held, what each purpose may hold, and what happens at its cap.
//!
//! An [`Account`] counts bytes against a cap and has a parent that counts them too, so that the part of a
//! purpose, or of a tenant within it, can be observed and capped separately. A [`Reservation`] is taken
//! before memory is allocated and returns its bytes when dropped. A [`Budget`] divides the memory of a
//! process into caps that add up. [`pressure::decide_at_cap`] returns what to do when an account is full, by the
//! table of [`Purpose`]s. A [`Ledger`] holds all accounts of one process.
//!
//! The crate does no I/O, reads no clock and starts no thread. Callers that wait for room pass a closure that
//! is called once there is some.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod account;
mod alarm;
mod budget;
mod ledger;
pub mod pressure;
mod purpose;
mod tenancy;

pub use account::{Account, CapExceeded, Reservation, WaitHandle};
pub use alarm::{Alarm, Warning};
pub use budget::{Budget, BudgetError, Shares};
pub use ledger::{AccountStatus, Ledger};
pub use purpose::{CapPolicy, Purpose, PurposeSettings};
pub use tenancy::{Tenancy, TenantShare};

/// A point in time or a span, in milliseconds.
pub type Ms = f64;

/// One kibibyte.
pub const KIB: usize = 1 << 10;
/// One mebibyte.
pub const MIB: usize = 1 << 20;
