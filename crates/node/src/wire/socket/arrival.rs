//! When the bytes that are read from a socket can have arrived.
//!
//! While a reader waits for its turn, input stands unread in the kernel, which keeps no times. A checkpoint notes how many
//! bytes have arrived by a point in time: what is read beyond them arrived later.
use corkbay::Ms;

/// Bounds the arrival of unread bytes from below. Times are on the monotonic clock in milliseconds.
#[derive(Debug)]
pub(super) struct ArrivalBound {
    /// Number of bytes read so far.
    read_bytes: u64,
    /// Number of bytes that had arrived at the checkpoint, including those read before.
    checkpoint_bytes: u64,
    checkpoint_at: Ms,
    /// The bytes of the last read arrived no earlier.
    last_read: Ms,
    /// The unread bytes arrived no earlier.
    unread: Ms,
}

impl ArrivalBound {
    /// Nothing was read; unread bytes arrived at `now` or later.
    pub fn new(now: Ms) -> Self {
        ArrivalBound { read_bytes: 0, checkpoint_bytes: 0, checkpoint_at: now, last_read: now, unread: now }
    }

    /// Bytes have arrived at `now`; there were none before.
    pub fn note_arrival(&mut self, now: Ms) {
        self.checkpoint_bytes = self.read_bytes;
        (self.checkpoint_at, self.unread) = (now, now);
    }

    /// Bytes were read at `now`. `unread_bytes` tells how many are left, and is called only where that matters.
    pub fn note_read(&mut self, bytes: usize, now: Ms, unread_bytes: impl FnOnce() -> u64) {
        self.last_read = self.unread;
        self.read_bytes += bytes as u64;
        if self.read_bytes >= self.checkpoint_bytes {
            self.unread = self.checkpoint_at;
            self.checkpoint_at = now;
            self.checkpoint_bytes = self.read_bytes + unread_bytes();
            if self.checkpoint_bytes == self.read_bytes {
                self.unread = now;
            }
        }
    }

    /// The bytes of the last read arrived no earlier.
    pub fn last_read(&self) -> Ms {
        self.last_read
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_of_a_backlog_arrived_between_two_checkpoints() {
        let mut bound = ArrivalBound::new(0.0);
        bound.note_arrival(100.0);
        bound.note_read(10, 100.0, || 90);
        assert_eq!(bound.last_read(), 100.0, "read when they arrived");
        bound.note_read(60, 300.0, || unreachable!("the checkpoint is not reached"));
        assert_eq!(bound.last_read(), 100.0, "they may have arrived just after the first read");
        bound.note_read(60, 500.0, || 200);
        assert_eq!(bound.last_read(), 100.0, "some of them may");
        bound.note_read(60, 700.0, || unreachable!("the checkpoint is not reached"));
        assert_eq!(bound.last_read(), 100.0, "the checkpoint at 100 was passed, not the one at 500");
        bound.note_read(140, 900.0, || 0);
        assert_eq!(bound.last_read(), 100.0);
        bound.note_read(5, 1200.0, || 0);
        assert_eq!(bound.last_read(), 900.0, "nothing was unread then");
    }
}
