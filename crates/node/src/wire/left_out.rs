//! Log lines on records of other nodes that were left out for want of room.
use crate::core::peer_lines;
use crate::state::store::LeftOut;

/// Logs how many records of a batch were left out, and why the first of them. `source` is where they came from.
pub fn log_left_out(source: &str, left_out: &[LeftOut]) {
    let Some(first) = left_out.first() else { return };
    if peer_lines().take() {
        tracing::warn!(
            records = left_out.len(),
            key = &*first.key,
            version = first.version,
            reason = %first.reason,
            "{source}: records are left out until there is room"
        );
    }
}
