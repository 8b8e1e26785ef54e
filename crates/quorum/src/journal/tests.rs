use super::*;

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: vec![index as u8; 5].into(), ..Entry::default() }
}

fn sample_journal() -> Vec<u8> {
    let state = HardState { term: 3, vote: 2, commit: 1, ..HardState::default() };
    [
        entry_records(&[entry(1, 1), entry(2, 1), entry(3, 1)]),
        hard_state_record(&state),
        entry_records(&[entry(2, 3)]),
    ]
    .concat()
}

#[test]
fn records_are_read_back_and_overwritten_entries_are_discarded() {
    let recovered = Recovered::read(&sample_journal()).expect("a valid journal");
    assert_eq!(recovered.entries, [entry(1, 1), entry(2, 3)]);
    assert_eq!(
        (recovered.hard_state.term, recovered.hard_state.vote, recovered.valid_bytes),
        (3, 2, sample_journal().len())
    );
}

/// Guards the distinction between a crash and corruption, at every byte: a truncated record at the end is cut
/// off, and a changed byte is always detected.
#[test]
fn torn_writes_are_truncated_and_corruption_is_reported() {
    let bytes = sample_journal();
    for end in 0..bytes.len() {
        let recovered = Recovered::read(&bytes[..end]).expect("a torn write is not corruption");
        assert!(recovered.valid_bytes <= end);
        assert_eq!(
            Recovered::read(&bytes[..recovered.valid_bytes]).expect("a valid journal").entries,
            recovered.entries
        );
    }
    for at in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 0x10;
        assert!(Recovered::read(&corrupted).is_err(), "byte {at}");
    }
}
