//! Messages to the task of a request, and the inbox that receives them.
use crate::core::{time_until, AttemptError};
use crate::timers;
use corkbay::{EndReason, Ms, WorkerId};
use may::sync::mpsc;

/// A message to the task of a request.
#[derive(Debug)]
pub(super) enum TaskMessage {
    Send {
        worker: WorkerId,
        within: Ms,
    },
    Cancel {
        attempt: u32,
    },
    Refuse {
        retry_after: Ms,
        reason: EndReason,
    },
    Fail {
        reason: EndReason,
    },
    Withdrawn,
    /// The process has no more time for the request.
    Close,
    Ended {
        attempt: u32,
        end: Result<Vec<u8>, AttemptError>,
    },
}

/// The inbox of the task of one request.
pub struct Inbox {
    pub(super) messages: mpsc::Receiver<TaskMessage>,
    pub(super) sender: mpsc::Sender<TaskMessage>,
}

impl Inbox {
    /// The next message; `None` if none arrives before `at`.
    pub(super) fn next(&self, at: Ms) -> Option<TaskMessage> {
        self.messages.try_recv().ok().or_else(|| timers::receive(&self.messages, time_until(at)).ok())
    }
}
