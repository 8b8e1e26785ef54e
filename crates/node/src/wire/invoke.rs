//! The invoke API: HTTP/1.1, synchronous and deferred calls, with the functions and workers beside them.
//!
//! Both styles run a call through `InvokeApi::run`; they differ only in how the answer reaches the client.
//!
//! | module | job |
//! | --- | --- |
//! | `routes` | paths and methods |
//! | `calls` | synchronous and deferred calls |
//! | `responses` | responses of the API |
//! | `resume` | deferred calls that an earlier process did not finish |
mod calls;
mod responses;
mod resume;
mod routes;

use super::accept::Connection;
use super::feed::Role;
use super::http::{RequestHead, Response};
use super::receive_buffer::{ReceiveBuffer, CHUNK};
use crate::core::{monotonic_ms, Invoker};
use crate::state::catalog::Catalog;
use crate::state::clients::ClientState;
use crate::state::invocations::Invocations;
use crate::state::memory_wait::OUT_OF_MEMORY_KIND;
use crate::timers;
use corkbay::RequestId;
use corkbay_ledger::{Purpose, Reservation};
use may::coroutine::JoinHandle;
use responses::{bad_request, no_room};
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
/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for the next bytes of a request that has begun.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without progress after which writing a response fails.
pub const WRITE_STALL: Duration = Duration::from_secs(5);
/// How often a held call is polled while its client has sent the next request already.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(2);
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
    let (mut receive_buffer, mut chunk) =
        (ReceiveBuffer::new(connection.account(), Purpose::Clients), vec![0; CHUNK]);
    let chunk = chunk.as_mut_slice();
    let fill = |receive_buffer: &mut ReceiveBuffer, chunk: &mut [u8]| loop {
        let within = if receive_buffer.is_empty() { IDLE_TIMEOUT } else { REQUEST_READ_TIMEOUT };
        match receive_buffer.fill(connection, chunk, within) {
            Ok(0) => handle_end_of_input(connection)?,
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == ErrorKind::TimedOut => {
                // A client with a held call need not send anything, and the call may have been answered during
                // this wait, so that the idle time starts then.
                let (state, since) = connection.state();
                if state != ClientState::Busy && monotonic_ms() - since >= within.as_secs_f64() * 1000.0 {
                    return Err(error);
                }
            }
            Err(error) => return Err(error),
        }
    };
    loop {
        let mut head = loop {
            match RequestHead::decode(receive_buffer.bytes()) {
                Ok(Some(head)) => break head,
                Ok(None) => match fill(&mut receive_buffer, chunk) {
                    Err(error) if error.kind() == OUT_OF_MEMORY_KIND => {
                        return respond_and_close(connection, &mut receive_buffer, chunk, current, no_room())
                    }
                    end => end?,
                },
                Err(error) => {
                    return respond_and_close(
                        connection,
                        &mut receive_buffer,
                        chunk,
                        current,
                        bad_request(&error),
                    )
                }
            }
        };
        if head.headers.get("expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue")) {
            connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let mut body = Vec::new();
        loop {
            match head.body.feed(receive_buffer.bytes(), &mut body, MAX_BODY_BYTES) {
                Ok(true) => break,
                Ok(false) => {
                    let room = receive_buffer.beside(body.capacity());
                    match room.and_then(|()| fill(&mut receive_buffer, chunk)) {
                        Err(error) if error.kind() == OUT_OF_MEMORY_KIND => {
                            return respond_and_close(
                                connection,
                                &mut receive_buffer,
                                chunk,
                                current,
                                no_room(),
                            );
                        }
                        end => end?,
                    }
                }
                Err(error) => {
                    return respond_and_close(
                        connection,
                        &mut receive_buffer,
                        chunk,
                        current,
                        bad_request(&error),
                    )
                }
            }
        }
        // The call reserves the memory of its body from here on.
        receive_buffer.beside(0)?;
        // Responses are written one at a time, in the order of the requests.
        if !wait_for_answer(connection, &mut receive_buffer, chunk, current, true)? {
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
                receive_buffer.bytes().clear();
                match receive_buffer.fill(connection, chunk, LINGER) {
                    Ok(0) => handle_end_of_input(connection)?,
                    Err(error) if error.kind() != ErrorKind::TimedOut => return Err(error),
                    _ => {}
                }
            }
            return Ok(());
        }
    }
}

/// Handles the end of the input. It means that the client has disconnected, unless this process shut the reading side
/// down; in that case requests that were received before are still answered, and this waits a little for that.
fn handle_end_of_input(connection: &Connection) -> io::Result<()> {
    if !connection.is_shut() || connection.state().0 != ClientState::Busy {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    connection.wait_for_an_end(ANSWER_POLL_INTERVAL);
    Ok(())
}

/// Waits until the held call, if there is one, is answered; returns whether the response could be written. Meanwhile,
/// pipelined input of the client is read as far as it fits the chunk that is already reserved, and is kept or
/// discarded. A disconnect is noticed even behind input that does not fit.
fn wait_for_answer(
    connection: &Connection,
    pipelined: &mut ReceiveBuffer,
    chunk: &mut [u8],
    current: &mut Option<Current>,
    keep_input: bool,
) -> io::Result<bool> {
    while current.as_ref().is_some_and(|before| !before.task.is_done()) {
        if !keep_input {
            pipelined.bytes().clear();
        }
        let room = CHUNK.saturating_sub(pipelined.bytes().len());
        if room == 0 {
            if connection.is_closed_by_peer() {
                handle_end_of_input(connection)?;
            }
            timers::sleep(ANSWER_POLL_INTERVAL);
            continue;
        }
        match pipelined.fill(connection, &mut chunk[..room], ANSWER_POLL_INTERVAL) {
            // This process shut the reading side down with the answer; requests received before it are still
            // answered.
            Ok(0) if connection.is_shut() && current.as_ref().is_some_and(|before| before.task.is_done()) => {
            }
            Ok(0) => handle_end_of_input(connection)?,
            Err(error) if error.kind() != ErrorKind::TimedOut => return Err(error),
            _ => {}
        }
    }
    Ok(current.take().is_none_or(|before| before.task.join().unwrap_or(false)))
}

/// Responds to a request that can't be read any further, after the responses to earlier requests.
fn respond_and_close(
    connection: &Connection,
    receive_buffer: &mut ReceiveBuffer,
    chunk: &mut [u8],
    current: &mut Option<Current>,
    answer: Response,
) -> io::Result<()> {
    wait_for_answer(connection, receive_buffer, chunk, current, false)?;
    connection.answer(&answer.encode(false))
}
