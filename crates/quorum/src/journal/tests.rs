use super::*;

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: vec![index as u8; 5].into(), ..Entry::default() }
}

fn some() -> Vec<u8> {
    let state = HardState { term: 3, vote: 2, commit: 1, ..HardState::default() };
    [entries(&[entry(1, 1), entry(2, 1), entry(3, 1)]), hard(&state), entries(&[entry(2, 3)])].concat()
}

#[test]
fn what_was_written_is_read_and_overwritten_entries_are_void() {
    let read = Recovered::read(&some()).expect("sound");
    assert_eq!(read.entries, [entry(1, 1), entry(2, 3)]);
    assert_eq!((read.hard.term, read.hard.vote, read.sound), (3, 2, some().len()));
}

/// Guards the difference between a crash and damage, at every byte: what stops short is cut off, and a byte that
/// changed never passes for sound.
#[test]
fn torn_tails_are_cut_and_damage_is_told() {
    let bytes = some();
    for end in 0..bytes.len() {
        let read = Recovered::read(&bytes[..end]).expect("a torn tail is no damage");
        assert!(read.sound <= end);
        assert_eq!(Recovered::read(&bytes[..read.sound]).expect("sound").entries, read.entries);
    }
    for at in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 0x10;
        assert!(Recovered::read(&spoilt).is_err(), "byte {at}");
    }
}
