//! The read loop of a client connection.
//!
//! Invariant: a request is answered before its connection is closed by this process, also when the rest of its message
//! can't be stored or a later message can't be read.
use super::handed_over::GivenConnection;
use super::open_requests::OpenRequests;
use super::requests::{crashed, dispatch, rejected, write, OVERLOAD_RETRY_AFTER_MS};
use crate::core::{monotonic_ms, peer_lines, time_until, Invoker};
use crate::event_loop::TurnStart;
use crate::state::clients::ClientState;
use crate::state::memory_wait::OUT_OF_MEMORY_KIND;
use crate::timers;
use crate::wire::accept::Connection;
use crate::wire::connection_handover::HandoverSender;
use crate::wire::receive_buffer::{ReceiveBuffer, CHUNK};
use crate::wire::thrift::{self, Malformed, Message, Reply};
use corkbay::Ms;
use corkbay_ledger::Purpose;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

/// A connection that has been answered before and has no open request is closed after this time. Clients close idle
/// connections sooner.
const IDLE_TIMEOUT_MS: Ms = 4500.0;
/// A connection that has never been answered and has no open request is closed after this time. Also the poll interval
/// of a connection with open requests.
const UNANSWERED_TIMEOUT_MS: Ms = 1000.0;
/// Maximum time between the first and the last byte of a message.
const MESSAGE_TIMEOUT_MS: Ms = 1500.0;
/// Number of malformed messages after which a connection is closed, and how many of them are logged.
const MAX_MALFORMED_MESSAGES: u32 = 64;
const MAX_LOGGED_MALFORMED: u32 = 3;
/// Poll interval of a connection that is being drained, or that ends once its answers are written.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long each read waits while input is discarded after the last answer.
const LINGER: Duration = Duration::from_millis(50);

/// Why the read loop of a connection ended.
pub(super) enum ReadEnd {
    Closed,
    /// Another process continues to read from the connection.
    HandedOver,
}

/// Reads the messages of a connection and handles them.
pub(super) struct Reader<'a> {
    invoker: &'a Arc<Invoker>,
    handover: &'a HandoverSender,
    connection: &'a Arc<Connection>,
    open_requests: &'a Arc<OpenRequests>,
    buffer: ReceiveBuffer,
    chunk: Vec<u8>,
    /// When the first byte of the current message was read, on the monotonic clock in milliseconds.
    message_began: Ms,
    /// When the last request was read, on the monotonic clock in milliseconds.
    last_request: Ms,
    malformed_messages: u32,
}

impl<'a> Reader<'a> {
    pub(super) fn new(
        invoker: &'a Arc<Invoker>,
        handover: &'a HandoverSender,
        connection: &'a Arc<Connection>,
        open_requests: &'a Arc<OpenRequests>,
    ) -> Self {
        Reader {
            invoker,
            handover,
            connection,
            open_requests,
            buffer: ReceiveBuffer::new(connection.account(), Purpose::Clients),
            chunk: vec![0; CHUNK],
            message_began: 0.0,
            last_request: 0.0,
            malformed_messages: 0,
        }
    }

    /// Reads and handles messages until the connection is closed, times out, is handed over or sends a message after
    /// which the stream can't be read any further.
    pub(super) fn run(&mut self) -> Result<ReadEnd, Malformed> {
        loop {
            match self.buffer.consume(thrift::unframe)? {
                Some(message) => {
                    self.buffer.end_message();
                    if self.connection.take_turn() == TurnStart::AfterFullSlice && self.client_has_left() {
                        return Ok(ReadEnd::Closed);
                    }
                    self.message_began = monotonic_ms();
                    self.handle(&message)?;
                }
                None => {
                    if let Some(end) = self.read_more()? {
                        return Ok(end);
                    }
                }
            }
        }
    }

    /// Whether the client has closed the connection, so that nothing of its unread input needs an answer.
    fn client_has_left(&self) -> bool {
        !self.connection.is_shut() && self.connection.is_closed_by_peer()
    }

    /// Reads more of an incomplete message, or waits for the next one.
    fn read_more(&mut self) -> Result<Option<ReadEnd>, Malformed> {
        let connection = self.connection;
        if self.buffer.is_empty() && connection.is_draining() && self.hand_over() {
            return Ok(Some(ReadEnd::HandedOver));
        }
        let (state, since) = connection.state();
        if connection.is_beyond_limit() && state == ClientState::Idle && !connection.has_unread() {
            return Ok(Some(ReadEnd::Closed));
        }
        let end = self.read_deadline(state, since);
        if connection.is_draining() && self.invoker.serving_state().ends(monotonic_ms(), self.last_request) {
            self.open_requests.local_ids().into_iter().for_each(|id| self.invoker.end(id));
        }
        match self.fill(time_until(end))? {
            // The read side was shut down by this process. Bytes that were sent before are still read, and the
            // connection is closed once all requests are answered.
            Ok(0) if connection.is_shut() => {
                // A request also counts as unanswered while its answer is being written.
                let is_busy = connection.state().0 == ClientState::Busy;
                if !is_busy && (self.buffer.is_empty() || monotonic_ms() > end || connection.is_evicted()) {
                    return Ok(Some(ReadEnd::Closed));
                }
                connection.wait_for_an_end(DRAIN_POLL_INTERVAL);
            }
            Ok(0) => return Ok(Some(ReadEnd::Closed)),
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::TimedOut => {
                // The state may have changed during the wait because an answer was written or a request ended.
                // Open requests keep the connection alive even if an incomplete message behind them times out.
                let timed_out = !self.buffer.is_empty() || connection.state() == (state, since);
                if timed_out && state != ClientState::Busy {
                    return Ok(Some(ReadEnd::Closed));
                }
            }
            Err(error) if error.kind() == OUT_OF_MEMORY_KIND => return self.reject_message(),
            Err(_) => return Ok(Some(ReadEnd::Closed)),
        }
        Ok(None)
    }

    fn hand_over(&self) -> bool {
        let (connection, open_requests) = (self.connection, self.open_requests);
        connection.hand_over(
            self.handover,
            || open_requests.seqids(),
            || Arc::new(GivenConnection::new(connection, open_requests)),
        )
    }

    /// Until when the next bytes are waited for, on the monotonic clock in milliseconds.
    fn read_deadline(&self, state: ClientState, since: Ms) -> Ms {
        match state {
            ClientState::Busy if self.connection.is_draining() => {
                monotonic_ms() + DRAIN_POLL_INTERVAL.as_millis() as Ms
            }
            ClientState::Busy => monotonic_ms() + UNANSWERED_TIMEOUT_MS,
            _ if !self.buffer.is_empty() => self.message_began + MESSAGE_TIMEOUT_MS,
            ClientState::Idle => since + IDLE_TIMEOUT_MS,
            ClientState::NeverAnswered => since + UNANSWERED_TIMEOUT_MS,
        }
    }

    /// Reads into the buffer, which waits for memory if it has to grow.
    fn fill(&mut self, within: Duration) -> Result<io::Result<usize>, Malformed> {
        let was_empty = self.buffer.is_empty();
        let size = thrift::frame_size(self.buffer.bytes())?.unwrap_or(0);
        self.buffer.expect(size);
        if size > CHUNK && self.connection.is_beyond_limit() {
            // Its request is rejected in any case.
            return Ok(Err(OUT_OF_MEMORY_KIND.into()));
        }
        let read = self.connection.fill(&mut self.buffer, &mut self.chunk, within);
        if was_empty && matches!(read, Ok(1..)) {
            self.message_began = monotonic_ms();
        }
        Ok(read)
    }

    /// Rejects the request whose message there is no memory for. The rest of the message is read and discarded, so that
    /// the connection can be used further.
    fn reject_message(&mut self) -> Result<Option<ReadEnd>, Malformed> {
        let connection = self.connection;
        let _open_guard = connection.hold_request();
        let size = thrift::frame_size(self.buffer.bytes())?.unwrap_or(0);
        let request = thrift::begun_request(self.buffer.bytes());
        let rest = size.saturating_sub(self.buffer.bytes().len());
        self.buffer.clear();
        self.buffer.end_message();
        if !self.discard(rest) {
            return Ok(Some(ReadEnd::Closed));
        }
        let what = "no memory for a long message that is no request";
        let seqid = request.ok_or(Malformed { call: None, what, unknown_method: false })?;
        self.invoker.counters.turned_away.increment();
        self.invoker.counters.turned_away_memory.increment();
        if self.invoker.lines.take() {
            tracing::info!(seqid, bytes = size, account = ?connection.account(), "request rejected: no memory");
        }
        write(connection, &thrift::reply("dispatch", seqid, rejected(OVERLOAD_RETRY_AFTER_MS)));
        Ok(None)
    }

    /// Reads and discards the next `rest` bytes; false if they don't come.
    fn discard(&mut self, mut rest: usize) -> bool {
        let end = monotonic_ms() + MESSAGE_TIMEOUT_MS;
        while rest > 0 {
            let space = rest.min(CHUNK);
            match self.connection.read(&mut self.chunk[..space], time_until(end)) {
                Ok(size @ 1..) => rest -= size,
                _ => return false,
            }
        }
        true
    }

    /// Handles a message.
    fn handle(&mut self, message: &[u8]) -> Result<(), Malformed> {
        let (invoker, connection) = (self.invoker, self.connection);
        let result = match thrift::parse_message(message) {
            Ok(Message::Dispatch { seqid, fields, body }) => {
                self.last_request = self.message_began;
                if self.open_requests.take(seqid) {
                    // The client could not tell which of the two requests an answer belongs to, so neither has one.
                    connection.request_ended();
                    let what = "the sequence number is open already";
                    return Err(Malformed { call: None, what, unknown_method: false });
                }
                dispatch(invoker, self.open_requests, connection, seqid, &fields, body)
            }
            Ok(Message::Cancel { seqid }) => {
                if self.open_requests.withdraw(seqid) {
                    connection.request_ended();
                }
                Ok(())
            }
            Ok(Message::Alive { seqid }) => {
                let is_success = invoker.serving_state().leaving().is_none();
                let reply = Reply::Answer { body: Vec::new(), is_success };
                write(connection, &thrift::reply("alive", seqid, reply));
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
        result.or_else(|what| self.count_malformed(what))
    }

    /// Counts a message that was answered with an error; fails once there were too many.
    fn count_malformed(&mut self, what: &'static str) -> Result<(), Malformed> {
        self.invoker.counters.malformed.increment();
        self.malformed_messages += 1;
        if self.malformed_messages <= MAX_LOGGED_MALFORMED && peer_lines().take() {
            tracing::info!(what, "message turned down");
        }
        if self.malformed_messages >= MAX_MALFORMED_MESSAGES {
            let what = "too many unusable messages";
            return Err(Malformed { call: None, what, unknown_method: false });
        }
        Ok(())
    }

    /// Fails the open requests of a connection whose next message can't be read, so that each has its answer before
    /// the connection is closed.
    pub(super) fn fail_open_requests(&self) {
        let open = self.open_requests.take_all();
        for seqid in &open {
            let answer = crashed("a later message on the connection can't be read");
            write(self.connection, &thrift::reply("dispatch", *seqid, answer));
            self.connection.request_ended();
        }
        // A request also counts as unanswered while its answer is being written.
        let mut is_answering = !open.is_empty();
        while self.connection.state().0 == ClientState::Busy {
            is_answering = true;
            timers::sleep(DRAIN_POLL_INTERVAL);
        }
        if is_answering {
            self.connection.linger(LINGER);
        }
    }
}
