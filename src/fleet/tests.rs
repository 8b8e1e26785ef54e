use super::*;
use proptest::prelude::*;

const SPAN: Ms = 4000.0;

proptest! {
    // The incrementally updated sums over cold workers equal the sums over each of them.
    #[test]
    fn sums_over_cold_workers_equal_those_over_each(
        starts in proptest::collection::vec((0u32..40, 0.5..4.0f64, 0.0..9000.0f64), 1..80),
        now in 9000.0..20_000.0f64,
    ) {
        let (mut cold, mut known) = (ColdWorkers::default(), BTreeMap::new());
        for (id, weight, started) in starts {
            cold.set(WorkerId(id), weight, started, SPAN);
            known.insert(WorkerId(id), (weight, started));
        }
        while let Some(id) = cold.pop_warm(now) {
            let (_, started) = known.remove(&id).expect("known");
            prop_assert!(now >= started + SPAN - 0.001, "{started} is cold at {now}");
        }
        prop_assert!(known.values().all(|(_, started)| now < started + SPAN), "{known:?} at {now}");
        let age: f64 = known.values().map(|(weight, started)| weight * (now - started) / SPAN).sum();
        prop_assert!((cold.weighted_age(now, SPAN) - age).abs() < 1e-6);
        prop_assert!((cold.weight() - known.values().map(|(weight, _)| weight).sum::<f64>()).abs() < 1e-9);
    }
}

#[test]
fn changes_since_a_revision_are_listed_while_remembered() {
    let mut fleet = Fleet::default();
    let set = |fleet: &mut Fleet, id, weight| {
        fleet.set(Side::Own, RankedWorker { id: WorkerId(id), hash: 1, weight });
    };
    set(&mut fleet, 1, 1.0);
    let revision = fleet.revision();
    set(&mut fleet, 1, 1.0);
    assert_eq!(fleet.revision(), revision, "an identical update is no change");
    set(&mut fleet, 2, 1.0);
    fleet.remove(WorkerId(1));
    fleet.remove(WorkerId(9));
    let changed: Vec<_> = fleet.changed_since(revision).expect("remembered").collect();
    assert_eq!(changed, [WorkerId(2), WorkerId(1)]);
    for id in 0..2 * MAX_REMEMBERED_CHANGES as u32 {
        set(&mut fleet, id, 2.0);
    }
    assert!(fleet.changed_since(revision).is_none(), "these changes are no longer remembered");
}
