//! Requests of the Thrift front: builds calls from their fields, has them served and writes their answers.
use super::open_requests::{OpenRequests, Responder};
use crate::core::{AdmissionError, Answer, Call, Failure, Invoker, ACCEPTED_REQUEST_WORK};
use crate::lifecycle::spawn;
use crate::wire::accept::Connection;
use crate::wire::thrift::{self, Fields, Reply};
use corkbay::{position, Effect, ModelId, Ms, Request, RequestId};
use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// Maximum number of unanswered requests per connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Retry delay sent to a client that exceeds a limit on open requests, connections or memory.
pub(super) const OVERLOAD_RETRY_AFTER_MS: f64 = 100.0;
/// Retry delay sent to a client while this process is draining.
const DRAINING_RETRY_AFTER_MS: f64 = 200.0;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;
/// Upper bound for numeric fields of a request; larger values are rejected as out of range.
const MAX_FIELD_VALUE: f64 = 1e6;

/// Accepts a request and spawns the coroutine that writes its answer. A refused or malformed request is answered at
/// once; the error says why it is malformed.
pub(super) fn dispatch(
    invoker: &Arc<Invoker>,
    open_requests: &Arc<OpenRequests>,
    connection: &Arc<Connection>,
    seqid: i32,
    fields: &Fields,
    body: Vec<u8>,
) -> Result<(), &'static str> {
    let reply_now = |reply| write(connection, &thrift::reply("dispatch", seqid, reply));
    let _open_guard = connection.hold_request();
    if connection.is_beyond_limit() {
        invoker.counters.turned_away.increment();
        reply_now(rejected(OVERLOAD_RETRY_AFTER_MS));
        return Ok(());
    }
    if open_requests.len() >= MAX_OPEN_REQUESTS {
        reply_now(rejected(OVERLOAD_RETRY_AFTER_MS));
        return Ok(());
    }
    let arrived_at = invoker.earliest_arrival().min(connection.earliest_arrival());
    let accepted = parse_call(invoker, arrived_at, fields, body).map(|call| {
        let id = call.request.id;
        let accepted = invoker.accept(call);
        if accepted.is_ok() {
            open_requests.insert(seqid, Responder::Local(id));
        }
        accepted
    });
    match accepted {
        Ok(Err(AdmissionError::Draining)) => reply_now(rejected(DRAINING_RETRY_AFTER_MS)),
        Ok(Err(AdmissionError::Overloaded(retry_after_ms))) => {
            reply_now(rejected(retry_after_ms.max(OVERLOAD_RETRY_AFTER_MS)))
        }
        Ok(Err(AdmissionError::DuplicateId)) => reply_now(crashed("the request is open already")),
        // Not refused: that would promise that nothing has run.
        Ok(Err(AdmissionError::RepeatedId)) => reply_now(crashed("a request of this id may have run")),
        Ok(Ok(accepted)) => {
            connection.request_started();
            connection.charge_turn(ACCEPTED_REQUEST_WORK);
            let (invoker, open_requests, connection) =
                (invoker.clone(), open_requests.clone(), connection.clone());
            spawn(move || {
                let answer = catch_unwind(AssertUnwindSafe(|| accepted.serve()))
                    .unwrap_or(Answer::Failed(Failure { may_have_run: true, late: false }));
                invoker.counters.answered(&answer);
                let reply = match answer {
                    Answer::Served { body } => Some(Reply::Answer { body, is_success: true }),
                    Answer::Refused { retry_after, .. } => Some(rejected(retry_after)),
                    Answer::Failed(_) => Some(Reply::Crashed(Fields::new())),
                    Answer::Withdrawn => None,
                };
                let bytes = reply.map(|reply| thrift::reply("dispatch", seqid, reply)).unwrap_or_default();
                // `accepted` is released only after the answer is written.
                let responder = Responder::Local(accepted.call().request.id);
                let settle = || open_requests.settle(seqid, responder);
                connection.finish_request(seqid, bytes, settle, accepted);
            });
        }
        Err(what) => {
            reply_now(crashed(what));
            return Err(what);
        }
    }
    Ok(())
}

pub(super) fn rejected(retry_after_ms: f64) -> Reply {
    let mut fields = Fields::new();
    if retry_after_ms > 0.0 {
        fields.insert("cooldown".to_string(), format!("{}", retry_after_ms.ceil() as u64));
    }
    Reply::Rejected(fields)
}

pub(super) fn crashed(what: &str) -> Reply {
    Reply::Crashed(Fields::from([("reason".to_string(), what.to_string())]))
}

pub(super) fn write(connection: &Connection, bytes: &[u8]) {
    // Write errors are ignored: the read loop detects a broken connection.
    let _ = connection.answer(bytes);
}

/// Builds a call from the fields of a request that arrived at `arrived_at`. All fields are validated here, so that nothing
/// is forwarded that a worker could not use or that would make it close a shared connection.
fn parse_call(
    invoker: &Invoker,
    arrived_at: Ms,
    fields: &Fields,
    body: Vec<u8>,
) -> Result<Call, &'static str> {
    let field = |name: &str| fields.get(name).map(String::as_str);
    let hex_id = |name: &str| {
        let is_hex_id = |text: &&str| text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        field(name).filter(is_hex_id).and_then(|text| u64::from_str_radix(text, 16).ok())
    };
    let parse_number = |text: &str, min: f64, max: f64| {
        text.parse::<f64>().ok().filter(|number| (min..=max).contains(number))
    };
    if body.len() > thrift::MAX_BODY_BYTES {
        return Err("body over 16 KiB");
    }
    let class_name = field("service").ok_or("service is missing")?;
    let class = position(&invoker.names.classes, class_name).ok_or("service is unknown")?;
    let tenant = match field("project") {
        Some(name) => Some(position(&invoker.names.tenants, name).ok_or("project is unknown")?),
        None if invoker.names.tenants.is_empty() => None,
        None => return Err("project is missing"),
    };
    let key = match invoker.settings.classes[class].effect {
        Effect::Keyed(..) => {
            let key = field("replay")
                .filter(|key| (1..=MAX_KEY_BYTES).contains(&key.len()))
                .ok_or("replay is missing")?;
            let is_printable =
                key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',' && byte != b'=');
            Some(is_printable.then(|| key.to_string()).ok_or("replay can't be passed on")?)
        }
        _ => None,
    };
    let extras: HashMap<&str, &str> =
        field("info").unwrap_or_default().split(';').filter_map(|pair| pair.split_once(':')).collect();
    let extra_number = |name: &str, min: f64, out_of_range: &'static str| match extras.get(name) {
        Some(text) => parse_number(text, min, MAX_FIELD_VALUE).map(Some).ok_or(out_of_range),
        None => Ok(None),
    };
    let allow = parse_number(field("allow").ok_or("allow is missing")?, 1.0, 2.0 * invoker.give_up[class]);
    let request = Request {
        id: RequestId(hex_id("ref").ok_or("ref is no 16 hex digits")?),
        class,
        tenant,
        model: ModelId(hex_id("lookup").ok_or("lookup is no 16 hex digits")?),
        memory: extra_number("memory_mb", 0.0, "memory_mb is out of range")?.unwrap_or(0.0),
        lanes: extra_number("lanes", 1.0, "lanes is out of range")?.unwrap_or(1.0),
        load_hint: extra_number("load_ms", 0.0, "load_ms is out of range")?,
        cost_hint: match field("effort") {
            Some(text) => Some(parse_number(text, 0.0, MAX_FIELD_VALUE).ok_or("effort is out of range")?),
            None => None,
        },
        expires: arrived_at + allow.ok_or("allow is out of range")?,
    };
    Ok(Call { request, class_name: class_name.to_string(), function: String::new(), key, body })
}
