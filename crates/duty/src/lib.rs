//! What operators ask of a running invoker, as decisions without I/O and without a clock.
//!
//! [`Bans`] are their word on hosts, which stands beside the directory's. [`Duty`] tells whether the invoker wants
//! clients, whether it takes requests, and when it lets the connections of clients go. [`Word`] is what of this passes
//! from a process to its successor, [`Company`] which of the two this one is, [`Message`] what passes with the
//! connections of clients, and [`Redial`] when a source of news that failed is called again.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bans;
mod company;
mod duty;
mod passage;
mod redial;
mod word;

pub use bans::{Bans, Stay};
pub use company::{Company, Other, Seen};
pub use duty::{Duty, Leave, Terms};
pub use passage::{BadMessage, Head, Message, HEAD, MOST_BODY};
pub use redial::Redial;
pub use word::{look, BadWord, Look, Word, MOST};

/// Milliseconds: points in time on the Unix clock, and spans.
pub type Ms = f64;
