use super::*;
use crate::fleet::RankedWorker;
use proptest::prelude::*;
use std::collections::BTreeMap;

const MODEL: ModelId = ModelId(7);

fn worker(id: u32, weight: f64) -> RankedWorker {
    RankedWorker { id: WorkerId(id), hash: mix_bits(u64::from(id) + 1), weight }
}

/// All workers of one side, ranked one by one.
fn full_scan(fleet: &Fleet, side: Side, warmth: &WorkerWarmth<'_>) -> Vec<WorkerId> {
    let mut preferred: Vec<PreferredWorker> = fleet.group(side).members.iter().map(candidate).collect();
    preferred.sort_by(|a, b| warmth.rank(a).total_cmp(&warmth.rank(b)).then(a.worker.cmp(&b.worker)));
    preferred.into_iter().map(|candidate| candidate.worker).collect()
}

fn candidate(worker: &RankedWorker) -> PreferredWorker {
    PreferredWorker { rank: rank(worker, MODEL), worker: worker.id }
}

fn first_workers(preferred: &PreferredWorkers, side: Side) -> Vec<WorkerId> {
    preferred.of(side).iter().map(|candidate| candidate.worker).collect()
}

/// A worker becomes ready with a weight, or (`None`) stops being ready.
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
    // An incrementally updated ranking is a prefix of a full ranking of all workers.
    #[test]
    fn an_incremental_ranking_is_a_prefix_of_a_full_scan(
        rounds in changes(600),
        first in 0u32..600,
    ) {
        let (mut fleet, mut preferred) = (Fleet::default(), PreferredWorkers::default());
        (0..first).for_each(|id| apply(&mut fleet, &(id, Some(1.0))));
        let warm = WorkerWarmth { of_worker: None };
        for (step, round) in rounds.iter().enumerate() {
            round.iter().for_each(|change| apply(&mut fleet, change));
            preferred.refresh(&fleet, MODEL, step as u64, &warm);
            for (side, first) in SIDES.into_iter().zip(INITIAL_WORKERS) {
                let (first_workers, all) = (first_workers(&preferred, side), full_scan(&fleet, side, &warm));
                prop_assert!(first_workers.len() >= all.len().min(first / 2), "{} of {}", first_workers.len(), all.len());
                prop_assert_eq!(&first_workers[..], &all[..first_workers.len()]);
            }
        }
    }

    // Cold workers rank lower by their warmth. Up to the highest rank held, the order is that of a full
    // ranking.
    #[test]
    fn cold_workers_are_ranked_by_their_warmth(rounds in changes(600), cold in 1u32..5) {
        let (mut fleet, mut preferred) = (Fleet::default(), PreferredWorkers::default());
        (0..600).for_each(|id| apply(&mut fleet, &(id, Some(1.0))));
        let of_worker = |id: WorkerId| if id.0 % 5 < cold { 0.3 } else { 1.0 };
        let warmth = WorkerWarmth { of_worker: Some(&of_worker) };
        for (step, round) in rounds.iter().enumerate() {
            round.iter().for_each(|change| apply(&mut fleet, change));
            preferred.refresh(&fleet, MODEL, step as u64, &warmth);
            for side in SIDES {
                let last_rank = f64::from(preferred.rankings[side as usize].last_rank);
                let is_certain = |candidate: &&PreferredWorker| warmth.rank(candidate) <= last_rank;
                let certain = preferred.of(side).iter().take_while(is_certain).count();
                prop_assert_eq!(&first_workers(&preferred, side)[..certain], &full_scan(&fleet, side, &warmth)[..certain]);
            }
        }
    }

    // Incrementally updated sums equal the sums over all workers.
    #[test]
    fn sums_of_the_fleet_equal_those_over_its_workers(rounds in changes(100)) {
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
fn a_model_holds_a_bounded_number_of_preferred_workers() {
    let mut fleet = Fleet::default();
    (0..3200).for_each(|id| apply(&mut fleet, &(id, Some(1.0))));
    let mut preferred = PreferredWorkers::default();
    preferred.refresh(&fleet, MODEL, 0, &WorkerWarmth { of_worker: None });
    assert!(preferred.bytes() <= PreferredWorkers::cost(3200), "{} bytes", preferred.bytes());
    while preferred.widen(&fleet, MODEL, &WorkerWarmth { of_worker: None }) {
        preferred.step += 1;
    }
    preferred.step += 1;
    let widest = preferred.iter().count();
    assert!(
        (MAX_WORKERS..=2 * OVERGROWTH_FACTOR * MAX_WORKERS).contains(&widest),
        "{widest} preferred workers"
    );
    preferred.reset_widened();
    assert_eq!(preferred.iter().count(), 0, "extended rankings are reset");
}

/// Guards against extreme weights, with which the search for the first preferred workers never ended.
#[test]
fn extreme_weights_are_ranked_in_bounded_time() {
    for extreme in [f64::MAX, 1e60, f64::MIN_POSITIVE] {
        let mut fleet = Fleet::default();
        for id in 0..1000 {
            let weight = if id % 100 == 0 { extreme } else { 1.0 };
            fleet.set(Side::Foreign, worker(id, weight));
        }
        let (mut preferred, warm) = (PreferredWorkers::default(), WorkerWarmth { of_worker: None });
        preferred.refresh(&fleet, MODEL, 0, &warm);
        let first_workers = first_workers(&preferred, Side::Foreign);
        assert!(
            first_workers.len() >= INITIAL_WORKERS[Side::Foreign as usize] / 2,
            "{extreme}: {}",
            first_workers.len()
        );
        assert_eq!(
            first_workers[..],
            full_scan(&fleet, Side::Foreign, &warm)[..first_workers.len()],
            "{extreme}"
        );
    }
}
