//! What two processes of one invoker owe each other while both live, through files in a folder that they share.
//!
//! `word` is the operators' word, replaced by rename under the lock on `lock`. `seat-0` and `seat-1` are held by a lock
//! each for as long as their processes live, and say whether they serve. All files are met on one thread: coroutines
//! must not wait for a disk.
use crate::core::Invoker;
use crate::memory::roster::NotHeeded;
use corkbay_duty::{look, BadRecord, Leave, Look, Overrides, Seen, Succession, Terms, MOST};
use may::sync::{mpsc as answers, Mutex};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often the files are looked at: what one process is told binds the other within 2 s.
pub const LOOK: Duration = Duration::from_millis(50);
/// Longest wait for a seat, which somebody may be looking at, and for the lock on the word.
const LOCK_WAIT: Duration = Duration::from_millis(500);
const LOCK_PAUSE: Duration = Duration::from_millis(5);
/// An operator waits 1 s for an answer.
const ANSWER_WAIT: Duration = Duration::from_millis(800);
/// Stack of the thread, in bytes of address space.
const STACK: usize = 256 << 10;
/// What a seat says once its process serves.
const READY: &[u8] = b"ready\n";

/// What operators ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Nothing more to that host.
    Suspend(String),
    /// That host may serve again.
    Resume(String),
    /// No more clients.
    Drain,
    /// Clients again.
    Activate,
}

impl Ask {
    /// Whether it holds something back: that takes effect before it is written, and what lifts something after.
    fn holds(&self) -> bool {
        matches!(self, Ask::Suspend(_) | Ask::Drain)
    }

    fn apply(&self, overrides: &mut Overrides, now: f64) {
        match self {
            Ask::Suspend(name) => _ = overrides.bans.suspend(name, now),
            Ask::Resume(name) => _ = overrides.bans.resume(name, now),
            Ask::Drain => overrides.drained = true,
            Ask::Activate => overrides.drained = false,
        }
    }
}

/// Why what was asked for is not so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unheeded {
    /// No list ever named the host.
    Unknown,
    /// There is no room for one more name.
    NoRoom,
    /// The process is about to end.
    Ending,
    /// It could not be written, or not in time: what is held back is held back here, what was to be lifted is not.
    Unwritten,
}

impl From<NotHeeded> for Unheeded {
    fn from(error: NotHeeded) -> Self {
        match error {
            NotHeeded::Unknown => Unheeded::Unknown,
            NotHeeded::NoRoom => Unheeded::NoRoom,
        }
    }
}

/// The times of a drain. The front asks every 0.1 s and sends connections for 0.2 s more, so after 0.7 s nobody comes
/// who could not know; requests on connections that are still open are taken until what is taken can be 2 s old when
/// 4 s are over.
const DRAIN: Terms = Terms { let_go: 700.0, refuse: 1600.0, gone: Some((4000.0, 2000.0)) };

/// Makes a word hold in this process.
fn obey(invoker: &Arc<Invoker>, overrides: &Overrides) {
    invoker.adopt(overrides.bans.clone());
    match (overrides.drained, invoker.duty().leaving()) {
        (true, None) => invoker.leave(Leave::Drained, DRAIN),
        (false, Some(Leave::Drained)) => _ = invoker.come_back(),
        _ => {}
    }
}

enum Order {
    Heed(Ask, answers::Sender<Result<(), Unheeded>>),
    /// This process serves.
    Serving,
}

/// What the thread that keeps the files tells all others.
struct Told {
    succession: Mutex<Succession>,
    /// The word that stands is known here.
    knows: AtomicBool,
}

/// The operators' word as this process keeps it, alone or beside another.
#[derive(Clone)]
pub struct Keeper {
    invoker: Arc<Invoker>,
    /// To the thread that keeps the files, and what it tells; none where nothing is shared.
    files: Option<(Sender<Order>, Arc<Told>)>,
}

impl Keeper {
    /// Keeps the word in memory alone.
    pub fn alone(invoker: &Arc<Invoker>) -> Self {
        Keeper { invoker: invoker.clone(), files: None }
    }

    /// Keeps it in files, too; `on_company` is told whenever the number of processes changes.
    pub fn beside(
        invoker: &Arc<Invoker>,
        files: Files,
        on_succession: impl Fn(usize) + Send + 'static,
    ) -> io::Result<Self> {
        let (orders, queue) = channel();
        let clerk = Clerk::new(invoker, files);
        let told = clerk.told.clone();
        let thread = std::thread::Builder::new().name("handover".into()).stack_size(STACK);
        thread.spawn(move || clerk.run(&queue, on_succession))?;
        Ok(Keeper { invoker: invoker.clone(), files: Some((orders, told)) })
    }

    /// The processes that serve.
    pub fn succession(&self) -> Succession {
        self.files.as_ref().map_or_else(Succession::default, |(_, told)| *crate::core::lock(&told.succession))
    }

    /// Tells the other process that this one serves.
    pub fn serving(&self) {
        if let Some((orders, _)) = &self.files {
            let _ = orders.send(Order::Serving);
        }
    }

    /// Whether the word that stands is known here: before that a successor must not serve.
    pub fn knows(&self) -> bool {
        self.files.as_ref().is_none_or(|(_, told)| told.knows.load(Ordering::Acquire))
    }

    /// Does what operators ask for.
    pub fn ask(&self, ask: Ask) -> Result<(), Unheeded> {
        let invoker = &self.invoker;
        match &ask {
            Ask::Suspend(name) => invoker.may_suspend(name)?,
            Ask::Resume(name) => invoker.may_resume(name)?,
            Ask::Activate if invoker.duty().leaving() == Some(Leave::Ending) => return Err(Unheeded::Ending),
            Ask::Drain | Ask::Activate => {}
        }
        let Some((orders, _)) = &self.files else {
            let drained = invoker.duty().leaving() == Some(Leave::Drained);
            let mut overrides = Overrides { version: 0, drained, bans: invoker.bans() };
            ask.apply(&mut overrides, crate::core::now_ms());
            obey(invoker, &overrides);
            return Ok(());
        };
        let (sender, answer) = answers::channel();
        let _ = orders.send(Order::Heed(ask, sender));
        answer.recv_timeout(ANSWER_WAIT).unwrap_or(Err(Unheeded::Unwritten))
    }
}

/// The files of one invoker, with a seat that this process holds.
pub struct Files {
    folder: PathBuf,
    number: usize,
    seat: File,
    other: File,
    succession: Succession,
}

/// Where two processes of one invoker meet.
pub struct Meeting {
    /// The folder that they share.
    pub folder: PathBuf,
    /// The seat of this one.
    pub seat: usize,
}

impl Meeting {
    /// The seat of the other one.
    pub fn other(&self) -> usize {
        1 - self.seat
    }
}

impl Files {
    /// Takes a seat in the folder, which is made where there is none. [`io::ErrorKind::WouldBlock`] where both seats
    /// are taken.
    pub fn join(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let open = |number: usize| {
            let path = folder.join(format!("seat-{number}"));
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
        };
        let seats = [open(0)?, open(1)?];
        let number = lock_one(&seats)?.ok_or(io::ErrorKind::WouldBlock)?;
        let [first, second] = seats;
        let (mut seat, other) = if number == 0 { (first, second) } else { (second, first) };
        say(&mut seat, b"")?;
        let (folder, succession) = (folder.to_path_buf(), Succession::default());
        let mut files = Files { folder, number, seat, other, succession };
        files.succession = Succession::new(files.look_at_other());
        Ok(files)
    }

    /// Where the two meet.
    pub fn meeting(&self) -> Meeting {
        Meeting { folder: self.folder.clone(), seat: self.number }
    }

    /// Into how many parts the invoker's limits go.
    pub fn parts(&self) -> usize {
        self.succession.parts()
    }

    fn look_at_other(&mut self) -> Seen {
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

    fn read(&self) -> Option<Result<Overrides, BadRecord>> {
        let file = match File::open(self.folder.join("word")) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(_) => return Some(Err(BadRecord::Form)),
            Ok(file) => file,
        };
        let mut bytes = Vec::new();
        match file.take(MOST as u64).read_to_end(&mut bytes) {
            Ok(_) => Some(Overrides::decode(&bytes)),
            Err(_) => Some(Err(BadRecord::Form)),
        }
    }

    /// What changes whenever the record is replaced.
    fn mark(&self) -> Option<(u64, i64, i64, u64)> {
        let data = std::fs::metadata(self.folder.join("word")).ok()?;
        Some((data.ino(), data.mtime(), data.mtime_nsec(), data.len()))
    }

    /// Runs a task that nobody else runs meanwhile.
    fn alone<T>(&self, task: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        let path = self.folder.join("lock");
        let lock = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
        lock_one(std::slice::from_ref(&lock))?.ok_or(io::ErrorKind::TimedOut)?;
        task()
    }

    fn write(&self, overrides: &Overrides) -> io::Result<()> {
        let fresh = self.folder.join(format!("word.{}", self.number));
        let mut file = File::create(&fresh)?;
        file.write_all(&overrides.encode())?;
        file.sync_data()?;
        std::fs::rename(&fresh, self.folder.join("word"))
    }
}

/// Locks the first of the files that is free; tells which, or none where all stay locked for [`LOCK_WAIT`].
fn lock_one(files: &[File]) -> io::Result<Option<usize>> {
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

fn say(seat: &mut File, text: &[u8]) -> io::Result<()> {
    seat.set_len(0)?;
    seat.rewind()?;
    seat.write_all(text)
}

/// Keeps the files, on a thread of its own.
struct Clerk {
    invoker: Arc<Invoker>,
    files: Files,
    /// The word that holds here; none before the one that stands was read.
    known: Option<Overrides>,
    /// The record that was read last.
    seen: Option<Option<(u64, i64, i64, u64)>>,
    told: Arc<Told>,
    /// The last look met a failure, which is logged once.
    failing: bool,
}

impl Clerk {
    fn new(invoker: &Arc<Invoker>, files: Files) -> Self {
        let told = Told { succession: Mutex::new(files.succession), knows: AtomicBool::new(false) };
        let (invoker, told) = (invoker.clone(), Arc::new(told));
        Clerk { invoker, files, known: None, seen: None, told, failing: false }
    }

    fn run(mut self, queue: &Receiver<Order>, on_succession: impl Fn(usize)) {
        loop {
            self.look_at_other_process(&on_succession);
            if let Err(error) = self.look_at_overrides() {
                if !std::mem::replace(&mut self.failing, true) {
                    tracing::error!(%error, "handover: the operators' word can't be kept in a file");
                }
            } else {
                self.failing = false;
            }
            match queue.recv_timeout(LOOK) {
                Ok(Order::Heed(ask, answer)) => {
                    let end = self.heed(&ask);
                    // Nobody may wait any more.
                    let _ = answer.send(end);
                }
                Ok(Order::Serving) => {
                    if let Err(error) = say(&mut self.files.seat, READY) {
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
            let mut succession = crate::core::lock(&self.told.succession);
            (succession.look(seen), succession.parts())
        };
        if changed {
            tracing::info!(processes = parts, "handover");
            on_succession(parts);
        }
    }

    fn look_at_overrides(&mut self) -> io::Result<()> {
        let mark = self.files.mark();
        if self.seen == Some(mark) && self.known.is_some() {
            return Ok(());
        }
        match look(self.files.read(), self.known.as_ref()) {
            Look::Same => {}
            Look::Newer(overrides) => self.know(overrides),
            Look::Restore => self.restore()?,
            Look::Wait if crate::core::lock(&self.told.succession).other().is_some() => return Ok(()),
            Look::Wait => {
                tracing::error!("handover: the operators' word is damaged and nobody knows what it said");
                self.know(Overrides::default());
                std::fs::rename(self.files.folder.join("word"), self.files.folder.join("word.damaged"))?;
            }
        }
        self.seen = Some(mark);
        Ok(())
    }

    fn know(&mut self, overrides: Overrides) {
        obey(&self.invoker, &overrides);
        self.known = Some(overrides);
        self.told.knows.store(true, Ordering::Release);
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

    fn heed(&mut self, ask: &Ask) -> Result<(), Unheeded> {
        let before = self.known.clone().unwrap_or_default();
        let now = crate::core::now_ms();
        let next = |mut overrides: Overrides| {
            ask.apply(&mut overrides, now);
            overrides.version += 1;
            overrides
        };
        if ask.holds() {
            // At once, whatever becomes of the file.
            obey(&self.invoker, &next(before.clone()));
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
                tracing::error!(%error, ?ask, "handover: not written");
                if ask.holds() {
                    // Newer than what stands: written as soon as that can be done.
                    self.know(next(before));
                    self.seen = None;
                }
                Err(Unheeded::Unwritten)
            }
        }
    }
}

#[cfg(test)]
mod tests;
