//! Network protocols. Codecs do no I/O and bound the size of what they accept; the code that uses sockets is in
//! modules of its own.
pub mod accept;
pub mod channel;
pub mod feed;
pub mod frames;
pub mod framing;
pub mod front;
pub mod http;
pub mod http_workers;
pub mod index;
pub mod intake;
pub mod invoke;
pub mod metrics;
pub mod news;
pub mod operators;
pub mod passage;
pub mod replicate;
pub mod socket;
pub mod sse;
pub mod thrift;
pub mod workers;
