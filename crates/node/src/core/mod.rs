//! Requests, attempts and outcomes. No wire is known here: fronts hand calls in and carry answers
//! away, [`Workers`] carry attempts and orders out.
mod attempt;
mod call;
mod counting;
mod invoker;
mod stall;
mod unserved;

pub use crate::clock::{monotonic_ms, until, UnixTime};
pub use attempt::{AttemptError, Cause, Verdict};
pub use call::{Answer, Call, Failure};
pub(crate) use invoker::lock;
pub use invoker::{Inbox, Invoker, NotTaken, Taken};

pub use stall::{StallWatch, Turn, HEARTBEAT};
pub use unserved::{LineBudget, Unserved};

use crate::memory::counters::Dials;
use crate::memory::roster::Host;
use corkbay::{ModelId, Ms};
use std::sync::Arc;
use std::time::Duration;

/// Told once how an attempt ended: with the worker's body, or how far it had come.
pub type Ending = Box<dyn FnOnce(Result<Vec<u8>, AttemptError>) + Send>;

/// An attempt that is out.
pub trait Exchange: Send {
    /// Gives the attempt up and tells how far it had come; `None` when its end was told already.
    fn give_up(&mut self, cause: Cause) -> Option<AttemptError>;
    /// The notice that it was given up, on its way to the worker.
    fn cancel_notice(&self) -> &CancelNotice;
}

/// A notice on its way that an attempt was given up: held by whatever carries it, and sent once nothing does, be it
/// written or lost with its connection.
#[derive(Clone, Debug, Default)]
pub struct CancelNotice(Arc<()>);

impl CancelNotice {
    /// Whether nothing carries it any more; true as well where there was nothing to tell.
    pub fn is_sent(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }
}

/// The way to the workers, whatever is spoken there.
pub trait Workers: Send + Sync + 'static {
    /// Starts an attempt that the client waits for until `expires` and that goes out until `by` or not at all; never
    /// blocks.
    fn send(&self, host: &Arc<Host>, call: &Arc<Call>, expires: Ms, by: Ms, end: Ending)
        -> Box<dyn Exchange>;
    /// Orders copies of a model held (0 only asks) and waits for the word on it: how many stand. An order that
    /// can't go out by that time is not given.
    fn load(
        &self,
        host: &Arc<Host>,
        model: ModelId,
        copies: u32,
        by: Ms,
        within: Duration,
    ) -> (Result<(), AttemptError>, u32);
    /// Has the idle copies of a model unloaded; nothing is heard of it.
    fn evict(&self, host: &Arc<Host>, model: ModelId);
    /// Connections counted so far, where they last beyond a call.
    fn dials(&self) -> Arc<Dials> {
        Arc::default()
    }
    /// Asks whether the worker lives.
    fn probe(&self, host: &Arc<Host>, within: Duration) -> Result<(), AttemptError>;
}

/// Bodies as base64 text in records.
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
