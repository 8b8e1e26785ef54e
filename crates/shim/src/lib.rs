//! Test only: a library for `LD_PRELOAD` that moves the wall clock of a process and fails its system calls.
//!
//! `CORKBAY_SHIM` names a control file of [`PAGE`] bytes, which is mapped when the process starts. Whoever runs the
//! process writes 64-bit words in native order there, and they take effect at the next call. The first word is the
//! offset of the wall clock in nanoseconds. From word [`FIRST_FAULT`] on each kind of call has [`WORDS_PER_FAULT`]
//! words: the period (each so many calls one fails; 0 for none), the error number (0 for half of the bytes, where
//! the call has bytes), how many more failures may come, and the number of calls seen, which the library counts.
#![warn(missing_docs)]

mod calls;
mod clock;
mod control;

pub use control::{Call, FIRST_FAULT, PAGE, WORDS_PER_FAULT};
