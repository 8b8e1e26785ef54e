//! A call as the core represents it, and its final answer.
use corkbay::{Ms, Request};
use serde::{Deserialize, Serialize};

/// A request together with the data that a worker needs to run it.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The request as the dispatcher sees it.
    pub request: Request,
    /// Name of its class.
    pub class_name: String,
    /// Name of the function, for fronts that identify functions by name.
    pub function: String,
    /// The idempotency key, for classes with effect "keyed".
    pub key: Option<String>,
    /// The input of the function.
    pub body: Vec<u8>,
}

impl Call {
    /// Size of the strings and the body, in bytes. The body counts twice: it is stored here and copied into
    /// the write buffer of the worker connection.
    pub fn size(&self) -> usize {
        let key = self.key.as_ref().map_or(0, String::capacity);
        self.class_name.capacity() + self.function.capacity() + key + 2 * self.body.capacity()
    }
}

/// Details of a call that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// An attempt was sent completely and there is no proof that it did not run.
    pub may_have_run: bool,
    /// The client's deadline passed.
    pub late: bool,
}

/// The final answer of a call; each call has exactly one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "state")]
pub enum Answer {
    /// The call was served.
    Served {
        /// The body that the worker returned.
        #[serde(with = "super::base64_text")]
        body: Vec<u8>,
    },
    /// Not served; a retry is safe after `retry_after` milliseconds.
    Refused {
        /// Suggested delay before a retry, in milliseconds; 0 for none.
        retry_after: Ms,
        /// Details of the failure.
        known: Failure,
    },
    /// Not served, and nothing is known about whether a retry is safe.
    Failed(Failure),
    /// The client withdrew the call.
    Withdrawn,
}
