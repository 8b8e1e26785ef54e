//! Routes of the invoke API.
use super::calls::Admitted;
use super::responses::{change_response, json_response, no_room, problem, read_only_response, refused};
use super::{InvokeApi, RouteResult};
use crate::state::catalog::{CatalogError, Function, Object, Worker};
use crate::state::memory_wait::resize_or_wait;
use crate::wire::accept::Connection;
use crate::wire::http::{RequestHead, Response};
use crate::wire::metrics;
use corkbay::{position, Ms, RequestId};
use corkbay_ledger::Purpose;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait that a client may request for a deferred answer.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// `Retry-After` for clients beyond the limit of connections.
const CROWDED_RETRY_AFTER_MS: Ms = 1000.0;

/// Handles a request by its method and path.
pub(super) fn route(
    api: &Arc<InvokeApi>,
    head: &RequestHead,
    body: Vec<u8>,
    connection: &Arc<Connection>,
) -> RouteResult {
    let segments: Vec<&str> = head.path.trim_matches('/').split('/').collect();
    let is_change = matches!(
        (head.method.as_str(), segments.as_slice()),
        ("PUT" | "DELETE", ["v1", "functions" | "workers", _])
    );
    if let (true, Some(read_only)) = (is_change, api.role.read_only()) {
        return RouteResult::Respond(read_only_response(&read_only));
    }
    RouteResult::Respond(match (head.method.as_str(), segments.as_slice()) {
        ("POST", ["v1", "functions", _, "invocations"]) if connection.is_beyond_limit() => {
            api.invoker.counters.turned_away.increment();
            refused("there is no room for another connection", Some(CROWDED_RETRY_AFTER_MS))
        }
        ("POST", ["v1", "functions", function, "invocations"]) => {
            return match api.admit(function, head, body, connection.earliest_arrival()) {
                Ok(Admitted::Run(job)) => api.start(job, head.keep_alive, connection),
                Ok(Admitted::Respond(response)) => RouteResult::Respond(response),
                Err(response) => RouteResult::Respond(*response),
            };
        }
        ("GET", ["v1", "invocations", id]) => match parse_invocation_id(id) {
            Some(id) => api.look_up(id, preferred_wait(head)),
            None => problem(404, "unknown-invocation", "no such invocation", None),
        },
        ("DELETE", ["v1", "invocations", id]) => match parse_invocation_id(id) {
            Some(id) => api.withdraw(id),
            None => problem(404, "unknown-invocation", "no such invocation", None),
        },
        ("GET", ["v1", "functions"]) => return list_response(api.catalog.functions(), connection),
        ("GET", ["v1", "workers"]) => return list_response(api.catalog.listed_workers(), connection),
        ("GET", ["v1", "status"]) => json_response(200, &metrics::status(&api.invoker, &api.role)),
        ("GET", ["metrics"]) => {
            Response::new(200, metrics::CONTENT_TYPE, metrics::text(&api.invoker, &api.role))
        }
        ("PUT", ["v1", "functions", name]) => put_record(&body, |function: Function| {
            check_function(api, &function)?;
            api.catalog.put_function(name, &function)
        }),
        ("PUT", ["v1", "workers", name]) => put_record(&body, |worker: Worker| {
            api.catalog.put_worker(name, &worker)?;
            api.catalog.announce_worker(&api.invoker, name);
            Ok(())
        }),
        ("DELETE", ["v1", "functions", name]) => change_response(api.catalog.remove_function(name)),
        ("DELETE", ["v1", "workers", name]) => change_response(api.catalog.remove_worker(name).map(|()| {
            api.catalog.announce(&api.invoker);
        })),
        (_, ["v1", "invocations", _] | ["v1", "functions" | "workers" | "status"] | ["metrics"])
        | (_, ["v1", "functions" | "workers", _] | ["v1", "functions", _, "invocations"]) => {
            problem(405, "method", "the method does not apply here", Some(false))
        }
        _ => problem(404, "unknown-path", "nothing stands here", Some(false)),
    })
}

/// Parses the 16 hexadecimal digits of an invocation id.
fn parse_invocation_id(text: &str) -> Option<RequestId> {
    let hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| hex).map(RequestId)
}

/// The wait that the client requests with `Prefer: wait`, limited to [`MAX_WAIT`].
fn preferred_wait(head: &RequestHead) -> Duration {
    let seconds = head.headers.preferences().find_map(|one| one.strip_prefix("wait=")?.parse().ok());
    Duration::from_secs(seconds.unwrap_or(0)).min(MAX_WAIT)
}

/// Decodes a configuration record from the request and stores it.
fn put_record<T: DeserializeOwned>(
    body: &[u8],
    store: impl FnOnce(T) -> Result<(), CatalogError>,
) -> Response {
    match serde_json::from_slice(body) {
        Ok(value) => change_response(store(value)),
        Err(error) => problem(400, "malformed", &error.to_string(), Some(false)),
    }
}

/// Responds with a list of configuration entries, if there is memory for it.
fn list_response(entries: Object, connection: &Connection) -> RouteResult {
    let mut reservation = connection.account().empty_reservation();
    // The text is held twice: by itself and in the encoded response.
    match resize_or_wait(&mut reservation, Purpose::Clients, 2 * entries.size()) {
        Ok(()) => {
            RouteResult::Counted(Response::new(200, "application/json", entries.into_text()), reservation)
        }
        Err(_) => RouteResult::Respond(no_room()),
    }
}

/// Checks that a function's class and tenant are configured on this node.
fn check_function(api: &InvokeApi, function: &Function) -> Result<(), CatalogError> {
    if position(&api.invoker.names.classes, &function.class).is_none() {
        return Err(CatalogError::Value(format!("class: {:?} is unknown", function.class)));
    }
    let tenants = &api.invoker.names.tenants;
    if !tenants.is_empty() && position(tenants, &function.tenant).is_none() {
        return Err(CatalogError::Value(format!("tenant: {:?} is unknown", function.tenant)));
    }
    Ok(())
}
