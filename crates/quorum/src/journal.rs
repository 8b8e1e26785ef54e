//! On-disk format of a replica's state: a sequence of checksummed records.
//!
//! ```text
//! record = length:4 crc:4 (of length and kind) kind:1 crc:4 (of the body), then `length` bytes of body
//! ```
//!
//! An incomplete record at the end is a torn write left by a crash. It was never synced, so nothing that
//! depends on it was sent, and it is truncated. Any other mismatch is corruption of data that was synced once:
//! the replica must not vote based on what remains.
use protobuf::Message;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};

const HEADER_BYTES: usize = 13;

/// State recovered from the journal when a replica starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The last term, vote and commit index.
    pub hard_state: HardState,
    /// The last snapshot; its index is 0 if there is none.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The node that created the journal; 0 if the journal is empty.
    pub node: u64,
    /// Members as of the snapshot, or as of the creation of the journal if there is none.
    pub members: ConfState,
    /// Length in bytes of the valid prefix; anything after it is a torn write.
    pub valid_bytes: usize,
}

/// A complete record, or the header of any record, fails its checksum or cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("journal is corrupt at byte {offset}")]
pub struct CorruptJournal {
    /// Byte offset of the record.
    pub offset: usize,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    HardState = 1,
    Entry = 2,
    Snapshot = 3,
    Identity = 4,
}

fn encode(message: &impl Message) -> Vec<u8> {
    message.write_to_bytes().expect("all required fields are set")
}

fn encode_record(kind: Kind, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).expect("a record body is far below 4 GB").to_be_bytes();
    let header = crc32fast::hash(&[&length[..], &[kind as u8]].concat()).to_be_bytes();
    let check = crc32fast::hash(body).to_be_bytes();
    [&length[..], &header, &[kind as u8], &check, body].concat()
}

/// Encodes a record with the term, the vote and the commit index.
pub fn hard_state_record(state: &HardState) -> Vec<u8> {
    encode_record(Kind::HardState, &encode(state))
}

/// Encodes one record per entry; an entry invalidates earlier ones with the same or a higher index.
pub fn entry_records(entries: &[Entry]) -> Vec<u8> {
    entries.iter().flat_map(|entry| encode_record(Kind::Entry, &encode(entry))).collect()
}

/// Encodes a snapshot record, which invalidates all entries up to its index.
pub fn snapshot_record(snapshot: &Snapshot) -> Vec<u8> {
    encode_record(Kind::Snapshot, &encode(snapshot))
}

/// Encodes the first record of a journal: the node that owns it, and the initial voters.
pub fn identity_record(node: u64, members: &ConfState) -> Vec<u8> {
    encode_record(Kind::Identity, &[&node.to_be_bytes()[..], &encode(members)].concat())
}

impl Recovered {
    /// Decodes a journal.
    ///
    /// # Errors
    /// [`CorruptJournal`] if anything but a torn write at the end is invalid.
    pub fn read(bytes: &[u8]) -> Result<Self, CorruptJournal> {
        let mut recovered = Recovered::default();
        while let Some(header) = bytes[recovered.valid_bytes..].first_chunk::<HEADER_BYTES>() {
            let offset = recovered.valid_bytes;
            let read_u32 = |from: usize| {
                u32::from_be_bytes([header[from], header[from + 1], header[from + 2], header[from + 3]])
            };
            if crc32fast::hash(&[&header[..4], &header[8..9]].concat()) != read_u32(4) {
                return Err(CorruptJournal { offset });
            }
            let Some(body) = bytes[offset + HEADER_BYTES..].get(..read_u32(0) as usize) else { break };
            if crc32fast::hash(body) != read_u32(9) {
                return Err(CorruptJournal { offset });
            }
            recovered.apply_record(header[8], body).ok_or(CorruptJournal { offset })?;
            recovered.valid_bytes = offset + HEADER_BYTES + body.len();
        }
        Ok(recovered)
    }

    fn apply_record(&mut self, kind: u8, body: &[u8]) -> Option<()> {
        match kind {
            kind if kind == Kind::HardState as u8 => {
                self.hard_state = HardState::parse_from_bytes(body).ok()?
            }
            kind if kind == Kind::Identity as u8 => {
                let (node, members) = body.split_first_chunk()?;
                self.node = u64::from_be_bytes(*node);
                self.members = ConfState::parse_from_bytes(members).ok()?;
            }
            kind if kind == Kind::Snapshot as u8 => {
                self.snapshot = Snapshot::parse_from_bytes(body).ok()?;
                let index = self.snapshot.get_metadata().index;
                self.members = self.snapshot.get_metadata().get_conf_state().clone();
                self.entries.retain(|entry| entry.index > index);
            }
            kind if kind == Kind::Entry as u8 => {
                let entry = Entry::parse_from_bytes(body).ok()?;
                self.entries.retain(|old| old.index < entry.index);
                let last = self.entries.last().map_or(self.snapshot.get_metadata().index, |last| last.index);
                // Entries must be contiguous; a gap means corruption.
                (entry.index == last + 1).then(|| self.entries.push(entry))?;
            }
            _ => return None,
        }
        Some(())
    }
}

#[cfg(test)]
mod tests;
