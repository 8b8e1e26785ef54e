//! A hash that is the same in every process, on every machine and in every version of the software.
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// SipHash-1-3 with a fixed key over the parts. Each part is prefixed by its length, so that different splits of the
/// same bytes hash differently. It distributes keys evenly; it isn't resistant to deliberate collisions.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}
