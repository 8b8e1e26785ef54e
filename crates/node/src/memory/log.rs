//! An append-only log of records: each with its length and a check, synced before a write returns.
//!
//! A file is written by a thread of its own, as coroutines must not wait for a disk; writers wait for it
//! on the coroutine library's channels. What is on its way there is accounted.
use super::record::Record;
use corkbay_ledger::{Account, Full, Reservation};
use may::sync::mpsc as waits;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, BufWriter, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{mpsc, Arc};

const HEAD: usize = 8;
/// A log is not compacted below this size.
const SMALL: u64 = 64 << 10;
/// Largest record that is read; none that is written comes near it.
const MOST: usize = 1 << 20;

/// Why the log could not keep something.
#[derive(Clone, Debug, thiserror::Error)]
pub enum LogError {
    /// The disk, or the thread that writes to it.
    #[error("log: {0}")]
    Io(String),
    /// More is on its way to the disk than may be.
    #[error("log: {0}")]
    Full(#[from] Full),
}

impl From<io::Error> for LogError {
    fn from(error: io::Error) -> Self {
        LogError::Io(error.to_string())
    }
}

enum Job {
    Append(Vec<u8>),
    /// Begins a new log beside the old one.
    Begin,
    /// More of the new log.
    Add(Vec<u8>),
    /// Puts the new log in the old one's place.
    Replace,
}

type Waiter = waits::Sender<Result<(), LogError>>;

/// A handle on the thread that owns the file.
pub struct Log {
    jobs: mpsc::Sender<(Job, Waiter)>,
    queued: Account,
    size: Arc<AtomicU64>,
}

impl Log {
    /// Opens the log of a folder and hands over the records that it holds, oldest first. What stands behind
    /// the last whole record is the torn end of a write that was never acknowledged, and is cut off. What
    /// is on its way to the disk counts in `queued`.
    pub fn open(folder: &Path, queued: Account, mut each: impl FnMut(Record)) -> Result<Self, LogError> {
        fs::create_dir_all(folder)?;
        let path = folder.join("records.log");
        let mut file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(&path)?;
        let whole = decode(BufReader::new(&file), &mut each)?;
        let size = file.metadata()?.len();
        if whole < size {
            tracing::warn!(bytes = size - whole, "log: what stands behind the last whole record is cut off");
        }
        file.set_len(whole)?;
        file.seek(SeekFrom::End(0))?;
        file.sync_all()?;
        let (jobs, queue) = mpsc::channel();
        let size = Arc::new(AtomicU64::new(whole));
        let mut keeper =
            Keeper { path, file, size: size.clone(), fresh: None, has_tail: false, name_may_be_lost: false };
        std::thread::Builder::new().name("log".into()).spawn(move || keeper.run(&queue))?;
        Ok(Log { jobs, queued, size })
    }

    /// Adds records and returns once they are on the disk.
    pub fn append(&self, records: &[Record]) -> Result<(), LogError> {
        let (bytes, _held) = self.encode(records)?;
        self.wait(Job::Append(bytes))
    }

    /// Whether the log has grown so large that it is worth writing anew for live records of so many bytes.
    pub fn is_worth_replacing(&self, live: usize) -> bool {
        let size = self.size.load(Relaxed);
        size >= SMALL && size >= 2 * live as u64
    }

    /// Puts the records of these pages in place of all. Nobody may append meanwhile.
    pub fn replace(&self, pages: impl Iterator<Item = Vec<Record>>) -> Result<(), LogError> {
        self.wait(Job::Begin)?;
        for page in pages {
            let (bytes, _held) = self.encode(&page)?;
            self.wait(Job::Add(bytes))?;
        }
        self.wait(Job::Replace)
    }

    /// The bytes of records, held until they are written.
    fn encode(&self, records: &[Record]) -> Result<(Vec<u8>, Reservation), LogError> {
        let size = records.iter().map(Record::size).sum();
        let held = self.queued.reserve(size)?;
        let mut bytes = Vec::with_capacity(size);
        for record in records {
            let head = bytes.len();
            bytes.extend([0; HEAD]);
            serde_json::to_writer(&mut bytes, record).map_err(|error| LogError::Io(error.to_string()))?;
            let text = &bytes[head + HEAD..];
            let (length, check) = ((text.len() as u32).to_be_bytes(), crc32fast::hash(text).to_be_bytes());
            bytes[head..head + 4].copy_from_slice(&length);
            bytes[head + 4..head + HEAD].copy_from_slice(&check);
        }
        Ok((bytes, held))
    }

    fn wait(&self, job: Job) -> Result<(), LogError> {
        let (done, end) = waits::channel();
        let gone = || LogError::Io("its thread has ended".into());
        self.jobs.send((job, done)).map_err(|_| gone())?;
        end.recv().map_err(|_| gone())?
    }
}

/// Hands over the whole records at the front of a log; tells where they end. Memory follows one record.
fn decode(mut log: impl Read, each: &mut impl FnMut(Record)) -> io::Result<u64> {
    let (mut at, mut text) = (0, Vec::new());
    loop {
        let mut head = [0; HEAD];
        if read_whole(&mut log, &mut head)? < HEAD {
            return Ok(at);
        }
        let size = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let check = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
        if size > MOST {
            return Ok(at);
        }
        text.resize(size, 0);
        if read_whole(&mut log, &mut text)? < size || crc32fast::hash(&text) != check {
            return Ok(at);
        }
        let Ok(record) = serde_json::from_slice(&text) else { return Ok(at) };
        each(record);
        at += (HEAD + size) as u64;
    }
}

/// Fills the buffer as far as there is anything to read.
fn read_whole(from: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
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

struct Keeper {
    path: PathBuf,
    file: File,
    size: Arc<AtomicU64>,
    /// The new log while one is written.
    fresh: Option<BufWriter<File>>,
    /// Behind what was acknowledged the file may hold the rest of a write that failed.
    has_tail: bool,
    /// A crash may still bring the old log back in this file's place.
    name_may_be_lost: bool,
}

impl Keeper {
    fn run(&mut self, queue: &mpsc::Receiver<(Job, Waiter)>) {
        while let Ok((job, waiter)) = queue.recv() {
            let end = match job {
                Job::Append(bytes) => self.append(&bytes),
                Job::Begin => self.begin(),
                Job::Add(bytes) => self.add(&bytes),
                Job::Replace => self.replace(),
            };
            let _ = waiter.send(end);
        }
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), LogError> {
        self.mend()?;
        let written = self.file.write_all(bytes).and_then(|()| self.file.sync_data());
        if let Err(error) = written {
            self.has_tail = true;
            if let Err(error) = self.mend() {
                tracing::error!(%error, "log: a failed write can't be cut off yet");
            }
            return Err(error.into());
        }
        self.size.fetch_add(bytes.len() as u64, Relaxed);
        Ok(())
    }

    /// Undoes what a failure left. Until that is done nothing may be acknowledged: it would stand behind the rest of a
    /// failed write, or in a file that has no lasting name.
    fn mend(&mut self) -> io::Result<()> {
        if self.name_may_be_lost {
            sync_folder_of(&self.path)?;
            self.name_may_be_lost = false;
        }
        if self.has_tail {
            let size = self.size.load(Relaxed);
            self.file.set_len(size)?;
            self.file.seek(SeekFrom::Start(size))?;
            self.has_tail = false;
        }
        Ok(())
    }

    fn begin(&mut self) -> Result<(), LogError> {
        self.fresh = Some(BufWriter::new(File::create(self.path.with_extension("new"))?));
        Ok(())
    }

    fn add(&mut self, bytes: &[u8]) -> Result<(), LogError> {
        let fresh = self.fresh.as_mut().ok_or_else(|| LogError::Io("no new log was begun".into()))?;
        Ok(fresh.write_all(bytes)?)
    }

    /// The new log is whole on the disk before it takes the old one's name.
    fn replace(&mut self) -> Result<(), LogError> {
        let fresh = self.fresh.take().ok_or_else(|| LogError::Io("no new log was begun".into()))?;
        let mut file = fresh.into_inner().map_err(|error| LogError::Io(error.to_string()))?;
        file.sync_all()?;
        let size = file.stream_position()?;
        fs::rename(self.path.with_extension("new"), &self.path)?;
        // From here on the old file has no name, whatever fails.
        self.size.store(size, Relaxed);
        (self.file, self.has_tail, self.name_may_be_lost) = (file, false, true);
        Ok(self.mend()?)
    }
}

fn sync_folder_of(path: &Path) -> io::Result<()> {
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}

#[cfg(test)]
impl Log {
    /// A log whose disk stands still until the returned closure is called.
    pub(crate) fn held_up(queued: Account) -> (Self, impl FnOnce()) {
        let (jobs, queue) = mpsc::channel::<(Job, Waiter)>();
        let go_on = move || {
            std::thread::spawn(move || queue.iter().for_each(|(_, waiter)| _ = waiter.send(Ok(()))));
        };
        (Log { jobs, queued, size: Arc::default() }, go_on)
    }
}

#[cfg(test)]
mod tests;
