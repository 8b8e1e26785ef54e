//! The thread that synchronises the shared files with this process.
use super::files::{RecordMetadata, SharedFiles};
use super::{apply_overrides, CommandError, OperatorCommand};
use crate::core::{lock, monotonic_ms, Invoker};
use corkbay_duty::{compare_record, Overrides, RecordAction, Succession};
use may::sync::{mpsc as coroutine_mpsc, Mutex};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::Duration;

/// Polling interval of the shared files: a command to one process must take effect in the other within 2 s.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(50);

/// A request to the synchronisation thread.
pub(super) enum SyncRequest {
    /// Execute a command and send its result.
    Execute(OperatorCommand, coroutine_mpsc::Sender<Result<(), CommandError>>),
    /// Announce that this process is ready.
    AnnounceReady,
}

/// The status that the synchronisation thread publishes to all others.
pub(super) struct SyncStatus {
    pub succession: Mutex<Succession>,
    /// Whether the overrides are known: read from disk, or given up as damaged.
    pub has_overrides: AtomicBool,
}

/// Synchronises the shared files with this process.
pub(super) struct OverridesSync {
    pub(super) invoker: Arc<Invoker>,
    pub(super) files: SharedFiles,
    /// The overrides in effect in this process; none before those on disk have been read.
    known: Option<Overrides>,
    /// The metadata of the record that was read last: `Some(None)` if there was no file, none before the first read.
    last_read: Option<Option<RecordMetadata>>,
    pub(super) status: Arc<SyncStatus>,
    /// Whether the last synchronisation failed; consecutive failures are logged once.
    failing: bool,
}

impl OverridesSync {
    pub(super) fn new(invoker: &Arc<Invoker>, files: SharedFiles) -> Self {
        let status =
            SyncStatus { succession: Mutex::new(files.succession), has_overrides: AtomicBool::new(false) };
        let (invoker, status) = (invoker.clone(), Arc::new(status));
        OverridesSync { invoker, files, known: None, last_read: None, status, failing: false }
    }

    pub(super) fn run(mut self, queue: &Receiver<SyncRequest>, on_succession: impl Fn(usize)) {
        loop {
            self.check_other_process(&on_succession);
            if let Err(error) = self.sync_overrides() {
                if !std::mem::replace(&mut self.failing, true) {
                    tracing::error!(%error, "handover: the operators' overrides can't be kept in a file");
                }
            } else {
                self.failing = false;
            }
            match queue.recv_timeout(SYNC_INTERVAL) {
                Ok(SyncRequest::Execute(command, answer)) => {
                    let result = self.execute(&command);
                    // Fails if the operator's request has timed out.
                    let _ = answer.send(result);
                }
                Ok(SyncRequest::AnnounceReady) => {
                    if let Err(error) = self.files.announce_ready() {
                        tracing::error!(%error, "handover: can't say that this process serves");
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn check_other_process(&mut self, on_succession: &impl Fn(usize)) {
        let seen = self.files.check_other_slot();
        let (changed, parts) = {
            let mut succession = lock(&self.status.succession);
            (succession.look(seen), succession.parts())
        };
        if changed {
            tracing::info!(processes = parts, "handover");
            on_succession(parts);
        }
    }

    pub(super) fn sync_overrides(&mut self) -> io::Result<()> {
        let metadata = self.files.metadata();
        if self.last_read == Some(metadata) && self.known.is_some() {
            return Ok(());
        }
        match compare_record(self.files.read(), self.known.as_ref()) {
            RecordAction::Same => {}
            RecordAction::Newer(overrides) => self.adopt(overrides),
            RecordAction::Restore => self.restore()?,
            RecordAction::Wait if lock(&self.status.succession).other().is_some() => return Ok(()),
            RecordAction::Wait => {
                tracing::error!(
                    "handover: the operators' overrides are damaged and nobody knows what it said"
                );
                self.adopt(Overrides::default());
                self.files.move_damaged()?;
            }
        }
        self.last_read = Some(metadata);
        Ok(())
    }

    /// Applies overrides and remembers them as the current ones.
    fn adopt(&mut self, overrides: Overrides) {
        apply_overrides(&self.invoker, &overrides);
        self.known = Some(overrides);
        self.status.has_overrides.store(true, Ordering::Release);
    }

    /// Writes the known overrides again, unless the other process has written newer ones.
    fn restore(&mut self) -> io::Result<()> {
        let Some(known) = self.known.clone() else { return Ok(()) };
        let newer = self.files.with_lock(|| match compare_record(self.files.read(), Some(&known)) {
            RecordAction::Newer(overrides) => Ok(Some(overrides)),
            RecordAction::Restore => self.files.write(&known).map(|()| None),
            RecordAction::Same | RecordAction::Wait => Ok(None),
        })?;
        if let Some(overrides) = newer {
            self.adopt(overrides);
        }
        Ok(())
    }

    pub(super) fn execute(&mut self, command: &OperatorCommand) -> Result<(), CommandError> {
        let before = self.known.clone().unwrap_or_default();
        let now = monotonic_ms();
        let next = |mut overrides: Overrides| {
            command.apply(&mut overrides, now);
            overrides.version += 1;
            overrides
        };
        if command.restricts() {
            // A restriction takes effect at once, whether or not the file can be written.
            apply_overrides(&self.invoker, &next(before.clone()));
        }
        let written = self.files.with_lock(|| {
            let overrides = next(match compare_record(self.files.read(), Some(&before)) {
                RecordAction::Newer(overrides) => overrides,
                RecordAction::Same | RecordAction::Restore | RecordAction::Wait => before.clone(),
            });
            self.files.write(&overrides).map(|()| overrides)
        });
        match written {
            Ok(overrides) => {
                self.adopt(overrides);
                Ok(())
            }
            Err(error) => {
                tracing::error!(%error, ?command, "handover: not written");
                if command.restricts() {
                    // The overrides here are now newer than the record; it is written as soon as possible.
                    self.adopt(next(before));
                    self.last_read = None;
                }
                Err(CommandError::Unwritten)
            }
        }
    }
}
