//! Simulates control nodes and followers under one seed, with injected faults: broken connections, delays, network
//! partitions, crashes, paused processes and slow disks, while any control node changes records. The records, positions
//! and acknowledgements of the followers are checked throughout.
mod support;

use corkbay_feed::{FeedLimits, FollowerLimits, Ms};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::checker::Violation;
use support::cluster::{
    InjectedFault, SimulatedCluster, SimulationConfig, SimulationOutcome, Time, MS, SECOND,
};
use support::TestStore;

const SEEDS: u64 = 200;
/// Number of threads that run seeds.
const THREADS: u64 = 3;
/// Time within which all followers must hold the records of the control nodes, in microseconds.
const PROPAGATION_LIMIT: u64 = 6 * SECOND;
/// Duration of the idle check, in microseconds.
const IDLE: u64 = 9 * SECOND;
/// Base delay of returns to the first choice, in the simulations that check returns.
const RETURN_MS: Ms = 400.0;
/// Time within which all followers must have returned, in microseconds: the longest delay of a return is three times
/// sixteen base delays, to which the time between returns adds.
const RETURN_LIMIT: u64 = 30 * SECOND;
/// Time within which followers that were full must hold the records of the control nodes once there is room, in
/// microseconds.
const REPAIR_LIMIT: u64 = 12 * SECOND;
/// Minimum room of a follower whose room is limited, in bytes.
const MIN_CAP_BYTES: usize = 1 << 10;
/// Maximum total size of all records.
const MAX_COPY_BYTES: usize = 12 << 10;
/// Number of pages that sequential copies transfer in 2 s, at 30 ms per page.
const PAGES_PER_COPY_SLOT: usize = 66;
/// Maximum size of a heartbeat and its answer together.
const MAX_PAIR_BYTES: u64 = 200;

/// The number of concurrent copies that serve all followers in time if all of them connect to one control node without
/// any records.
fn required_copies(followers: usize, page_bytes: usize) -> usize {
    let pages = MAX_COPY_BYTES.div_ceil(page_bytes);
    (followers * pages).div_ceil(PAGES_PER_COPY_SLOT)
}

fn config(seed: u64, injected_fault: InjectedFault) -> SimulationConfig {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let followers = rng.random_range(3..=40);
    let page_bytes = rng.random_range(1..=6) << 10;
    let limits = FeedLimits {
        followers: 45,
        full_copies: required_copies(followers, page_bytes) + rng.random_range(0..3),
        waiting_copies: rng.random_range(2..=45),
        bytes_per_s: rng.random_range(100_000.0..1_000_000.0),
        history: [4, 16, 64][rng.random_range(0..3)],
        window: rng.random_range(1..=20),
        window_bytes: 4 << 10,
        page_bytes,
        ..FeedLimits::default()
    };
    let (mut control_records, mut follower_records) = (TestStore::default(), TestStore::default());
    control_records.fill(0, 100, 2, 10);
    follower_records.fill(0, rng.random_range(0..100), 1, 10);
    let follower_caps = follower_caps(&mut rng, followers, injected_fault);
    let faults_until = rng.random_range(8..20) * SECOND;
    let controls = rng.random_range(3..=4);
    let follower_limits = FollowerLimits::default();
    SimulationConfig {
        seed,
        injected_fault,
        controls,
        followers,
        limits,
        follower_limits,
        control_records,
        follower_records,
        follower_caps,
        faults_until,
    }
}

/// Limits the room of some followers, in half of the simulations.
fn follower_caps(rng: &mut SmallRng, followers: usize, injected_fault: InjectedFault) -> Vec<Option<usize>> {
    // A record that is shown and acknowledged before it is written can't be left out any more.
    if injected_fault == InjectedFault::AcknowledgesBeforeSync || rng.random_bool(0.5) {
        return Vec::new();
    }
    let mut cap = || rng.random_bool(0.3).then(|| rng.random_range(MIN_CAP_BYTES..MAX_COPY_BYTES));
    (0..followers).map(|_| cap()).collect()
}

fn simulate(seed: u64, injected_fault: InjectedFault) -> Result<SimulationOutcome, Violation> {
    let config = config(seed, injected_fault);
    let faults_until = config.faults_until;
    let mut cluster = SimulatedCluster::new(config);
    cluster.run_until(faults_until)?;
    cluster.check_full_followers(PROPAGATION_LIMIT)?;
    let full_followers = cluster.full_followers();
    cluster.lift_caps();
    cluster.check_converges(if full_followers == 0 { PROPAGATION_LIMIT } else { REPAIR_LIMIT })?;
    cluster.check_idle(IDLE, MAX_PAIR_BYTES)?;
    cluster.check_change_during_outage(PROPAGATION_LIMIT)?;
    Ok(cluster.outcome())
}

/// Runs a simulation with a short return delay, so that followers return while faults are injected. Returns how many
/// followers weren't at their first choice when the injection of faults ended.
fn simulate_returns(seed: u64) -> Result<usize, Violation> {
    let mut config = config(seed, InjectedFault::None);
    config.follower_limits.return_ms = RETURN_MS;
    config.follower_caps.clear();
    let faults_until = config.faults_until;
    let mut cluster = SimulatedCluster::new(config);
    cluster.run_until(faults_until)?;
    let followers_not_at_first_choice = cluster.followers_not_at_first_choice();
    cluster.check_converges(RETURN_LIMIT)?;
    assert_eq!(cluster.followers_not_at_first_choice(), 0, "seed {seed}");
    cluster.check_change_during_outage(PROPAGATION_LIMIT)?;
    Ok(followers_not_at_first_choice)
}

/// The seeds to run: the first is `CORKBAY_SEED` (default 1), the number of them is `CORKBAY_SEEDS`.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("CORKBAY_SEED").unwrap_or(1);
    first..first + number("CORKBAY_SEEDS").unwrap_or(SEEDS)
}

/// Runs all seeds and returns their outcomes in the order of the seeds.
fn simulate_all(injected_fault: InjectedFault) -> Vec<(u64, Result<SimulationOutcome, Violation>)> {
    let mut results: Vec<_> = std::thread::scope(|scope| {
        let simulate_part = |part| {
            let seeds = seeds().filter(move |seed| seed % THREADS == part);
            scope.spawn(move || seeds.map(|seed| (seed, simulate(seed, injected_fault))).collect::<Vec<_>>())
        };
        let threads: Vec<_> = (0..THREADS).map(simulate_part).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("thread runs its seeds")).collect()
    });
    results.sort_by_key(|entry| entry.0);
    results
}

#[test]
fn followers_converge_to_the_control_nodes_under_faults() {
    let mut fault_counts = [0; 10];
    let (mut max_pair_bytes, mut max_idle_bytes) = (0, 0);
    let (mut converged_after, mut propagated_after) = (Vec::new(), Vec::new());
    let results = simulate_all(InjectedFault::None);
    let found: Vec<_> = results.iter().filter(|(_, result)| result.is_err()).collect();
    assert!(found.is_empty(), "{found:?}");
    for (seed, outcome) in results.into_iter().filter_map(|(seed, result)| Some((seed, result.ok()?))) {
        max_pair_bytes = max_pair_bytes.max(outcome.max_idle_pair_bytes);
        max_idle_bytes = max_idle_bytes.max(outcome.max_idle_bytes);
        converged_after.push(outcome.converged_after);
        propagated_after.push(outcome.propagated_after);
        let feed = outcome.feed;
        let counts = [
            outcome.crashes,
            outcome.torn_writes,
            outcome.pauses,
            outcome.partitions,
            outcome.broken_connections,
            feed.resumes,
            feed.compacted,
            feed.copies,
            outcome.left_out,
            feed.repairs,
        ];
        fault_counts.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        if seed % 50 == 0 {
            println!("seed {seed}: {outcome:?}");
        }
    }
    println!(
        "crashes, torn writes, pauses, partitions, breaks, resumes, compacted, copies, left out, repairs: {fault_counts:?}"
    );
    println!(
        "max bytes of a heartbeat and its answer: {max_pair_bytes}; of {} s idle: {max_idle_bytes}",
        IDLE / SECOND
    );
    print_spread("time to converge after fault injection ended", converged_after);
    print_spread("time to propagate a change while a control node is unavailable", propagated_after);
    assert!(fault_counts.iter().all(|count| *count > 100), "each kind of fault must occur: {fault_counts:?}");
}

/// Guards against an uneven load after a failure: followers that moved to other control nodes must return to their
/// first choice once it has recovered.
#[test]
fn followers_return_to_their_first_choice_after_faults() {
    let followers_not_at_first_choice: Vec<_> =
        seeds().take(40).map(|seed| simulate_returns(seed).expect("simulation finds no violation")).collect();
    println!(
        "followers not at their first choice when fault injection ended: {followers_not_at_first_choice:?}"
    );
    assert!(
        followers_not_at_first_choice.iter().sum::<usize>() > 40,
        "followers must have moved to other control nodes: {followers_not_at_first_choice:?}"
    );
}

fn print_spread(what: &str, mut times: Vec<Time>) {
    times.sort_unstable();
    let (median, most) = (times[times.len() / 2] / MS, times[times.len() - 1] / MS);
    println!("{what}: median {median} ms, max {most} ms");
}

fn assert_detected(injected_fault: InjectedFault, is_expected: fn(&Violation) -> bool) {
    let found: Vec<_> = simulate_all(injected_fault)
        .into_iter()
        .filter_map(|(seed, result)| Some((seed, result.err()?)))
        .collect();
    let expected = found.iter().filter(|(_, violation)| is_expected(violation)).count();
    let (all, first, others) = (seeds().count(), found.first(), found.len() - expected);
    println!(
        "{injected_fault:?}: detected with {expected} of {all} seeds, first {first:?}; others: {others}"
    );
    assert!(expected > 0, "{injected_fault:?} must be detected: {found:?}");
}

#[test]
fn a_revision_skipped_at_a_compaction_is_detected() {
    assert_detected(InjectedFault::SkipsAtCompaction, |found| {
        matches!(found, Violation::PositionAheadOfDisk { .. })
    });
}

#[test]
fn resuming_at_a_revision_of_another_incarnation_is_detected() {
    assert_detected(InjectedFault::SharedIncarnation, |found| {
        matches!(found, Violation::PositionAheadOfDisk { .. })
    });
}

#[test]
fn an_acknowledgement_before_the_sync_is_detected() {
    assert_detected(InjectedFault::AcknowledgesBeforeSync, |found| {
        matches!(found, Violation::AcknowledgedBeforeSync { .. })
    });
}

#[test]
fn accepting_an_older_record_of_a_stale_control_node_is_detected() {
    assert_detected(InjectedFault::AcceptsOlderRecords, |found| {
        matches!(found, Violation::OlderRecordWritten { .. })
    });
}

/// A follower that forgets what it left out would never get it.
#[test]
fn a_progress_that_hides_left_out_records_is_detected() {
    assert_detected(InjectedFault::ForgetsLeftOutRecords, |found| {
        matches!(found, Violation::PositionAheadOfDisk { .. })
    });
}

/// A follower that writes a batch completely or not at all is stuck at the first record that it has no room for, and so
/// are the changes of records that it holds.
#[test]
fn a_full_follower_that_rejects_whole_batches_is_detected() {
    assert_detected(InjectedFault::RejectsWholeBatches, |found| {
        matches!(found, Violation::NotConverged { .. })
    });
}

#[test]
fn the_same_seed_gives_the_same_outcome() {
    for seed in 1..=5 {
        assert_eq!(simulate(seed, InjectedFault::None), simulate(seed, InjectedFault::None), "seed {seed}");
    }
}
