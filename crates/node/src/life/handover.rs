//! What two processes of one invoker share while both live: the operators' overrides, and whether each process is ready.
//!
//! | module | job |
//! | --- | --- |
//! | `command` | what operators may ask for |
//! | `files` | the files in a folder that both processes share |
//! | `sync` | the thread that keeps the files and this process in step |
mod command;
mod files;
mod sync;

use crate::core::{lock, monotonic_ms, Invoker};
use crate::timers;
use corkbay_duty::{Leave, Overrides, Succession, Terms};
use may::sync::mpsc as answers;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::time::Duration;
use sync::{OverridesSync, SyncRequest, SyncStatus};

pub use command::{CommandError, OperatorCommand};
pub use files::{ProcessSlot, SharedFiles};
pub use sync::SYNC_INTERVAL;

/// An operator waits 1 s for an answer.
const ANSWER_WAIT: Duration = Duration::from_millis(800);
/// Stack of the thread, in bytes of address space.
const STACK: usize = 256 << 10;
/// The times of a drain. The front asks every 0.1 s and sends connections for 0.2 s more, so after 0.7 s nobody comes
/// who could not know; requests on connections that are still open are taken until what is taken can be 2 s old when
/// 4 s are over.
const DRAIN: Terms = Terms { let_go: 700.0, refuse: 1600.0, gone: Some((4000.0, 2000.0)) };

/// The operators' overrides as this process holds them, alone or beside another process.
#[derive(Clone)]
pub struct OverridesHandle {
    invoker: Arc<Invoker>,
    /// To the thread that keeps the files, and what it tells; none where nothing is shared.
    files: Option<(Sender<SyncRequest>, Arc<SyncStatus>)>,
}

impl OverridesHandle {
    /// Holds them in memory alone.
    pub fn alone(invoker: &Arc<Invoker>) -> Self {
        OverridesHandle { invoker: invoker.clone(), files: None }
    }

    /// Shares them by files, too; `on_succession` is told whenever the number of processes changes.
    pub fn beside(
        invoker: &Arc<Invoker>,
        files: SharedFiles,
        on_succession: impl Fn(usize) + Send + 'static,
    ) -> io::Result<Self> {
        let (requests, queue) = channel();
        let sync = OverridesSync::new(invoker, files);
        let status = sync.status.clone();
        let thread = std::thread::Builder::new().name("handover".into()).stack_size(STACK);
        thread.spawn(move || sync.run(&queue, on_succession))?;
        Ok(OverridesHandle { invoker: invoker.clone(), files: Some((requests, status)) })
    }

    /// The processes that serve.
    pub fn succession(&self) -> Succession {
        self.files.as_ref().map_or_else(Succession::default, |(_, status)| *lock(&status.succession))
    }

    /// Tells the other process that this one serves.
    pub fn announce_ready(&self) {
        if let Some((requests, _)) = &self.files {
            let _ = requests.send(SyncRequest::AnnounceReady);
        }
    }

    /// Whether the overrides on disk are known here: before that a successor must not serve.
    pub fn has_overrides(&self) -> bool {
        self.files.as_ref().is_none_or(|(_, status)| status.has_overrides.load(Ordering::Acquire))
    }

    /// Does what operators ask for.
    pub fn execute(&self, command: OperatorCommand) -> Result<(), CommandError> {
        let invoker = &self.invoker;
        match &command {
            OperatorCommand::Suspend(name) => invoker.may_suspend(name)?,
            OperatorCommand::Resume(name) => invoker.may_resume(name)?,
            OperatorCommand::Activate if invoker.duty().leaving() == Some(Leave::Ending) => {
                return Err(CommandError::Ending)
            }
            OperatorCommand::Drain | OperatorCommand::Activate => {}
        }
        let Some((requests, _)) = &self.files else {
            let drained = invoker.duty().leaving() == Some(Leave::Drained);
            let mut overrides = Overrides { version: 0, drained, bans: invoker.bans() };
            command.apply(&mut overrides, monotonic_ms());
            apply_overrides(invoker, &overrides);
            return Ok(());
        };
        let (sender, answer) = answers::channel();
        let _ = requests.send(SyncRequest::Execute(command, sender));
        timers::receive(&answer, ANSWER_WAIT).unwrap_or(Err(CommandError::Unwritten))
    }
}

/// Makes overrides hold in this process.
fn apply_overrides(invoker: &Arc<Invoker>, overrides: &Overrides) {
    invoker.adopt(overrides.bans.clone());
    match (overrides.drained, invoker.duty().leaving()) {
        (true, None) => invoker.leave(Leave::Drained, DRAIN),
        (false, Some(Leave::Drained)) => _ = invoker.come_back(),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
