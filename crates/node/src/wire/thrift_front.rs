//! The Thrift front: reads requests from client connections, hands them to the invoker and writes the answers.
//!
//! | module | job |
//! | --- | --- |
//! | `reader` | the read loop of a connection |
//! | `requests` | requests: from their fields to their answers |
//! | `open_requests` | the unanswered requests of a connection, and which process answers them |
//! | `handed_over` | a connection during an upgrade, as the old and as the new process see it |
mod handed_over;
mod open_requests;
mod reader;
mod requests;

use super::accept::Connection;
use super::connection_handover::{HandoverSender, ReceivedConnection, WithdrawalSender};
use crate::core::{peer_lines, Invoker};
use crate::lifecycle::spawn;
use handed_over::TakenOverConnection;
use open_requests::OpenRequests;
use reader::{ReadEnd, Reader};
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

/// A write fails if the client accepts no bytes for this long.
pub const WRITE_STALL: Duration = Duration::from_secs(2);

/// Serves a client connection until it ends or, while this process drains, is handed over to the successor.
pub fn serve(invoker: &Arc<Invoker>, handover: &HandoverSender, connection: Arc<Connection>) {
    serve_until_end(invoker, handover, &connection, &Arc::new(OpenRequests::new(invoker)));
}

/// Takes over a connection from another process that still has to answer the requests with the given sequence numbers.
/// Answers from that process are to be passed to the returned value; it is told through `withdrawals` which of them no
/// client waits for any more.
pub fn resume(
    invoker: &Arc<Invoker>,
    handover: &Arc<HandoverSender>,
    connection: Arc<Connection>,
    unanswered: &[i32],
    withdrawals: WithdrawalSender,
) -> impl ReceivedConnection {
    let open_requests = Arc::new(OpenRequests::taken_over(invoker, unanswered, withdrawals));
    unanswered.iter().for_each(|_| connection.request_started());
    invoker.counters.taken_over.increment();
    let taken_over = TakenOverConnection::new(&connection, &open_requests);
    let (invoker, handover) = (invoker.clone(), handover.clone());
    spawn(move || serve_until_end(&invoker, &handover, &connection, &open_requests));
    taken_over
}

fn serve_until_end(
    invoker: &Arc<Invoker>,
    handover: &HandoverSender,
    connection: &Arc<Connection>,
    open_requests: &Arc<OpenRequests>,
) {
    let mut withdraw_on_drop = WithdrawOnDrop { open_requests, handed_over: false };
    let mut reader = Reader::new(invoker, handover, connection, open_requests);
    match reader.run() {
        Ok(ReadEnd::HandedOver) => {
            invoker.counters.passed_on.increment();
            withdraw_on_drop.handed_over = true;
            return;
        }
        Ok(ReadEnd::Closed) => {}
        Err(malformed) => {
            invoker.counters.malformed.increment();
            if peer_lines().take() {
                tracing::info!(%malformed, "client connection closed");
            }
            reader.fail_open_requests();
        }
    }
    connection.shut(Shutdown::Both);
}

/// Withdraws the open requests of a connection when its task ends for any reason, including a panic.
struct WithdrawOnDrop<'a> {
    open_requests: &'a OpenRequests,
    /// The connection lives on in another process, so its requests continue.
    handed_over: bool,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if !self.handed_over {
            self.open_requests.withdraw_all();
        }
    }
}
