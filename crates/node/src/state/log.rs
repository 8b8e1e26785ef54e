//! An append-only log of records, each with its length and a checksum. A write returns after the file is synced.
//!
//! The file is written by a dedicated thread, as coroutines must not block on disk I/O; callers wait on channels of the
//! coroutine library. The memory of queued writes is charged to an account.
use super::record::Record;
use corkbay_ledger::{Account, CapExceeded, Reservation};
use may::sync::mpsc as coroutine_mpsc;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, BufWriter, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{mpsc, Arc};

/// Header of a record: its length and the CRC-32 of its text, both 4 bytes, big-endian.
const HEADER_BYTES: usize = 8;
/// Minimum size of a log to be compacted, in bytes.
const MIN_COMPACTION_BYTES: u64 = 64 << 10;
/// Maximum size of a record that is read, in bytes; far above any that is written.
const MAX_RECORD_BYTES: usize = 1 << 20;

/// Why the log could not write records.
#[derive(Clone, Debug, thiserror::Error)]
pub enum LogError {
    /// An I/O error, or the writer thread has ended.
    #[error("log: {0}")]
    Io(String),
    /// The queued writes would exceed their memory account.
    #[error("log: {0}")]
    Full(#[from] CapExceeded),
}

impl From<io::Error> for LogError {
    fn from(error: io::Error) -> Self {
        LogError::Io(error.to_string())
    }
}

/// A request to the writer thread.
enum Job {
    /// Appends bytes to the log and syncs it.
    Append(Vec<u8>),
    /// Creates a new log file beside the current one.
    Begin,
    /// Writes bytes to the new log file.
    Add(Vec<u8>),
    /// Replaces the current log by the new one.
    Replace,
}

type Waiter = coroutine_mpsc::Sender<Result<(), LogError>>;

/// A handle to the writer thread, which owns the log file.
pub struct Log {
    jobs: mpsc::Sender<(Job, Waiter)>,
    queued: Account,
    size: Arc<AtomicU64>,
    was_truncated: bool,
}

impl Log {
    /// Opens the log in a folder and passes the records that it contains to `each`, oldest first. Bytes after the last
    /// complete record are the torn end of a write that was never acknowledged; they are truncated. Queued writes are
    /// charged to `queued`.
    pub fn open(folder: &Path, queued: Account, mut each: impl FnMut(Record)) -> Result<Self, LogError> {
        fs::create_dir_all(folder)?;
        let path = folder.join("records.log");
        let mut file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(&path)?;
        let complete_bytes = decode(BufReader::new(&file), &mut each)?;
        let size = file.metadata()?.len();
        let was_truncated = complete_bytes < size;
        if was_truncated {
            tracing::warn!(
                bytes = size - complete_bytes,
                "log: what stands behind the last whole record is cut off"
            );
        }
        file.set_len(complete_bytes)?;
        file.seek(SeekFrom::End(0))?;
        file.sync_all()?;
        let (jobs, queue) = mpsc::channel();
        let size = Arc::new(AtomicU64::new(complete_bytes));
        let mut writer = Writer {
            path,
            file,
            size: size.clone(),
            new_log: None,
            has_partial_write: false,
            rename_may_be_lost: false,
        };
        std::thread::Builder::new().name("log".into()).spawn(move || writer.run(&queue))?;
        Ok(Log { jobs, queued, size, was_truncated })
    }

    /// Whether bytes after the last complete record were truncated when the log was opened.
    pub fn was_truncated(&self) -> bool {
        self.was_truncated
    }

    /// Appends records and returns once they are synced to disk.
    pub fn append(&self, records: &[Record]) -> Result<(), LogError> {
        let (bytes, _held) = self.encode(records)?;
        self.wait(Job::Append(bytes))
    }

    /// Whether the log is large enough to be worth compacting, given the size of all live_bytes records in bytes.
    pub fn is_worth_compacting(&self, live_bytes: usize) -> bool {
        let size = self.size.load(Relaxed);
        size >= MIN_COMPACTION_BYTES && size >= 2 * live_bytes as u64
    }

    /// Replaces the contents of the log with the records of these pages. Nothing may be appended during this call.
    pub fn replace(&self, pages: impl Iterator<Item = Vec<Record>>) -> Result<(), LogError> {
        self.wait(Job::Begin)?;
        for page in pages {
            let (bytes, _held) = self.encode(&page)?;
            self.wait(Job::Add(bytes))?;
        }
        self.wait(Job::Replace)
    }

    /// Encodes records; the bytes are charged to the account until the reservation is dropped.
    fn encode(&self, records: &[Record]) -> Result<(Vec<u8>, Reservation), LogError> {
        let size = records.iter().map(Record::size).sum();
        let held = self.queued.reserve(size)?;
        let mut bytes = Vec::with_capacity(size);
        for record in records {
            let start = bytes.len();
            bytes.extend([0; HEADER_BYTES]);
            serde_json::to_writer(&mut bytes, record).map_err(|error| LogError::Io(error.to_string()))?;
            let text = &bytes[start + HEADER_BYTES..];
            let (length, check) = ((text.len() as u32).to_be_bytes(), crc32fast::hash(text).to_be_bytes());
            bytes[start..start + 4].copy_from_slice(&length);
            bytes[start + 4..start + HEADER_BYTES].copy_from_slice(&check);
        }
        Ok((bytes, held))
    }

    fn wait(&self, job: Job) -> Result<(), LogError> {
        let (done, result) = coroutine_mpsc::channel();
        let writer_ended = || LogError::Io("its thread has ended".into());
        self.jobs.send((job, done)).map_err(|_| writer_ended())?;
        result.recv().map_err(|_| writer_ended())?
    }
}

/// Passes the complete records at the start of a log to `each` and returns the offset at which they end. Holds one record
/// in memory at a time.
fn decode(mut log: impl Read, each: &mut impl FnMut(Record)) -> io::Result<u64> {
    let (mut offset, mut text) = (0, Vec::new());
    loop {
        let mut header = [0; HEADER_BYTES];
        if read_full(&mut log, &mut header)? < HEADER_BYTES {
            return Ok(offset);
        }
        let size = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let check = u32::from_be_bytes([header[4], header[5], header[6], header[7]]);
        if size > MAX_RECORD_BYTES {
            return Ok(offset);
        }
        text.resize(size, 0);
        if read_full(&mut log, &mut text)? < size || crc32fast::hash(&text) != check {
            return Ok(offset);
        }
        let Ok(record) = serde_json::from_slice(&text) else { return Ok(offset) };
        each(record);
        offset += (HEADER_BYTES + size) as u64;
    }
}

/// Reads until the buffer is full or the input ends; returns the number of bytes read.
fn read_full(from: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match from.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(size) => filled += size,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}

/// The state of the writer thread.
struct Writer {
    path: PathBuf,
    file: File,
    size: Arc<AtomicU64>,
    /// The new log file during compaction.
    new_log: Option<BufWriter<File>>,
    /// Whether the file may hold part of a failed write after the acknowledged records.
    has_partial_write: bool,
    /// Whether the rename of this file may not be durable yet: after a crash the name could refer to the old log again.
    rename_may_be_lost: bool,
}

impl Writer {
    fn run(&mut self, queue: &mpsc::Receiver<(Job, Waiter)>) {
        while let Ok((job, waiter)) = queue.recv() {
            let result = match job {
                Job::Append(bytes) => self.append(&bytes),
                Job::Begin => self.begin(),
                Job::Add(bytes) => self.add(&bytes),
                Job::Replace => self.replace(),
            };
            let _ = waiter.send(result);
        }
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), LogError> {
        self.recover()?;
        let written = self.file.write_all(bytes).and_then(|()| self.file.sync_data());
        if let Err(error) = written {
            self.has_partial_write = true;
            if let Err(error) = self.recover() {
                tracing::error!(%error, "log: a failed write can't be cut off yet");
            }
            return Err(error.into());
        }
        self.size.fetch_add(bytes.len() as u64, Relaxed);
        Ok(())
    }

    /// Recovers from an earlier failure. Until that succeeds no write may be acknowledged: it would follow the remains of
    /// a failed write, or be in a file whose name is not durable.
    fn recover(&mut self) -> io::Result<()> {
        if self.rename_may_be_lost {
            sync_folder_of(&self.path)?;
            self.rename_may_be_lost = false;
        }
        if self.has_partial_write {
            let size = self.size.load(Relaxed);
            self.file.set_len(size)?;
            self.file.seek(SeekFrom::Start(size))?;
            self.has_partial_write = false;
        }
        Ok(())
    }

    fn begin(&mut self) -> Result<(), LogError> {
        self.new_log = Some(BufWriter::new(File::create(self.path.with_extension("new"))?));
        Ok(())
    }

    fn add(&mut self, bytes: &[u8]) -> Result<(), LogError> {
        let new_log = self.new_log.as_mut().ok_or_else(|| LogError::Io("no new log was begun".into()))?;
        Ok(new_log.write_all(bytes)?)
    }

    /// Syncs the new log to disk and then renames it over the current one.
    fn replace(&mut self) -> Result<(), LogError> {
        let new_log = self.new_log.take().ok_or_else(|| LogError::Io("no new log was begun".into()))?;
        let mut file = new_log.into_inner().map_err(|error| LogError::Io(error.to_string()))?;
        file.sync_all()?;
        let size = file.stream_position()?;
        fs::rename(self.path.with_extension("new"), &self.path)?;
        // The old file has no name any more, even if a later step fails.
        self.size.store(size, Relaxed);
        (self.file, self.has_partial_write, self.rename_may_be_lost) = (file, false, true);
        Ok(self.recover()?)
    }
}

fn sync_folder_of(path: &Path) -> io::Result<()> {
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}

#[cfg(test)]
impl Log {
    /// A log whose writes are not processed until the returned closure is called.
    pub(crate) fn stalled(queued: Account) -> (Self, impl FnOnce()) {
        let (jobs, queue) = mpsc::channel::<(Job, Waiter)>();
        let resume_disk = move || {
            std::thread::spawn(move || queue.iter().for_each(|(_, waiter)| _ = waiter.send(Ok(()))));
        };
        (Log { jobs, queued, size: Arc::default(), was_truncated: false }, resume_disk)
    }
}

#[cfg(test)]
mod tests;
