//! The operators' API: HTTP/1.1 with one call per connection. A call is answered at once; a caller that is too slow
//! gets no answer.
use super::accept::Connection;
use super::http::{HttpError, RequestHead, Response};
use super::receive_buffer::{ReceiveBuffer, CHUNK};
use crate::core::{monotonic_ms, time_until, Invoker};
use crate::lifecycle::handover::{CommandError, OperatorCommand, OverridesHandle};
use crate::state::memory_wait::OUT_OF_MEMORY_KIND;
use corkbay::Ms;
use corkbay_duty::Leave;
use corkbay_ledger::Purpose;
use percent_encoding::percent_decode_str;
use serde_json::json;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of concurrent connections, one descriptor each. The callers are a few people and one load balancer.
/// When all are in use, a new connection replaces one that has not completed a request.
pub const SEATS: usize = 12;
/// Longest time to receive a whole request. Callers wait 1 s for an answer, but may send their request slowly.
const REQUEST_TIMEOUT_MS: Ms = 5000.0;
/// Time without progress after which writing a response fails.
pub const WRITE_STALL: Duration = Duration::from_secs(1);
/// Maximum size of a request's body; bodies are read and ignored.
const MAX_BODY_BYTES: usize = 4096;
/// How long the connection is read after the response: closing it with unread bytes would reset it.
const LINGER: Duration = Duration::from_millis(100);

/// A parsed call.
#[derive(Debug, PartialEq, Eq)]
enum OperatorCall {
    Ready,
    Command(OperatorCommand),
}

impl OperatorCall {
    /// Index of its counters.
    fn counter_index(&self) -> usize {
        match self {
            OperatorCall::Ready => 0,
            OperatorCall::Command(OperatorCommand::Suspend(_)) => 1,
            OperatorCall::Command(OperatorCommand::Resume(_)) => 2,
            OperatorCall::Command(OperatorCommand::Drain) => 3,
            OperatorCall::Command(OperatorCommand::Activate) => 4,
        }
    }
}

/// The reply to a call: status code and JSON body.
struct CallReply(u16, serde_json::Value);

/// Serves one connection until it ends.
pub fn serve(invoker: &Arc<Invoker>, overrides: &OverridesHandle, connection: &Arc<Connection>) {
    let Some(response) = serve_call(invoker, overrides, connection) else { return };
    let counters = &invoker.counters;
    if response.status < 300 { &counters.operators_yes } else { &counters.operators_no }.increment();
    if connection.answer(&response.encode(false)).is_ok() {
        connection.linger(LINGER);
    }
    connection.shut(Shutdown::Both);
}

/// Reads a call and executes it; `None` when the caller disconnected or was too slow.
fn serve_call(
    invoker: &Invoker,
    overrides: &OverridesHandle,
    connection: &Arc<Connection>,
) -> Option<Response> {
    let head = match read_request(connection) {
        Ok(head) => head,
        Err(refusal) => return refusal,
    };
    let call = match route(&head.method, &head.path) {
        Ok(call) => call,
        Err(response) => return Some(response),
    };
    let CallReply(status, body_json) = match &call {
        OperatorCall::Ready => readiness(invoker),
        OperatorCall::Command(command) => {
            let end = overrides.execute(command.clone());
            tracing::info!(?command, ?end, "operators");
            command_reply(command, end)
        }
    };
    let [yes, no] = &invoker.counters.operators[call.counter_index()];
    if status < 300 { yes } else { no }.increment();
    Some(Response::new(status, "application/json", body_json.to_string().into_bytes()))
}

/// Reads a request and ignores its body. The error is the response, or `None` when the caller disconnected or was too
/// slow.
fn read_request(connection: &Connection) -> Result<RequestHead, Option<Response>> {
    let (mut receive_buffer, mut chunk) =
        (ReceiveBuffer::new(connection.account(), Purpose::Operators), vec![0; CHUNK]);
    let end = monotonic_ms() + REQUEST_TIMEOUT_MS;
    let mut fill = |receive_buffer: &mut ReceiveBuffer| match connection.fill(
        receive_buffer,
        &mut chunk,
        time_until(end),
    ) {
        Ok(1..) if monotonic_ms() < end => Ok(()),
        Err(error) if error.kind() == OUT_OF_MEMORY_KIND => Err(Some(problem(503, "no memory"))),
        _ => Err(None),
    };
    let mut head = loop {
        match receive_buffer.consume(RequestHead::decode) {
            Ok(Some(head)) => break head,
            Ok(None) => fill(&mut receive_buffer)?,
            Err(error) => return Err(Some(bad_request(error))),
        }
    };
    let mut body = Vec::new();
    loop {
        match receive_buffer.consume(|bytes| head.body.feed(bytes, &mut body, MAX_BODY_BYTES)) {
            Ok(true) => return Ok(head),
            Ok(false) => fill(&mut receive_buffer)?,
            Err(error) => return Err(Some(bad_request(error))),
        }
    }
}

/// The response to a request that is not valid HTTP or too long.
fn bad_request(error: HttpError) -> Response {
    problem(if error == HttpError::Long { 413 } else { 400 }, &error.to_string())
}

/// An error as `application/problem+json`.
fn problem(status: u16, detail: &str) -> Response {
    let text = json!({"status": status, "detail": detail}).to_string();
    Response::new(status, "application/problem+json", text.into_bytes())
}

/// Parses the call from a method and path.
fn route(method: &str, path: &str) -> Result<OperatorCall, Response> {
    let segments: Vec<&str> = path.strip_prefix("/v1/").unwrap_or_default().split('/').collect();
    let (allowed, call) = match segments.as_slice() {
        ["readyz"] => ("GET", OperatorCall::Ready),
        ["hosts", id, "suspend"] => {
            ("PUT", OperatorCall::Command(OperatorCommand::Suspend(decode_segment(id))))
        }
        ["hosts", id, "resume"] => {
            ("PUT", OperatorCall::Command(OperatorCommand::Resume(decode_segment(id))))
        }
        ["invoker", "drain"] => ("PUT", OperatorCall::Command(OperatorCommand::Drain)),
        ["invoker", "activate"] => ("PUT", OperatorCall::Command(OperatorCommand::Activate)),
        _ => return Err(problem(404, "no such path")),
    };
    if method != allowed {
        return Err(problem(405, "no such method here").with("Allow", allowed));
    }
    Ok(call)
}

/// Percent-decodes a path segment; invalid escapes are kept unchanged.
fn decode_segment(segment: &str) -> String {
    percent_decode_str(segment).decode_utf8_lossy().into_owned()
}

/// Whether this process can serve. A drain by the operators doesn't make it unready, and is reported at the clients'
/// address instead: otherwise the successor of a drained process would never count as ready.
fn readiness(invoker: &Invoker) -> CallReply {
    match invoker.serving_state().leaving() {
        _ if !invoker.is_serving() => {
            CallReply(503, json!({"ready": false, "detail": "this process is starting"}))
        }
        Some(Leave::Ending) => {
            CallReply(503, json!({"ready": false, "detail": "this process is about to end"}))
        }
        leaving => CallReply(200, json!({"ready": true, "drained": leaving.is_some()})),
    }
}

/// The reply to an executed command.
fn command_reply(command: &OperatorCommand, end: Result<(), CommandError>) -> CallReply {
    let (host, state) = match command {
        OperatorCommand::Suspend(host) => (Some(host), "suspended"),
        OperatorCommand::Resume(host) => (Some(host), "resumed"),
        OperatorCommand::Drain => (None, "drained"),
        OperatorCommand::Activate => (None, "active"),
    };
    let (status, detail) = match end {
        Ok(()) => return CallReply(200, json!({"host": host, "state": state})),
        Err(CommandError::Unknown) => (404, "no list ever named this host"),
        Err(CommandError::NoRoom) => (507, "too many hosts are suspended"),
        Err(CommandError::Ending) => (409, "this process is about to end"),
        Err(CommandError::Unwritten) => {
            (503, "not written: what is held back holds here, nothing was lifted")
        }
    };
    CallReply(status, json!({"host": host, "status": status, "detail": detail}))
}

#[cfg(test)]
mod tests;
