//! Shared recorder of a soak.
use super::records::{Millis, Records};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// The records of a soak and its clock.
#[derive(Clone)]
pub struct Log {
    started: Instant,
    records: Arc<Mutex<Records>>,
}

impl Log {
    /// Starts the clock; `window` is the deduplication window of the keyed class, in milliseconds.
    pub fn new(window: Millis) -> Self {
        let records = Records { window, ..Records::default() };
        Log { started: Instant::now(), records: Arc::new(Mutex::new(records)) }
    }

    /// Milliseconds since the start of the soak.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Milliseconds from the start of the soak to a point in time.
    pub fn time_of(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.started).as_secs_f64() * 1000.0
    }

    /// Locks the records.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Returns a pseudo-random number in [0, 1) determined by the two arguments (SplitMix64 finalizer).
pub fn draw(seed: u64, number: u64) -> f64 {
    let mut mixed = seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
