use super::*;
use proptest::prelude::*;

/// Multiples of a quarter, so that no date is rounded.
const NOW: Clocks = Clocks { now: (1u64 << 42) as f64, machine_ahead: -1234.25, wall_ahead: 99_000.5 };

fn overrides() -> impl Strategy<Value = Overrides> {
    let stay = prop_oneof![
        (0..1u64 << 42).prop_map(|since| Stay::Out(since as f64 / 4.0)),
        (0..1u64 << 42).prop_map(|since| Stay::Back(since as f64 / 4.0)),
    ];
    let stays = proptest::collection::btree_map(".{0,12}", stay, 0..8);
    (any::<u64>(), any::<bool>(), stays).prop_map(|(version, drained, stays)| Overrides {
        version,
        drained,
        bans: Bans::from_stays(stays),
    })
}

proptest! {
    /// Guards what is handed over: it is read back as it was, and no damage or cut passes for a word.
    #[test]
    fn overrides_are_read_back_and_damage_is_seen(overrides in overrides(), at in any::<usize>(), flip in 1u8..255) {
        let bytes = overrides.encode(NOW);
        prop_assert_eq!(Overrides::decode(&bytes, NOW), Ok(overrides));
        let mut damaged = bytes.clone();
        damaged[at % bytes.len()] ^= flip;
        prop_assert!(Overrides::decode(&damaged, NOW).is_err());
        prop_assert!(Overrides::decode(&bytes[..at % bytes.len()], NOW).is_err());
    }

    /// Guards the rule on maintenance over failures: whatever becomes of the record, a process that knows of a ban
    /// gives it up only for a newer word.
    #[test]
    fn nothing_is_lifted_by_a_failure(known in overrides(), stands in overrides(), kind in 0..3) {
        let record = match kind {
            0 => None,
            1 => Some(Err(BadRecord::Check)),
            _ => Some(Ok(stands.clone())),
        };
        match look(record, Some(&known)) {
            Look::Newer(overrides) => {
                prop_assert_eq!(kind, 2);
                prop_assert!(overrides.version > known.version);
            }
            Look::Same => prop_assert!(kind == 2 && stands.version == known.version || known.version == 0),
            Look::Restore => {}
            Look::Wait => prop_assert!(false, "it knows"),
        }
    }
}

#[test]
fn who_knows_nothing_waits_for_a_damaged_record_and_begins_without_one() {
    assert_eq!(look(Some(Err(BadRecord::Form)), None), Look::Wait);
    assert_eq!(look(None, None), Look::Newer(Overrides::default()));
    let overrides = Overrides { version: 3, drained: true, bans: Bans::default() };
    assert_eq!(look(Some(Ok(overrides.clone())), None), Look::Newer(overrides));
}

/// Guards slow start over an upgrade: another process whose wall clock is off dates a return as this one does, and a
/// date that can't be is taken for the latest.
#[test]
fn a_return_keeps_its_age_in_another_process_whatever_the_wall_clock_says() {
    let mut bans = Bans::default();
    bans.suspend("a", NOW.now - 5000.0);
    bans.resume("a", NOW.now - 2000.0);
    let bytes = Overrides { version: 1, drained: false, bans }.encode(NOW);
    let back = |now: Clocks| {
        let read = Overrides::decode(&bytes, now).expect("whole");
        now.now - read.bans.back_at("a").expect("it came back")
    };
    for step in [2000.0, -2000.0, 3_600_000.0, -3_600_000.0] {
        // The other process began 500 ms later, and its own clock begins anew.
        let machine_ahead = NOW.now + NOW.machine_ahead + 500.0 - 70_000.0;
        assert_eq!(back(Clocks { now: 70_000.0, machine_ahead, wall_ahead: step }), 2500.0);
    }
    assert_eq!(
        back(Clocks { machine_ahead: NOW.machine_ahead - 5000.0, ..NOW }),
        0.0,
        "the machine was started anew"
    );
}

#[test]
fn a_record_of_an_earlier_version_is_dated_by_the_wall_clock() {
    let text =
        r#"{"version":1,"drained":false,"hosts":[{"name":"a","out":false,"since_ms":4398046609104.5}]}"#;
    let record = format!("{HEAD} {:08x}\n{text}", crc32fast::hash(text.as_bytes()));
    let read = Overrides::decode(record.as_bytes(), NOW).expect("whole");
    assert_eq!(read.bans.back_at("a"), Some(NOW.now - 1000.0));
}
