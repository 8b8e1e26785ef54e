//! A wait that only the kernel can end: it returns after the event loop has polled all sockets.
//!
//! A yield or a timer of the coroutine library is no such wait: both put the task into the run queue, which the library
//! empties before it polls.
use may::io::{CoIo, WaitIo};
use rustix::event::{eventfd, EventfdFlags};
use std::io;
use std::os::fd::OwnedFd;

/// Added to the counter of the event descriptor by each trigger.
const INCREMENT: u64 = 1;

/// An event descriptor on which one task waits.
pub struct PollSignal(CoIo<OwnedFd>);

impl PollSignal {
    /// Creates the descriptor and registers it with the event loop.
    pub fn new() -> io::Result<Self> {
        let descriptor = eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC)?;
        Ok(PollSignal(CoIo::new(descriptor)?))
    }

    /// Makes the next poll of the kernel report an event, which ends [`PollSignal::wait`]. Must not be called again
    /// before that.
    pub fn trigger(&self) {
        // Fails only when the counter is at its maximum; each wait resets it.
        let _ = rustix::io::write(self.0.inner(), &INCREMENT.to_ne_bytes());
    }

    /// Waits until a poll has reported the event of a trigger. Must be called by one task at a time.
    pub fn wait(&self) {
        self.0.wait_io();
        // Resets the counter, so that the next trigger is an event again. There is nothing to read after the event that
        // the registration itself causes.
        let _ = rustix::io::read(self.0.inner(), &mut [0; size_of::<u64>()]);
    }
}
