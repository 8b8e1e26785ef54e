//! A call as the core knows it, and what becomes of it.
use corkbay::{Ms, Request};
use serde::{Deserialize, Serialize};

/// One request with what a worker needs of it.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The request as the decisions see it.
    pub request: Request,
    /// Name of its class.
    pub class_name: String,
    /// Name of the function, where the front knows functions by name.
    pub function: String,
    /// The idempotency key of a keyed class.
    pub key: Option<String>,
    /// What the worker is to work on.
    pub body: Vec<u8>,
}

impl Call {
    /// What its texts and body take, in bytes. The body stands once here and once in what is written to a
    /// worker.
    pub fn size(&self) -> usize {
        let key = self.key.as_ref().map_or(0, String::capacity);
        self.class_name.capacity() + self.function.capacity() + key + 2 * self.body.capacity()
    }
}

/// What is known of a call that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// An attempt was whole on a wire and no proof came that it did not run.
    pub may_have_run: bool,
    /// The client's time ran out.
    pub late: bool,
}

/// The one final answer of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "state")]
pub enum Answer {
    /// Done.
    Served {
        /// The body that a worker gave.
        #[serde(with = "super::base64_text")]
        body: Vec<u8>,
    },
    /// Not done; another try is harmless, after that many milliseconds.
    Refused {
        /// Advice when to come again; 0 for none.
        retry_after: Ms,
        /// What is known of it.
        known: Failure,
    },
    /// Not done, and nothing is promised.
    Failed(Failure),
    /// Nobody waits for it any more.
    Withdrawn,
}
