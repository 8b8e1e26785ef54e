//! Responses of the invoke API: final answers, problems and refusals.
use super::calls::ENDING_RETRY_AFTER_MS;
use crate::core::{Answer, Failure};
use crate::state::catalog::CatalogError;
use crate::state::store::StoreError;
use crate::wire::feed::ReadOnly;
use crate::wire::http::{reason, HttpError, Response};
use corkbay::{Ms, RequestId};
use serde_json::json;

/// The response to a request that is not valid HTTP or too long.
pub(super) fn bad_request(error: &HttpError) -> Response {
    let status = if *error == HttpError::Long { 413 } else { 400 };
    problem(status, "malformed", &error.to_string(), Some(false))
}

/// The response when no memory is left for the request or its response.
pub(super) fn no_room() -> Response {
    refused("there is no room to read the request", Some(ENDING_RETRY_AFTER_MS))
}

/// The response to a change of the configuration.
pub(super) fn change_response(end: Result<(), CatalogError>) -> Response {
    match end {
        Ok(()) => Response::bare(204),
        Err(CatalogError::Value(what)) => problem(400, "malformed", &what, Some(false)),
        Err(CatalogError::Store(error @ (StoreError::Log(_) | StoreError::Full { .. }))) => {
            store_failure(&error)
        }
        Err(CatalogError::Store(error)) => problem(409, "conflict", &error.to_string(), Some(false)),
    }
}

pub(super) fn json_response(status: u16, value: &impl serde::Serialize) -> Response {
    Response::new(status, "application/json", serde_json::to_vec(value).unwrap_or_default())
}

/// A refusal: the call did not run and no record was stored. `Retry-After` is given, from milliseconds, where a
/// retry is useful.
pub(super) fn refused(detail: &str, retry_after: Option<Ms>) -> Response {
    let response = problem(503, "refused", detail, Some(false));
    match retry_after {
        Some(span) => response.with("Retry-After", (span / 1000.0).ceil().max(1.0) as u64),
        None => response,
    }
}

/// The response when a record could not be stored.
pub(super) fn store_failure(error: &StoreError) -> Response {
    match error {
        StoreError::Full { retry_after, .. } => refused(&error.to_string(), *retry_after),
        _ => refused(&error.to_string(), Some(ENDING_RETRY_AFTER_MS)),
    }
}

/// The response that accepts a deferred call, with the path of its answer.
pub(super) fn accepted(id: RequestId) -> Response {
    let location = format!("/v1/invocations/{:016x}", id.0);
    let body = json!({"id": format!("{:016x}", id.0), "state": "accepted"});
    json_response(202, &body).with("Location", location)
}

/// The response with the final answer to a call, the same in both styles.
pub(super) fn answer_response(answer: &Answer) -> Response {
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

/// The response of a follower to a change of its configuration.
pub(super) fn read_only_response(read_only: &ReadOnly) -> Response {
    let detail = match read_only.control_api {
        Some(address) => {
            format!("this node follows a control node; change the configuration at http://{address}")
        }
        None => "this node follows a control node; change the configuration there".to_string(),
    };
    problem(409, "follower", &detail, Some(false))
}

/// An error as `application/problem+json`; states whether the call may have run, where the request was one.
pub(super) fn problem(status: u16, kind: &str, detail: &str, may_have_run: Option<bool>) -> Response {
    let mut body = json!({
        "type": format!("urn:corkbay:problem:{kind}"),
        "title": reason(status),
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
