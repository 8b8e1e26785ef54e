//! Network protocols. Codecs do no I/O and bound the size of what they accept; the code that uses sockets is in
//! modules of its own.
pub mod accept;
pub mod command_channel;
pub mod connection_handover;
pub mod feed;
pub mod frames;
pub mod framing;
pub mod http;
pub mod http_workers;
pub mod invoke;
pub mod left_out;
pub mod metrics;
pub mod operators;
pub mod receive_buffer;
pub mod record_changes;
pub mod record_index;
pub mod replication;
pub mod socket;
pub mod sse;
pub mod thrift;
pub mod thrift_front;
pub mod workers;
