//! What a replica wrote down: records with checksums, one after the other.
//!
//! ```text
//! record = length:4 crc:4 (of the length and the kind) kind:1 crc:4 (of the body), then so many bytes
//! ```
//!
//! A record that stops short at the end is a crash's torn tail: it was never synced, so nobody was told of it, and it is
//! cut off. Whatever else does not check out was synced once and is damage: the replica must not vote on what is left.
use protobuf::Message;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};

const HEAD: usize = 13;

/// What a replica knows when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// Its last term, vote and commit.
    pub hard: HardState,
    /// The last snapshot; its index is 0 where there is none.
    pub snapshot: Snapshot,
    /// Entries behind the snapshot.
    pub entries: Vec<Entry>,
    /// The node that began it; 0 where nothing stands.
    pub node: u64,
    /// Members as of the snapshot, or as of the beginning.
    pub members: ConfState,
    /// Bytes that check out; what comes behind is a torn tail.
    pub sound: usize,
}

/// A record in the midst of the journal, or one that is whole, does not check out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the journal is damaged at byte {at}")]
pub struct Damaged {
    /// Where the record begins.
    pub at: usize,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Hard = 1,
    Entry = 2,
    Snapshot = 3,
    Begun = 4,
}

fn plain(message: &impl Message) -> Vec<u8> {
    message.write_to_bytes().expect("no required field is left out")
}

fn record(kind: Kind, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).expect("far below 4 GB").to_be_bytes();
    let head = crc32fast::hash(&[&length[..], &[kind as u8]].concat()).to_be_bytes();
    let check = crc32fast::hash(body).to_be_bytes();
    [&length[..], &head, &[kind as u8], &check, body].concat()
}

/// A record of the term, the vote and the commit.
pub fn hard(state: &HardState) -> Vec<u8> {
    record(Kind::Hard, &plain(state))
}

/// Records of entries; those behind the first one's index that were written before are void.
pub fn entries(entries: &[Entry]) -> Vec<u8> {
    entries.iter().flat_map(|entry| record(Kind::Entry, &plain(entry))).collect()
}

/// A record of a snapshot; all entries up to it are void.
pub fn snapshot(snapshot: &Snapshot) -> Vec<u8> {
    record(Kind::Snapshot, &plain(snapshot))
}

/// The first record: whose journal this is, and who voted when it was begun.
pub fn begun(node: u64, members: &ConfState) -> Vec<u8> {
    record(Kind::Begun, &[&node.to_be_bytes()[..], &plain(members)].concat())
}

impl Recovered {
    /// Reads a journal.
    ///
    /// # Errors
    /// [`Damaged`] where anything but a torn tail does not check out.
    pub fn read(bytes: &[u8]) -> Result<Self, Damaged> {
        let mut all = Recovered::default();
        while let Some(head) = bytes[all.sound..].first_chunk::<HEAD>() {
            let at = all.sound;
            let word = |from: usize| {
                u32::from_be_bytes([head[from], head[from + 1], head[from + 2], head[from + 3]])
            };
            if crc32fast::hash(&[&head[..4], &head[8..9]].concat()) != word(4) {
                return Err(Damaged { at });
            }
            let Some(body) = bytes[at + HEAD..].get(..word(0) as usize) else { break };
            if crc32fast::hash(body) != word(9) {
                return Err(Damaged { at });
            }
            all.fold(head[8], body).ok_or(Damaged { at })?;
            all.sound = at + HEAD + body.len();
        }
        Ok(all)
    }

    fn fold(&mut self, kind: u8, body: &[u8]) -> Option<()> {
        match kind {
            kind if kind == Kind::Hard as u8 => self.hard = HardState::parse_from_bytes(body).ok()?,
            kind if kind == Kind::Begun as u8 => {
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
                // A gap is no journal of ours.
                (entry.index == last + 1).then(|| self.entries.push(entry))?;
            }
            _ => return None,
        }
        Some(())
    }
}

#[cfg(test)]
mod tests;
