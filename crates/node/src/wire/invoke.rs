//! The invoke API: HTTP/1.1, synchronous and deferred calls, with the functions and workers beside them.
//!
//! Both styles go through [`Desk::run`]; they differ only in how the answer travels.
use super::accept::Connection;
use super::feed::{ReadOnly, Role};
use super::http::{BadHttp, RequestHead, Response};
use super::intake::{Intake, CHUNK};
use super::metrics;
use crate::core::{now_ms, Answer, Call, Failure, Invoker, NotTaken, Taken};
use crate::life::spawn;
use crate::memory::catalog::{Catalog, CatalogError, Function, Object, Worker};
use crate::memory::clients::ClientState;
use crate::memory::invocations::{Deferred, Invocations, Key, Promise, Repeat};
use crate::memory::room::{grow, NO_ROOM};
use crate::memory::store::StoreError;
use corkbay::{position, Effect, Ms, Request, RequestId};
use corkbay_ledger::{Purpose, Reservation};
use may::coroutine::JoinHandle;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

/// The client's time for a call, in milliseconds from now.
pub const DEADLINE_HEADER: &str = "Corkbay-Deadline-Ms";
/// Whether a call that was not served may have run, in lower case.
pub const MAY_HAVE_RUN_HEADER: &str = "corkbay-may-have-run";
/// Largest body of a request.
pub const MAX_BODY: usize = 16 << 10;
/// Longest time for which a client may hold a call for a deferred answer.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Longest wait for a withdrawn call to come to its end.
const WITHDRAW_WAIT: Duration = Duration::from_secs(2);
const IDLE: Duration = Duration::from_secs(60);
/// Longest silence within a request.
const MESSAGE: Duration = Duration::from_secs(10);
/// Longest time for which a client may stop reading while a response is written to it.
pub const WRITE_STALL: Duration = Duration::from_secs(5);
/// How often a held call is looked at while its client has sent its next request already.
const ANSWER_LOOK: Duration = Duration::from_millis(2);
/// How long, and for how many bytes, a client may go on sending after the last answer.
const LINGER: Duration = Duration::from_secs(1);
const MAX_KEY: usize = 128;
/// Advice to a client of a node that is about to end, in milliseconds.
const ENDING_MS: Ms = 1000.0;
/// Advice to a client of a follower that has no configuration yet.
const NOT_READY_MS: Ms = 1000.0;
/// Advice to a client for whose connection there is no room.
const CROWDED_MS: Ms = 1000.0;

/// What the API works on.
pub struct Desk {
    /// The core.
    pub invoker: Arc<Invoker>,
    /// Keys and deferred calls.
    pub invocations: Arc<Invocations>,
    /// Functions and workers.
    pub catalog: Arc<Catalog>,
    /// Where the configuration comes from and goes to.
    pub role: Role,
}

/// A call whose answer goes out on the connection.
struct Current {
    id: RequestId,
    task: JoinHandle<bool>,
}

/// What a request comes to.
enum Next {
    /// This response, at once.
    Respond(Response),
    /// The same for one that is large enough to be counted while it is written.
    Counted(Response, Reservation),
    /// The answer of this task, which writes it itself.
    Held(Current),
}

/// A call that is to be run.
struct Job {
    taken: Taken,
    key: Option<Key>,
    /// Where the call is deferred.
    promise: Option<Promise>,
}

/// The life of one client connection.
pub fn serve(desk: &Arc<Desk>, connection: &Arc<Connection>) {
    let mut current = None;
    // The end of the connection, however it comes, leaves nobody to wait for a held call.
    let end = converse(desk, connection, &mut current);
    if let Some(Current { id, task }) = current {
        desk.invoker.withdraw(id);
        let _ = task.join();
    }
    if end.is_ok() {
        connection.linger(LINGER);
    }
    connection.shut(Shutdown::Both);
}

/// Answers requests in the order they come; `Ok` once the last is answered.
fn converse(desk: &Arc<Desk>, connection: &Arc<Connection>, current: &mut Option<Current>) -> io::Result<()> {
    let (mut raw, mut chunk) = (Intake::new(connection.account(), Purpose::Clients), vec![0; CHUNK]);
    let chunk = chunk.as_mut_slice();
    let fill = |raw: &mut Intake, chunk: &mut [u8]| loop {
        let within = if raw.is_empty() { IDLE } else { MESSAGE };
        match raw.fill(connection, chunk, within) {
            Ok(0) => read_to_its_end(connection)?,
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == ErrorKind::TimedOut => {
                // While a call is held the client has nothing to say, and it may have been answered while this waited.
                let (state, since) = connection.state();
                if state != ClientState::Busy && now_ms() - since >= within.as_secs_f64() * 1000.0 {
                    return Err(error);
                }
            }
            Err(error) => return Err(error),
        }
    };
    loop {
        let mut head = loop {
            match RequestHead::decode(raw.bytes()) {
                Ok(Some(head)) => break head,
                Ok(None) => match fill(&mut raw, chunk) {
                    Err(error) if error.kind() == NO_ROOM => {
                        return refuse_to_read(connection, &mut raw, chunk, current, no_room())
                    }
                    end => end?,
                },
                Err(error) => {
                    return refuse_to_read(connection, &mut raw, chunk, current, unreadable(&error))
                }
            }
        };
        if head.headers.get("expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue")) {
            connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let mut body = Vec::new();
        loop {
            match head.body.feed(raw.bytes(), &mut body, MAX_BODY) {
                Ok(true) => break,
                Ok(false) => {
                    let room = raw.beside(body.capacity());
                    match room.and_then(|()| fill(&mut raw, chunk)) {
                        Err(error) if error.kind() == NO_ROOM => {
                            return refuse_to_read(connection, &mut raw, chunk, current, no_room());
                        }
                        end => end?,
                    }
                }
                Err(error) => {
                    return refuse_to_read(connection, &mut raw, chunk, current, unreadable(&error))
                }
            }
        }
        // From here on the body counts with the call.
        raw.beside(0)?;
        // One answer after the other, in the order of the requests.
        if !answered(connection, &mut raw, chunk, current, true)? {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let kept = connection.keep();
        head.keep_alive &= !connection.is_turned_away();
        match route(desk, &head, body, connection) {
            Next::Respond(response) => connection.answer(&response.encode(head.keep_alive))?,
            Next::Counted(response, held) => {
                connection.answer(&response.encode(head.keep_alive))?;
                drop(held);
            }
            Next::Held(held) => *current = Some(held),
        }
        drop(kept);
        if !head.keep_alive {
            // Until a held call has its answer, and no more is written, the client may leave.
            while current.is_some() && connection.state().0 == ClientState::Busy {
                raw.bytes().clear();
                match raw.fill(connection, chunk, LINGER) {
                    Ok(0) => read_to_its_end(connection)?,
                    Err(error) if error.kind() != ErrorKind::TimedOut => return Err(error),
                    _ => {}
                }
            }
            return Ok(());
        }
    }
}

/// Nothing more will be read: the client has left, unless the reading side was shut here. Then what had come by that time
/// is owed, and waited for a little.
fn read_to_its_end(connection: &Connection) -> io::Result<()> {
    if !connection.is_shut() || connection.state().0 != ClientState::Busy {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    connection.wait_for_an_end(ANSWER_LOOK);
    Ok(())
}

/// Waits until the held call, if there is one, has its answer; whether that could be written. What the client sends
/// ahead is read meanwhile, as far as it fits the chunk that is paid for; it is kept or thrown away. Its leaving is seen also
/// behind what does not fit.
fn answered(
    connection: &Connection,
    ahead: &mut Intake,
    chunk: &mut [u8],
    current: &mut Option<Current>,
    keep: bool,
) -> io::Result<bool> {
    while current.as_ref().is_some_and(|before| !before.task.is_done()) {
        if !keep {
            ahead.bytes().clear();
        }
        let room = CHUNK.saturating_sub(ahead.bytes().len());
        if room == 0 {
            if connection.is_hung_up() {
                read_to_its_end(connection)?;
            }
            may::coroutine::sleep(ANSWER_LOOK);
            continue;
        }
        match ahead.fill(connection, &mut chunk[..room], ANSWER_LOOK) {
            // The reading side was shut here with the answer, and what came before is owed.
            Ok(0) if connection.is_shut() && current.as_ref().is_some_and(|before| before.task.is_done()) => {
            }
            Ok(0) => read_to_its_end(connection)?,
            Err(error) if error.kind() != ErrorKind::TimedOut => return Err(error),
            _ => {}
        }
    }
    Ok(current.take().is_none_or(|before| before.task.join().unwrap_or(false)))
}

/// Answers what can't be read any further, after what came before it.
fn refuse_to_read(
    connection: &Connection,
    raw: &mut Intake,
    chunk: &mut [u8],
    current: &mut Option<Current>,
    answer: Response,
) -> io::Result<()> {
    answered(connection, raw, chunk, current, false)?;
    connection.answer(&answer.encode(false))
}

fn unreadable(error: &BadHttp) -> Response {
    let status = if *error == BadHttp::Long { 413 } else { 400 };
    problem(status, "malformed", &error.to_string(), Some(false))
}

fn no_room() -> Response {
    refused("there is no room to read the request", Some(ENDING_MS))
}

fn route(desk: &Arc<Desk>, head: &RequestHead, body: Vec<u8>, connection: &Arc<Connection>) -> Next {
    let parts: Vec<&str> = head.path.trim_matches('/').split('/').collect();
    let is_change = matches!(
        (head.method.as_str(), parts.as_slice()),
        ("PUT" | "DELETE", ["v1", "functions" | "workers", _])
    );
    if let (true, Some(read_only)) = (is_change, desk.role.read_only()) {
        return Next::Respond(not_here(&read_only));
    }
    Next::Respond(match (head.method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "functions", _, "invocations"]) if connection.is_turned_away() => {
            desk.invoker.counters.turned_away.add();
            refused("there is no room for another connection", Some(CROWDED_MS))
        }
        ("POST", ["v1", "functions", function, "invocations"]) => {
            return match desk.admit(function, head, body) {
                Ok(Admitted::Run(job)) => desk.start(job, head.keep_alive, connection),
                Ok(Admitted::Respond(response)) | Err(response) => Next::Respond(response),
            };
        }
        ("GET", ["v1", "invocations", id]) => match id_of(id) {
            Some(id) => desk.look_up(id, wait_of(head)),
            None => problem(404, "unknown-invocation", "no such invocation", None),
        },
        ("DELETE", ["v1", "invocations", id]) => match id_of(id) {
            Some(id) => desk.withdraw(id),
            None => problem(404, "unknown-invocation", "no such invocation", None),
        },
        ("GET", ["v1", "functions"]) => return listed(desk.catalog.functions(), connection),
        ("GET", ["v1", "workers"]) => return listed(desk.catalog.listed_workers(), connection),
        ("GET", ["v1", "status"]) => json_response(200, &metrics::status(&desk.invoker, &desk.role)),
        ("GET", ["metrics"]) => {
            Response::new(200, metrics::CONTENT_TYPE, metrics::text(&desk.invoker, &desk.role))
        }
        ("PUT", ["v1", "functions", name]) => put(&body, |function: Function| {
            desk.check_function(&function)?;
            desk.catalog.put_function(name, &function)
        }),
        ("PUT", ["v1", "workers", name]) => put(&body, |worker: Worker| {
            desk.catalog.put_worker(name, &worker)?;
            desk.catalog.announce(&desk.invoker);
            Ok(())
        }),
        ("DELETE", ["v1", "functions", name]) => changed(desk.catalog.remove_function(name)),
        ("DELETE", ["v1", "workers", name]) => changed(desk.catalog.remove_worker(name).map(|()| {
            desk.catalog.announce(&desk.invoker);
        })),
        (_, ["v1", "invocations", _] | ["v1", "functions" | "workers" | "status"] | ["metrics"])
        | (_, ["v1", "functions" | "workers", _] | ["v1", "functions", _, "invocations"]) => {
            problem(405, "method", "the method does not apply here", Some(false))
        }
        _ => problem(404, "unknown-path", "nothing stands here", Some(false)),
    })
}

/// A call that may be run, or what its key is answered.
enum Admitted {
    Run(Box<Job>),
    Respond(Response),
}

impl Desk {
    /// Reads a call and takes it in, unless it repeats an earlier one.
    fn admit(&self, name: &str, head: &RequestHead, body: Vec<u8>) -> Result<Admitted, Response> {
        let bad = |detail: &str| problem(400, "malformed", detail, Some(false));
        let function = self.catalog.function(name).ok_or_else(|| self.unknown_function(name))?;
        let invoker = &self.invoker;
        let class = position(&invoker.names.classes, &function.class).ok_or_else(|| {
            problem(404, "unknown-class", "the function's class is unknown here", Some(false))
        })?;
        let most = self.catalog.give_up(class);
        let allowed = match head.headers.get(&DEADLINE_HEADER.to_ascii_lowercase()) {
            None => most,
            Some(text) => match text.parse::<u32>() {
                Ok(span) if span > 0 => f64::from(span).min(most),
                _ => return Err(bad("the deadline is no whole number of milliseconds above 0")),
            },
        };
        let expires = now_ms() + allowed;
        let id = RequestId(rand::random());
        let is_deferred = head.headers.preferences().any(|preference| preference == "respond-async");
        let (key, window) = match invoker.settings.classes[class].effect {
            Effect::Keyed(_, window) => {
                let key = head.headers.get("idempotency-key").unwrap_or_default();
                let plain = key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',' && byte != b'=');
                if key.is_empty() || key.len() > MAX_KEY || !plain {
                    return Err(bad(
                        "calls of this class carry an Idempotency-Key of 1 to 128 plain characters",
                    ));
                }
                (Some((name.to_string(), key.to_string())), window)
            }
            _ => (None, 0.0),
        };
        let repeats_until = expires + window;
        let tenant = position(&invoker.names.tenants, &function.tenant);
        if let Some(key) = &key {
            match self.invocations.admit(key, id, &body, repeats_until, tenant) {
                Repeat::Fresh => {}
                Repeat::Done(first, _) | Repeat::Open(first)
                    if is_deferred && self.invocations.get(first).is_some() =>
                {
                    return Ok(Admitted::Respond(accepted(first)));
                }
                Repeat::Done(_, answer) => return Ok(Admitted::Respond(respond(&answer))),
                Repeat::Open(_) => {
                    let detail = "the first call with this key is still open";
                    return Err(problem(409, "open", detail, Some(true)));
                }
                Repeat::Crowded(retry_after) => {
                    return Err(refused("there is no room for another idempotency key", retry_after));
                }
                Repeat::Mismatch => {
                    let detail = "the key came with another body before";
                    return Err(problem(422, "key-reused", detail, Some(false)));
                }
            }
        }
        let deferred = is_deferred.then(|| Deferred {
            function: name.to_string(),
            key: key.as_ref().map(|key| key.1.clone()),
            body_check: crc32fast::hash(&body),
            repeats_until,
            answer: None,
        });
        let request = Request {
            id,
            class,
            tenant,
            model: function.model(name),
            memory: function.memory_mb,
            lanes: f64::from(function.lanes),
            load_hint: None,
            cost_hint: function.cost_ms,
            expires,
        };
        let class_name = function.class.clone();
        let key_text = key.as_ref().map(|key| key.1.clone());
        let call = Call { request, class_name, function: name.to_string(), key: key_text, body };
        let turned_away = match invoker.take(call) {
            Ok(taken) => {
                let promise =
                    deferred.map(|deferred| self.invocations.accept(id, deferred, tenant)).transpose();
                match promise {
                    Ok(promise) => return Ok(Admitted::Run(Box::new(Job { taken, key, promise }))),
                    Err(error) => unkept(&error),
                }
            }
            Err(NotTaken::Draining) => refused("this node is about to end", Some(ENDING_MS)),
            Err(NotTaken::Crowded(span)) => refused("there is no room for another call", Some(span)),
            Err(NotTaken::Open) => refused("the id is taken", None),
        };
        key.iter().for_each(|key| self.invocations.forget(key));
        Err(turned_away)
    }

    /// The one path of every call, whatever its style.
    fn run(&self, taken: &Taken, key: Option<&Key>, promise: Option<Promise>) -> Answer {
        let answer = catch_unwind(AssertUnwindSafe(|| taken.serve()))
            .unwrap_or(Answer::Failed(Failure { may_have_run: true, late: false }));
        let answer = match answer {
            // Another try is harmless only while workers know the key, and nobody can say when the client comes again.
            Answer::Refused { known, .. } if key.is_some() && known.may_have_run => Answer::Failed(known),
            answer => answer,
        };
        self.invoker.counters.answered(&answer);
        self.invocations.finish(taken.call().request.id, key, &answer, promise);
        answer
    }

    /// Starts the task of a call. A deferred one is accepted; it runs on without its client.
    fn start(self: &Arc<Self>, job: Box<Job>, keep_alive: bool, connection: &Arc<Connection>) -> Next {
        let (desk, connection) = (self.clone(), connection.clone());
        let (id, is_deferred) = (job.taken.call().request.id, job.promise.is_some());
        if !is_deferred {
            connection.opened();
        }
        let task = spawn(move || {
            let Job { taken, key, promise } = *job;
            let answer = desk.run(&taken, key.as_ref(), promise);
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

    fn look_up(&self, id: RequestId, wait: Duration) -> Response {
        match self.invocations.wait(id, wait) {
            None => problem(404, "unknown-invocation", "no such invocation", None),
            Some((_, Deferred { answer: Some(answer), .. })) => respond(&answer),
            Some(_) => accepted(id),
        }
    }

    /// Withdraws a deferred call; only the node that accepted it can.
    fn withdraw(&self, id: RequestId) -> Response {
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

    /// What a call of a function without a record is told: nothing is unknown for good before the first copy is whole.
    fn unknown_function(&self, name: &str) -> Response {
        if self.role.is_ready() {
            problem(404, "unknown-function", &format!("no function {name:?}"), Some(false))
        } else {
            refused("this node has no whole copy of its configuration yet", Some(NOT_READY_MS))
        }
    }

    fn check_function(&self, function: &Function) -> Result<(), CatalogError> {
        if position(&self.invoker.names.classes, &function.class).is_none() {
            return Err(CatalogError::Value(format!("class: {:?} is unknown", function.class)));
        }
        let tenants = &self.invoker.names.tenants;
        if !tenants.is_empty() && position(tenants, &function.tenant).is_none() {
            return Err(CatalogError::Value(format!("tenant: {:?} is unknown", function.tenant)));
        }
        Ok(())
    }
}

fn id_of(text: &str) -> Option<RequestId> {
    let hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| hex).map(RequestId)
}

fn wait_of(head: &RequestHead) -> Duration {
    let seconds = head.headers.preferences().find_map(|one| one.strip_prefix("wait=")?.parse().ok());
    Duration::from_secs(seconds.unwrap_or(0)).min(MAX_WAIT)
}

fn put<T: DeserializeOwned>(body: &[u8], write: impl FnOnce(T) -> Result<(), CatalogError>) -> Response {
    match serde_json::from_slice(body) {
        Ok(value) => changed(write(value)),
        Err(error) => problem(400, "malformed", &error.to_string(), Some(false)),
    }
}

fn changed(end: Result<(), CatalogError>) -> Response {
    match end {
        Ok(()) => Response::bare(204),
        Err(CatalogError::Value(what)) => problem(400, "malformed", &what, Some(false)),
        Err(CatalogError::Store(error @ (StoreError::Log(_) | StoreError::Full { .. }))) => unkept(&error),
        Err(CatalogError::Store(error)) => problem(409, "conflict", &error.to_string(), Some(false)),
    }
}

fn json_response(status: u16, value: &impl serde::Serialize) -> Response {
    Response::new(status, "application/json", serde_json::to_vec(value).unwrap_or_default())
}

/// Entries of the configuration, as far as there is room to write them out.
fn listed(entries: Object, connection: &Connection) -> Next {
    let mut held = connection.account().nothing();
    // The text stands once by itself and once behind the head of the response.
    match grow(&mut held, Purpose::Clients, 2 * entries.size()) {
        Ok(()) => Next::Counted(Response::new(200, "application/json", entries.into_text()), held),
        Err(_) => Next::Respond(no_room()),
    }
}

/// Nothing ran and nothing was kept; advice in milliseconds, where coming again is of use.
fn refused(detail: &str, retry_after: Option<Ms>) -> Response {
    let response = problem(503, "refused", detail, Some(false));
    match retry_after {
        Some(span) => response.with("Retry-After", (span / 1000.0).ceil().max(1.0) as u64),
        None => response,
    }
}

fn unkept(error: &StoreError) -> Response {
    match error {
        StoreError::Full { retry_after, .. } => refused(&error.to_string(), *retry_after),
        _ => refused(&error.to_string(), Some(ENDING_MS)),
    }
}

fn accepted(id: RequestId) -> Response {
    let location = format!("/v1/invocations/{:016x}", id.0);
    let body = json!({"id": format!("{:016x}", id.0), "state": "accepted"});
    json_response(202, &body).with("Location", location)
}

/// The response that carries a final answer, the same in every style.
pub fn respond(answer: &Answer) -> Response {
    match answer {
        Answer::Served { body } => Response::new(200, "application/octet-stream", body.clone()),
        Answer::Refused { known: Failure { may_have_run, late: true }, .. } => {
            problem(504, "deadline", "the deadline passed; another try is harmless", Some(*may_have_run))
        }
        Answer::Refused { retry_after, known } => {
            let seconds = (retry_after / 1000.0).ceil().max(1.0) as u64;
            let detail = "not taken; another try is harmless";
            problem(503, "refused", detail, Some(known.may_have_run)).with("Retry-After", seconds)
        }
        Answer::Failed(Failure { may_have_run, late: true }) => {
            problem(504, "deadline", "the deadline passed", Some(*may_have_run))
        }
        Answer::Failed(Failure { may_have_run, .. }) => {
            problem(502, "failed", "no worker served the call", Some(*may_have_run))
        }
        Answer::Withdrawn => problem(410, "withdrawn", "the call was withdrawn", Some(true)),
    }
}

/// A follower's answer to a change of its configuration.
fn not_here(read_only: &ReadOnly) -> Response {
    let detail = match read_only.control_api {
        Some(address) => {
            format!("this node follows a control node; change the configuration at http://{address}")
        }
        None => "this node follows a control node; change the configuration there".to_string(),
    };
    problem(409, "follower", &detail, Some(false))
}

/// An error as problem+json; tells whether the call may have run, where there was one.
fn problem(status: u16, kind: &str, detail: &str, may_have_run: Option<bool>) -> Response {
    let mut body = json!({
        "type": format!("urn:corkbay:problem:{kind}"),
        "title": super::http::reason(status),
        "status": status,
        "detail": detail,
    });
    if let Some(may_have_run) = may_have_run {
        body["may_have_run"] = may_have_run.into();
    }
    let response =
        Response::new(status, "application/problem+json", serde_json::to_vec(&body).unwrap_or_default());
    match may_have_run {
        Some(may_have_run) => response.with("Corkbay-May-Have-Run", may_have_run),
        None => response,
    }
}
