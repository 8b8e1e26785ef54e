//! The thread that keeps the shared files and this process in step.
use super::files::{RecordMark, SharedFiles};
use super::{apply_overrides, CommandError, OperatorCommand};
use crate::core::{lock, monotonic_ms, Invoker};
use corkbay_duty::{look, Look, Overrides, Succession};
use may::sync::{mpsc as answers, Mutex};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::Duration;

/// How often the files are looked at: what one process is told binds the other within 2 s.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(50);

/// What the thread is asked for.
pub(super) enum SyncRequest {
    Execute(OperatorCommand, answers::Sender<Result<(), CommandError>>),
    /// This process serves.
    AnnounceReady,
}

/// What the thread tells all others.
pub(super) struct SyncStatus {
    pub succession: Mutex<Succession>,
    /// The overrides on disk are known here.
    pub has_overrides: AtomicBool,
}

/// Keeps the files and this process in step.
pub(super) struct OverridesSync {
    pub(super) invoker: Arc<Invoker>,
    pub(super) files: SharedFiles,
    /// The overrides that hold here; none before those on disk were read.
    known: Option<Overrides>,
    /// The mark of the record that was read last, if there was one.
    seen: Option<Option<RecordMark>>,
    pub(super) status: Arc<SyncStatus>,
    /// The last look met a failure, which is logged once.
    failing: bool,
}

impl OverridesSync {
    pub(super) fn new(invoker: &Arc<Invoker>, files: SharedFiles) -> Self {
        let status =
            SyncStatus { succession: Mutex::new(files.succession), has_overrides: AtomicBool::new(false) };
        let (invoker, status) = (invoker.clone(), Arc::new(status));
        OverridesSync { invoker, files, known: None, seen: None, status, failing: false }
    }

    pub(super) fn run(mut self, queue: &Receiver<SyncRequest>, on_succession: impl Fn(usize)) {
        loop {
            self.look_at_other_process(&on_succession);
            if let Err(error) = self.look_at_overrides() {
                if !std::mem::replace(&mut self.failing, true) {
                    tracing::error!(%error, "handover: the operators' overrides can't be kept in a file");
                }
            } else {
                self.failing = false;
            }
            match queue.recv_timeout(SYNC_INTERVAL) {
                Ok(SyncRequest::Execute(command, answer)) => {
                    let end = self.execute(&command);
                    // Nobody may wait any more.
                    let _ = answer.send(end);
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

    fn look_at_other_process(&mut self, on_succession: &impl Fn(usize)) {
        let seen = self.files.look_at_other();
        let (changed, parts) = {
            let mut succession = lock(&self.status.succession);
            (succession.look(seen), succession.parts())
        };
        if changed {
            tracing::info!(processes = parts, "handover");
            on_succession(parts);
        }
    }

    pub(super) fn look_at_overrides(&mut self) -> io::Result<()> {
        let mark = self.files.mark();
        if self.seen == Some(mark) && self.known.is_some() {
            return Ok(());
        }
        match look(self.files.read(), self.known.as_ref()) {
            Look::Same => {}
            Look::Newer(overrides) => self.know(overrides),
            Look::Restore => self.restore()?,
            Look::Wait if lock(&self.status.succession).other().is_some() => return Ok(()),
            Look::Wait => {
                tracing::error!(
                    "handover: the operators' overrides are damaged and nobody knows what it said"
                );
                self.know(Overrides::default());
                self.files.set_aside()?;
            }
        }
        self.seen = Some(mark);
        Ok(())
    }

    fn know(&mut self, overrides: Overrides) {
        apply_overrides(&self.invoker, &overrides);
        self.known = Some(overrides);
        self.status.has_overrides.store(true, Ordering::Release);
    }

    /// Writes what is known, unless somebody who knows better wrote meanwhile.
    fn restore(&mut self) -> io::Result<()> {
        let Some(known) = self.known.clone() else { return Ok(()) };
        let newer = self.files.alone(|| match look(self.files.read(), Some(&known)) {
            Look::Newer(overrides) => Ok(Some(overrides)),
            Look::Restore => self.files.write(&known).map(|()| None),
            Look::Same | Look::Wait => Ok(None),
        })?;
        if let Some(overrides) = newer {
            self.know(overrides);
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
        if command.holds_back() {
            // At once, whatever becomes of the file.
            apply_overrides(&self.invoker, &next(before.clone()));
        }
        let written = self.files.alone(|| {
            let overrides = next(match look(self.files.read(), Some(&before)) {
                Look::Newer(overrides) => overrides,
                Look::Same | Look::Restore | Look::Wait => before.clone(),
            });
            self.files.write(&overrides).map(|()| overrides)
        });
        match written {
            Ok(overrides) => {
                self.know(overrides);
                Ok(())
            }
            Err(error) => {
                tracing::error!(%error, ?command, "handover: not written");
                if command.holds_back() {
                    // Newer than what stands: written as soon as that can be done.
                    self.know(next(before));
                    self.seen = None;
                }
                Err(CommandError::Unwritten)
            }
        }
    }
}
