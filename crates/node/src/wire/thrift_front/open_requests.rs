//! The unanswered requests of a connection, and which process answers them.
//!
//! Invariant: when a client no longer waits for a request, the process that answers it is told, whichever it is.
use crate::core::{lock, Invoker};
use crate::wire::connection_handover::WithdrawalSender;
use corkbay::RequestId;
use may::sync::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

/// The process that will answer an open request of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Responder {
    /// This process, under the given request id.
    Local(RequestId),
    /// The process that handed the connection over.
    Predecessor,
}

/// The unanswered requests of a connection by sequence number.
pub(super) struct OpenRequests {
    invoker: Arc<Invoker>,
    by_seqid: Mutex<HashMap<i32, Responder>>,
    /// The way to the process that handed the connection over, if one did.
    predecessor: Option<WithdrawalSender>,
}

impl OpenRequests {
    /// Those of a new connection: none.
    pub(super) fn new(invoker: &Arc<Invoker>) -> Self {
        OpenRequests { invoker: invoker.clone(), by_seqid: Mutex::default(), predecessor: None }
    }

    /// Those of a connection that was taken over: its predecessor answers the given sequence numbers.
    pub(super) fn taken_over(
        invoker: &Arc<Invoker>,
        unanswered: &[i32],
        predecessor: WithdrawalSender,
    ) -> Self {
        let by_seqid = unanswered.iter().map(|seqid| (*seqid, Responder::Predecessor)).collect();
        let (invoker, by_seqid) = (invoker.clone(), Mutex::new(by_seqid));
        OpenRequests { invoker, by_seqid, predecessor: Some(predecessor) }
    }

    pub(super) fn len(&self) -> usize {
        lock(&self.by_seqid).len()
    }

    pub(super) fn insert(&self, seqid: i32, responder: Responder) {
        lock(&self.by_seqid).insert(seqid, responder);
    }

    /// The sequence numbers of all requests.
    pub(super) fn seqids(&self) -> Vec<i32> {
        lock(&self.by_seqid).keys().copied().collect()
    }

    /// The sequence numbers of the requests that the predecessor answers.
    pub(super) fn predecessors(&self) -> Vec<i32> {
        let by_seqid = lock(&self.by_seqid);
        by_seqid.iter().filter(|entry| *entry.1 == Responder::Predecessor).map(|entry| *entry.0).collect()
    }

    /// The requests that this process answers.
    pub(super) fn local_ids(&self) -> Vec<RequestId> {
        let local_id = |responder: &Responder| match responder {
            Responder::Local(id) => Some(*id),
            Responder::Predecessor => None,
        };
        lock(&self.by_seqid).values().filter_map(local_id).collect()
    }

    /// Removes a request that `responder` answers; returns whether it was still unanswered. A client may use the number
    /// of a cancelled request again, so the answer to that one must not end the later request.
    pub(super) fn settle(&self, seqid: i32, responder: Responder) -> bool {
        let mut by_seqid = lock(&self.by_seqid);
        let is_open = by_seqid.get(&seqid) == Some(&responder);
        if is_open {
            by_seqid.remove(&seqid);
        }
        is_open
    }

    /// Withdraws a request whose client no longer waits. Returns true if it has ended here with that: an answer of the
    /// predecessor is discarded from now on, while this process ends its own requests when it has cancelled them.
    pub(super) fn withdraw(&self, seqid: i32) -> bool {
        let responder = lock(&self.by_seqid).get(&seqid).copied();
        match responder {
            Some(Responder::Local(id)) => {
                self.invoker.withdraw(id);
                false
            }
            Some(Responder::Predecessor) => {
                self.settle(seqid, Responder::Predecessor) && {
                    self.withdraw_at_predecessor(seqid);
                    true
                }
            }
            None => false,
        }
    }

    /// Withdraws all requests, because the client has left.
    pub(super) fn withdraw_all(&self) {
        for seqid in self.seqids() {
            self.withdraw(seqid);
        }
    }

    /// Withdraws and removes a request, which the caller has to end; false if there is none of that number.
    pub(super) fn take(&self, seqid: i32) -> bool {
        let responder = lock(&self.by_seqid).remove(&seqid);
        match responder {
            Some(Responder::Local(id)) => self.invoker.withdraw(id),
            Some(Responder::Predecessor) => self.withdraw_at_predecessor(seqid),
            None => {}
        }
        responder.is_some()
    }

    /// Withdraws and removes all requests; returns their sequence numbers. The caller has to end them.
    pub(super) fn take_all(&self) -> Vec<i32> {
        self.seqids().into_iter().filter(|seqid| self.take(*seqid)).collect()
    }

    fn withdraw_at_predecessor(&self, seqid: i32) {
        if let Some(predecessor) = &self.predecessor {
            predecessor.withdraw(seqid);
            self.invoker.counters.withdrawn_at_predecessor.increment();
        }
    }
}
