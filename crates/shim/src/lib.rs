//! Test only: an `LD_PRELOAD` library that shifts the wall clock of a process and fails its system calls.
//!
//! The environment variable `CORKBAY_SHIM` names a control file of [`CONTROL_FILE_BYTES`] bytes, which is mapped when the process
//! starts. The parent process writes 64-bit words in native byte order to the file; they take effect at the next call.
//! The first word is the offset of the wall clock in nanoseconds. From word [`FIRST_FAULT_WORD`] on, each kind of call has
//! [`WORDS_PER_FAULT`] words:
//!
//! 1. the period: one call in this many fails; 0 for no failures
//! 2. the error number; 0 makes calls that transfer data transfer only half of the bytes
//! 3. the number of failures that remain
//! 4. the number of calls so far, counted by this library
#![warn(missing_docs)]

mod calls;
mod clock;
mod control;

pub use control::{Call, CONTROL_FILE_BYTES, FIRST_FAULT_WORD, WORDS_PER_FAULT};
