//! The Thrift front: reads requests from client connections, hands them to the invoker and writes the answers.
//!
//! | module | job |
//! | --- | --- |
//! | `reader` | the read loop of a connection |
//! | `requests` | requests: from their fields to their answers |
mod reader;
mod requests;

use super::accept::Connection;
use super::connection_handover::{HandoverSender, ReceivedConnection};
use super::thrift;
use crate::core::{lock, Invoker};
use crate::lifecycle::spawn;
use corkbay::RequestId;
use may::sync::Mutex;
use reader::{ReadEnd, Reader};
use requests::crashed;
use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::{Arc, Weak};
use std::time::Duration;

/// A write fails if the client accepts no bytes for this long.
pub const WRITE_STALL: Duration = Duration::from_secs(2);

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
    let mut reader = Reader::new(invoker, handover, connection, &open_requests);
    match reader.run() {
        Ok(ReadEnd::HandedOver) => {
            invoker.counters.passed_on.increment();
            withdraw_on_drop.handed_over = true;
            return;
        }
        Ok(ReadEnd::Closed) => {}
        Err(malformed) => {
            invoker.counters.malformed.increment();
            tracing::info!(%malformed, "client connection closed");
            reader.fail_open_requests();
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
