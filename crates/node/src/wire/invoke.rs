//! The invoke API: HTTP/1.1, synchronous and deferred calls, with the functions and workers beside them.
//!
//! Both styles go through `InvokeApi::run`; they differ only in how the answer travels.
//!
//! | module | job |
//! | --- | --- |
//! | `routes` | paths and methods |
//! | `calls` | calls, held and deferred |
//! | `responses` | what is answered |
//! | `resume` | deferred calls that an earlier process left open |
mod calls;
mod responses;
mod resume;
mod routes;

use super::accept::Connection;
use super::feed::Role;
use super::http::{RequestHead, Response};
use super::intake::{Intake, CHUNK};
use crate::core::{monotonic_ms, Invoker};
use crate::memory::catalog::Catalog;
use crate::memory::clients::ClientState;
use crate::memory::invocations::Invocations;
use crate::memory::room::NO_ROOM;
use crate::timers;
use corkbay::RequestId;
use corkbay_ledger::{Purpose, Reservation};
use may::coroutine::JoinHandle;
use responses::{no_room, unreadable};
use routes::route;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

/// The client's time for a call, in milliseconds from now.
pub const DEADLINE_HEADER: &str = "Corkbay-Deadline-Ms";
/// Whether a call that was not served may have run, in lower case.
pub const MAY_HAVE_RUN_HEADER: &str = "corkbay-may-have-run";
/// Largest body of a request.
pub const MAX_BODY: usize = 16 << 10;
const IDLE: Duration = Duration::from_secs(60);
/// Longest silence within a request.
const MESSAGE: Duration = Duration::from_secs(10);
/// Longest time for which a client may stop reading while a response is written to it.
pub const WRITE_STALL: Duration = Duration::from_secs(5);
/// How often a held call is looked at while its client has sent its next request already.
const ANSWER_LOOK: Duration = Duration::from_millis(2);
/// How long, and for how many bytes, a client may go on sending after the last answer.
const LINGER: Duration = Duration::from_secs(1);

/// What the API works on.
pub struct InvokeApi {
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

/// The life of one client connection.
pub fn serve(api: &Arc<InvokeApi>, connection: &Arc<Connection>) {
    let mut current = None;
    // The end of the connection, however it comes, leaves nobody to wait for a held call.
    let end = converse(api, connection, &mut current);
    if let Some(Current { id, task }) = current {
        api.invoker.withdraw(id);
        let _ = task.join();
    }
    if end.is_ok() {
        connection.linger(LINGER);
    }
    connection.shut(Shutdown::Both);
}

/// Answers requests in the order they come; `Ok` once the last is answered.
fn converse(
    api: &Arc<InvokeApi>,
    connection: &Arc<Connection>,
    current: &mut Option<Current>,
) -> io::Result<()> {
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
                if state != ClientState::Busy && monotonic_ms() - since >= within.as_secs_f64() * 1000.0 {
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
        match route(api, &head, body, connection) {
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
            timers::sleep(ANSWER_LOOK);
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
