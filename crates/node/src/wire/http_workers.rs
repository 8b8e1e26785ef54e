//! Workers that serve the invoke API themselves, called in either of its styles: the connection is held until the
//! answer comes, or the worker accepts the call at once and the answer is collected later.
use super::http::ResponseHead;
use super::invoke::{DEADLINE_HEADER, MAY_HAVE_RUN_HEADER};
use super::receive_buffer::{ReceiveBuffer, CHUNK};
use super::socket::Socket;
use super::workers::{unanswered_error, PARTIAL_MESSAGE_TIMEOUT};
use crate::core::{
    lock, monotonic_ms, time_until, AbortReason, AttemptError, Call, CancelNotice, Exchange, OnAttemptEnd,
    WorkerRefusal, Workers,
};
use crate::lifecycle::spawn;
use crate::state::exchanges::ConnectionExchanges;
use crate::state::roster::Host;
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

/// Memory that one attempt is charged for beside its body: the touched part of the stack of its task, a read chunk
/// and the head of its request.
const ATTEMPT_BYTES: usize = 16 << 10;
/// Longest time that one request to collect an answer asks the worker to wait.
const COLLECT_WAIT: Duration = Duration::from_secs(10);
/// Pause between two requests to collect an answer.
const COLLECT_PAUSE: Duration = Duration::from_millis(50);
/// Time without progress after which a write to a worker fails.
const WRITE_STALL: Duration = Duration::from_secs(2);

/// How a worker returns its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Style {
    /// In the response to the call.
    Held,
    /// Collected later, from the `Location` that the worker returned.
    Deferred,
}

/// Limits of the calls to HTTP workers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connect timeout.
    pub connect: Duration,
    /// Maximum number of attempts in flight.
    pub connections: usize,
    /// Maximum size of an answer's body, in bytes.
    pub answer: usize,
}

/// Client of workers that speak HTTP. Each call uses a new connection: if the worker closed a reused connection
/// while a call is written, the call would have to be reported as one that may have run.
pub struct HttpWorkers {
    style: Style,
    limits: Limits,
    account: Account,
    in_flight: Arc<AtomicUsize>,
}

/// One attempt, shared by its task and its [`HttpExchange`].
struct Attempt {
    exchanges: Mutex<ConnectionExchanges<OnAttemptEnd>>,
    id: u64,
    /// Shut down when the attempt is cancelled.
    socket: Mutex<Option<Arc<Socket>>>,
    /// Path of the deferred call on the worker, for its cancellation when the attempt is cancelled.
    location: Mutex<Option<String>>,
}

/// Time limits of an attempt, in milliseconds of the monotonic clock.
#[derive(Clone, Copy)]
struct Times {
    /// The client's deadline.
    expires: Ms,
    /// The request is not sent after this time.
    send_by: Ms,
}

struct HttpExchange {
    attempt: Arc<Attempt>,
    host: Arc<Host>,
    limits: Limits,
    account: Account,
    notice: CancelNotice,
}

struct WorkerResponse {
    head: ResponseHead,
    body: Vec<u8>,
}

impl HttpWorkers {
    /// Creates a client that calls workers in the given style. Memory of the attempts is charged to the account.
    pub fn new(style: Style, limits: Limits, account: Account) -> Self {
        HttpWorkers { style, limits, account, in_flight: Arc::new(AtomicUsize::new(0)) }
    }
}

impl Workers for HttpWorkers {
    fn send(
        &self,
        host: &Arc<Host>,
        call: &Arc<Call>,
        expires: Ms,
        send_by: Ms,
        end: OnAttemptEnd,
    ) -> Box<dyn Exchange> {
        let id = call.request.id.0;
        let attempt = Arc::new(Attempt {
            exchanges: Mutex::new(ConnectionExchanges::new(1)),
            id,
            socket: Mutex::default(),
            location: Mutex::default(),
        });
        let refused = lock(&attempt.exchanges).open(id, end).err();
        debug_assert!(refused.is_none(), "a new connection admits an exchange");
        let (limits, account) = (self.limits, self.account.clone());
        let exchange = HttpExchange {
            attempt: attempt.clone(),
            host: host.clone(),
            limits,
            account,
            notice: CancelNotice::default(),
        };
        let held = self.account.reserve(ATTEMPT_BYTES + call.body.len());
        let is_full = self.in_flight.fetch_add(1, Ordering::Relaxed) >= self.limits.connections;
        let (Ok(held), false) = (held, is_full) else {
            self.in_flight.fetch_sub(1, Ordering::Relaxed);
            attempt.settle(Err(AttemptError::NotFullySent(AbortReason::SendNotAllowed)));
            return Box::new(exchange);
        };
        let receive_buffer = ReceiveBuffer::new(&self.account, Purpose::Workers);
        let (style, limits, in_flight) = (self.style, self.limits, self.in_flight.clone());
        let (host, call) = (host.clone(), call.clone());
        spawn(move || {
            let _guard = EndGuard(attempt.clone(), in_flight);
            let end = attempt.run(&host, &call, Times { expires, send_by }, style, &limits, receive_buffer);
            drop(held);
            attempt.settle(end);
        });
        Box::new(exchange)
    }

    /// Always fails: HTTP workers load models by themselves and accept no load orders.
    fn load(&self, _: &Arc<Host>, _: ModelId, _: u32, _: Ms, _: Duration) -> (Result<(), AttemptError>, u32) {
        (Err(AttemptError::Answered(WorkerRefusal::Failed)), 0)
    }

    fn evict(&self, _: &Arc<Host>, _: ModelId) {}

    fn probe(&self, host: &Arc<Host>, within: Duration) -> Result<(), AttemptError> {
        if host.suspended() {
            return Err(AttemptError::NotFullySent(AbortReason::SendNotAllowed));
        }
        let connected = TcpStream::connect_timeout(&host.address, timers::timer_duration(within));
        connected.map(drop).map_err(|_| AttemptError::ConnectFailed)
    }
}

/// Ends an attempt when its task ends, also by a panic.
struct EndGuard(Arc<Attempt>, Arc<AtomicUsize>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.1.fetch_sub(1, Ordering::Relaxed);
        let open = lock(&self.0.exchanges).close();
        for (stage, end) in open {
            end(Err(unanswered_error(stage, AbortReason::ConnectionLost)));
        }
    }
}

impl Attempt {
    /// Reports the result, unless the attempt was cancelled before.
    fn settle(&self, end: Result<Vec<u8>, AttemptError>) {
        let waiter = lock(&self.exchanges).give_up(self.id);
        if let Some((_, waiter)) = waiter {
            waiter(end);
        }
    }

    /// Runs an attempt from connecting to its result, in both styles.
    fn run(
        &self,
        host: &Host,
        call: &Call,
        Times { expires, send_by }: Times,
        style: Style,
        limits: &Limits,
        mut receive_buffer: ReceiveBuffer,
    ) -> Result<Vec<u8>, AttemptError> {
        let socket = self.connect(host, limits.connect)?;
        if host.is_blocked() || monotonic_ms() > send_by {
            return Err(AttemptError::NotFullySent(AbortReason::SendNotAllowed));
        }
        if !lock(&self.exchanges).begin(self.id) {
            return Err(AttemptError::NotFullySent(AbortReason::Cancelled));
        }
        let request = post(host, call, expires, style);
        socket.write(&request).map_err(|_| AttemptError::NotFullySent(AbortReason::ConnectionLost))?;
        lock(&self.exchanges).mark_written(self.id);
        let mut response = receive(&socket, expires, &mut receive_buffer, limits.answer)
            .map_err(|e| AttemptError::Unanswered(cause(&e)))?;
        drop(socket);
        while let Some(location) = collect_location(&response, style) {
            if lock(&self.exchanges).is_closed() {
                return Err(AttemptError::Unanswered(AbortReason::Cancelled));
            }
            *lock(&self.location) = Some(location.clone());
            let wait = time_until(expires).min(COLLECT_WAIT);
            let socket = self
                .connect(host, limits.connect)
                .map_err(|_| AttemptError::Unanswered(AbortReason::ConnectionLost))?;
            let request = format!(
                "GET {location} HTTP/1.1\r\nHost: {}\r\nPrefer: wait={}\r\nConnection: close\r\n\r\n",
                host.address,
                wait.as_secs().max(1)
            );
            let exchange = socket
                .write(request.as_bytes())
                .and_then(|()| receive(&socket, expires, &mut receive_buffer, limits.answer));
            response = exchange.map_err(|error| AttemptError::Unanswered(cause(&error)))?;
            // Avoids a tight loop when the worker ignores `Prefer: wait` and answers at once.
            if collect_location(&response, style).is_some() {
                timers::sleep(COLLECT_PAUSE);
            }
        }
        result_of(response)
    }

    fn connect(&self, host: &Host, within: Duration) -> Result<Arc<Socket>, AttemptError> {
        let socket = Socket::connect(&host.address, within, WRITE_STALL);
        let socket = socket.map(Arc::new).map_err(|_| AttemptError::ConnectFailed)?;
        *lock(&self.socket) = Some(socket.clone());
        Ok(socket)
    }
}

impl Exchange for HttpExchange {
    fn cancel(&mut self, cause: AbortReason) -> Option<AttemptError> {
        let (stage, _) = {
            let mut exchanges = lock(&self.attempt.exchanges);
            let given_up = exchanges.give_up(self.attempt.id)?;
            exchanges.close();
            given_up
        };
        if let Some(socket) = lock(&self.attempt.socket).take() {
            socket.shut(Shutdown::Both);
        }
        let location = lock(&self.attempt.location).take();
        let held = self.account.reserve(ATTEMPT_BYTES);
        if let (Some(location), Ok(held)) = (location, held) {
            let (host, limits, notice) = (self.host.clone(), self.limits, self.notice.clone());
            let mut receive_buffer = ReceiveBuffer::new(&self.account, Purpose::Workers);
            spawn(move || {
                // Best effort: nothing depends on whether the cancellation succeeds.
                let request = format!(
                    "DELETE {location} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
                    host.address
                );
                let cancelled =
                    Socket::connect(&host.address, limits.connect, WRITE_STALL).and_then(|socket| {
                        socket.write(request.as_bytes())?;
                        receive(
                            &socket,
                            monotonic_ms() + WRITE_STALL.as_millis() as Ms,
                            &mut receive_buffer,
                            limits.answer,
                        )
                    });
                if let Err(error) = cancelled {
                    tracing::warn!(worker = %host.name, %error, "not called off");
                }
                drop((held, notice));
            });
        }
        Some(unanswered_error(stage, cause))
    }

    fn cancel_notice(&self) -> &CancelNotice {
        &self.notice
    }
}

fn cause(error: &io::Error) -> AbortReason {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => AbortReason::TimedOut,
        _ => AbortReason::ConnectionLost,
    }
}

fn post(host: &Host, call: &Call, expires: Ms, style: Style) -> Vec<u8> {
    let mut head = format!(
        "POST /v1/functions/{}/invocations HTTP/1.1\r\nHost: {}\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n{DEADLINE_HEADER}: {}\r\nConnection: close\r\n",
        call.function,
        host.address,
        call.body.len(),
        time_until(expires).as_millis().max(1),
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

/// Reads a whole response whose first byte has to come before `expires` and whose body has `max_body_bytes` bytes
/// at most.
fn receive(
    socket: &Socket,
    expires: Ms,
    receive_buffer: &mut ReceiveBuffer,
    max_body_bytes: usize,
) -> io::Result<WorkerResponse> {
    let (mut chunk, mut has_begun) = (vec![0; CHUNK], false);
    receive_buffer.clear();
    receive_buffer.end_message();
    let mut fill = |receive_buffer: &mut ReceiveBuffer| {
        let size = receive_buffer.fill(
            socket,
            &mut chunk,
            if has_begun { PARTIAL_MESSAGE_TIMEOUT } else { time_until(expires) },
        )?;
        has_begun = true;
        Ok::<_, io::Error>(size)
    };
    let mut head = loop {
        match receive_buffer.consume(ResponseHead::decode).map_err(io::Error::other)? {
            Some(head) => break head,
            None if fill(receive_buffer)? == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            None => {}
        }
    };
    let mut body = Vec::new();
    let mut feed = |bytes: &mut Vec<u8>, body: &mut Vec<u8>| head.body.feed(bytes, body, max_body_bytes);
    while !receive_buffer.consume(|bytes| feed(bytes, &mut body)).map_err(io::Error::other)? {
        receive_buffer.beside(body.capacity())?;
        if fill(receive_buffer)? == 0 {
            // The end of a body without a declared length can't be distinguished from a truncated body.
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(WorkerResponse { head, body })
}

/// The path from which the answer is to be collected, if the response accepts the call for later.
fn collect_location(response: &WorkerResponse, style: Style) -> Option<String> {
    let location = response.head.headers.get("location")?;
    let plain = location.starts_with('/') && location.bytes().all(|byte| byte.is_ascii_graphic());
    (style == Style::Deferred && response.head.status == 202 && plain).then(|| location.to_string())
}

/// The result of an attempt, from the worker's response. Unless the response states that the call did not run, it may
/// have run.
fn result_of(response: WorkerResponse) -> Result<Vec<u8>, AttemptError> {
    let not_run = response.head.headers.get(MAY_HAVE_RUN_HEADER) == Some("false");
    match response.head.status {
        200 => Ok(response.body),
        404 if not_run => Err(AttemptError::Answered(WorkerRefusal::NotLoaded)),
        410 if not_run => Err(AttemptError::Answered(WorkerRefusal::RequestEnded)),
        _ if not_run => Err(AttemptError::Answered(WorkerRefusal::Full)),
        _ => Err(AttemptError::Answered(WorkerRefusal::Failed)),
    }
}

#[cfg(test)]
mod tests;
