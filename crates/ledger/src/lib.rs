//! Memory accounted by purpose: who holds how much, what each purpose may hold, and what happens when it
//! wants more.
//!
//! An [`Account`] counts bytes against a cap and belongs to a parent that counts them too, so that the part
//! of a purpose, or of a tenant within it, can be seen and capped below the whole. A [`Reservation`] is
//! taken before the memory is and gives its bytes back when it is dropped. A [`Budget`] turns the memory of
//! a process into caps that add up. [`pressure::decide`] says what a full account leads to: the table of
//! [`Purpose`]s names the answer of each. A [`Ledger`] holds all of it for one process.
//!
//! The crate does no I/O, reads no clock and starts no thread. Whoever waits for room hands in a closure
//! that is called once there is some.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod account;
mod alarm;
mod budget;
mod ledger;
pub mod pressure;
mod purpose;
mod tenancy;

pub use account::{Account, Full, Reservation, Waiting};
pub use alarm::{Alarm, Warning};
pub use budget::{Budget, BudgetError, Shares};
pub use ledger::{Ledger, Line};
pub use purpose::{Answer, Purpose, Terms};
pub use tenancy::{Tenancy, TenantShare};

/// A point in time or a span, in milliseconds.
pub type Ms = f64;

/// One kibibyte.
pub const KIB: usize = 1 << 10;
/// One mebibyte.
pub const MIB: usize = 1 << 20;
