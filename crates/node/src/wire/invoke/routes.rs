//! The paths of the invoke API.
use super::calls::Admitted;
use super::responses::{changed, json_response, no_room, not_here, problem, refused};
use super::{InvokeApi, Next};
use crate::memory::catalog::{CatalogError, Function, Object, Worker};
use crate::memory::room::grow;
use crate::wire::accept::Connection;
use crate::wire::http::{RequestHead, Response};
use crate::wire::metrics;
use corkbay::{position, Ms, RequestId};
use corkbay_ledger::Purpose;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// Longest time for which a client may hold a call for a deferred answer.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Advice to a client for whose connection there is no room.
const CROWDED_MS: Ms = 1000.0;

/// What a request comes to, by its method and path.
pub(super) fn route(
    api: &Arc<InvokeApi>,
    head: &RequestHead,
    body: Vec<u8>,
    connection: &Arc<Connection>,
) -> Next {
    let parts: Vec<&str> = head.path.trim_matches('/').split('/').collect();
    let is_change = matches!(
        (head.method.as_str(), parts.as_slice()),
        ("PUT" | "DELETE", ["v1", "functions" | "workers", _])
    );
    if let (true, Some(read_only)) = (is_change, api.role.read_only()) {
        return Next::Respond(not_here(&read_only));
    }
    Next::Respond(match (head.method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "functions", _, "invocations"]) if connection.is_turned_away() => {
            api.invoker.counters.turned_away.add();
            refused("there is no room for another connection", Some(CROWDED_MS))
        }
        ("POST", ["v1", "functions", function, "invocations"]) => {
            return match api.admit(function, head, body) {
                Ok(Admitted::Run(job)) => api.start(job, head.keep_alive, connection),
                Ok(Admitted::Respond(response)) => Next::Respond(response),
                Err(response) => Next::Respond(*response),
            };
        }
        ("GET", ["v1", "invocations", id]) => match id_of(id) {
            Some(id) => api.look_up(id, wait_of(head)),
            None => problem(404, "unknown-invocation", "no such invocation", None),
        },
        ("DELETE", ["v1", "invocations", id]) => match id_of(id) {
            Some(id) => api.withdraw(id),
            None => problem(404, "unknown-invocation", "no such invocation", None),
        },
        ("GET", ["v1", "functions"]) => return listed(api.catalog.functions(), connection),
        ("GET", ["v1", "workers"]) => return listed(api.catalog.listed_workers(), connection),
        ("GET", ["v1", "status"]) => json_response(200, &metrics::status(&api.invoker, &api.role)),
        ("GET", ["metrics"]) => {
            Response::new(200, metrics::CONTENT_TYPE, metrics::text(&api.invoker, &api.role))
        }
        ("PUT", ["v1", "functions", name]) => put(&body, |function: Function| {
            check_function(api, &function)?;
            api.catalog.put_function(name, &function)
        }),
        ("PUT", ["v1", "workers", name]) => put(&body, |worker: Worker| {
            api.catalog.put_worker(name, &worker)?;
            api.catalog.announce_worker(&api.invoker, name);
            Ok(())
        }),
        ("DELETE", ["v1", "functions", name]) => changed(api.catalog.remove_function(name)),
        ("DELETE", ["v1", "workers", name]) => changed(api.catalog.remove_worker(name).map(|()| {
            api.catalog.announce(&api.invoker);
        })),
        (_, ["v1", "invocations", _] | ["v1", "functions" | "workers" | "status"] | ["metrics"])
        | (_, ["v1", "functions" | "workers", _] | ["v1", "functions", _, "invocations"]) => {
            problem(405, "method", "the method does not apply here", Some(false))
        }
        _ => problem(404, "unknown-path", "nothing stands here", Some(false)),
    })
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

/// Entries of the configuration, as far as there is room to write them out.
fn listed(entries: Object, connection: &Connection) -> Next {
    let mut held = connection.account().nothing();
    // The text stands once by itself and once behind the head of the response.
    match grow(&mut held, Purpose::Clients, 2 * entries.size()) {
        Ok(()) => Next::Counted(Response::new(200, "application/json", entries.into_text()), held),
        Err(_) => Next::Respond(no_room()),
    }
}

/// Checks that a function's class and tenant are known here.
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
