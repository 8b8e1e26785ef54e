//! Calls of the invoke API: taken in, run and looked up, in both styles.
use super::responses::{accepted, problem, refused, respond, unkept};
use super::{Current, InvokeApi, Next, DEADLINE_HEADER};
use crate::core::{monotonic_ms, Answer, Call, Failure, NotTaken, Taken, UnixTime};
use crate::life::spawn;
use crate::memory::catalog::Function;
use crate::memory::invocations::{Deferred, Key, Promise, Repeat, Rerun};
use crate::wire::accept::Connection;
use crate::wire::http::{RequestHead, Response};
use corkbay::{position, Effect, Ms, Request, RequestId};
use std::net::Shutdown;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a withdrawn call to come to its end.
const WITHDRAW_WAIT: Duration = Duration::from_secs(2);
const MAX_KEY: usize = 128;
/// Advice to a client of a node that is about to end, in milliseconds.
pub(super) const ENDING_MS: Ms = 1000.0;
/// Advice to a client of a follower that has no configuration yet.
const NOT_READY_MS: Ms = 1000.0;

/// A call that may be run, or what its key is answered.
pub(super) enum Admitted {
    Run(Box<Job>),
    Respond(Response),
}

/// A call that is to be run.
pub(super) struct Job {
    taken: Taken,
    key: Option<Key>,
    /// Where the call is deferred.
    promise: Option<Promise>,
}

/// What a call's headers say, checked.
struct Terms {
    id: RequestId,
    class: usize,
    tenant: Option<usize>,
    /// When the call is given up on.
    expires: Ms,
    is_deferred: bool,
    key: Option<Key>,
    /// Until when a repeat of the key is answered as the first call was.
    repeats_until: Ms,
}

impl InvokeApi {
    /// Reads a call and takes it in, unless it repeats an earlier one.
    pub(super) fn admit(
        &self,
        name: &str,
        head: &RequestHead,
        body: Vec<u8>,
    ) -> Result<Admitted, Box<Response>> {
        let function = self.catalog.function(name).ok_or_else(|| self.unknown_function(name))?;
        let terms = self.terms(name, &function, head)?;
        if let Some(response) = self.repeated(&terms, &body)? {
            return Ok(Admitted::Respond(response));
        }
        let key = terms.key.clone();
        self.take(name, &function, terms, body).inspect_err(|_| {
            key.iter().for_each(|key| self.invocations.forget(key));
        })
    }

    /// What a call of a function without a record is told: nothing is unknown for good before the first copy is whole.
    fn unknown_function(&self, name: &str) -> Response {
        if self.role.is_ready() {
            problem(404, "unknown-function", &format!("no function {name:?}"), Some(false))
        } else {
            refused("this node has no whole copy of its configuration yet", Some(NOT_READY_MS))
        }
    }

    fn terms(&self, name: &str, function: &Function, head: &RequestHead) -> Result<Terms, Box<Response>> {
        let invoker = &self.invoker;
        let class = position(&invoker.names.classes, &function.class).ok_or_else(|| {
            problem(404, "unknown-class", "the function's class is unknown here", Some(false))
        })?;
        let expires = invoker.came_at() + allowed(head, self.catalog.give_up(class))?;
        let (key, window) = match invoker.settings.classes[class].effect {
            Effect::Keyed(_, window) => (Some((name.to_string(), key_of(head)?)), window),
            _ => (None, 0.0),
        };
        Ok(Terms {
            id: RequestId(rand::random()),
            class,
            tenant: position(&invoker.names.tenants, &function.tenant),
            expires,
            is_deferred: head.headers.preferences().any(|preference| preference == "respond-async"),
            key,
            repeats_until: expires + window,
        })
    }

    /// What a call is answered whose key came before; none where it is the first, or has no key.
    fn repeated(&self, terms: &Terms, body: &[u8]) -> Result<Option<Response>, Box<Response>> {
        let Some(key) = &terms.key else { return Ok(None) };
        match self.invocations.admit(key, terms.id, body, terms.repeats_until, terms.tenant) {
            Repeat::Fresh => Ok(None),
            Repeat::Done(first, _) | Repeat::Open(first)
                if terms.is_deferred && self.invocations.get(first).is_some() =>
            {
                Ok(Some(accepted(first)))
            }
            Repeat::Done(_, answer) => Ok(Some(respond(&answer))),
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

    /// Takes a call in, and keeps its record where it is deferred.
    fn take(
        &self,
        name: &str,
        function: &Function,
        terms: Terms,
        body: Vec<u8>,
    ) -> Result<Admitted, Box<Response>> {
        let key_text = terms.key.as_ref().map(|key| key.1.clone());
        let may_repeat = self.invoker.settings.classes[terms.class].effect == Effect::Repeatable;
        let deferred = terms.is_deferred.then(|| Deferred {
            function: name.to_string(),
            key: key_text.clone(),
            body_check: crc32fast::hash(&body),
            repeats_until: UnixTime::of(terms.repeats_until),
            repeats_for: terms.repeats_until - monotonic_ms(),
            answer: None,
            rerun: may_repeat.then(|| Rerun::new(body.clone(), terms.expires)),
        });
        let request = Request {
            id: terms.id,
            class: terms.class,
            tenant: terms.tenant,
            model: function.model(name),
            memory: function.memory_mb,
            lanes: f64::from(function.lanes),
            load_hint: None,
            cost_hint: function.cost_ms,
            expires: terms.expires,
        };
        let call = Call {
            request,
            class_name: function.class.clone(),
            function: name.to_string(),
            key: key_text,
            body,
        };
        let taken = self.invoker.take(call).map_err(|refusal| not_taken(&refusal))?;
        let accept = |deferred| self.invocations.accept(terms.id, deferred, terms.tenant);
        let promise = deferred.map(accept).transpose().map_err(|error| unkept(&error))?;
        Ok(Admitted::Run(Box::new(Job { taken, key: terms.key, promise })))
    }

    /// The one path of every call, whatever its style.
    fn run(&self, taken: &Taken, key: Option<&Key>, promise: Option<Promise>) -> Answer {
        let answer = self.serve(taken, key);
        self.invocations.finish(taken.call().request.id, key, &answer, promise);
        answer
    }

    /// Has a call served, and counts its answer.
    pub(super) fn serve(&self, taken: &Taken, key: Option<&Key>) -> Answer {
        let answer = catch_unwind(AssertUnwindSafe(|| taken.serve()))
            .unwrap_or(Answer::Failed(Failure { may_have_run: true, late: false }));
        let answer = match answer {
            // Another try is harmless only while workers know the key, and nobody can say when the client comes again.
            Answer::Refused { known, .. } if key.is_some() && known.may_have_run => Answer::Failed(known),
            answer => answer,
        };
        self.invoker.counters.answered(&answer);
        answer
    }

    /// Starts the task of a call. A deferred one is accepted; it runs on without its client.
    pub(super) fn start(
        self: &Arc<Self>,
        job: Box<Job>,
        keep_alive: bool,
        connection: &Arc<Connection>,
    ) -> Next {
        let (api, connection) = (self.clone(), connection.clone());
        let (id, is_deferred) = (job.taken.call().request.id, job.promise.is_some());
        if !is_deferred {
            connection.opened();
        }
        let task = spawn(move || {
            let Job { taken, key, promise } = *job;
            let answer = api.run(&taken, key.as_ref(), promise);
            if is_deferred {
                return true;
            }
            let gone = answer == Answer::Withdrawn;
            let written = gone || connection.answer(&respond(&answer).encode(keep_alive)).is_ok();
            connection.closed();
            if !keep_alive {
                // What the client still sends is read for a while: a close now would be a reset.
                connection.shut(Shutdown::Write);
            }
            written
        });
        if is_deferred {
            Next::Respond(accepted(id))
        } else {
            Next::Held(Current { id, task })
        }
    }

    /// Tells how a deferred call stands, after that wait where it is still open.
    pub(super) fn look_up(&self, id: RequestId, wait: Duration) -> Response {
        match self.invocations.wait(id, wait) {
            None => problem(404, "unknown-invocation", "no such invocation", None),
            Some((_, Deferred { answer: Some(answer), .. })) => respond(&answer),
            Some(_) => accepted(id),
        }
    }

    /// Withdraws a deferred call; only the node that accepted it can.
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

fn malformed(detail: &str) -> Box<Response> {
    problem(400, "malformed", detail, Some(false)).into()
}

/// The client's time for a call in milliseconds, at most that of its class.
fn allowed(head: &RequestHead, most: Ms) -> Result<Ms, Box<Response>> {
    let Some(text) = head.headers.get(&DEADLINE_HEADER.to_ascii_lowercase()) else { return Ok(most) };
    match text.parse::<u32>() {
        Ok(span) if span > 0 => Ok(f64::from(span).min(most)),
        _ => Err(malformed("the deadline is no whole number of milliseconds above 0")),
    }
}

/// The idempotency key of a call whose class wants one.
fn key_of(head: &RequestHead) -> Result<String, Box<Response>> {
    let key = head.headers.get("idempotency-key").unwrap_or_default();
    let plain = key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',' && byte != b'=');
    if key.is_empty() || key.len() > MAX_KEY || !plain {
        return Err(malformed("calls of this class carry an Idempotency-Key of 1 to 128 plain characters"));
    }
    Ok(key.to_string())
}

fn not_taken(refusal: &NotTaken) -> Response {
    match refusal {
        NotTaken::Draining => refused("this node is about to end", Some(ENDING_MS)),
        NotTaken::Crowded(span) => refused("there is no room for another call", Some(*span)),
        NotTaken::Open => refused("the id is taken", None),
    }
}
