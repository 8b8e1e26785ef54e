//! The read side of a client connection: requests, and what the client sends or does while a call of its is held.
use super::responses::{bad_request, no_room};
use super::{Current, LINGER, MAX_BODY_BYTES};
use crate::core::monotonic_ms;
use crate::event_loop::TurnStart;
use crate::state::clients::ClientState;
use crate::state::memory_wait::OUT_OF_MEMORY_KIND;
use crate::timers;
use crate::wire::accept::Connection;
use crate::wire::http::{HttpError, RequestHead, Response};
use crate::wire::receive_buffer::{ReceiveBuffer, CHUNK};
use corkbay_ledger::Purpose;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for the next bytes of a request that has begun.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a held call is polled while its client has sent the next request already.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Why a request was not read to its end.
pub(super) enum ReadError {
    /// The connection has ended or failed, or nothing came for too long.
    Io(io::Error),
    /// The request can't be read any further; this response is owed to it.
    Refused(Response),
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            OUT_OF_MEMORY_KIND => ReadError::Refused(no_room()),
            _ => ReadError::Io(error),
        }
    }
}

impl From<HttpError> for ReadError {
    fn from(error: HttpError) -> Self {
        ReadError::Refused(bad_request(&error))
    }
}

/// What becomes of input that arrives while a call is held.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PipelinedInput {
    /// It is read as the next request.
    Keep,
    Discard,
}

/// Reads requests from a connection.
pub(super) struct RequestReader<'a> {
    connection: &'a Connection,
    buffer: ReceiveBuffer,
    chunk: Vec<u8>,
}

impl<'a> RequestReader<'a> {
    pub(super) fn new(connection: &'a Connection) -> Self {
        let buffer = ReceiveBuffer::new(connection.account(), Purpose::Clients);
        RequestReader { connection, buffer, chunk: vec![0; CHUNK] }
    }

    /// Reads the next request and its body. The body's memory is reserved here only while it is read; the call reserves
    /// it from then on.
    pub(super) fn read_request(&mut self) -> Result<(RequestHead, Vec<u8>), ReadError> {
        let turn = self.connection.take_turn();
        let connection = self.connection;
        if turn == TurnStart::AfterFullSlice && !connection.is_shut() && connection.is_closed_by_peer() {
            return Err(ReadError::Io(ErrorKind::UnexpectedEof.into()));
        }
        let mut head = loop {
            match self.buffer.consume(RequestHead::decode)? {
                Some(head) => break head,
                None => self.fill()?,
            }
        };
        if head.headers.get("expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue")) {
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let body = self.read_body(&mut head)?;
        self.buffer.end_message();
        Ok((head, body))
    }

    fn read_body(&mut self, head: &mut RequestHead) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        while !self.buffer.consume(|bytes| head.body.feed(bytes, &mut body, MAX_BODY_BYTES))? {
            let (connection, buffer) = (self.connection, &mut self.buffer);
            connection.while_busy(|| buffer.beside(body.capacity()))?;
            self.fill()?;
        }
        Ok(body)
    }

    /// Reads more bytes of a request, or waits for the next one.
    fn fill(&mut self) -> io::Result<()> {
        loop {
            let within = if self.buffer.is_empty() { IDLE_TIMEOUT } else { REQUEST_READ_TIMEOUT };
            match self.connection.fill(&mut self.buffer, &mut self.chunk, within) {
                Ok(0) => self.handle_end_of_input()?,
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == ErrorKind::TimedOut => {
                    // A client with a held call need not send anything, and the call may have been answered during
                    // this wait, so that the idle time starts then.
                    let (state, since) = self.connection.state();
                    let is_over = monotonic_ms() - since >= within.as_secs_f64() * 1000.0;
                    if state != ClientState::Busy && is_over {
                        return Err(error);
                    }
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Handles the end of the input. It means that the client has disconnected, unless this process shut the reading side
    /// down; in that case requests that were received before are still answered, and this waits a little for that.
    fn handle_end_of_input(&self) -> io::Result<()> {
        if !self.connection.is_shut() || self.connection.state().0 != ClientState::Busy {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.connection.wait_for_an_end(ANSWER_POLL_INTERVAL);
        Ok(())
    }

    /// Reads and discards input for a while; fails when the client disconnects.
    pub(super) fn discard_input(&mut self) -> io::Result<()> {
        self.buffer.clear();
        match self.buffer.fill(self.connection, &mut self.chunk, LINGER) {
            Ok(0) => self.handle_end_of_input(),
            Err(error) if error.kind() != ErrorKind::TimedOut => Err(error),
            _ => Ok(()),
        }
    }

    /// Waits until the held call, if there is one, is answered; returns whether the response could be written. Meanwhile,
    /// pipelined input of the client is read as far as it fits the chunk that is already reserved. A disconnect is noticed
    /// even behind input that does not fit.
    pub(super) fn wait_for_answer(
        &mut self,
        current: &mut Option<Current>,
        pipelined: PipelinedInput,
    ) -> io::Result<bool> {
        while current.as_ref().is_some_and(|before| !before.task.is_done()) {
            if pipelined == PipelinedInput::Discard {
                self.buffer.clear();
            }
            let room = CHUNK.saturating_sub(self.buffer.bytes().len());
            if room == 0 {
                if self.connection.is_closed_by_peer() {
                    self.handle_end_of_input()?;
                }
                timers::sleep(ANSWER_POLL_INTERVAL);
                continue;
            }
            match self.buffer.fill(self.connection, &mut self.chunk[..room], ANSWER_POLL_INTERVAL) {
                // This process shut the reading side down with the answer; requests received before it are still
                // answered.
                Ok(0)
                    if self.connection.is_shut()
                        && current.as_ref().is_some_and(|before| before.task.is_done()) => {}
                Ok(0) => self.handle_end_of_input()?,
                Err(error) if error.kind() != ErrorKind::TimedOut => return Err(error),
                _ => {}
            }
        }
        Ok(current.take().is_none_or(|before| before.task.join().unwrap_or(false)))
    }
}
