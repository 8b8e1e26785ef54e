use super::*;
use proptest::prelude::*;

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
        let bytes = overrides.encode();
        prop_assert_eq!(Overrides::decode(&bytes), Ok(overrides));
        let mut damaged = bytes.clone();
        damaged[at % bytes.len()] ^= flip;
        prop_assert!(Overrides::decode(&damaged).is_err());
        prop_assert!(Overrides::decode(&bytes[..at % bytes.len()]).is_err());
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
