//! State that two processes of one invoker share while both run: the operators' overrides and the readiness of each
//! process.
//!
//! | module | purpose |
//! | --- | --- |
//! | `command` | the operators' commands and their errors |
//! | `files` | the files in the folder shared by both processes |
//! | `sync` | the thread that synchronises the files with this process |
mod command;
mod files;
mod sync;

use crate::core::{lock, monotonic_ms, Invoker};
use crate::timers;
use corkbay_duty::{Leave, LeaveSchedule, Overrides, Succession};
use may::sync::mpsc as coroutine_mpsc;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::time::Duration;
use sync::{OverridesSync, SyncRequest, SyncStatus};

pub use command::{CommandError, OperatorCommand};
pub use files::{ProcessSlot, SharedFiles};
pub use sync::SYNC_INTERVAL;

/// Maximum time for executing a command: an operator waits 1 s for the answer.
const MAX_COMMAND_TIME: Duration = Duration::from_millis(800);
/// Stack size of the synchronisation thread, in bytes of address space.
const SYNC_THREAD_STACK_BYTES: usize = 256 << 10;
/// The schedule of a drain. The platform's front polls every 0.1 s and sends connections for 0.2 s more, so after
/// 0.7 s every client can know of the drain. Requests on connections that are still open are accepted until 1.6 s, so
/// that an accepted request can be 2 s old when all connections must be gone after 4 s.
const DRAIN_SCHEDULE: LeaveSchedule = LeaveSchedule {
    close_connections_at: 700.0,
    refuse_requests_at: 1600.0,
    all_closed_by: Some((4000.0, 2000.0)),
};

/// Access to the operators' overrides in this process, which may share them with another process.
#[derive(Clone)]
pub struct OverridesHandle {
    invoker: Arc<Invoker>,
    /// The request queue of the synchronisation thread and the status that it publishes; none if nothing is shared.
    files: Option<(Sender<SyncRequest>, Arc<SyncStatus>)>,
}

impl OverridesHandle {
    /// Keeps the overrides in memory only.
    pub fn in_memory(invoker: &Arc<Invoker>) -> Self {
        OverridesHandle { invoker: invoker.clone(), files: None }
    }

    /// Shares the overrides through files. `on_succession` is called with the number of processes whenever it changes.
    pub fn shared(
        invoker: &Arc<Invoker>,
        files: SharedFiles,
        on_succession: impl Fn(usize) + Send + 'static,
    ) -> io::Result<Self> {
        let (requests, queue) = channel();
        let sync = OverridesSync::new(invoker, files);
        let status = sync.status.clone();
        let thread = std::thread::Builder::new().name("handover".into()).stack_size(SYNC_THREAD_STACK_BYTES);
        thread.spawn(move || sync.run(&queue, on_succession))?;
        Ok(OverridesHandle { invoker: invoker.clone(), files: Some((requests, status)) })
    }

    /// This process's relation to the other process of the invoker.
    pub fn succession(&self) -> Succession {
        self.files.as_ref().map_or_else(Succession::default, |(_, status)| *lock(&status.succession))
    }

    /// Announces to the other process that this one is ready to serve.
    pub fn announce_ready(&self) {
        if let Some((requests, _)) = &self.files {
            let _ = requests.send(SyncRequest::AnnounceReady);
        }
    }

    /// Whether the overrides are known: read from disk, or given up as damaged. A successor must not serve before that.
    pub fn has_overrides(&self) -> bool {
        self.files.as_ref().is_none_or(|(_, status)| status.has_overrides.load(Ordering::Acquire))
    }

    /// Executes an operator's command.
    pub fn execute(&self, command: OperatorCommand) -> Result<(), CommandError> {
        let invoker = &self.invoker;
        match &command {
            OperatorCommand::Suspend(name) => invoker.check_suspend(name)?,
            OperatorCommand::Resume(name) => invoker.check_resume(name)?,
            OperatorCommand::Activate if invoker.serving_state().leaving() == Some(Leave::Ending) => {
                return Err(CommandError::Ending)
            }
            OperatorCommand::Drain | OperatorCommand::Activate => {}
        }
        let Some((requests, _)) = &self.files else {
            let drained = invoker.serving_state().leaving() == Some(Leave::Drained);
            let mut overrides = Overrides { version: 0, drained, host_overrides: invoker.host_overrides() };
            command.apply(&mut overrides, monotonic_ms());
            apply_overrides(invoker, &overrides);
            return Ok(());
        };
        let (sender, answer) = coroutine_mpsc::channel();
        let _ = requests.send(SyncRequest::Execute(command, sender));
        timers::receive(&answer, MAX_COMMAND_TIME).unwrap_or(Err(CommandError::Unwritten))
    }
}

/// Applies overrides to this process.
fn apply_overrides(invoker: &Arc<Invoker>, overrides: &Overrides) {
    invoker.set_host_overrides(overrides.host_overrides.clone());
    match (overrides.drained, invoker.serving_state().leaving()) {
        (true, None) => invoker.start_leaving(Leave::Drained, DRAIN_SCHEDULE),
        (false, Some(Leave::Drained)) => _ = invoker.return_to_service(),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
