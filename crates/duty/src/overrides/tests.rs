use super::*;
use proptest::prelude::*;

/// Multiples of a quarter, so that conversion does not round any date.
const NOW: Clocks = Clocks { now: (1u64 << 42) as f64, machine_ahead: -1234.25, wall_ahead: 99_000.5 };

fn overrides() -> impl Strategy<Value = Overrides> {
    let host_override = prop_oneof![
        (0..1u64 << 42).prop_map(|since| HostOverride::Suspended(since as f64 / 4.0)),
        (0..1u64 << 42).prop_map(|since| HostOverride::Resumed(since as f64 / 4.0)),
    ];
    let host_overrides = proptest::collection::btree_map(".{0,12}", host_override, 0..8);
    (any::<u64>(), any::<bool>(), host_overrides).prop_map(|(version, drained, host_overrides)| Overrides {
        version,
        drained,
        host_overrides: HostOverrides::from_host_overrides(host_overrides),
    })
}

proptest! {
    /// Guards the handed-over record: it decodes to what was encoded, and damage or truncation is always
    /// detected.
    #[test]
    fn overrides_are_decoded_as_encoded_and_damage_is_detected(overrides in overrides(), at in any::<usize>(), flip in 1u8..255) {
        let bytes = overrides.encode(NOW);
        prop_assert_eq!(Overrides::decode(&bytes, NOW), Ok(overrides));
        let mut damaged = bytes.clone();
        damaged[at % bytes.len()] ^= flip;
        prop_assert!(Overrides::decode(&damaged, NOW).is_err());
        prop_assert!(Overrides::decode(&bytes[..at % bytes.len()], NOW).is_err());
    }

    /// Guards suspensions against failures: whatever happens to the record, a process gives up a suspension
    /// that it knows only for a newer record.
    #[test]
    fn a_failure_lifts_no_suspension(known in overrides(), stored in overrides(), kind in 0..3) {
        let record = match kind {
            0 => None,
            1 => Some(Err(RecordError::Check)),
            _ => Some(Ok(stored.clone())),
        };
        match compare_record(record, Some(&known)) {
            RecordAction::Newer(overrides) => {
                prop_assert_eq!(kind, 2);
                prop_assert!(overrides.version > known.version);
            }
            RecordAction::Same => prop_assert!(kind == 2 && stored.version == known.version || known.version == 0),
            RecordAction::Restore => {}
            RecordAction::Wait => prop_assert!(false, "overrides are known"),
        }
    }
}

#[test]
fn without_known_overrides_a_damaged_record_is_waited_for_and_a_missing_one_is_empty() {
    assert_eq!(compare_record(Some(Err(RecordError::Form)), None), RecordAction::Wait);
    assert_eq!(compare_record(None, None), RecordAction::Newer(Overrides::default()));
    let overrides = Overrides { version: 3, drained: true, host_overrides: HostOverrides::default() };
    assert_eq!(compare_record(Some(Ok(overrides.clone())), None), RecordAction::Newer(overrides));
}

/// Guards slow start during an upgrade: a process whose wall clock differs computes the same age of a resume,
/// and a date in the future counts as now.
#[test]
fn a_resume_has_the_same_age_in_another_process_whatever_the_wall_clock_says() {
    let mut host_overrides = HostOverrides::default();
    host_overrides.suspend("a", NOW.now - 5000.0);
    host_overrides.resume("a", NOW.now - 2000.0);
    let bytes = Overrides { version: 1, drained: false, host_overrides }.encode(NOW);
    let back = |now: Clocks| {
        let read = Overrides::decode(&bytes, now).expect("whole");
        now.now - read.host_overrides.resumed_at("a").expect("it was resumed")
    };
    for step in [2000.0, -2000.0, 3_600_000.0, -3_600_000.0] {
        // The other process started 500 ms later, and its own clock has another start value.
        let machine_ahead = NOW.now + NOW.machine_ahead + 500.0 - 70_000.0;
        assert_eq!(back(Clocks { now: 70_000.0, machine_ahead, wall_ahead: step }), 2500.0);
    }
    assert_eq!(
        back(Clocks { machine_ahead: NOW.machine_ahead - 5000.0, ..NOW }),
        0.0,
        "the machine was rebooted"
    );
}

#[test]
fn a_record_of_an_earlier_version_is_dated_by_the_wall_clock() {
    let text =
        r#"{"version":1,"drained":false,"hosts":[{"name":"a","out":false,"since_ms":4398046609104.5}]}"#;
    let record = format!("{FORMAT_WORD} {:08x}\n{text}", crc32fast::hash(text.as_bytes()));
    let read = Overrides::decode(record.as_bytes(), NOW).expect("whole");
    assert_eq!(read.host_overrides.resumed_at("a"), Some(NOW.now - 1000.0));
}
