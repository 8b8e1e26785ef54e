//! A call as the core knows it, and what becomes of it.
use corkbay::{ModelId, Ms, Request, RequestId};
use serde::{Deserialize, Serialize};

/// One request with its body.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Its id, new with each try.
    pub id: RequestId,
    /// Number of its class.
    pub class: usize,
    /// Name of its class.
    pub class_name: String,
    /// Number of its tenant, if any.
    pub tenant: Option<usize>,
    /// Name of the function, where the front knows functions by name.
    pub function: String,
    /// The model it calls.
    pub model: ModelId,
    /// Size of one copy, MB.
    pub memory: f64,
    /// Calls at a time in one copy.
    pub lanes: f64,
    /// Rough time of one load, where told.
    pub load_hint: Option<Ms>,
    /// Rough core time, where told.
    pub cost_hint: Option<Ms>,
    /// The client stops waiting then.
    pub expires: Ms,
    /// The idempotency key of a keyed class.
    pub key: Option<String>,
    /// What the worker is to work on.
    pub body: Vec<u8>,
}

impl Call {
    /// The call as the decisions see it.
    pub fn request(&self) -> Request {
        Request {
            id: self.id,
            class: self.class,
            tenant: self.tenant,
            model: self.model,
            memory: self.memory,
            lanes: self.lanes,
            load_hint: self.load_hint,
            cost_hint: self.cost_hint,
            expires: self.expires,
        }
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
