//! The operators' word as it passes from process to process: one record with a version and a check.
use crate::{Bans, Stay};
use serde::{Deserialize, Serialize};

/// First word of the record, with the version of its form.
const HEAD: &str = "corkbay-word-1";
/// Largest record that is read, in bytes: some thousands of hosts.
pub const MOST: usize = 1 << 20;

/// What operators have asked for and not taken back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Word {
    /// Grows with each change.
    pub version: u64,
    /// No clients are wanted.
    pub drained: bool,
    /// Who is held out.
    pub bans: Bans,
}

/// Why bytes are no word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadWord {
    /// It is empty, cut short, or of another form.
    #[error("no record of a form that is read here")]
    Form,
    /// The check does not fit.
    #[error("the check does not fit")]
    Check,
}

#[derive(Serialize, Deserialize)]
struct Text {
    version: u64,
    drained: bool,
    hosts: Vec<Host>,
}

#[derive(Serialize, Deserialize)]
struct Host {
    name: String,
    out: bool,
    since_ms: f64,
}

impl Word {
    /// Its bytes: the head, the check in hex, a line end, and the record as JSON.
    pub fn encode(&self) -> Vec<u8> {
        let hosts = self.bans.stays().map(|(name, stay)| match stay {
            Stay::Out(since_ms) => Host { name: name.to_string(), out: true, since_ms },
            Stay::Back(since_ms) => Host { name: name.to_string(), out: false, since_ms },
        });
        let text = Text { version: self.version, drained: self.drained, hosts: hosts.collect() };
        // Texts, numbers and flags: none of it fails to be written.
        let text = serde_json::to_string(&text).unwrap_or_default();
        format!("{HEAD} {:08x}\n{text}", crc32fast::hash(text.as_bytes())).into_bytes()
    }

    /// Reads it back; what is damaged in any place is told as such.
    pub fn decode(bytes: &[u8]) -> Result<Word, BadWord> {
        let text = std::str::from_utf8(bytes).map_err(|_| BadWord::Form)?;
        let (head, text) = text.split_once('\n').ok_or(BadWord::Form)?;
        let check = head.strip_prefix(HEAD).and_then(|rest| rest.strip_prefix(' ')).ok_or(BadWord::Form)?;
        if check != format!("{:08x}", crc32fast::hash(text.as_bytes())) {
            return Err(BadWord::Check);
        }
        let text: Text = serde_json::from_str(text).map_err(|_| BadWord::Form)?;
        let stays = text.hosts.into_iter().map(|host| {
            (host.name, if host.out { Stay::Out(host.since_ms) } else { Stay::Back(host.since_ms) })
        });
        Ok(Word { version: text.version, drained: text.drained, bans: Bans::from_stays(stays) })
    }
}

/// What to do about the record that stands, as seen by a process that knows a word.
#[derive(Clone, Debug, PartialEq)]
pub enum Look {
    /// It says what is known.
    Same,
    /// It is newer: take it over.
    Newer(Word),
    /// It is damaged, gone or older than what is known: write it again, so that nobody misses what it said.
    Restore,
    /// It can't be read, and nothing better is known here: wait for whoever knows.
    Wait,
}

/// Judges the record that stands (`None` where there is none) against the word that is known, if any is.
pub fn look(stands: Option<Result<Word, BadWord>>, known: Option<&Word>) -> Look {
    match (stands, known) {
        (Some(Ok(word)), Some(known)) if word.version == known.version => Look::Same,
        (Some(Ok(word)), Some(known)) if word.version < known.version => Look::Restore,
        (Some(Ok(word)), _) => Look::Newer(word),
        (None, Some(known)) if known.version == 0 => Look::Same,
        (None | Some(Err(_)), Some(_)) => Look::Restore,
        (None, None) => Look::Newer(Word::default()),
        (Some(Err(_)), None) => Look::Wait,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn word() -> impl Strategy<Value = Word> {
        let stay = prop_oneof![
            (0..1u64 << 42).prop_map(|since| Stay::Out(since as f64 / 4.0)),
            (0..1u64 << 42).prop_map(|since| Stay::Back(since as f64 / 4.0)),
        ];
        let stays = proptest::collection::btree_map(".{0,12}", stay, 0..8);
        (any::<u64>(), any::<bool>(), stays).prop_map(|(version, drained, stays)| Word {
            version,
            drained,
            bans: Bans::from_stays(stays),
        })
    }

    proptest! {
        /// Guards what is handed over: it is read back as it was, and no damage or cut passes for a word.
        #[test]
        fn a_word_is_read_back_and_damage_is_seen(word in word(), at in any::<usize>(), flip in 1u8..255) {
            let bytes = word.encode();
            prop_assert_eq!(Word::decode(&bytes), Ok(word));
            let mut damaged = bytes.clone();
            damaged[at % bytes.len()] ^= flip;
            prop_assert!(Word::decode(&damaged).is_err());
            prop_assert!(Word::decode(&bytes[..at % bytes.len()]).is_err());
        }

        /// Guards the rule on maintenance over failures: whatever becomes of the record, a process that knows of a ban
        /// gives it up only for a newer word.
        #[test]
        fn nothing_is_lifted_by_a_failure(known in word(), stands in word(), kind in 0..3) {
            let record = match kind {
                0 => None,
                1 => Some(Err(BadWord::Check)),
                _ => Some(Ok(stands.clone())),
            };
            match look(record, Some(&known)) {
                Look::Newer(word) => {
                    prop_assert_eq!(kind, 2);
                    prop_assert!(word.version > known.version);
                }
                Look::Same => prop_assert!(kind == 2 && stands.version == known.version || known.version == 0),
                Look::Restore => {}
                Look::Wait => prop_assert!(false, "it knows"),
            }
        }
    }

    #[test]
    fn who_knows_nothing_waits_for_a_damaged_record_and_begins_without_one() {
        assert_eq!(look(Some(Err(BadWord::Form)), None), Look::Wait);
        assert_eq!(look(None, None), Look::Newer(Word::default()));
        let word = Word { version: 3, drained: true, bans: Bans::default() };
        assert_eq!(look(Some(Ok(word.clone())), None), Look::Newer(word));
    }
}
