//! The files that two processes of one invoker share. The file names are those of earlier versions, as a process of
//! such a version may run at the same time.
//!
//! The overrides are one record, replaced by rename under a lock. Each process holds the lock of one of two slot
//! files as long as it runs, and writes there that it is ready. One thread does all file access: coroutines must not
//! wait for a disk.
use crate::clock::{machine_clock_ahead_ms, monotonic_ms, UnixTime};
use corkbay_duty::{Clocks, Overrides, RecordError, SlotState, Succession, MAX_RECORD_BYTES};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The record of the overrides.
const OVERRIDES_FILE: &str = "word";
/// Where a damaged record is moved.
const DAMAGED_FILE: &str = "word.damaged";
/// The file whose lock guards the record.
const LOCK_FILE: &str = "lock";
/// The name of a slot file without its number.
const SLOT_FILE_PREFIX: &str = "seat-";
/// Maximum wait for the lock on the record, or on a slot, which the other process locks briefly to check it.
const MAX_LOCK_WAIT: Duration = Duration::from_millis(500);
/// Pause between two attempts to take a lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The content of a slot file once its process is ready.
const READY: &[u8] = b"ready\n";

/// File metadata that changes whenever the record is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordMetadata {
    inode: u64,
    /// Modification time, in seconds and nanoseconds.
    modified: (i64, i64),
    bytes: u64,
}

/// The shared files of one invoker, with the slot that this process holds.
pub struct SharedFiles {
    folder: PathBuf,
    pub(super) number: usize,
    slot: File,
    other: File,
    pub(super) succession: Succession,
}

/// The slot of this process in the shared folder of its invoker.
pub struct ProcessSlot {
    /// The shared folder.
    pub folder: PathBuf,
    /// The number of this process's slot, 0 or 1.
    pub number: usize,
}

impl ProcessSlot {
    /// The number of the other process's slot.
    pub fn other_number(&self) -> usize {
        1 - self.number
    }
}

impl SharedFiles {
    /// Takes a slot in the folder, which is created if missing. Fails with [`io::ErrorKind::WouldBlock`] if both
    /// slots are taken.
    pub fn join(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let open = |number: usize| {
            let path = folder.join(format!("{SLOT_FILE_PREFIX}{number}"));
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
        };
        let slots = [open(0)?, open(1)?];
        let number = lock_first_free(&slots)?.ok_or(io::ErrorKind::WouldBlock)?;
        let [first, second] = slots;
        let (mut slot, other) = if number == 0 { (first, second) } else { (second, first) };
        write_slot(&mut slot, b"")?;
        let (folder, succession) = (folder.to_path_buf(), Succession::default());
        let mut files = SharedFiles { folder, number, slot, other, succession };
        files.succession = Succession::new(files.check_other_slot());
        Ok(files)
    }

    /// The slot of this process.
    pub fn slot(&self) -> ProcessSlot {
        ProcessSlot { folder: self.folder.clone(), number: self.number }
    }

    /// The number of processes that share the invoker's limits.
    pub fn parts(&self) -> usize {
        self.succession.parts()
    }

    /// The state of the other process's slot.
    pub(super) fn check_other_slot(&mut self) -> SlotState {
        match self.other.try_lock_shared() {
            // No process holds the slot. The lock taken for this check must be released.
            Ok(()) => {
                let _ = self.other.unlock();
                SlotState::Empty
            }
            Err(_) => {
                let mut text = Vec::new();
                let read = self.other.rewind().and_then(|()| (&self.other).take(64).read_to_end(&mut text));
                SlotState::Taken { ready: read.is_ok() && text == READY }
            }
        }
    }

    /// Reads the record; none if there is no file.
    pub(super) fn read(&self) -> Option<Result<Overrides, RecordError>> {
        let file = match File::open(self.folder.join(OVERRIDES_FILE)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(_) => return Some(Err(RecordError::Form)),
            Ok(file) => file,
        };
        let mut bytes = Vec::new();
        match file.take(MAX_RECORD_BYTES as u64).read_to_end(&mut bytes) {
            Ok(_) => Some(Overrides::decode(&bytes, shared_clocks())),
            Err(_) => Some(Err(RecordError::Form)),
        }
    }

    /// The metadata of the current record; none if there is no file.
    pub(super) fn metadata(&self) -> Option<RecordMetadata> {
        let metadata = std::fs::metadata(self.folder.join(OVERRIDES_FILE)).ok()?;
        Some(RecordMetadata {
            inode: metadata.ino(),
            modified: (metadata.mtime(), metadata.mtime_nsec()),
            bytes: metadata.len(),
        })
    }

    /// Writes to the slot that this process is ready.
    pub(super) fn announce_ready(&mut self) -> io::Result<()> {
        write_slot(&mut self.slot, READY)
    }

    /// Moves a damaged record to another name.
    pub(super) fn move_damaged(&self) -> io::Result<()> {
        std::fs::rename(self.folder.join(OVERRIDES_FILE), self.folder.join(DAMAGED_FILE))
    }

    /// Runs a task under the lock on the record.
    pub(super) fn with_lock<T>(&self, task: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        let path = self.folder.join(LOCK_FILE);
        let lock = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
        lock_first_free(std::slice::from_ref(&lock))?.ok_or(io::ErrorKind::TimedOut)?;
        task()
    }

    /// Replaces the record.
    pub(super) fn write(&self, overrides: &Overrides) -> io::Result<()> {
        let temporary = self.folder.join(format!("{OVERRIDES_FILE}.{}", self.number));
        let mut file = File::create(&temporary)?;
        file.write_all(&overrides.encode(shared_clocks()))?;
        file.sync_data()?;
        std::fs::rename(&temporary, self.folder.join(OVERRIDES_FILE))
    }
}

/// Locks the first free file and returns its index; none if all stay locked for [`MAX_LOCK_WAIT`].
fn lock_first_free(files: &[File]) -> io::Result<Option<usize>> {
    let end = Instant::now() + MAX_LOCK_WAIT;
    loop {
        for (number, file) in files.iter().enumerate() {
            match file.try_lock() {
                Ok(()) => return Ok(Some(number)),
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(error)) => return Err(error),
            }
        }
        if Instant::now() >= end {
            return Ok(None);
        }
        std::thread::sleep(LOCK_RETRY_INTERVAL);
    }
}

/// The clock readings by which two processes convert the times in shared records.
fn shared_clocks() -> Clocks {
    let now = monotonic_ms();
    Clocks { now, machine_ahead: machine_clock_ahead_ms(), wall_ahead: UnixTime::of(now).as_ms() - now }
}

fn write_slot(slot: &mut File, text: &[u8]) -> io::Result<()> {
    slot.set_len(0)?;
    slot.rewind()?;
    slot.write_all(text)
}
