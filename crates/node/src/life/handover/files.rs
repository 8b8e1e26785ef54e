//! The files that two processes of one invoker share. Their names are those of earlier versions, which may run beside this one.
//!
//! The overrides are one record, replaced by rename under a lock. Each process holds one of two slots by a lock for as long
//! as it lives, and notes there that it serves. All files are met on one thread: coroutines must not wait for a disk.
use crate::clock::{machine_clock_ahead_ms, monotonic_ms, UnixTime};
use corkbay_duty::{BadRecord, Clocks, Overrides, Seen, Succession, MOST};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The record of the overrides, where a damaged one is set aside, the lock on it, and the slots before their numbers.
const OVERRIDES_FILE: &str = "word";
const DAMAGED_FILE: &str = "word.damaged";
const LOCK_FILE: &str = "lock";
const SLOT_FILE: &str = "seat-";
/// Longest wait for a slot, which somebody may be looking at, and for the lock on the record.
const LOCK_WAIT: Duration = Duration::from_millis(500);
const LOCK_PAUSE: Duration = Duration::from_millis(5);
/// What a slot says once its process serves.
const READY: &[u8] = b"ready\n";

/// What changes whenever the record is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordMark {
    inode: u64,
    /// Seconds and nanoseconds.
    modified: (i64, i64),
    bytes: u64,
}

/// The files of one invoker, with the slot that this process holds.
pub struct SharedFiles {
    folder: PathBuf,
    pub(super) number: usize,
    slot: File,
    other: File,
    pub(super) succession: Succession,
}

/// The slot of this process in the folder that two processes of one invoker share.
pub struct ProcessSlot {
    /// The folder that they share.
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
    /// Takes a slot in the folder, which is made where there is none. [`io::ErrorKind::WouldBlock`] where both slots
    /// are taken.
    pub fn join(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let open = |number: usize| {
            let path = folder.join(format!("{SLOT_FILE}{number}"));
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
        };
        let slots = [open(0)?, open(1)?];
        let number = lock_first_free(&slots)?.ok_or(io::ErrorKind::WouldBlock)?;
        let [first, second] = slots;
        let (mut slot, other) = if number == 0 { (first, second) } else { (second, first) };
        write_slot(&mut slot, b"")?;
        let (folder, succession) = (folder.to_path_buf(), Succession::default());
        let mut files = SharedFiles { folder, number, slot, other, succession };
        files.succession = Succession::new(files.look_at_other());
        Ok(files)
    }

    /// The slot of this process.
    pub fn slot(&self) -> ProcessSlot {
        ProcessSlot { folder: self.folder.clone(), number: self.number }
    }

    /// Into how many parts the invoker's limits go.
    pub fn parts(&self) -> usize {
        self.succession.parts()
    }

    pub(super) fn look_at_other(&mut self) -> Seen {
        match self.other.try_lock_shared() {
            // Nobody holds it; the look itself must not.
            Ok(()) => {
                let _ = self.other.unlock();
                Seen::Empty
            }
            Err(_) => {
                let mut text = Vec::new();
                let read = self.other.rewind().and_then(|()| (&self.other).take(64).read_to_end(&mut text));
                Seen::Taken { ready: read.is_ok() && text == READY }
            }
        }
    }

    pub(super) fn read(&self) -> Option<Result<Overrides, BadRecord>> {
        let file = match File::open(self.folder.join(OVERRIDES_FILE)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(_) => return Some(Err(BadRecord::Form)),
            Ok(file) => file,
        };
        let mut bytes = Vec::new();
        match file.take(MOST as u64).read_to_end(&mut bytes) {
            Ok(_) => Some(Overrides::decode(&bytes, shared_clocks())),
            Err(_) => Some(Err(BadRecord::Form)),
        }
    }

    /// What changes whenever the record is replaced.
    pub(super) fn mark(&self) -> Option<RecordMark> {
        let data = std::fs::metadata(self.folder.join(OVERRIDES_FILE)).ok()?;
        Some(RecordMark { inode: data.ino(), modified: (data.mtime(), data.mtime_nsec()), bytes: data.len() })
    }

    /// Notes in the slot that this process serves.
    pub(super) fn announce_ready(&mut self) -> io::Result<()> {
        write_slot(&mut self.slot, READY)
    }

    /// Sets a damaged record aside.
    pub(super) fn set_aside(&self) -> io::Result<()> {
        std::fs::rename(self.folder.join(OVERRIDES_FILE), self.folder.join(DAMAGED_FILE))
    }

    /// Runs a task that nobody else runs meanwhile.
    pub(super) fn alone<T>(&self, task: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        let path = self.folder.join(LOCK_FILE);
        let lock = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
        lock_first_free(std::slice::from_ref(&lock))?.ok_or(io::ErrorKind::TimedOut)?;
        task()
    }

    pub(super) fn write(&self, overrides: &Overrides) -> io::Result<()> {
        let fresh = self.folder.join(format!("{OVERRIDES_FILE}.{}", self.number));
        let mut file = File::create(&fresh)?;
        file.write_all(&overrides.encode(shared_clocks()))?;
        file.sync_data()?;
        std::fs::rename(&fresh, self.folder.join(OVERRIDES_FILE))
    }
}

/// Locks the first of the files that is free; tells which, or none where all stay locked for [`LOCK_WAIT`].
fn lock_first_free(files: &[File]) -> io::Result<Option<usize>> {
    let end = Instant::now() + LOCK_WAIT;
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
        std::thread::sleep(LOCK_PAUSE);
    }
}

/// The clocks by which two processes can date what they share.
fn shared_clocks() -> Clocks {
    let now = monotonic_ms();
    Clocks { now, machine_ahead: machine_clock_ahead_ms(), wall_ahead: UnixTime::of(now).as_ms() - now }
}

fn write_slot(slot: &mut File, text: &[u8]) -> io::Result<()> {
    slot.set_len(0)?;
    slot.rewind()?;
    slot.write_all(text)
}
