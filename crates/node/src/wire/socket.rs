//! A stream socket whose reader and writers share one descriptor.
//!
//! A coroutine that waits for a socket is parked in the one slot of its registration, so two may not wait
//! on the same descriptor. Here the reader alone waits on it. A writer writes what the kernel takes at
//! once; one that meets a full buffer tries again after a pause. A second descriptor to wait on would save the
//! pauses, but clients that read slowly could then take all descriptors that the program has.
use crate::core::lock;
use crate::timers;
use may::io::CoIo;
use may::net::TcpStream;
use may::sync::Mutex;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{self, Shutdown, SocketAddr};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Pauses of a writer that meets a full buffer; each is twice the one before.
const SHORTEST_PAUSE: Duration = Duration::from_millis(1);
const LONGEST_PAUSE: Duration = Duration::from_millis(16);
/// Pause of a reader that a signal interrupted.
const INTERRUPTED_PAUSE: Duration = Duration::from_millis(1);

/// A stream that was made elsewhere. Other descriptors of it may stand, here or in another process, so that its
/// registration does not end with this one: it has to be taken back before the descriptor is closed.
struct Adopted(Option<CoIo<net::TcpStream>>);

impl Adopted {
    fn new(stream: net::TcpStream) -> io::Result<Self> {
        Ok(Adopted(Some(CoIo::new(stream)?)))
    }

    fn get(&self) -> &CoIo<net::TcpStream> {
        self.0.as_ref().expect("there until it is dropped")
    }
}

impl Drop for Adopted {
    fn drop(&mut self) {
        drop(self.0.take().map(CoIo::into_inner));
    }
}

/// A stream that coroutines can wait for.
enum Stream {
    /// Accepted or connected here.
    Own(TcpStream),
    Adopted(Adopted),
}

impl Stream {
    fn inner(&self) -> &net::TcpStream {
        match self {
            Stream::Own(stream) => stream.inner(),
            Stream::Adopted(stream) => stream.get().inner(),
        }
    }

    /// Waits until there is something to read.
    fn wait(&self, within: Duration) -> io::Result<()> {
        let (within, byte) = (Some(timers::piece(within)), &mut [0; 1]);
        match self {
            Stream::Own(stream) => stream.set_read_timeout(within).and_then(|()| stream.peek(byte)),
            Stream::Adopted(stream) => {
                let stream = stream.get();
                stream.set_read_timeout(within).and_then(|()| stream.peek(byte))
            }
        }
        .map(drop)
    }
}

/// A connected socket. One task at a time reads; any may write.
pub struct Socket {
    stream: Stream,
    writing: Mutex<()>,
    /// Whether the reader waits, so that it has taken nothing that it has not told of yet.
    reader_waits: AtomicBool,
    /// Called each time the reader begins to wait.
    on_reader_waits: Option<Box<dyn Fn() + Send + Sync>>,
    /// How long the other side may take nothing of a message.
    stall: Duration,
}

impl Socket {
    /// Wraps a stream; a message of which nothing is taken for `stall` ends the connection.
    pub fn new(stream: TcpStream, stall: Duration) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self::of(Stream::Own(stream), stall))
    }

    /// Wraps a stream that was made elsewhere.
    pub fn adopt(stream: net::TcpStream, stall: Duration) -> io::Result<Self> {
        Ok(Self::of(Stream::Adopted(Adopted::new(stream)?), stall))
    }

    fn of(stream: Stream, stall: Duration) -> Self {
        let (writing, reader_waits) = (Mutex::new(()), AtomicBool::new(false));
        Socket { stream, writing, reader_waits, on_reader_waits: None, stall }
    }

    /// The same socket, which calls this each time its reader has read all that has come and begins to wait.
    pub fn on_reader_waits(mut self, call: impl Fn() + Send + Sync + 'static) -> Self {
        self.on_reader_waits = Some(Box::new(call));
        self
    }

    /// Whether the other side writes no more, also where what it wrote before was not read yet.
    pub fn is_hung_up(&self) -> bool {
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let mut looked_at = [PollFd::new(self.stream.inner(), PollFlags::RDHUP)];
        poll(&mut looked_at, Some(&at_once)).is_ok_and(|ready| ready > 0)
    }

    /// Whether bytes have come that were not read yet.
    pub fn has_unread(&self) -> bool {
        uninterrupted(|| self.stream.inner().peek(&mut [0; 1])).is_ok_and(|size| size > 0)
    }

    /// Whether bytes have come that were not read yet, or the reader is at work on what it read.
    pub fn has_unused(&self) -> bool {
        // In this order: whoever reads what would have been seen here does not wait from before that on.
        self.has_unread() || !self.reader_waits.load(Ordering::SeqCst)
    }

    /// A second descriptor of the same connection.
    pub fn duplicate(&self) -> io::Result<OwnedFd> {
        self.stream.inner().try_clone().map(Into::into)
    }

    /// Connects within the time given.
    pub fn connect(address: &SocketAddr, within: Duration, stall: Duration) -> io::Result<Self> {
        Socket::new(TcpStream::connect_timeout(address, timers::piece(within))?, stall)
    }

    /// Reads what has come, or waits for it; [`ErrorKind::TimedOut`] where nothing comes in time.
    pub fn read(&self, buffer: &mut [u8], within: Duration) -> io::Result<usize> {
        let end = Instant::now() + within;
        loop {
            match self.stream.inner().read(buffer) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.reader_waits.store(true, Ordering::SeqCst);
                    if let Some(call) = &self.on_reader_waits {
                        call();
                    }
                    let left = end.saturating_duration_since(Instant::now());
                    let waited = self.stream.wait(left);
                    self.reader_waits.store(false, Ordering::SeqCst);
                    match waited {
                        Err(error) if error.kind() == ErrorKind::TimedOut && Instant::now() < end => {}
                        // What came just as the time was up has come.
                        Err(error) if error.kind() == ErrorKind::TimedOut => {
                            return uninterrupted(|| self.stream.inner().read(buffer)).map_err(|late| {
                                match late.kind() {
                                    ErrorKind::WouldBlock => error,
                                    _ => late,
                                }
                            });
                        }
                        // A signal came; nothing is amiss. Others have their turn before the next look.
                        Err(error) if error.kind() == ErrorKind::Interrupted => {
                            timers::sleep(INTERRUPTED_PAUSE)
                        }
                        waited => waited?,
                    }
                }
                end => return end,
            }
        }
    }

    /// Writes a message whole, one after the other. One that can't be written ends the connection, in
    /// both directions: what came after it could not be told from its rest.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let _turn = lock(&self.writing);
        self.write_all(bytes).inspect_err(|_| self.shut(Shutdown::Both))
    }

    fn write_all(&self, mut rest: &[u8]) -> io::Result<()> {
        let (mut moved, mut pause) = (Instant::now(), SHORTEST_PAUSE);
        while !rest.is_empty() {
            match self.stream.inner().write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(size) => {
                    rest = &rest[size..];
                    (moved, pause) = (Instant::now(), SHORTEST_PAUSE);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    // Each wait by itself: whoever takes some of a message is given time for the rest.
                    if moved.elapsed() >= self.stall {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    timers::sleep(pause);
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// The socket as a reader and writer that waits as long at a time.
    pub fn patient(&self, within: Duration) -> Patient<'_> {
        Patient { socket: self, within }
    }

    /// Ends the connection in one direction or both; whoever waits on it goes on.
    pub fn shut(&self, how: Shutdown) {
        // The other side may have ended it before.
        let _ = self.stream.inner().shutdown(how);
    }
}

/// Does something that a signal may interrupt, until none does.
fn uninterrupted<T>(mut task: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match task() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            end => return end,
        }
    }
}

/// A socket as [`Read`] and [`Write`], with a limit for each wait.
pub struct Patient<'a> {
    socket: &'a Socket,
    within: Duration,
}

impl Read for Patient<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.socket.read(buffer, self.within)
    }
}

impl Write for Patient<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.socket.write(bytes).map(|()| bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
