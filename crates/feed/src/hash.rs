//! A hash that is the same in every process, on every machine and in every version.
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// SipHash-1-3 under a fixed key over the parts. Each part is preceded by its length, so that parts don't run into each
/// other. It spreads keys evenly; it isn't meant to withstand somebody who looks for collisions.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}
