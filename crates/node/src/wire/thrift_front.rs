//! The Thrift front: reads requests from client connections, hands them to the invoker and writes the answers.
use super::accept::Connection;
use super::connection_handover::{HandoverSender, ReceivedConnection};
use super::receive_buffer::{ReceiveBuffer, CHUNK};
use super::thrift::{self, Fields, Malformed, Message, Reply};
use crate::core::{lock, monotonic_ms, time_until, AdmissionError, Answer, Call, Failure, Invoker};
use crate::lifecycle::spawn;
use crate::state::clients::ClientState;
use crate::timers;
use corkbay::{position, Effect, ModelId, Ms, Request, RequestId};
use corkbay_ledger::Purpose;
use may::sync::Mutex;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Weak};
use std::time::Duration;

/// Maximum number of unanswered requests per connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// A connection that has been answered before and has no open request is closed after this time. Clients close idle
/// connections sooner.
const IDLE_TIMEOUT_MS: Ms = 4500.0;
/// A connection that has never been answered and has no open request is closed after this time. Also the poll interval
/// of a connection with open requests.
const UNANSWERED_TIMEOUT_MS: Ms = 1000.0;
/// Maximum time between the first and the last byte of a message.
const MESSAGE_TIMEOUT_MS: Ms = 1500.0;
/// A write fails if the client accepts no bytes for this long.
pub const WRITE_STALL: Duration = Duration::from_secs(2);
/// Number of malformed messages after which a connection is closed, and how many of them are logged.
const MAX_MALFORMED_MESSAGES: u32 = 64;
const MAX_LOGGED_MALFORMED: u32 = 3;
/// After this many full chunks in a row, reading pauses so that a client that sends continuously does not block other
/// coroutines.
const FULL_CHUNKS_BEFORE_PAUSE: u32 = 4;
const READ_PAUSE: Duration = Duration::from_millis(1);
/// Poll interval of a connection that is being drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Retry delay sent to a client that exceeds a limit on open requests or connections.
const OVERLOAD_RETRY_AFTER_MS: f64 = 100.0;
/// Retry delay sent to a client while this process is draining.
const DRAINING_RETRY_AFTER_MS: f64 = 200.0;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;
/// Upper bound for numeric fields of a request; larger values are rejected as out of range.
const MAX_FIELD_VALUE: f64 = 1e6;

/// The process that will answer an open request of a connection.
#[derive(Clone, Copy, Debug)]
enum Responder {
    /// This process, under the given request id.
    Local(RequestId),
    /// The process that handed the connection over.
    Predecessor,
}

impl Responder {
    fn local_id(self) -> Option<RequestId> {
        match self {
            Responder::Local(id) => Some(id),
            Responder::Predecessor => None,
        }
    }
}

/// The unanswered requests of a connection by sequence number.
type OpenRequests = Arc<Mutex<HashMap<i32, Responder>>>;

/// The unanswered requests that this process handles itself.
fn local_request_ids(open_requests: &OpenRequests) -> Vec<RequestId> {
    lock(open_requests).values().filter_map(|responder| responder.local_id()).collect()
}

/// Serves a client connection until it ends or, while this process drains, is handed over to the successor.
pub fn serve(invoker: &Arc<Invoker>, handover: &HandoverSender, connection: Arc<Connection>) {
    serve_until_end(invoker, handover, &connection, OpenRequests::default());
}

/// Takes over a connection from another process that still has to answer the requests with the given sequence numbers.
/// Answers from that process are to be passed to the returned value.
pub fn resume(
    invoker: &Arc<Invoker>,
    handover: &Arc<HandoverSender>,
    connection: Arc<Connection>,
    unanswered: &[i32],
) -> impl ReceivedConnection {
    let open_requests: OpenRequests =
        Arc::new(Mutex::new(unanswered.iter().map(|seqid| (*seqid, Responder::Predecessor)).collect()));
    unanswered.iter().for_each(|_| connection.request_started());
    invoker.counters.taken_over.increment();
    let taken_over =
        TakenOverConnection { connection: Arc::downgrade(&connection), open_requests: open_requests.clone() };
    let (invoker, handover) = (invoker.clone(), handover.clone());
    spawn(move || serve_until_end(&invoker, &handover, &connection, open_requests));
    taken_over
}

fn serve_until_end(
    invoker: &Arc<Invoker>,
    handover: &HandoverSender,
    connection: &Arc<Connection>,
    open_requests: OpenRequests,
) {
    let mut withdraw_on_drop =
        WithdrawOnDrop { invoker: invoker.clone(), open_requests: open_requests.clone(), handed_over: false };
    match read_messages(invoker, handover, connection, &open_requests) {
        Ok(ReadEnd::HandedOver) => {
            invoker.counters.passed_on.increment();
            withdraw_on_drop.handed_over = true;
            return;
        }
        Ok(ReadEnd::Closed) => {}
        Err(malformed) => {
            invoker.counters.malformed.increment();
            tracing::info!(%malformed, "client connection closed");
        }
    }
    connection.shut(Shutdown::Both);
}

/// Receives the answers that the previous process sends for a connection that was taken over.
struct TakenOverConnection {
    connection: Weak<Connection>,
    open_requests: OpenRequests,
}

impl ReceivedConnection for TakenOverConnection {
    fn finish_request(&self, seqid: i32, bytes: Vec<u8>) {
        let (connection, open_requests) = (self.connection.clone(), self.open_requests.clone());
        // The connection may be dropped here, which is only allowed in a coroutine.
        spawn(move || {
            // The connection may have ended already, or the client may have cancelled the request.
            let Some(connection) = connection.upgrade() else { return };
            let held = connection.account().reserve_over_cap(bytes.len());
            connection.finish_request(seqid, bytes, || lock(&open_requests).remove(&seqid).is_some(), held);
        });
    }

    fn fail_unanswered(&self) {
        let unanswered: Vec<i32> = lock(&self.open_requests)
            .iter()
            .filter(|(_, responder)| responder.local_id().is_none())
            .map(|(seqid, _)| *seqid)
            .collect();
        let answer = |seqid| thrift::reply("dispatch", seqid, crashed("the process that took it has ended"));
        unanswered.into_iter().for_each(|seqid| self.finish_request(seqid, answer(seqid)));
    }
}

/// Why the read loop of a connection ended.
enum ReadEnd {
    Closed,
    /// Another process continues to read from the connection.
    HandedOver,
}

/// Withdraws the open requests of a connection when its task ends for any reason, including a panic.
struct WithdrawOnDrop {
    invoker: Arc<Invoker>,
    open_requests: OpenRequests,
    /// The connection lives on in another process, so its requests continue.
    handed_over: bool,
}

impl Drop for WithdrawOnDrop {
    fn drop(&mut self) {
        if !self.handed_over {
            local_request_ids(&self.open_requests).into_iter().for_each(|id| self.invoker.withdraw(id));
        }
    }
}

/// Reads and handles messages until the connection is closed, times out, is handed over or sends a message after which
/// the stream can't be read any further.
fn read_messages(
    invoker: &Arc<Invoker>,
    handover: &HandoverSender,
    connection: &Arc<Connection>,
    open_requests: &OpenRequests,
) -> Result<ReadEnd, Malformed> {
    let (mut buffer, mut chunk) =
        (ReceiveBuffer::new(connection.account(), Purpose::Clients), vec![0; CHUNK]);
    let (mut message_began, mut malformed_messages, mut last_request, mut full_chunks) = (0.0, 0, 0.0, 0);
    loop {
        let Some(message) = thrift::unframe(buffer.bytes())? else {
            if buffer.is_empty()
                && connection.is_draining()
                && connection.hand_over(handover, || lock(open_requests).keys().copied().collect())
            {
                return Ok(ReadEnd::HandedOver);
            }
            let (state, since) = connection.state();
            if connection.is_beyond_limit() && state == ClientState::Idle && !connection.has_unread() {
                return Ok(ReadEnd::Closed);
            }
            let end = match state {
                ClientState::Busy if connection.is_draining() => {
                    monotonic_ms() + DRAIN_POLL_INTERVAL.as_millis() as Ms
                }
                ClientState::Busy => monotonic_ms() + UNANSWERED_TIMEOUT_MS,
                _ if !buffer.is_empty() => message_began + MESSAGE_TIMEOUT_MS,
                ClientState::Idle => since + IDLE_TIMEOUT_MS,
                ClientState::NeverAnswered => since + UNANSWERED_TIMEOUT_MS,
            };
            if connection.is_draining() && invoker.serving_state().ends(monotonic_ms(), last_request) {
                local_request_ids(open_requests).into_iter().for_each(|id| invoker.end(id));
            }
            let was_empty = buffer.is_empty();
            match buffer.fill(connection, &mut chunk, time_until(end)) {
                // The read side was shut down by this process. Bytes that were sent before are still read, and the
                // connection is closed once all requests are answered.
                Ok(0) if connection.is_shut() => {
                    // A request also counts as unanswered while its answer is being written.
                    let is_busy = connection.state().0 == ClientState::Busy;
                    if !is_busy && (buffer.is_empty() || monotonic_ms() > end || connection.is_evicted()) {
                        return Ok(ReadEnd::Closed);
                    }
                    connection.wait_for_an_end(DRAIN_POLL_INTERVAL);
                }
                Ok(0) => return Ok(ReadEnd::Closed),
                Ok(size) => {
                    message_began = if was_empty { monotonic_ms() } else { message_began };
                    full_chunks = if size < CHUNK { 0 } else { full_chunks + 1 };
                    if full_chunks >= FULL_CHUNKS_BEFORE_PAUSE {
                        // Reading available bytes never suspends the coroutine, so other coroutines would starve. A yield
                        // is not enough: the scheduler polls for events only once its run queue is empty.
                        full_chunks = 0;
                        timers::sleep(READ_PAUSE);
                    }
                }
                Err(error) if error.kind() == ErrorKind::TimedOut => {
                    // The state may have changed during the wait because an answer was written or a request ended.
                    // Open requests keep the connection alive even if an incomplete message behind them times out.
                    let timed_out = !buffer.is_empty() || connection.state() == (state, since);
                    if timed_out && state != ClientState::Busy {
                        return Ok(ReadEnd::Closed);
                    }
                }
                Err(_) => return Ok(ReadEnd::Closed),
            }
            continue;
        };
        message_began = monotonic_ms();
        let result = match thrift::parse_message(&message) {
            Ok(Message::Dispatch { seqid, fields, body }) => {
                last_request = message_began;
                if lock(open_requests).contains_key(&seqid) {
                    // The client could not tell which of the two requests an answer belongs to.
                    let what = "the sequence number is open already";
                    return Err(Malformed { call: None, what, unknown_method: false });
                }
                dispatch(invoker, open_requests, connection, seqid, &fields, body)
            }
            Ok(Message::Cancel { seqid }) => {
                let responder = lock(open_requests).get(&seqid).copied();
                match responder {
                    Some(Responder::Local(id)) => invoker.withdraw(id),
                    // The other process completes the call; its answer is discarded here.
                    Some(Responder::Predecessor) => {
                        lock(open_requests).remove(&seqid);
                        connection.request_ended();
                    }
                    None => {}
                }
                Ok(())
            }
            Ok(Message::Alive { seqid }) => {
                let is_success = invoker.serving_state().leaving().is_none();
                write(
                    connection,
                    &thrift::reply("alive", seqid, Reply::Answer { body: Vec::new(), is_success }),
                );
                Ok(())
            }
            Err(malformed) => match &malformed.call {
                Some((seqid, method)) => {
                    let (unknown, what) = (malformed.unknown_method, malformed.what);
                    write(connection, &thrift::exception(method, *seqid, unknown, what));
                    Err(what)
                }
                None => return Err(malformed),
            },
        };
        if let Err(what) = result {
            invoker.counters.malformed.increment();
            malformed_messages += 1;
            if malformed_messages <= MAX_LOGGED_MALFORMED {
                tracing::info!(what, "message turned down");
            }
            if malformed_messages >= MAX_MALFORMED_MESSAGES {
                return Err(Malformed {
                    call: None,
                    what: "too many unusable messages",
                    unknown_method: false,
                });
            }
        }
    }
}

/// Accepts a request and spawns the coroutine that writes its answer. A refused or malformed request is answered at
/// once; the error says why it is malformed.
fn dispatch(
    invoker: &Arc<Invoker>,
    open_requests: &OpenRequests,
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
    if lock(open_requests).len() >= MAX_OPEN_REQUESTS {
        reply_now(rejected(OVERLOAD_RETRY_AFTER_MS));
        return Ok(());
    }
    let arrived_at = invoker.earliest_arrival().min(connection.earliest_arrival());
    let accepted = parse_call(invoker, arrived_at, fields, body).map(|call| {
        let id = call.request.id;
        let accepted = invoker.accept(call);
        if accepted.is_ok() {
            lock(open_requests).insert(seqid, Responder::Local(id));
        }
        accepted
    });
    match accepted {
        Ok(Err(AdmissionError::Draining)) => reply_now(rejected(DRAINING_RETRY_AFTER_MS)),
        Ok(Err(AdmissionError::Overloaded(retry_after_ms))) => {
            reply_now(rejected(retry_after_ms.max(OVERLOAD_RETRY_AFTER_MS)))
        }
        Ok(Err(AdmissionError::DuplicateId)) => reply_now(crashed("the request is open already")),
        Ok(Ok(accepted)) => {
            connection.request_started();
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
                connection.finish_request(
                    seqid,
                    bytes,
                    || lock(&open_requests).remove(&seqid).is_some(),
                    accepted,
                );
            });
        }
        Err(what) => {
            reply_now(crashed(what));
            return Err(what);
        }
    }
    Ok(())
}

fn rejected(retry_after_ms: f64) -> Reply {
    let mut fields = Fields::new();
    if retry_after_ms > 0.0 {
        fields.insert("cooldown".to_string(), format!("{}", retry_after_ms.ceil() as u64));
    }
    Reply::Rejected(fields)
}

fn crashed(what: &str) -> Reply {
    Reply::Crashed(Fields::from([("reason".to_string(), what.to_string())]))
}

fn write(connection: &Connection, bytes: &[u8]) {
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
