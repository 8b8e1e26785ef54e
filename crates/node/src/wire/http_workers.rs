//! Workers that speak the invoke API themselves, called in either of its styles: the exchange is held
//! until the answer comes, or handed over and collected later.
use super::http::ResponseHead;
use super::intake::{Intake, CHUNK};
use super::invoke::{DEADLINE_HEADER, MAY_HAVE_RUN_HEADER};
use super::socket::Socket;
use super::workers::{broken, PARTIAL};
use crate::core::{
    lock, monotonic_ms, until, AttemptError, Call, CancelNotice, Cause, Ending, Exchange, Verdict, Workers,
};
use crate::life::spawn;
use crate::memory::link::Link;
use crate::memory::roster::Host;
use crate::timers;
use corkbay::{ModelId, Ms};
use corkbay_ledger::{Account, Purpose};
use may::net::TcpStream;
use may::sync::Mutex;
use std::io;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// What an attempt takes: the stack of its task as far as it is touched, a chunk, its request.
const ATTEMPT_BYTES: usize = 16 << 10;
/// Longest time for which one call to collect is held.
const COLLECT_WAIT: Duration = Duration::from_secs(10);
/// Pause between two calls to collect.
const COLLECT_PAUSE: Duration = Duration::from_millis(50);
const WRITE_STALL: Duration = Duration::from_secs(2);

/// How an answer travels from a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Style {
    /// On the exchange that carried the call.
    Held,
    /// Collected later, from where the worker said.
    Deferred,
}

/// Figures for these calls.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A connection not made by then has failed.
    pub connect: Duration,
    /// Most attempts that are out at once.
    pub connections: usize,
    /// Largest body of an answer, in bytes.
    pub answer: usize,
}

/// The way to workers that speak HTTP. Each call has a connection of its own: one that was kept and is
/// closed by the worker under a call would look like a call that may have run.
pub struct HttpWorkers {
    style: Style,
    limits: Limits,
    account: Account,
    out: Arc<AtomicUsize>,
}

/// One attempt, shared by its task and its holder.
struct Attempt {
    link: Mutex<Link<Ending>>,
    id: u64,
    /// What to shut down, and where to call off, when the attempt is given up.
    socket: Mutex<Option<Arc<Socket>>>,
    location: Mutex<Option<String>>,
}

/// The times of an attempt.
#[derive(Clone, Copy)]
struct Times {
    /// The client waits until then.
    expires: Ms,
    /// It goes out until then or not at all.
    by: Ms,
}

struct HttpExchange {
    attempt: Arc<Attempt>,
    host: Arc<Host>,
    limits: Limits,
    account: Account,
    notice: CancelNotice,
}

struct Answered {
    head: ResponseHead,
    body: Vec<u8>,
}

impl HttpWorkers {
    /// Calls workers in that style; what attempts take counts on the account.
    pub fn new(style: Style, limits: Limits, account: Account) -> Self {
        HttpWorkers { style, limits, account, out: Arc::new(AtomicUsize::new(0)) }
    }
}

impl Workers for HttpWorkers {
    fn send(
        &self,
        host: &Arc<Host>,
        call: &Arc<Call>,
        expires: Ms,
        by: Ms,
        end: Ending,
    ) -> Box<dyn Exchange> {
        let id = call.request.id.0;
        let attempt = Arc::new(Attempt {
            link: Mutex::new(Link::new(1)),
            id,
            socket: Mutex::default(),
            location: Mutex::default(),
        });
        let refused = lock(&attempt.link).open(id, end).err();
        debug_assert!(refused.is_none(), "a fresh link has room");
        let (limits, account) = (self.limits, self.account.clone());
        let exchange = HttpExchange {
            attempt: attempt.clone(),
            host: host.clone(),
            limits,
            account,
            notice: CancelNotice::default(),
        };
        let held = self.account.reserve(ATTEMPT_BYTES + call.body.len());
        let crowded = self.out.fetch_add(1, Ordering::Relaxed) >= self.limits.connections;
        let (Ok(held), false) = (held, crowded) else {
            self.out.fetch_sub(1, Ordering::Relaxed);
            attempt.settle(Err(AttemptError::Unfinished(Cause::Barred)));
            return Box::new(exchange);
        };
        let intake = Intake::new(&self.account, Purpose::Workers);
        let (style, limits, out) = (self.style, self.limits, self.out.clone());
        let (host, call) = (host.clone(), call.clone());
        spawn(move || {
            let _end = EndGuard(attempt.clone(), out);
            let end = attempt.run(&host, &call, Times { expires, by }, style, &limits, intake);
            drop(held);
            attempt.settle(end);
        });
        Box::new(exchange)
    }

    /// These workers load by themselves; nothing is ordered of them.
    fn load(&self, _: &Arc<Host>, _: ModelId, _: u32, _: Ms, _: Duration) -> (Result<(), AttemptError>, u32) {
        (Err(AttemptError::Answered(Verdict::Failed)), 0)
    }

    fn evict(&self, _: &Arc<Host>, _: ModelId) {}

    fn probe(&self, host: &Arc<Host>, within: Duration) -> Result<(), AttemptError> {
        if host.suspended() {
            return Err(AttemptError::Unfinished(Cause::Barred));
        }
        let connected = TcpStream::connect_timeout(&host.address, timers::piece(within));
        connected.map(drop).map_err(|_| AttemptError::Unconnected)
    }
}

/// Ends an attempt however its task ends.
struct EndGuard(Arc<Attempt>, Arc<AtomicUsize>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.1.fetch_sub(1, Ordering::Relaxed);
        let open = lock(&self.0.link).close();
        for (stage, end) in open {
            end(Err(broken(stage, Cause::Broken)));
        }
    }
}

impl Attempt {
    /// Tells the end, unless the attempt was given up before.
    fn settle(&self, end: Result<Vec<u8>, AttemptError>) {
        let waiter = lock(&self.link).give_up(self.id);
        if let Some((_, waiter)) = waiter {
            waiter(end);
        }
    }

    /// The life of an attempt, in both styles.
    fn run(
        &self,
        host: &Host,
        call: &Call,
        Times { expires, by }: Times,
        style: Style,
        limits: &Limits,
        mut intake: Intake,
    ) -> Result<Vec<u8>, AttemptError> {
        let socket = self.connect(host, limits.connect)?;
        if host.barred() || monotonic_ms() > by {
            return Err(AttemptError::Unfinished(Cause::Barred));
        }
        if !lock(&self.link).begin(self.id) {
            return Err(AttemptError::Unfinished(Cause::GivenUp));
        }
        let request = post(host, call, expires, style);
        socket.write(&request).map_err(|_| AttemptError::Unfinished(Cause::Broken))?;
        lock(&self.link).whole(self.id);
        let mut answered = receive(&socket, expires, &mut intake, limits.answer)
            .map_err(|e| AttemptError::Unanswered(cause(&e)))?;
        drop(socket);
        while let Some(location) = place(&answered, style) {
            if lock(&self.link).is_closed() {
                return Err(AttemptError::Unanswered(Cause::GivenUp));
            }
            *lock(&self.location) = Some(location.clone());
            let wait = until(expires).min(COLLECT_WAIT);
            let socket =
                self.connect(host, limits.connect).map_err(|_| AttemptError::Unanswered(Cause::Broken))?;
            let request = format!(
                "GET {location} HTTP/1.1\r\nHost: {}\r\nPrefer: wait={}\r\nConnection: close\r\n\r\n",
                host.address,
                wait.as_secs().max(1)
            );
            let exchange = socket
                .write(request.as_bytes())
                .and_then(|()| receive(&socket, expires, &mut intake, limits.answer));
            answered = exchange.map_err(|error| AttemptError::Unanswered(cause(&error)))?;
            // A worker that does not hold the call is not called in a tight loop.
            if place(&answered, style).is_some() {
                timers::sleep(COLLECT_PAUSE);
            }
        }
        judge(answered)
    }

    fn connect(&self, host: &Host, within: Duration) -> Result<Arc<Socket>, AttemptError> {
        let socket = Socket::connect(&host.address, within, WRITE_STALL);
        let socket = socket.map(Arc::new).map_err(|_| AttemptError::Unconnected)?;
        *lock(&self.socket) = Some(socket.clone());
        Ok(socket)
    }
}

impl Exchange for HttpExchange {
    fn give_up(&mut self, cause: Cause) -> Option<AttemptError> {
        let (stage, _) = {
            let mut link = lock(&self.attempt.link);
            let given_up = link.give_up(self.attempt.id)?;
            link.close();
            given_up
        };
        if let Some(socket) = lock(&self.attempt.socket).take() {
            socket.shut(Shutdown::Both);
        }
        let location = lock(&self.attempt.location).take();
        let held = self.account.reserve(ATTEMPT_BYTES);
        if let (Some(location), Ok(held)) = (location, held) {
            let (host, limits, notice) = (self.host.clone(), self.limits, self.notice.clone());
            let mut intake = Intake::new(&self.account, Purpose::Workers);
            spawn(move || {
                // As good as the worker can be told; nothing hangs on it.
                let request = format!(
                    "DELETE {location} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
                    host.address
                );
                let told = Socket::connect(&host.address, limits.connect, WRITE_STALL).and_then(|socket| {
                    socket.write(request.as_bytes())?;
                    receive(
                        &socket,
                        monotonic_ms() + WRITE_STALL.as_millis() as Ms,
                        &mut intake,
                        limits.answer,
                    )
                });
                if let Err(error) = told {
                    tracing::warn!(worker = %host.name, %error, "not called off");
                }
                drop((held, notice));
            });
        }
        Some(broken(stage, cause))
    }

    fn cancel_notice(&self) -> &CancelNotice {
        &self.notice
    }
}

fn cause(error: &io::Error) -> Cause {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Cause::Silent,
        _ => Cause::Broken,
    }
}

fn post(host: &Host, call: &Call, expires: Ms, style: Style) -> Vec<u8> {
    let mut head = format!(
        "POST /v1/functions/{}/invocations HTTP/1.1\r\nHost: {}\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n{DEADLINE_HEADER}: {}\r\nConnection: close\r\n",
        call.function,
        host.address,
        call.body.len(),
        until(expires).as_millis().max(1),
    );
    if let Some(key) = &call.key {
        head.push_str(&format!("Idempotency-Key: {key}\r\n"));
    }
    if style == Style::Deferred {
        head.push_str("Prefer: respond-async\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(&call.body);
    bytes
}

/// Reads a response whole, waiting for its begin until then; its body holds so many bytes at most.
fn receive(socket: &Socket, expires: Ms, intake: &mut Intake, most: usize) -> io::Result<Answered> {
    let (mut chunk, mut begun) = (vec![0; CHUNK], false);
    intake.bytes().clear();
    let mut fill = |intake: &mut Intake| {
        let size = intake.fill(socket, &mut chunk, if begun { PARTIAL } else { until(expires) })?;
        begun = true;
        Ok::<_, io::Error>(size)
    };
    let mut head = loop {
        match ResponseHead::decode(intake.bytes()).map_err(io::Error::other)? {
            Some(head) => break head,
            None if fill(intake)? == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            None => {}
        }
    };
    let mut body = Vec::new();
    while !head.body.feed(intake.bytes(), &mut body, most).map_err(io::Error::other)? {
        intake.beside(body.capacity())?;
        if fill(intake)? == 0 {
            // A body of no told length can't be told from one that was cut off.
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(Answered { head, body })
}

/// Where the answer is to be collected, if it is not there yet.
fn place(answered: &Answered, style: Style) -> Option<String> {
    let location = answered.head.headers.get("location")?;
    let plain = location.starts_with('/') && location.bytes().all(|byte| byte.is_ascii_graphic());
    (style == Style::Deferred && answered.head.status == 202 && plain).then(|| location.to_string())
}

/// What a worker's response says of the attempt. Without its word that nothing ran, it may have run.
fn judge(answered: Answered) -> Result<Vec<u8>, AttemptError> {
    let not_run = answered.head.headers.get(MAY_HAVE_RUN_HEADER) == Some("false");
    match answered.head.status {
        200 => Ok(answered.body),
        404 if not_run => Err(AttemptError::Answered(Verdict::Miss)),
        410 if not_run => Err(AttemptError::Answered(Verdict::Over)),
        _ if not_run => Err(AttemptError::Answered(Verdict::Full)),
        _ => Err(AttemptError::Answered(Verdict::Failed)),
    }
}

#[cfg(test)]
mod tests;
