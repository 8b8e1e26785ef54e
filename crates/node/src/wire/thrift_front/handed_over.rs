//! A connection during an upgrade, as the new process and as the old one see it.
use super::open_requests::{OpenRequests, Responder};
use super::requests::crashed;
use crate::lifecycle::spawn;
use crate::timers;
use crate::wire::accept::Connection;
use crate::wire::connection_handover::{HandedOverConnection, ReceivedConnection};
use crate::wire::receive_buffer::CHUNK;
use crate::wire::thrift;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::sync::{Arc, Weak};
use std::time::Duration;

/// Poll interval for the last answer on a connection that was taken back.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between two reads whose input is discarded, so that a client that sends continuously does not block other
/// coroutines.
const DISCARD_PAUSE: Duration = Duration::from_millis(1);

/// Receives the answers that the previous process sends for a connection that was taken over.
pub(super) struct TakenOverConnection {
    connection: Weak<Connection>,
    open_requests: Arc<OpenRequests>,
}

impl TakenOverConnection {
    pub(super) fn new(connection: &Arc<Connection>, open_requests: &Arc<OpenRequests>) -> Self {
        TakenOverConnection { connection: Arc::downgrade(connection), open_requests: open_requests.clone() }
    }
}

impl ReceivedConnection for TakenOverConnection {
    fn finish_request(&self, seqid: i32, bytes: Vec<u8>) {
        let (connection, open_requests) = (self.connection.clone(), self.open_requests.clone());
        // The connection may be dropped here, which is only allowed in a coroutine.
        spawn(move || {
            // The connection may have ended already, or the client may have cancelled the request.
            let Some(connection) = connection.upgrade() else { return };
            let held = connection.account().reserve_over_cap(bytes.len());
            let settle = || open_requests.settle(seqid, Responder::Predecessor);
            connection.finish_request(seqid, bytes, settle, held);
        });
    }

    fn fail_unanswered(&self) {
        let answer = |seqid| thrift::reply("dispatch", seqid, crashed("the process that took it has ended"));
        let unanswered = self.open_requests.predecessors();
        unanswered.into_iter().for_each(|seqid| self.finish_request(seqid, answer(seqid)));
    }
}

/// A connection that this process handed over, with the requests on it that it still answers.
pub(super) struct GivenConnection {
    /// Kept by the tasks of the requests.
    connection: Weak<Connection>,
    open_requests: Arc<OpenRequests>,
}

impl GivenConnection {
    pub(super) fn new(connection: &Arc<Connection>, open_requests: &Arc<OpenRequests>) -> Self {
        GivenConnection { connection: Arc::downgrade(connection), open_requests: open_requests.clone() }
    }
}

impl HandedOverConnection for GivenConnection {
    fn is_open(&self) -> bool {
        self.open_requests.len() > 0
    }

    fn withdraw(&self, seqid: i32) {
        self.open_requests.withdraw(seqid);
    }

    fn take_back(&self) {
        let Some(connection) = self.connection.upgrade() else { return };
        connection.take_back();
        watch_until_answered(&connection, &self.open_requests);
        connection.finish_writing();
        connection.linger(ANSWER_POLL_INTERVAL);
        connection.shut(Shutdown::Both);
    }
}

/// Waits until all requests are answered, or withdraws them when the client leaves. What the client sends is discarded: the
/// successor may have read a part of it.
fn watch_until_answered(connection: &Connection, open_requests: &OpenRequests) {
    let mut chunk = vec![0; CHUNK];
    while open_requests.len() > 0 {
        match connection.read(&mut chunk, ANSWER_POLL_INTERVAL) {
            Ok(1..) => timers::sleep(DISCARD_PAUSE),
            Err(error) if error.kind() == ErrorKind::TimedOut => {}
            Ok(0) | Err(_) => return open_requests.withdraw_all(),
        }
    }
}
