use super::*;
use crate::fleet::RankedWorker;
use proptest::prelude::*;
use std::collections::BTreeMap;

const MODEL: ModelId = ModelId(7);

fn worker(id: u32, weight: f64) -> RankedWorker {
    RankedWorker { id: WorkerId(id), hash: mix(u64::from(id) + 1), weight }
}

/// All workers of a group, ranked one by one.
fn full_scan(fleet: &Fleet, side: Side, warmth: &WorkerWarmth<'_>) -> Vec<WorkerId> {
    let mut homes: Vec<Home> = fleet.group(side).members.iter().map(home).collect();
    homes.sort_by(|a, b| warmth.rank(a).total_cmp(&warmth.rank(b)).then(a.worker.cmp(&b.worker)));
    homes.into_iter().map(|home| home.worker).collect()
}

fn home(worker: &RankedWorker) -> Home {
    Home { rank: rank(worker, MODEL), worker: worker.id }
}

fn named(homes: &Homes, side: Side) -> Vec<WorkerId> {
    homes.of(side).iter().map(|home| home.worker).collect()
}

/// A worker becomes ready with a weight, or is not ready any more.
type Change = (u32, Option<f64>);

fn changes(workers: u32) -> impl Strategy<Value = Vec<Vec<Change>>> {
    let weight = prop_oneof![Just(None), (0.5..4.0).prop_map(Some)];
    proptest::collection::vec(proptest::collection::vec((0..workers, weight), 0..60), 1..12)
}

fn apply(fleet: &mut Fleet, &(id, weight): &Change) {
    let side = if id % 3 == 0 { Side::Own } else { Side::Foreign };
    match weight {
        Some(weight) => fleet.set(side, worker(id, weight)),
        None => fleet.remove(WorkerId(id)),
    }
}

proptest! {
    // Guards the kept ranking against the full scan that it stands for.
    #[test]
    fn a_ranking_kept_by_changes_differs_from_a_full_scan(
        rounds in changes(600),
        first in 0u32..600,
    ) {
        let (mut fleet, mut homes) = (Fleet::default(), Homes::default());
        (0..first).for_each(|id| apply(&mut fleet, &(id, Some(1.0))));
        let warm = WorkerWarmth { of_worker: None };
        for (step, round) in rounds.iter().enumerate() {
            round.iter().for_each(|change| apply(&mut fleet, change));
            homes.refresh(&fleet, MODEL, step as u64, &warm);
            for (side, first) in SIDES.into_iter().zip(FIRST_WORKERS) {
                let (named, all) = (named(&homes, side), full_scan(&fleet, side, &warm));
                prop_assert!(named.len() >= all.len().min(first / 2), "{} of {}", named.len(), all.len());
                prop_assert_eq!(&named[..], &all[..named.len()]);
            }
        }
    }

    // Cold workers sink by their warmth; only from the first that sinks below the last rank may the order differ.
    #[test]
    fn cold_workers_keep_the_place_of_warm_ones(rounds in changes(600), cold in 1u32..5) {
        let (mut fleet, mut homes) = (Fleet::default(), Homes::default());
        (0..600).for_each(|id| apply(&mut fleet, &(id, Some(1.0))));
        let of_worker = |id: WorkerId| if id.0 % 5 < cold { 0.3 } else { 1.0 };
        let warmth = WorkerWarmth { of_worker: Some(&of_worker) };
        for (step, round) in rounds.iter().enumerate() {
            round.iter().for_each(|change| apply(&mut fleet, change));
            homes.refresh(&fleet, MODEL, step as u64, &warmth);
            for side in SIDES {
                let last_rank = f64::from(homes.rankings[side as usize].last_rank);
                let is_certain = |home: &&Home| warmth.rank(home) <= last_rank;
                let certain = homes.of(side).iter().take_while(is_certain).count();
                prop_assert_eq!(&named(&homes, side)[..certain], &full_scan(&fleet, side, &warmth)[..certain]);
            }
        }
    }

    // Sums kept by difference are those over all workers.
    #[test]
    fn sums_of_the_fleet_drift_from_its_workers(rounds in changes(100)) {
        let (mut fleet, mut known) = (Fleet::default(), BTreeMap::new());
        for change in rounds.iter().flatten() {
            apply(&mut fleet, change);
            match change.1 {
                Some(weight) => _ = known.insert(change.0, weight),
                None => _ = known.remove(&change.0),
            }
        }
        let weight: f64 = known.values().sum();
        prop_assert_eq!(fleet.len(), known.len());
        prop_assert!((fleet.weight() - weight).abs() < 1e-9 * weight.max(1.0));
        let ranking: f64 = SIDES.into_iter().map(|side| fleet.group(side).ranking_weight).sum();
        prop_assert!((ranking - weight).abs() < 1e-9 * weight.max(1.0));
    }
}

#[test]
fn a_model_holds_a_line_for_each_worker() {
    let mut fleet = Fleet::default();
    (0..3200).for_each(|id| apply(&mut fleet, &(id, Some(1.0))));
    let mut homes = Homes::default();
    homes.refresh(&fleet, MODEL, 0, &WorkerWarmth { of_worker: None });
    assert!(homes.bytes() <= Homes::cost(3200), "{} bytes", homes.bytes());
    while homes.widen(&fleet, MODEL, &WorkerWarmth { of_worker: None }) {
        homes.step += 1;
    }
    homes.step += 1;
    let widest = homes.iter().count();
    assert!((MOST_WORKERS..=2 * OVERGROWN * MOST_WORKERS).contains(&widest), "{widest} homes");
    homes.narrow();
    assert_eq!(homes.iter().count(), 0, "a search that went far is forgotten");
}

/// Weights beyond any measure had the first homes searched for without an end.
#[test]
fn absurd_weights_have_homes_searched_for_without_an_end() {
    for absurd in [f64::MAX, 1e60, f64::MIN_POSITIVE] {
        let mut fleet = Fleet::default();
        for id in 0..1000 {
            let weight = if id % 100 == 0 { absurd } else { 1.0 };
            fleet.set(Side::Foreign, worker(id, weight));
        }
        let (mut homes, warm) = (Homes::default(), WorkerWarmth { of_worker: None });
        homes.refresh(&fleet, MODEL, 0, &warm);
        let named = named(&homes, Side::Foreign);
        assert!(named.len() >= FIRST_WORKERS[Side::Foreign as usize] / 2, "{absurd}: {}", named.len());
        assert_eq!(named[..], full_scan(&fleet, Side::Foreign, &warm)[..named.len()], "{absurd}");
    }
}
