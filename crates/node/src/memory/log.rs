//! An append-only log of records: each with its length and a check, synced before a write returns.
//!
//! A file is written by a thread of its own, as coroutines must not wait for a disk; writers wait for it
//! on the coroutine library's channels.
use super::store::Record;
use may::sync::mpsc as waits;
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc;

const HEAD: usize = 8;
/// A log is not compacted below this size.
const SMALL: u64 = 64 << 10;

/// Why the log could not keep something.
#[derive(Clone, Debug)]
pub struct LogError(String);

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "log: {}", self.0)
    }
}

impl std::error::Error for LogError {}

impl From<io::Error> for LogError {
    fn from(error: io::Error) -> Self {
        LogError(error.to_string())
    }
}

enum Job {
    Append(Vec<u8>),
    /// The live records as they would stand in a new log.
    Compact(Vec<u8>),
}

type Waiter = waits::Sender<Result<(), LogError>>;

/// A handle on the thread that owns the file.
pub struct Log {
    jobs: mpsc::Sender<(Job, Waiter)>,
}

impl Log {
    /// Opens the log of a folder, with the records that it holds. What stands behind the last whole
    /// record is the torn end of a write that was never acknowledged, and is cut off.
    pub fn open(folder: &Path) -> Result<(Self, Vec<Record>), LogError> {
        fs::create_dir_all(folder)?;
        let path = folder.join("records.log");
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(error) => return Err(error.into()),
        };
        let (records, whole) = decode(&bytes);
        if whole < bytes.len() {
            eprintln!("log: {} bytes behind the last whole record are cut off", bytes.len() - whole);
        }
        let mut file = OpenOptions::new().create(true).truncate(false).write(true).open(&path)?;
        file.set_len(whole as u64)?;
        file.seek(SeekFrom::End(0))?;
        file.sync_all()?;
        let (jobs, queue) = mpsc::channel();
        let mut keeper = Keeper { path, file, size: whole as u64 };
        std::thread::Builder::new().name("log".into()).spawn(move || keeper.run(&queue))?;
        Ok((Log { jobs }, records))
    }

    /// Adds records and returns once they are on the disk.
    pub fn append(&self, records: &[Record]) -> Result<(), LogError> {
        self.wait(Job::Append(encode(records)))
    }

    /// Puts these records in place of all, if the log has grown to more than twice their size.
    pub fn compact(&self, live: Vec<Record>) -> Result<(), LogError> {
        self.wait(Job::Compact(encode(&live)))
    }

    fn wait(&self, job: Job) -> Result<(), LogError> {
        let (done, end) = waits::channel();
        let gone = |_| LogError("its thread has ended".into());
        self.jobs.send((job, done)).map_err(|_| LogError("its thread has ended".into()))?;
        end.recv().map_err(gone)?
    }
}

fn encode(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        let text = serde_json::to_vec(record).unwrap_or_default();
        bytes.extend((text.len() as u32).to_be_bytes());
        bytes.extend(crc32fast::hash(&text).to_be_bytes());
        bytes.extend(text);
    }
    bytes
}

/// The whole records at the front of a log, and where they end.
fn decode(bytes: &[u8]) -> (Vec<Record>, usize) {
    let (mut records, mut at) = (Vec::new(), 0);
    while let Some((head, rest)) = bytes[at..].split_first_chunk::<HEAD>() {
        let size = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let check = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
        let Some(text) = rest.get(..size).filter(|text| crc32fast::hash(text) == check) else { break };
        let Ok(record) = serde_json::from_slice(text) else { break };
        records.push(record);
        at += HEAD + size;
    }
    (records, at)
}

struct Keeper {
    path: PathBuf,
    file: File,
    size: u64,
}

impl Keeper {
    fn run(&mut self, queue: &mpsc::Receiver<(Job, Waiter)>) {
        while let Ok((job, waiter)) = queue.recv() {
            let end = match job {
                Job::Append(bytes) => self.append(&bytes),
                Job::Compact(live) => self.compact(&live),
            };
            let _ = waiter.send(end);
        }
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), LogError> {
        let written = self.file.write_all(bytes).and_then(|()| self.file.sync_data());
        if let Err(error) = written {
            // What was half written must not stand before what comes next.
            self.file.set_len(self.size)?;
            self.file.seek(SeekFrom::Start(self.size))?;
            return Err(error.into());
        }
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// The new log is whole on the disk before it takes the old one's name.
    fn compact(&mut self, live: &[u8]) -> Result<(), LogError> {
        if self.size < SMALL || self.size < 2 * live.len() as u64 {
            return Ok(());
        }
        let fresh = self.path.with_extension("new");
        let mut file = File::create(&fresh)?;
        file.write_all(live)?;
        file.sync_all()?;
        fs::rename(&fresh, &self.path)?;
        if let Some(folder) = self.path.parent() {
            File::open(folder)?.sync_all()?;
        }
        (self.file, self.size) = (file, live.len() as u64);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(key: &str, version: u64, filler: usize) -> Record {
        let value = Some("x".repeat(filler).into());
        Record { key: key.into(), is_final: false, version, node: "n".into(), expires: 0.0, value }
    }

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("corkbay-log-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        folder
    }

    /// Guards against a crash in the middle of a write: wherever the file ends, the whole records
    /// before are there and the log goes on behind them.
    #[test]
    fn a_torn_tail_is_cut_off_wherever_it_is_torn() {
        let folder = folder("torn");
        let (two, whole) = (encode(&[record("a", 1, 3)]), encode(&[record("a", 1, 3), record("b", 1, 3)]));
        for end in 0..=whole.len() {
            let _ = fs::remove_dir_all(&folder);
            fs::create_dir_all(&folder).expect("folder");
            fs::write(folder.join("records.log"), &whole[..end]).expect("written");
            let (log, kept) = Log::open(&folder).expect("opens");
            let expected = usize::from(end >= two.len()) + usize::from(end == whole.len());
            assert_eq!(kept.len(), expected, "torn at {end}");
            log.append(&[record("c", 1, 3)]).expect("appends");
            let (_, kept) = Log::open(&folder).expect("opens again");
            assert_eq!(kept.last(), Some(&record("c", 1, 3)));
            assert_eq!(kept.len(), expected + 1);
        }
        let _ = fs::remove_dir_all(&folder);
    }

    #[test]
    fn a_damaged_record_and_what_follows_is_not_taken_in() {
        let mut bytes = encode(&[record("a", 1, 3), record("b", 1, 3)]);
        let (at, last) = (encode(&[record("a", 1, 3)]).len(), bytes.len() - 2);
        bytes[last] ^= 1;
        assert_eq!(decode(&bytes), (vec![record("a", 1, 3)], at));
    }

    #[test]
    fn compaction_keeps_what_stands_and_sheds_the_rest() {
        let folder = folder("compact");
        let (log, _) = Log::open(&folder).expect("opens");
        for version in 1..=200 {
            log.append(&[record("a", version, 1000)]).expect("appends");
        }
        let before = fs::metadata(folder.join("records.log")).expect("there").len();
        log.compact(vec![record("a", 200, 1000)]).expect("compacts");
        log.append(&[record("b", 1, 3)]).expect("appends");
        let after = fs::metadata(folder.join("records.log")).expect("there").len();
        assert!(after < before / 50, "{before} to {after}");
        let (_, kept) = Log::open(&folder).expect("opens again");
        assert_eq!(kept, [record("a", 200, 1000), record("b", 1, 3)]);
        let _ = fs::remove_dir_all(&folder);
    }
}
