//! The operators' address: HTTP/1.1, one call a connection. Each call is answered at once or not at all.
use super::accept::Connection;
use super::http::{BadHttp, RequestHead, Response};
use super::intake::{Intake, CHUNK};
use crate::core::{monotonic_ms, until, Invoker};
use crate::life::handover::{CommandError, OperatorCommand, OverridesHandle};
use corkbay::Ms;
use corkbay_duty::Leave;
use corkbay_ledger::Purpose;
use percent_encoding::percent_decode_str;
use serde_json::json;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

/// Callers at a time, one descriptor each. They are few people and one front; more push out whoever finishes nothing.
pub const SEATS: usize = 12;
/// From a caller's first byte to its last; it waits 1 s for an answer, but may take its time to ask.
const CALL_MS: Ms = 5000.0;
/// How long a caller may let its answer stand unread.
pub const WRITE_STALL: Duration = Duration::from_secs(1);
/// Largest body that is read and left unused.
const MAX_BODY: usize = 4096;
/// How long a caller is listened to after its answer, so that a close over unread bytes resets nothing.
const LINGER: Duration = Duration::from_millis(100);

/// What is called.
#[derive(Debug, PartialEq, Eq)]
enum Call {
    Ready,
    Command(OperatorCommand),
}

impl Call {
    /// Its place among the counters.
    fn place(&self) -> usize {
        match self {
            Call::Ready => 0,
            Call::Command(OperatorCommand::Suspend(_)) => 1,
            Call::Command(OperatorCommand::Resume(_)) => 2,
            Call::Command(OperatorCommand::Drain) => 3,
            Call::Command(OperatorCommand::Activate) => 4,
        }
    }
}

/// What a call comes to; its status code, and what is told of it.
struct Reply(u16, serde_json::Value);

/// The life of one connection.
pub fn serve(invoker: &Arc<Invoker>, overrides: &OverridesHandle, connection: &Arc<Connection>) {
    let Some(response) = converse(invoker, overrides, connection) else { return };
    let counters = &invoker.counters;
    if response.status < 300 { &counters.operators_yes } else { &counters.operators_no }.add();
    if connection.answer(&response.encode(false)).is_ok() {
        connection.linger(LINGER);
    }
    connection.shut(Shutdown::Both);
}

/// Reads the call and answers it; `None` where the caller left or took too long.
fn converse(
    invoker: &Invoker,
    overrides: &OverridesHandle,
    connection: &Arc<Connection>,
) -> Option<Response> {
    let (mut raw, mut chunk) = (Intake::new(connection.account(), Purpose::Operators), vec![0; CHUNK]);
    let end = monotonic_ms() + CALL_MS;
    let mut fill = |raw: &mut Intake| match raw.fill(connection, &mut chunk, until(end)) {
        Ok(1..) if monotonic_ms() < end => Some(()),
        _ => None,
    };
    let mut head = loop {
        match RequestHead::decode(raw.bytes()) {
            Ok(Some(head)) => break head,
            Ok(None) => fill(&mut raw)?,
            Err(error) => return Some(unreadable(error)),
        }
    };
    let mut body = Vec::new();
    loop {
        match head.body.feed(raw.bytes(), &mut body, MAX_BODY) {
            Ok(true) => break,
            Ok(false) => fill(&mut raw)?,
            Err(error) => return Some(unreadable(error)),
        }
    }
    Some(match route(&head.method, &head.path) {
        Ok(call) => {
            let Reply(status, told) = match &call {
                Call::Ready => ready(invoker),
                Call::Command(command) => {
                    let end = overrides.execute(command.clone());
                    tracing::info!(?command, ?end, "operators");
                    executed(command, end)
                }
            };
            let [yes, no] = &invoker.counters.operators[call.place()];
            if status < 300 { yes } else { no }.add();
            Response::new(status, "application/json", told.to_string().into_bytes())
        }
        Err(response) => response,
    })
}

fn unreadable(error: BadHttp) -> Response {
    problem(if error == BadHttp::Long { 413 } else { 400 }, &error.to_string())
}

fn problem(status: u16, detail: &str) -> Response {
    let text = json!({"status": status, "detail": detail}).to_string();
    Response::new(status, "application/problem+json", text.into_bytes())
}

/// The call of a method and path.
fn route(method: &str, path: &str) -> Result<Call, Response> {
    let words: Vec<&str> = path.strip_prefix("/v1/").unwrap_or_default().split('/').collect();
    let (allowed, call) = match words.as_slice() {
        ["readyz"] => ("GET", Call::Ready),
        ["hosts", id, "suspend"] => ("PUT", Call::Command(OperatorCommand::Suspend(unescape(id)))),
        ["hosts", id, "resume"] => ("PUT", Call::Command(OperatorCommand::Resume(unescape(id)))),
        ["invoker", "drain"] => ("PUT", Call::Command(OperatorCommand::Drain)),
        ["invoker", "activate"] => ("PUT", Call::Command(OperatorCommand::Activate)),
        _ => return Err(problem(404, "no such path")),
    };
    if method != allowed {
        return Err(problem(405, "no such method here").with("Allow", allowed));
    }
    Ok(call)
}

/// A path's segment with its `%` escapes read; an odd one stands as it is.
fn unescape(segment: &str) -> String {
    percent_decode_str(segment).decode_utf8_lossy().into_owned()
}

/// Whether this process could serve. That the operators want no clients is told at the clients' address: else a
/// successor of a drained process would never count as ready.
fn ready(invoker: &Invoker) -> Reply {
    match invoker.duty().leaving() {
        _ if !invoker.is_serving() => {
            Reply(503, json!({"ready": false, "detail": "this process is starting"}))
        }
        Some(Leave::Ending) => Reply(503, json!({"ready": false, "detail": "this process is about to end"})),
        leaving => Reply(200, json!({"ready": true, "drained": leaving.is_some()})),
    }
}

/// What is told of a call that operators made.
fn executed(command: &OperatorCommand, end: Result<(), CommandError>) -> Reply {
    let (host, state) = match command {
        OperatorCommand::Suspend(host) => (Some(host), "suspended"),
        OperatorCommand::Resume(host) => (Some(host), "resumed"),
        OperatorCommand::Drain => (None, "drained"),
        OperatorCommand::Activate => (None, "active"),
    };
    let (status, detail) = match end {
        Ok(()) => return Reply(200, json!({"host": host, "state": state})),
        Err(CommandError::Unknown) => (404, "no list ever named this host"),
        Err(CommandError::NoRoom) => (507, "too many hosts are suspended"),
        Err(CommandError::Ending) => (409, "this process is about to end"),
        Err(CommandError::Unwritten) => {
            (503, "not written: what is held back holds here, nothing was lifted")
        }
    };
    Reply(status, json!({"host": host, "status": status, "detail": detail}))
}

#[cfg(test)]
mod tests;
