//! The invoke API: HTTP/1.1, synchronous and deferred calls, with the functions and workers beside them.
//!
//! Both styles run a call through `InvokeApi::run`; they differ only in how the answer reaches the client.
//!
//! | module | job |
//! | --- | --- |
//! | `routes` | paths and methods |
//! | `reader` | the read side of a connection |
//! | `calls` | synchronous and deferred calls |
//! | `responses` | responses of the API |
//! | `resume` | deferred calls that an earlier process did not finish |
mod calls;
mod reader;
mod responses;
mod resume;
mod routes;

use super::accept::Connection;
use super::feed::Role;
use super::http::Response;
use crate::core::Invoker;
use crate::state::catalog::Catalog;
use crate::state::clients::ClientState;
use crate::state::invocations::Invocations;
use corkbay::RequestId;
use corkbay_ledger::Reservation;
use may::coroutine::JoinHandle;
use reader::{PipelinedInput, ReadError, RequestReader};
use routes::route;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

/// Request header: time that the client allows for a call, in milliseconds from its receipt.
pub const DEADLINE_HEADER: &str = "Corkbay-Deadline-Ms";
/// Response header, in lower case: whether a call that was not served may have run.
pub const MAY_HAVE_RUN_HEADER: &str = "corkbay-may-have-run";
/// Maximum size of a request's body, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// Time without progress after which writing a response fails.
pub const WRITE_STALL: Duration = Duration::from_secs(5);
/// How long each read waits while the rest of the input is discarded after the last response.
const LINGER: Duration = Duration::from_secs(1);

/// State that the invoke API works on.
pub struct InvokeApi {
    /// Schedules and runs calls.
    pub invoker: Arc<Invoker>,
    /// Idempotency keys and deferred calls.
    pub invocations: Arc<Invocations>,
    /// Configured functions and workers.
    pub catalog: Arc<Catalog>,
    /// Role of the node in the distribution of configuration.
    pub role: Role,
}

/// A call whose answer is written to the connection.
struct Current {
    id: RequestId,
    task: JoinHandle<bool>,
}

/// How a request is answered.
enum RouteResult {
    /// Respond at once.
    Respond(Response),
    /// Respond at once with a large response, whose memory stays reserved until it is written.
    Counted(Response, Reservation),
    /// The task of the call writes the response itself.
    Held(Current),
}

/// Serves one client connection until it ends.
pub fn serve(api: &Arc<InvokeApi>, connection: &Arc<Connection>) {
    let mut current = None;
    // However the connection ends, no client is left to wait for a held call.
    let end = serve_requests(api, connection, &mut current);
    if let Some(Current { id, task }) = current {
        api.invoker.withdraw(id);
        let _ = task.join();
    }
    if end.is_ok() {
        connection.linger(LINGER);
    }
    connection.shut(Shutdown::Both);
}

/// Answers requests in the order of their arrival; `Ok` once the last is answered.
fn serve_requests(
    api: &Arc<InvokeApi>,
    connection: &Arc<Connection>,
    current: &mut Option<Current>,
) -> io::Result<()> {
    let mut reader = RequestReader::new(connection);
    loop {
        let (mut head, body) = match reader.read_request() {
            Ok(request) => request,
            Err(ReadError::Io(error)) => return Err(error),
            Err(ReadError::Refused(response)) => {
                // Earlier requests are answered first.
                reader.wait_for_answer(current, PipelinedInput::Discard)?;
                return connection.answer(&response.encode(false));
            }
        };
        // Responses are written one at a time, in the order of the requests.
        if !reader.wait_for_answer(current, PipelinedInput::Keep)? {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let request_guard = connection.hold_request();
        head.keep_alive &= !connection.is_beyond_limit();
        match route(api, &head, body, connection) {
            RouteResult::Respond(response) => connection.answer(&response.encode(head.keep_alive))?,
            RouteResult::Counted(response, held) => {
                connection.answer(&response.encode(head.keep_alive))?;
                drop(held);
            }
            RouteResult::Held(held) => *current = Some(held),
        }
        drop(request_guard);
        if !head.keep_alive {
            // The client may disconnect until the response to a held call is written.
            while current.is_some() && connection.state().0 == ClientState::Busy {
                reader.discard_input()?;
            }
            return Ok(());
        }
    }
}
