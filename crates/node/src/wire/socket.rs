//! A stream socket whose reader and writers share one descriptor.
//!
//! A descriptor's registration with the event loop holds one waiting coroutine, so two coroutines may not wait on
//! the same descriptor. Only the reader waits for events. A writer writes what the kernel accepts at once, and
//! retries after a pause when the send buffer is full. A second descriptor for the writer would avoid the pauses,
//! but clients that read slowly could then exhaust the descriptors of the process.
//!
//! Reading available bytes never suspends a task, so every reader takes turns with all others: see
//! [`turns`](crate::event_loop).
mod arrival;

use crate::core::{lock, monotonic_ms, process_stalls};
use crate::event_loop::{InputKind, Turn, TurnStart};
use crate::timers;
use arrival::ArrivalBound;
use corkbay::Ms;
use may::io::CoIo;
use may::net::TcpStream;
use may::sync::Mutex;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{self, Shutdown, SocketAddr};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// First pause of a writer whose send buffer is full; each further pause is twice as long.
const MIN_WRITE_PAUSE: Duration = Duration::from_millis(1);
/// Upper limit of the pauses of a writer.
const MAX_WRITE_PAUSE: Duration = Duration::from_millis(16);
/// Pause of a reader after a signal interrupted its wait.
const INTERRUPTED_READ_PAUSE: Duration = Duration::from_millis(1);

/// A stream that was accepted by another part of the program or by another process. Other descriptors of the same
/// connection may be open, so closing this one does not end its registration with the event loop: the registration
/// has to be removed before the descriptor is closed.
struct AdoptedStream(Option<CoIo<net::TcpStream>>);

impl AdoptedStream {
    fn new(stream: net::TcpStream) -> io::Result<Self> {
        Ok(AdoptedStream(Some(CoIo::new(stream)?)))
    }

    fn get(&self) -> &CoIo<net::TcpStream> {
        self.0.as_ref().expect("set until the value is dropped")
    }
}

impl Drop for AdoptedStream {
    fn drop(&mut self) {
        drop(self.0.take().map(CoIo::into_inner));
    }
}

/// A stream on which coroutines can wait.
enum Stream {
    /// Accepted or connected through `may`.
    Own(TcpStream),
    /// Created elsewhere and registered here.
    Adopted(AdoptedStream),
}

impl Stream {
    fn inner(&self) -> &net::TcpStream {
        match self {
            Stream::Own(stream) => stream.inner(),
            Stream::Adopted(stream) => stream.get().inner(),
        }
    }

    /// Waits until data can be read, for `within` at most.
    fn wait(&self, within: Duration) -> io::Result<()> {
        let (within, byte) = (Some(timers::timer_duration(within)), &mut [0; 1]);
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

/// A connected socket. Only one task may read at a time; any task may write.
pub struct Socket {
    stream: Stream,
    /// Held while a message is written, so that messages do not interleave.
    write_lock: Mutex<()>,
    /// Whether the reader is waiting, which means that it has processed all that it read.
    reader_waits: AtomicBool,
    /// The turns of the reader.
    turn: Turn,
    arrival: Mutex<ArrivalBound>,
    /// Called each time the reader starts to wait.
    on_reader_waits: Option<Box<dyn Fn() + Send + Sync>>,
    /// Time without progress after which a write fails.
    stall: Duration,
}

impl Socket {
    /// Wraps an accepted stream. A write that makes no progress for `stall` closes the connection.
    pub fn accepted(stream: TcpStream, stall: Duration) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self::of(Stream::Own(stream), InputKind::Newcomer, stall))
    }

    /// Wraps a stream that was created elsewhere, such as one that another process handed over.
    pub fn adopt(stream: net::TcpStream, stall: Duration) -> io::Result<Self> {
        Ok(Self::of(Stream::Adopted(AdoptedStream::new(stream)?), InputKind::Downstream, stall))
    }

    fn of(stream: Stream, kind: InputKind, stall: Duration) -> Self {
        Socket {
            stream,
            write_lock: Mutex::new(()),
            reader_waits: AtomicBool::new(false),
            turn: Turn::new(kind),
            arrival: Mutex::new(ArrivalBound::new(monotonic_ms())),
            on_reader_waits: None,
            stall,
        }
    }

    /// Sets a function that is called each time the reader has read all received bytes and starts to wait.
    pub fn on_reader_waits(mut self, callback: impl Fn() + Send + Sync + 'static) -> Self {
        self.on_reader_waits = Some(Box::new(callback));
        self
    }

    /// Whether the peer has closed its writing side, even if bytes that it sent before are still unread.
    pub fn is_closed_by_peer(&self) -> bool {
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let mut poll_fds = [PollFd::new(self.stream.inner(), PollFlags::RDHUP)];
        poll(&mut poll_fds, Some(&at_once)).is_ok_and(|ready| ready > 0)
    }

    /// Whether received bytes wait to be read.
    pub fn has_unread(&self) -> bool {
        retry_interrupted(|| self.stream.inner().peek(&mut [0; 1])).is_ok_and(|size| size > 0)
    }

    /// Whether received bytes wait to be read, or the reader is processing what it read.
    pub fn has_pending_input(&self) -> bool {
        // The order matters: a reader that takes the bytes between the two checks has cleared `reader_waits` before.
        self.has_unread() || !self.reader_waits.load(Ordering::SeqCst)
    }

    /// A second descriptor of the same connection.
    pub fn duplicate(&self) -> io::Result<OwnedFd> {
        self.stream.inner().try_clone().map(Into::into)
    }

    /// Connects to an address, for `within` at most.
    pub fn connect(address: &SocketAddr, within: Duration, stall: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(address, timers::timer_duration(within))?;
        stream.set_nodelay(true)?;
        Ok(Self::of(Stream::Own(stream), InputKind::Upstream, stall))
    }

    /// Waits for the reader's turn, unless its current one has time left. A reader that handles several messages of one
    /// read calls it before each.
    pub fn take_turn(&self) -> TurnStart {
        self.turn.take()
    }

    /// Shortens the reader's turn for work of this length that its input leaves to other tasks.
    pub fn charge_turn(&self, work: Duration) {
        self.turn.charge(work);
    }

    /// The bytes of the last read arrived no earlier than this, on the monotonic clock in milliseconds.
    pub fn last_read_arrival(&self) -> Ms {
        lock(&self.arrival).last_read()
    }

    /// Reads received bytes in the reader's turn, or waits for some; [`ErrorKind::TimedOut`] when none arrive within the
    /// given time.
    pub fn read(&self, buffer: &mut [u8], within: Duration) -> io::Result<usize> {
        let end = Instant::now() + within;
        loop {
            self.take_turn();
            match self.read_available(buffer) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.reader_waits.store(true, Ordering::SeqCst);
                    if let Some(callback) = &self.on_reader_waits {
                        callback();
                    }
                    self.turn.end();
                    let left = end.saturating_duration_since(Instant::now());
                    let waited = self.stream.wait(left);
                    // A process that was stopped may have slept through the arrival.
                    let earliest = process_stalls().earliest_arrival(monotonic_ms());
                    lock(&self.arrival).note_arrival(earliest);
                    self.reader_waits.store(false, Ordering::SeqCst);
                    match waited {
                        Err(error) if error.kind() == ErrorKind::TimedOut && Instant::now() < end => {}
                        // Bytes that arrived just as the wait timed out are still returned.
                        Err(error) if error.kind() == ErrorKind::TimedOut => {
                            return retry_interrupted(|| self.read_available(buffer)).map_err(
                                |late| match late.kind() {
                                    ErrorKind::WouldBlock => error,
                                    _ => late,
                                },
                            );
                        }
                        // A signal interrupted the wait. The pause lets other coroutines run before the next try.
                        Err(error) if error.kind() == ErrorKind::Interrupted => {
                            timers::sleep(INTERRUPTED_READ_PAUSE)
                        }
                        waited => waited?,
                    }
                }
                end => return end,
            }
        }
    }

    /// Reads what has arrived, without a wait.
    fn read_available(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let stream = self.stream.inner();
        let size = (&mut &*stream).read(buffer)?;
        // A read that leaves space has taken all there was.
        let unread_bytes = || match size < buffer.len() {
            true => 0,
            false => rustix::io::ioctl_fionread(stream).unwrap_or(0),
        };
        lock(&self.arrival).note_read(size, monotonic_ms(), unread_bytes);
        Ok(size)
    }

    /// Writes a whole message; concurrent writers take turns. A failed write closes the connection in both
    /// directions, as the peer would read the next message as the rest of this one.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let _guard = lock(&self.write_lock);
        self.turn.end_newcomer();
        self.write_all(bytes).inspect_err(|_| self.shut(Shutdown::Both))
    }

    fn write_all(&self, mut rest: &[u8]) -> io::Result<()> {
        let (mut last_progress, mut pause) = (Instant::now(), MIN_WRITE_PAUSE);
        while !rest.is_empty() {
            match self.stream.inner().write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(size) => {
                    rest = &rest[size..];
                    (last_progress, pause) = (Instant::now(), MIN_WRITE_PAUSE);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    // The limit applies since the last progress: a slow peer that keeps reading is given time for
                    // the rest.
                    if last_progress.elapsed() >= self.stall {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    timers::sleep(pause);
                    pause = (pause * 2).min(MAX_WRITE_PAUSE);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// The socket as [`Read`] and [`Write`], whose reads wait for `within` at most.
    pub fn with_read_timeout(&self, within: Duration) -> TimedSocket<'_> {
        TimedSocket { socket: self, within }
    }

    /// Shuts the connection down in one direction or both; a task that waits on it is woken.
    pub fn shut(&self, how: Shutdown) {
        // Fails when the peer has closed the connection already.
        let _ = self.stream.inner().shutdown(how);
    }
}

/// Repeats an operation while a signal interrupts it.
fn retry_interrupted<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match operation() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            end => return end,
        }
    }
}

/// A socket as [`Read`] and [`Write`], with a timeout for each read.
pub struct TimedSocket<'a> {
    socket: &'a Socket,
    within: Duration,
}

impl Read for TimedSocket<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.socket.read(buffer, self.within)
    }
}

impl Write for TimedSocket<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.socket.write(bytes).map(|()| bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
