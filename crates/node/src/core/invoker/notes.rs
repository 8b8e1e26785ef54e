//! What reaches the task of a request, and the mailbox that it comes to.
use crate::core::{until, AttemptError};
use crate::timers;
use corkbay::{EndReason, Ms, WorkerId};
use may::sync::mpsc;

/// What reaches the task of a request.
#[derive(Debug)]
pub(super) enum Note {
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
    /// There is no more time for it.
    Close,
    Ended {
        attempt: u32,
        end: Result<Vec<u8>, AttemptError>,
    },
}

/// The mailbox of one request's task.
pub struct Inbox {
    pub(super) notes: mpsc::Receiver<Note>,
    pub(super) sender: mpsc::Sender<Note>,
}

impl Inbox {
    /// The next note; `None` once that time has come.
    pub(super) fn next(&self, at: Ms) -> Option<Note> {
        self.notes.try_recv().ok().or_else(|| timers::receive(&self.notes, until(at)).ok())
    }
}
