//! Requests, attempts and outcomes, independent of any protocol: fronts hand in calls and return the answers,
//! and implementations of [`Workers`] send attempts and orders to workers.
mod attempt;
mod call;
mod counting;
mod invoker;
mod stall;
mod unserved;

pub use crate::clock::{monotonic_ms, time_until, UnixTime};
pub use attempt::{AbortReason, AttemptError, WorkerRefusal};
pub use call::{Answer, Call, Failure};
pub(crate) use invoker::lock;
pub use invoker::{AcceptedRequest, AdmissionError, Inbox, Invoker, ACCEPTED_REQUEST_WORK};

pub use stall::{process_stalls, LoadChange, StallDetector, HEARTBEAT_INTERVAL};
pub use unserved::{peer_lines, LogLineLimit, Unserved};

use crate::state::counters::ConnectionAttempts;
use crate::state::roster::Host;
use corkbay::{ModelId, Ms};
use std::sync::Arc;
use std::time::Duration;

/// Called once when an attempt ends: with the body that the worker returned, or with the error.
pub type OnAttemptEnd = Box<dyn FnOnce(Result<Vec<u8>, AttemptError>) + Send>;

/// An attempt in flight.
pub trait Exchange: Send {
    /// Cancels the attempt and returns how far it had come; `None` if its end was already reported.
    fn cancel(&mut self, cause: AbortReason) -> Option<AttemptError>;
    /// The cancel notice for this attempt, which may still be on its way to the worker.
    fn cancel_notice(&self) -> &CancelNotice;
}

/// Tracks a cancel notice on its way to a worker. Each holder of the notice keeps a clone; the notice counts
/// as sent once all clones are dropped, whether it was written or lost with its connection.
#[derive(Clone, Debug, Default)]
pub struct CancelNotice(Arc<()>);

impl CancelNotice {
    /// Whether no clone is held any more; also true if there was no notice to send.
    pub fn is_sent(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }
}

/// Access to the workers, independent of the protocol.
pub trait Workers: Send + Sync + 'static {
    /// Starts an attempt without blocking. The client waits until `expires`; the attempt is sent by `by` or
    /// not at all (both in milliseconds on the monotonic clock).
    fn send(
        &self,
        host: &Arc<Host>,
        call: &Arc<Call>,
        expires: Ms,
        by: Ms,
        end: OnAttemptEnd,
    ) -> Box<dyn Exchange>;
    /// Orders the worker to hold `copies` copies of a model (0 only queries) and waits up to `within` for the
    /// answer. Returns the result and the number of copies that are loaded. An order that cannot be sent by
    /// `by` is not sent.
    fn load(
        &self,
        host: &Arc<Host>,
        model: ModelId,
        copies: u32,
        by: Ms,
        within: Duration,
    ) -> (Result<(), AttemptError>, u32);
    /// Has the worker unload its idle copies of a model; there is no answer.
    fn evict(&self, host: &Arc<Host>, model: ModelId);
    /// Counters of connection attempts, for transports whose connections outlive a call.
    fn connection_attempts(&self) -> Arc<ConnectionAttempts> {
        Arc::default()
    }
    /// Checks that the worker is alive.
    fn probe(&self, host: &Arc<Host>, within: Duration) -> Result<(), AttemptError>;
}

/// Serializes bodies as base64 text in stored records.
pub(crate) mod base64_text {
    use base64::{engine::general_purpose::STANDARD, Engine};
    use serde::{de::Error, Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(body))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        STANDARD.decode(String::deserialize(deserializer)?).map_err(D::Error::custom)
    }
}
