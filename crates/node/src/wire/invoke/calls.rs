//! Calls of the invoke API in both styles: admission, execution and lookup.
use super::responses::{accepted, answer_response, problem, refused, store_failure};
use super::{Current, InvokeApi, RouteResult, DEADLINE_HEADER};
use crate::core::{
    monotonic_ms, AcceptedRequest, AdmissionError, Answer, Call, Failure, UnixTime, ACCEPTED_REQUEST_WORK,
};
use crate::lifecycle::spawn;
use crate::state::catalog::Function;
use crate::state::invocations::{AcceptedCall, Deferred, Key, Repeat, Rerun};
use crate::wire::accept::Connection;
use crate::wire::http::{RequestHead, Response};
use corkbay::{position, Effect, Ms, Request, RequestId};
use std::net::Shutdown;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a withdrawn call to finish.
const WITHDRAW_WAIT: Duration = Duration::from_secs(2);
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;
/// `Retry-After` for clients of a node that is about to end.
pub(super) const ENDING_RETRY_AFTER_MS: Ms = 1000.0;
/// `Retry-After` for clients of a follower that has no configuration yet.
const NOT_READY_RETRY_AFTER_MS: Ms = 1000.0;
/// `Retry-After` for calls of functions that a follower may have left out; other nodes may have them.
const LEFT_OUT_RETRY_AFTER_MS: Ms = 10_000.0;

/// The result of admission: a call to run, or the response to a repeat of an earlier call.
pub(super) enum Admitted {
    Run(Box<Job>),
    Respond(Response),
}

/// A call that is to be run.
pub(super) struct Job {
    accepted: AcceptedRequest,
    key: Option<Key>,
    /// For a deferred call: the record that its answer is written to.
    accepted_call: Option<AcceptedCall>,
}

/// Validated options of a call, from its headers and the settings of its class.
struct CallOptions {
    id: RequestId,
    class: usize,
    tenant: Option<usize>,
    /// Deadline, in milliseconds of the monotonic clock.
    expires: Ms,
    is_deferred: bool,
    key: Option<Key>,
    /// Until when a repeat of the key gets the answer to the first call, in milliseconds of the monotonic clock.
    repeats_until: Ms,
}

impl InvokeApi {
    /// Validates and accepts a call that arrived at `arrived_at` at the earliest (on the monotonic clock in milliseconds),
    /// unless it repeats an earlier one.
    pub(super) fn admit(
        &self,
        name: &str,
        head: &RequestHead,
        body: Vec<u8>,
        arrived_at: Ms,
    ) -> Result<Admitted, Box<Response>> {
        let function = self.catalog.function(name).ok_or_else(|| self.unknown_function(name))?;
        let options = self.options(name, &function, head, arrived_at)?;
        if let Some(response) = self.repeated(&options, &body)? {
            return Ok(Admitted::Respond(response));
        }
        let key = options.key.clone();
        self.accept(name, &function, options, body).inspect_err(|_| {
            key.iter().for_each(|key| self.invocations.forget(key));
        })
    }

    /// The response to a call of an unconfigured function. Until a follower has a complete copy of the
    /// configuration, or if it may have left out the function for want of room, the call is refused, as the function may
    /// exist.
    fn unknown_function(&self, name: &str) -> Response {
        if !self.role.is_ready() {
            refused("this node has no whole copy of its configuration yet", Some(NOT_READY_RETRY_AFTER_MS))
        } else if self.role.may_lack_function(name) {
            let detail = format!(
                "this node has no function {name:?}, but had to leave out some for want of room in the account catalog"
            );
            refused(&detail, Some(LEFT_OUT_RETRY_AFTER_MS))
        } else {
            problem(404, "unknown-function", &format!("no function {name:?}"), Some(false))
        }
    }

    fn options(
        &self,
        name: &str,
        function: &Function,
        head: &RequestHead,
        arrived_at: Ms,
    ) -> Result<CallOptions, Box<Response>> {
        let invoker = &self.invoker;
        let class = position(&invoker.names.classes, &function.class).ok_or_else(|| {
            problem(404, "unknown-class", "the function's class is unknown here", Some(false))
        })?;
        let arrived_at = invoker.earliest_arrival().min(arrived_at);
        let expires = arrived_at + deadline_span(head, self.catalog.give_up(class))?;
        let (key, window) = match invoker.settings.classes[class].effect {
            Effect::Keyed(_, window) => (Some((name.to_string(), key_of(head)?)), window),
            _ => (None, 0.0),
        };
        Ok(CallOptions {
            id: RequestId(rand::random()),
            class,
            tenant: position(&invoker.names.tenants, &function.tenant),
            expires,
            is_deferred: head.headers.preferences().any(|preference| preference == "respond-async"),
            key,
            repeats_until: expires + window,
        })
    }

    /// The response to a call whose key was used before; none for the first call with its key, or for one without a
    /// key.
    fn repeated(&self, options: &CallOptions, body: &[u8]) -> Result<Option<Response>, Box<Response>> {
        let Some(key) = &options.key else { return Ok(None) };
        match self.invocations.admit(key, options.id, body, options.repeats_until, options.tenant) {
            Repeat::Fresh => Ok(None),
            Repeat::Done(first, _) | Repeat::Open(first)
                if options.is_deferred && self.invocations.get(first).is_some() =>
            {
                Ok(Some(accepted(first)))
            }
            Repeat::Done(_, answer) => Ok(Some(answer_response(&answer))),
            Repeat::Open(_) => {
                let detail = "the first call with this key is still open";
                Err(problem(409, "open", detail, Some(true)).into())
            }
            Repeat::Crowded(retry_after) => {
                Err(refused("there is no room for another idempotency key", retry_after).into())
            }
            Repeat::Mismatch => {
                let detail = "the key came with another body before";
                Err(problem(422, "key-reused", detail, Some(false)).into())
            }
        }
    }

    /// Accepts a call, and stores its record if it is deferred.
    fn accept(
        &self,
        name: &str,
        function: &Function,
        options: CallOptions,
        body: Vec<u8>,
    ) -> Result<Admitted, Box<Response>> {
        let key_text = options.key.as_ref().map(|key| key.1.clone());
        let may_repeat = self.invoker.settings.classes[options.class].effect == Effect::Repeatable;
        let deferred = options.is_deferred.then(|| Deferred {
            function: name.to_string(),
            key: key_text.clone(),
            body_check: crc32fast::hash(&body),
            repeats_until: UnixTime::of(options.repeats_until),
            repeats_for: options.repeats_until - monotonic_ms(),
            answer: None,
            rerun: may_repeat.then(|| Rerun::new(body.clone(), options.expires)),
        });
        let request = Request {
            id: options.id,
            class: options.class,
            tenant: options.tenant,
            model: function.model(name),
            memory: function.memory_mb,
            lanes: f64::from(function.lanes),
            load_hint: None,
            cost_hint: function.cost_ms,
            expires: options.expires,
        };
        let call = Call {
            request,
            class_name: function.class.clone(),
            function: name.to_string(),
            key: key_text,
            body,
        };
        let accepted = self.invoker.accept(call).map_err(|refusal| not_accepted(&refusal))?;
        let store_call = |deferred| self.invocations.accept(options.id, deferred, options.tenant);
        let accepted_call = deferred.map(store_call).transpose().map_err(|error| store_failure(&error))?;
        Ok(Admitted::Run(Box::new(Job { accepted, key: options.key, accepted_call })))
    }

    /// Runs a call to its final answer, whatever its style.
    fn run(
        &self,
        accepted: &AcceptedRequest,
        key: Option<&Key>,
        accepted_call: Option<AcceptedCall>,
    ) -> Answer {
        let answer = self.serve(accepted, key);
        self.invocations.finish(accepted.call().request.id, key, &answer, accepted_call);
        answer
    }

    /// Serves a call and counts its answer.
    pub(super) fn serve(&self, accepted: &AcceptedRequest, key: Option<&Key>) -> Answer {
        let answer = catch_unwind(AssertUnwindSafe(|| accepted.serve()))
            .unwrap_or(Answer::Failed(Failure { may_have_run: true, late: false }));
        let answer = match answer {
            // A retry is harmless only while the workers remember the key, and the client may retry after that.
            Answer::Refused { known, .. } if key.is_some() && known.may_have_run => Answer::Failed(known),
            answer => answer,
        };
        self.invoker.counters.answered(&answer);
        answer
    }

    /// Starts the task of a call. A deferred call is answered with its acceptance and continues without the client.
    pub(super) fn start(
        self: &Arc<Self>,
        job: Box<Job>,
        keep_alive: bool,
        connection: &Arc<Connection>,
    ) -> RouteResult {
        connection.charge_turn(ACCEPTED_REQUEST_WORK);
        let (api, connection) = (self.clone(), connection.clone());
        let (id, is_deferred) = (job.accepted.call().request.id, job.accepted_call.is_some());
        if !is_deferred {
            connection.request_started();
        }
        let task = spawn(move || {
            let Job { accepted, key, accepted_call } = *job;
            let answer = api.run(&accepted, key.as_ref(), accepted_call);
            if is_deferred {
                return true;
            }
            let is_withdrawn = answer == Answer::Withdrawn;
            let written =
                is_withdrawn || connection.answer(&answer_response(&answer).encode(keep_alive)).is_ok();
            connection.request_ended();
            if !keep_alive {
                // Only the writing side is shut down: closing while the client still sends would reset the
                // connection, and the client could lose the response.
                connection.shut(Shutdown::Write);
            }
            written
        });
        if is_deferred {
            RouteResult::Respond(accepted(id))
        } else {
            RouteResult::Held(Current { id, task })
        }
    }

    /// Responds with the state of a deferred call, after waiting up to `wait` for one that is not finished.
    pub(super) fn look_up(&self, id: RequestId, wait: Duration) -> Response {
        match self.invocations.wait(id, wait) {
            None => problem(404, "unknown-invocation", "no such invocation", None),
            Some((_, Deferred { answer: Some(answer), .. })) => answer_response(&answer),
            Some(_) => accepted(id),
        }
    }

    /// Withdraws a deferred call. Only the node that accepted it can do so.
    pub(super) fn withdraw(&self, id: RequestId) -> Response {
        let Some((record, _)) = self.invocations.get(id) else {
            return problem(404, "unknown-invocation", "no such invocation", None);
        };
        if &*record.node != self.catalog.node() {
            let detail = format!("only node {} can withdraw it", record.node);
            return problem(409, "foreign", &detail, None);
        }
        self.invoker.withdraw(id);
        match self.invocations.wait(id, WITHDRAW_WAIT) {
            Some((_, Deferred { answer: Some(Answer::Withdrawn), .. })) => Response::bare(204),
            Some((record, _)) if record.is_final => problem(409, "final", "it has its final answer", None),
            _ => accepted(id),
        }
    }
}

/// The response to a call with invalid headers.
fn malformed(detail: &str) -> Box<Response> {
    problem(400, "malformed", detail, Some(false)).into()
}

/// The time that the client allows for a call, in milliseconds, limited to that of the call's class.
fn deadline_span(head: &RequestHead, max_ms: Ms) -> Result<Ms, Box<Response>> {
    let Some(text) = head.headers.get(&DEADLINE_HEADER.to_ascii_lowercase()) else { return Ok(max_ms) };
    match text.parse::<u32>() {
        Ok(span) if span > 0 => Ok(f64::from(span).min(max_ms)),
        _ => Err(malformed("the deadline is no whole number of milliseconds above 0")),
    }
}

/// The idempotency key of a call whose class requires one.
fn key_of(head: &RequestHead) -> Result<String, Box<Response>> {
    let key = head.headers.get("idempotency-key").unwrap_or_default();
    let plain = key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',' && byte != b'=');
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !plain {
        return Err(malformed("calls of this class carry an Idempotency-Key of 1 to 128 plain characters"));
    }
    Ok(key.to_string())
}

/// The response to a call that the invoker did not accept.
fn not_accepted(refusal: &AdmissionError) -> Response {
    match refusal {
        AdmissionError::Draining => refused("this node is about to end", Some(ENDING_RETRY_AFTER_MS)),
        AdmissionError::Overloaded(span) => refused("there is no room for another call", Some(*span)),
        // Ids are drawn at random here.
        AdmissionError::DuplicateId | AdmissionError::RepeatedId => refused("the id is taken", None),
    }
}
