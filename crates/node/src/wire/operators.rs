//! The operators' address: HTTP/1.1, one call a connection. Each call is answered at once or not at all.
use super::accept::Guest;
use super::http::{BadHttp, RequestHead, Response};
use super::intake::{Intake, CHUNK};
use crate::core::{now_ms, until, Invoker};
use crate::memory::roster::NotHeeded;
use corkbay::Ms;
use corkbay_duty::{Leave, Terms};
use corkbay_ledger::Purpose;
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

/// The times of a drain. The front asks every 0.1 s and sends connections for 0.2 s more, so after 0.7 s nobody comes
/// who could not know; requests on connections that are still open are taken until what is taken can be 2 s old when
/// 4 s are over.
const DRAIN: Terms = Terms { let_go: 700.0, refuse: 1600.0, gone: Some((4000.0, 2000.0)) };

/// What is called.
#[derive(Debug, PartialEq, Eq)]
enum Call {
    Ready,
    Suspend(String),
    Resume(String),
    Drain,
    Activate,
}

/// What a call comes to; its status code, and what is told of it.
struct Word(u16, serde_json::Value);

/// The life of one connection.
pub fn serve(invoker: &Arc<Invoker>, guest: &Arc<Guest>) {
    let Some(response) = converse(invoker, guest) else { return };
    let counters = &invoker.counters;
    if response.status < 300 { &counters.operators_yes } else { &counters.operators_no }.add();
    if guest.answer(&response.encode(false)).is_ok() {
        guest.shut(Shutdown::Write);
        let _ = guest.read(&mut [0; 256], LINGER);
    }
    guest.shut(Shutdown::Both);
}

/// Reads the call and answers it; `None` where the caller left or took too long.
fn converse(invoker: &Arc<Invoker>, guest: &Arc<Guest>) -> Option<Response> {
    let (mut raw, mut chunk) = (Intake::new(guest.account(), Purpose::Operators), vec![0; CHUNK]);
    let end = now_ms() + CALL_MS;
    let mut fill = |raw: &mut Intake| match raw.fill(guest, &mut chunk, until(end)) {
        Ok(1..) if now_ms() < end => Some(()),
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
            let Word(status, told) = obey(invoker, &call);
            tracing::info!(?call, status, "operators");
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
        ["hosts", id, "suspend"] => ("PUT", Call::Suspend(unescape(id))),
        ["hosts", id, "resume"] => ("PUT", Call::Resume(unescape(id))),
        ["invoker", "drain"] => ("PUT", Call::Drain),
        ["invoker", "activate"] => ("PUT", Call::Activate),
        _ => return Err(problem(404, "no such path")),
    };
    if method != allowed {
        return Err(problem(405, "no such method here").with("Allow", allowed));
    }
    Ok(call)
}

/// A path's segment with its `%` escapes read; an odd one stands as it is.
fn unescape(segment: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), segment.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let escaped = std::str::from_utf8(after.get(..2).unwrap_or_default());
        match escaped.ok().and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) if *first == b'%' => (bytes.push(byte), rest = &after[2..]).1,
            _ => (bytes.push(*first), rest = after).1,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Does what was called for.
fn obey(invoker: &Arc<Invoker>, call: &Call) -> Word {
    let host = |id: &str, state: &str, end: Result<(), NotHeeded>| match end {
        Ok(()) => Word(200, json!({"host": id, "state": state})),
        Err(NotHeeded::Unknown) => Word(404, json!({"host": id, "detail": "no list ever named this host"})),
        Err(NotHeeded::NoRoom) => Word(507, json!({"host": id, "detail": "too many hosts are suspended"})),
    };
    match call {
        Call::Ready => match invoker.duty().leaving() {
            Some(Leave::Ending) => {
                Word(503, json!({"ready": false, "detail": "this process is about to end"}))
            }
            // It could serve; that no clients are wanted is told at the clients' address.
            leaving => Word(200, json!({"ready": true, "drained": leaving.is_some()})),
        },
        Call::Suspend(id) => host(id, "suspended", invoker.suspend(id)),
        Call::Resume(id) => host(id, "resumed", invoker.resume(id)),
        Call::Drain => {
            invoker.leave(Leave::Drained, DRAIN);
            Word(200, json!({"state": "drained"}))
        }
        Call::Activate if invoker.come_back() => Word(200, json!({"state": "active"})),
        Call::Activate => Word(409, json!({"detail": "this process is about to end"})),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_told_by_method_and_path() {
        let status = |method: &str, path: &str| route(method, path).map_err(|response| response.status);
        assert_eq!(status("GET", "/v1/readyz"), Ok(Call::Ready));
        assert_eq!(status("PUT", "/v1/hosts/s-1/suspend"), Ok(Call::Suspend("s-1".into())));
        assert_eq!(status("PUT", "/v1/hosts/a%2fb%zz%/resume"), Ok(Call::Resume("a/b%zz%".into())));
        assert_eq!(status("PUT", "/v1/invoker/activate"), Ok(Call::Activate));
        assert_eq!(status("POST", "/v1/invoker/drain"), Err(405));
        assert_eq!(status("PUT", "/v1/readyz"), Err(405));
        for path in
            ["/", "/v1", "/v1/hosts/suspend", "/v1/hosts/a/b/suspend", "/v2/readyz", "/v1/invoker/drain/"]
        {
            assert_eq!(status("PUT", path), Err(404), "{path}");
        }
    }
}
