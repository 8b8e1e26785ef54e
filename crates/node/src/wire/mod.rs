//! What is spoken on the wire. Codecs are pure and bounded; each has its sockets in a module beside it.
pub mod accept;
pub mod channel;
pub mod frames;
pub mod framing;
pub mod front;
pub mod http;
pub mod http_workers;
pub mod intake;
pub mod invoke;
pub mod metrics;
pub mod operators;
pub mod passage;
pub mod replicate;
pub mod socket;
pub mod sse;
pub mod thrift;
pub mod workers;
