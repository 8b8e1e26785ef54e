//! The platform's front: Thrift in, calls to the core, answers out.
use super::accept::Connection;
use super::intake::{Intake, CHUNK};
use super::passage::{Arrival, Passage};
use super::thrift::{self, Fields, Malformed, Message, Reply};
use crate::core::{lock, monotonic_ms, until, Answer, Call, Failure, Invoker, NotTaken};
use crate::life::spawn;
use crate::memory::clients::ClientState;
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

/// Requests that one connection may have open.
const OPEN: usize = 32;
/// A connection that was answered and has nothing open is closed after this; clients close theirs sooner.
const IDLE_MS: Ms = 4500.0;
/// One that never had an answer is closed after this, and looked at as often while something is open.
const SILENT_MS: Ms = 1000.0;
/// Longest time from a message's first byte to its last.
const MESSAGE_MS: Ms = 1500.0;
/// Longest time for which a client may take nothing of an answer that is written to it.
pub const WRITE_STALL: Duration = Duration::from_secs(2);
/// Unusable messages after which a connection is closed, and how many of them are written to the log.
const STRIKES: u32 = 64;
const LOGGED: u32 = 3;
/// Chunks that may be read in a row that a client keeps full, and the rest after them.
const TURN_CHUNKS: u32 = 4;
const TURN_REST: Duration = Duration::from_millis(1);
/// How often a connection that is drained is looked at.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// Advice to a client that opens more than it may.
const CROWDED_MS: f64 = 100.0;
/// Advice to a client of a process that is about to end.
const DRAINING_MS: f64 = 200.0;
const MAX_KEY: usize = 128;
/// Largest figure of a request that is believed.
const MOST_FIGURE: f64 = 1e6;

/// What is owed on a connection, by its sequence number.
#[derive(Clone, Copy, Debug)]
enum Owed {
    /// By this process.
    Here(RequestId),
    /// By the one that passed the connection on.
    Before,
}

impl Owed {
    fn here(self) -> Option<RequestId> {
        match self {
            Owed::Here(id) => Some(id),
            Owed::Before => None,
        }
    }
}

type Open = Arc<Mutex<HashMap<i32, Owed>>>;

/// What this process owes of it.
fn owed_here(open: &Open) -> Vec<RequestId> {
    lock(open).values().filter_map(|owed| owed.here()).collect()
}

/// The life of one client connection. Once this process leaves, it may pass on to the next one.
pub fn serve(invoker: &Arc<Invoker>, passage: &Passage, connection: Arc<Connection>) {
    keep(invoker, passage, &connection, Open::default());
}

/// Takes over a connection on which another process still owes those requests; what it tells of them goes to what is
/// returned.
pub fn resume(
    invoker: &Arc<Invoker>,
    passage: &Arc<Passage>,
    connection: Arc<Connection>,
    owed: &[i32],
) -> impl Arrival {
    let open: Open = Arc::new(Mutex::new(owed.iter().map(|seqid| (*seqid, Owed::Before)).collect()));
    owed.iter().for_each(|_| connection.opened());
    invoker.counters.taken_over.add();
    let arrived = Arrived { connection: Arc::downgrade(&connection), open: open.clone() };
    let (invoker, passage) = (invoker.clone(), passage.clone());
    spawn(move || keep(&invoker, &passage, &connection, open));
    arrived
}

fn keep(invoker: &Arc<Invoker>, passage: &Passage, connection: &Arc<Connection>, open: Open) {
    let mut left = Leave { invoker: invoker.clone(), open: open.clone(), passed: false };
    match receive(invoker, passage, connection, &open) {
        Ok(End::Passed) => {
            invoker.counters.passed_on.add();
            left.passed = true;
            return;
        }
        Ok(End::Closed) => {}
        Err(malformed) => {
            invoker.counters.malformed.add();
            tracing::info!(%malformed, "client connection closed");
        }
    }
    connection.shut(Shutdown::Both);
}

/// A connection that was taken over, as the process that passed it on sees it.
struct Arrived {
    connection: Weak<Connection>,
    open: Open,
}

impl Arrival for Arrived {
    fn end(&self, seqid: i32, bytes: Vec<u8>) {
        let (connection, open) = (self.connection.clone(), self.open.clone());
        // The connection may end here, which only a coroutine may do.
        spawn(move || {
            // It may have ended before, or its client may have taken the request back.
            let Some(connection) = connection.upgrade() else { return };
            let held = connection.account().owe(bytes.len());
            connection.end(seqid, bytes, || lock(&open).remove(&seqid).is_some(), held);
        });
    }

    fn abandon(&self) {
        let owed: Vec<i32> = lock(&self.open)
            .iter()
            .filter(|(_, owed)| owed.here().is_none())
            .map(|(seqid, _)| *seqid)
            .collect();
        let answer = |seqid| thrift::reply("dispatch", seqid, crashed("the process that took it has ended"));
        owed.into_iter().for_each(|seqid| self.end(seqid, answer(seqid)));
    }
}

/// How a connection ended for its reader.
enum End {
    Closed,
    /// Another process reads on.
    Passed,
}

/// Withdraws what a connection left open, however its task ends.
struct Leave {
    invoker: Arc<Invoker>,
    open: Open,
    /// Whoever was asked for goes on.
    passed: bool,
}

impl Drop for Leave {
    fn drop(&mut self) {
        if !self.passed {
            owed_here(&self.open).into_iter().for_each(|id| self.invoker.withdraw(id));
        }
    }
}

/// Reads messages until the connection ends, is no longer kept or can't be read any further.
fn receive(
    invoker: &Arc<Invoker>,
    passage: &Passage,
    connection: &Arc<Connection>,
    open: &Open,
) -> Result<End, Malformed> {
    let (mut intake, mut chunk) = (Intake::new(connection.account(), Purpose::Clients), vec![0; CHUNK]);
    let (mut begun, mut strikes, mut last_request, mut full_chunks) = (0.0, 0, 0.0, 0);
    loop {
        let Some(message) = thrift::unframe(intake.bytes())? else {
            if intake.is_empty()
                && connection.is_draining()
                && connection.pass(passage, || lock(open).keys().copied().collect())
            {
                return Ok(End::Passed);
            }
            let (state, since) = connection.state();
            if connection.is_turned_away() && state == ClientState::Idle && !connection.has_unread() {
                return Ok(End::Closed);
            }
            let end = match state {
                ClientState::Busy if connection.is_draining() => {
                    monotonic_ms() + DRAIN_LOOK.as_millis() as Ms
                }
                ClientState::Busy => monotonic_ms() + SILENT_MS,
                _ if !intake.is_empty() => begun + MESSAGE_MS,
                ClientState::Idle => since + IDLE_MS,
                ClientState::Silent => since + SILENT_MS,
            };
            if connection.is_draining() && invoker.duty().ends(monotonic_ms(), last_request) {
                owed_here(open).into_iter().for_each(|id| invoker.end(id));
            }
            let fresh = intake.is_empty();
            match intake.fill(connection, &mut chunk, until(end)) {
                // Its reading side is shut: what crosses is read on, and the connection is closed once nothing is owed on it.
                Ok(0) if connection.is_shut() => {
                    // An answer that is being written is owed as well.
                    let owes = connection.state().0 == ClientState::Busy;
                    if !owes && (intake.is_empty() || monotonic_ms() > end || connection.is_evicted()) {
                        return Ok(End::Closed);
                    }
                    connection.wait_for_an_end(DRAIN_LOOK);
                }
                Ok(0) => return Ok(End::Closed),
                Ok(size) => {
                    begun = if fresh { monotonic_ms() } else { begun };
                    full_chunks = if size < CHUNK { 0 } else { full_chunks + 1 };
                    if full_chunks >= TURN_CHUNKS {
                        // Reading what is there never waits, and who never waits holds up all others. A yield would not
                        // do: the scheduler asks for events once its queue is empty.
                        full_chunks = 0;
                        timers::sleep(TURN_REST);
                    }
                }
                Err(error) if error.kind() == ErrorKind::TimedOut => {
                    // An answer may have gone out, or a request may have ended, while this waited. What is owed outlasts
                    // half a message behind it.
                    let over = !intake.is_empty() || connection.state() == (state, since);
                    if over && state != ClientState::Busy {
                        return Ok(End::Closed);
                    }
                }
                Err(_) => return Ok(End::Closed),
            }
            continue;
        };
        begun = monotonic_ms();
        let usable = match thrift::read(&message) {
            Ok(Message::Dispatch { seqid, fields, body }) => {
                last_request = begun;
                if lock(open).contains_key(&seqid) {
                    // An answer to one could be taken for the other's.
                    let what = "the sequence number is open already";
                    return Err(Malformed { call: None, what, unknown_method: false });
                }
                dispatch(invoker, open, connection, seqid, &fields, body)
            }
            Ok(Message::Cancel { seqid }) => {
                let owed = lock(open).get(&seqid).copied();
                match owed {
                    Some(Owed::Here(id)) => invoker.withdraw(id),
                    // It runs to its end there, and nobody is told.
                    Some(Owed::Before) => {
                        lock(open).remove(&seqid);
                        connection.closed();
                    }
                    None => {}
                }
                Ok(())
            }
            Ok(Message::Alive { seqid }) => {
                let good = invoker.duty().leaving().is_none();
                write(connection, &thrift::reply("alive", seqid, Reply::Answer { body: Vec::new(), good }));
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
        if let Err(what) = usable {
            invoker.counters.malformed.add();
            strikes += 1;
            if strikes <= LOGGED {
                tracing::info!(what, "message turned down");
            }
            if strikes >= STRIKES {
                return Err(Malformed {
                    call: None,
                    what: "too many unusable messages",
                    unknown_method: false,
                });
            }
        }
    }
}

/// Takes a request in and starts the task that sees it to its answer; an unusable one is told why.
fn dispatch(
    invoker: &Arc<Invoker>,
    open: &Open,
    connection: &Arc<Connection>,
    seqid: i32,
    fields: &Fields,
    body: Vec<u8>,
) -> Result<(), &'static str> {
    let answer_now = |reply| write(connection, &thrift::reply("dispatch", seqid, reply));
    let _kept = connection.keep();
    if connection.is_turned_away() {
        invoker.counters.turned_away.add();
        answer_now(rejected(CROWDED_MS));
        return Ok(());
    }
    if lock(open).len() >= OPEN {
        answer_now(rejected(CROWDED_MS));
        return Ok(());
    }
    let came_at = invoker.came_at().min(connection.came_at());
    let taken = call(invoker, came_at, fields, body).map(|call| {
        let id = call.request.id;
        let taken = invoker.take(call);
        if taken.is_ok() {
            lock(open).insert(seqid, Owed::Here(id));
        }
        taken
    });
    match taken {
        Ok(Err(NotTaken::Draining)) => answer_now(rejected(DRAINING_MS)),
        Ok(Err(NotTaken::Crowded(span))) => answer_now(rejected(span.max(CROWDED_MS))),
        Ok(Err(NotTaken::Open)) => answer_now(crashed("the request is open already")),
        Ok(Ok(taken)) => {
            connection.opened();
            let (invoker, open, connection) = (invoker.clone(), open.clone(), connection.clone());
            spawn(move || {
                let answer = catch_unwind(AssertUnwindSafe(|| taken.serve()))
                    .unwrap_or(Answer::Failed(Failure { may_have_run: true, late: false }));
                invoker.counters.answered(&answer);
                let reply = match answer {
                    Answer::Served { body } => Some(Reply::Answer { body, good: true }),
                    Answer::Refused { retry_after, .. } => Some(rejected(retry_after)),
                    Answer::Failed(_) => Some(Reply::Crashed(Fields::new())),
                    Answer::Withdrawn => None,
                };
                let bytes = reply.map(|reply| thrift::reply("dispatch", seqid, reply)).unwrap_or_default();
                // What is owed is owed until the answer is written.
                connection.end(seqid, bytes, || lock(&open).remove(&seqid).is_some(), taken);
            });
        }
        Err(what) => {
            answer_now(crashed(what));
            return Err(what);
        }
    }
    Ok(())
}

fn rejected(retry_after: f64) -> Reply {
    let mut fields = Fields::new();
    if retry_after > 0.0 {
        fields.insert("cooldown".to_string(), format!("{}", retry_after.ceil() as u64));
    }
    Reply::Rejected(fields)
}

fn crashed(what: &str) -> Reply {
    Reply::Crashed(Fields::from([("reason".to_string(), what.to_string())]))
}

fn write(connection: &Connection, bytes: &[u8]) {
    // A client that can't be written to is seen by the reading side of its connection.
    let _ = connection.answer(bytes);
}

/// Makes a call of the fields of a request that came then. All of it is checked here: what a worker could not use, or would
/// close a shared connection over, goes no further.
fn call(invoker: &Invoker, came_at: Ms, fields: &Fields, body: Vec<u8>) -> Result<Call, &'static str> {
    let field = |name: &str| fields.get(name).map(String::as_str);
    let hex = |name: &str| {
        let plain = |text: &&str| text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        field(name).filter(plain).and_then(|text| u64::from_str_radix(text, 16).ok())
    };
    let number = |text: &str, least: f64, most: f64| {
        text.parse::<f64>().ok().filter(|number| (least..=most).contains(number))
    };
    if body.len() > thrift::MAX_BODY {
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
                .filter(|key| (1..=MAX_KEY).contains(&key.len()))
                .ok_or("replay is missing")?;
            let plain = key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',' && byte != b'=');
            Some(plain.then(|| key.to_string()).ok_or("replay can't be passed on")?)
        }
        _ => None,
    };
    let extras: HashMap<&str, &str> =
        field("info").unwrap_or_default().split(';').filter_map(|pair| pair.split_once(':')).collect();
    let extra = |name: &str, least: f64, odd: &'static str| match extras.get(name) {
        Some(text) => number(text, least, MOST_FIGURE).map(Some).ok_or(odd),
        None => Ok(None),
    };
    let allow = number(field("allow").ok_or("allow is missing")?, 1.0, 2.0 * invoker.give_up[class]);
    let request = Request {
        id: RequestId(hex("ref").ok_or("ref is no 16 hex digits")?),
        class,
        tenant,
        model: ModelId(hex("lookup").ok_or("lookup is no 16 hex digits")?),
        memory: extra("memory_mb", 0.0, "memory_mb is out of range")?.unwrap_or(0.0),
        lanes: extra("lanes", 1.0, "lanes is out of range")?.unwrap_or(1.0),
        load_hint: extra("load_ms", 0.0, "load_ms is out of range")?,
        cost_hint: match field("effort") {
            Some(text) => Some(number(text, 0.0, MOST_FIGURE).ok_or("effort is out of range")?),
            None => None,
        },
        expires: came_at + allow.ok_or("allow is out of range")?,
    };
    Ok(Call { request, class_name: class_name.to_string(), function: String::new(), key, body })
}
