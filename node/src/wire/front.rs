//! The platform's front: Thrift in, calls to the core, answers out.
use super::outgoing::Outgoing;
use super::thrift::{self, Fields, Malformed, Message, Reply};
use crate::core::{lock, now_ms, Answer, Call, Failure, Invoker, NotTaken};
use crate::life::spawn;
use corkbay::{position, Effect, ModelId, Request, RequestId};
use may::io::SplitIo;
use may::net::TcpStream;
use may::sync::Mutex;
use std::collections::HashMap;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

/// Requests that one connection may have open.
const OPEN: usize = 32;
/// A connection with nothing open on it is closed after this; clients close theirs sooner.
const IDLE: Duration = Duration::from_secs(30);
/// Longest time for which a client may stop reading while an answer is written to it.
const WRITE_STALL: Duration = Duration::from_secs(2);
const CHUNK: usize = 4096;
/// Advice to a client that opens more than it may.
const CROWDED_MS: f64 = 100.0;
/// Advice to a client of a process that is about to end.
const DRAINING_MS: f64 = 200.0;
const MAX_KEY: usize = 128;

type Open = Arc<Mutex<HashMap<i32, RequestId>>>;

/// The life of one client connection.
pub fn serve(invoker: &Arc<Invoker>, stream: TcpStream) {
    let ready = stream.set_nodelay(true).and_then(|()| {
        stream.set_write_timeout(Some(WRITE_STALL))?;
        stream.set_read_timeout(Some(IDLE))
    });
    let Ok((mut reader, writer)) = ready.and_then(|()| stream.split()) else { return };
    let open = Open::default();
    let answers = Outgoing::new(writer);
    let left = Leave(invoker.clone(), open.clone());
    if let Err(malformed) = receive(invoker, &mut reader, &open, &answers) {
        invoker.counters.malformed.add();
        eprintln!("client connection closed: {malformed}");
    }
    let _ = reader.inner().shutdown(Shutdown::Both);
    drop(left);
}

/// Withdraws what a connection left open, however its task ends.
struct Leave(Arc<Invoker>, Open);

impl Drop for Leave {
    fn drop(&mut self) {
        let left: Vec<RequestId> = lock(&self.1).values().copied().collect();
        left.into_iter().for_each(|id| self.0.withdraw(id));
    }
}

/// Reads messages until the connection ends or can't be read any further.
fn receive(
    invoker: &Arc<Invoker>,
    socket: &mut impl Read,
    open: &Open,
    answers: &Outgoing,
) -> Result<(), Malformed> {
    let (mut buffer, mut chunk) = (Vec::new(), vec![0; CHUNK]);
    loop {
        let Some(message) = thrift::unframe(&mut buffer)? else {
            match socket.read(&mut chunk) {
                Ok(0) => return Ok(()),
                Ok(size) => buffer.extend(&chunk[..size]),
                Err(error) if matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                    if lock(open).is_empty() {
                        return Ok(());
                    }
                }
                Err(_) => return Ok(()),
            }
            continue;
        };
        match thrift::read(&message) {
            Ok(Message::Dispatch { seqid, fields, body }) => {
                dispatch(invoker, open, answers, seqid, &fields, body)
            }
            Ok(Message::Cancel { seqid }) => {
                let id = lock(open).get(&seqid).copied();
                id.into_iter().for_each(|id| invoker.withdraw(id));
            }
            Ok(Message::Alive { seqid }) => {
                write(answers, &thrift::reply("alive", seqid, &Reply::Answer(Vec::new())));
            }
            Err(malformed) => match &malformed.call {
                Some((seqid, method)) => {
                    invoker.counters.malformed.add();
                    eprintln!("{malformed}");
                    let (unknown, what) = (malformed.unknown_method, malformed.what);
                    write(answers, &thrift::exception(method, *seqid, unknown, what));
                }
                None => return Err(malformed),
            },
        }
    }
}

/// Takes a request in and starts the task that sees it to its answer.
fn dispatch(
    invoker: &Arc<Invoker>,
    open: &Open,
    answers: &Outgoing,
    seqid: i32,
    fields: &Fields,
    body: Vec<u8>,
) {
    let answer_now = |reply| write(answers, &thrift::reply("dispatch", seqid, &reply));
    if lock(open).len() >= OPEN {
        return answer_now(rejected(CROWDED_MS));
    }
    let taken = call(invoker, fields, body).and_then(|call| {
        let id = call.request.id;
        let mut open = lock(open);
        if open.contains_key(&seqid) {
            return Err("the sequence number is open already");
        }
        let taken = invoker.take(call);
        if taken.is_ok() {
            open.insert(seqid, id);
        }
        Ok(taken)
    });
    match taken {
        Ok(Err(NotTaken::Draining)) => answer_now(rejected(DRAINING_MS)),
        Ok(Err(NotTaken::Crowded)) => answer_now(rejected(CROWDED_MS)),
        Ok(Err(NotTaken::Open)) => answer_now(crashed("the request is open already")),
        Ok(Ok(taken)) => {
            let (invoker, open, answers) = (invoker.clone(), open.clone(), answers.clone());
            spawn(move || {
                let answer = catch_unwind(AssertUnwindSafe(|| taken.serve()))
                    .unwrap_or(Answer::Failed(Failure { may_have_run: true, late: false }));
                lock(&open).remove(&seqid);
                invoker.counters.answered(&answer);
                let reply = match answer {
                    Answer::Served { body } => Some(Reply::Answer(body)),
                    Answer::Refused { retry_after, .. } => Some(rejected(retry_after)),
                    Answer::Failed(_) => Some(Reply::Crashed(Fields::new())),
                    Answer::Withdrawn => None,
                };
                if let Some(reply) = reply {
                    write(&answers, &thrift::reply("dispatch", seqid, &reply));
                }
                // What is owed is owed until the answer is written.
                drop(taken);
            });
        }
        Err(what) => {
            invoker.counters.malformed.add();
            eprintln!("request turned down: {what}");
            answer_now(crashed(what));
        }
    }
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

fn write(answers: &Outgoing, bytes: &[u8]) {
    // A client that can't be written to is seen by the reading side of its connection.
    let _ = answers.write(bytes);
}

/// Makes a call of a request's fields.
fn call(invoker: &Invoker, fields: &Fields, body: Vec<u8>) -> Result<Call, &'static str> {
    let field = |name: &str| fields.get(name).map(String::as_str);
    let hex = |name: &str| {
        field(name).filter(|text| text.len() == 16).and_then(|text| u64::from_str_radix(text, 16).ok())
    };
    let number = |name: &str| {
        field(name).and_then(|text| text.parse::<f64>().ok()).filter(|number| number.is_finite())
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
    let extras: HashMap<&str, f64> = field("info")
        .unwrap_or_default()
        .split(';')
        .filter_map(|pair| pair.split_once(':'))
        .filter_map(|(name, value)| Some((name, value.parse::<f64>().ok()?)))
        .collect();
    let request = Request {
        id: RequestId(hex("ref").ok_or("ref is no 16 hex digits")?),
        class,
        tenant,
        model: ModelId(hex("lookup").ok_or("lookup is no 16 hex digits")?),
        memory: extras.get("memory_mb").copied().unwrap_or(0.0),
        lanes: extras.get("lanes").copied().unwrap_or(1.0),
        load_hint: extras.get("load_ms").copied(),
        cost_hint: number("effort"),
        expires: now_ms() + number("allow").filter(|span| *span >= 0.0).ok_or("allow is missing")?,
    };
    Ok(Call { request, class_name: class_name.to_string(), function: String::new(), key, body })
}
