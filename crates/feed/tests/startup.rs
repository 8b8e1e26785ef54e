//! All followers start at once against one control node. Concurrent copies and bytes per second must stay within their
//! limits, and every follower must be served eventually.
mod support;

use corkbay_feed::{FeedCounters, FeedLimits, FollowerLimits};
use support::cluster::{InjectedFault, SimulatedCluster, SimulationConfig, Time, MS, SECOND};
use support::TestStore;

const FOLLOWERS: usize = 220;
const RECORDS: usize = 2000;
const VALUE_BYTES: usize = 300;
/// Maximum time until all followers are served, in microseconds.
const START_LIMIT: Time = 60 * SECOND;

/// Simulates a start; returns when all followers were served, and the control node's counters.
fn simulate_start(follower_records: TestStore) -> (Time, FeedCounters) {
    let limits = FeedLimits::default();
    let mut control_records = TestStore::default();
    control_records.fill(0, RECORDS, 2, VALUE_BYTES);
    let config = SimulationConfig {
        seed: 1,
        injected_fault: InjectedFault::None,
        controls: 1,
        followers: FOLLOWERS,
        limits: limits.clone(),
        follower_limits: FollowerLimits::default(),
        control_records,
        follower_records,
        follower_caps: Vec::new(),
        faults_until: 0,
    };
    let mut cluster = SimulatedCluster::new(config);
    loop {
        cluster.run_until(cluster.now + 100 * MS).expect("control node stays within its limits");
        if cluster.check_equal().is_ok() {
            break;
        }
        assert!(cluster.now < START_LIMIT, "all followers must be served in time: {:?}", cluster.outcome());
    }
    check_rate(&limits, &cluster.differences);
    let counters = cluster.outcome().feed;
    println!(
        "all served after {:.1} s, at most {} concurrent copies, {counters:?}",
        cluster.now as f64 / SECOND as f64,
        cluster.max_running_copies
    );
    (cluster.now, counters)
}

/// Checks that no period has more bytes than the rate allows, plus one second's worth, plus one page.
fn check_rate(limits: &FeedLimits, sent: &[(Time, usize)]) {
    let (mut level, mut last) = (0.0f64, 0);
    for (at, bytes) in sent {
        let drained = (at - last) as f64 / SECOND as f64 * limits.bytes_per_s;
        level = (level - drained).max(0.0) + *bytes as f64;
        last = *at;
        assert!(
            level <= limits.bytes_per_s + limits.page_bytes as f64,
            "{level} bytes over the rate at {at} us"
        );
    }
}

#[test]
fn followers_without_records_are_all_served() {
    let (_, counters) = simulate_start(TestStore::default());
    assert_eq!(counters.copies, FOLLOWERS as u64);
    assert!(counters.busy > 0, "some followers must be told to reconnect later");
}

#[test]
fn followers_with_most_records_are_sent_little() {
    let mut follower_records = TestStore::default();
    follower_records.fill(0, RECORDS, 2, VALUE_BYTES);
    follower_records.fill(0, 10, 1, VALUE_BYTES);
    let (took, counters) = simulate_start(follower_records);
    assert_eq!(counters.copies, 0, "a difference of one page is not a copy");
    assert!(took < 6 * SECOND);
}

/// Simulates many followers that hold the records already. A third of them lose their control node at the moment of a
/// change: it crashes, is paused or is isolated.
#[test]
fn a_change_reaches_a_large_fleet_during_a_control_node_outage() {
    let mut control_records = TestStore::default();
    control_records.fill(0, 1000, 2, VALUE_BYTES);
    for seed in 1..=3 {
        let config = SimulationConfig {
            seed,
            injected_fault: InjectedFault::None,
            controls: 3,
            followers: 880,
            limits: FeedLimits::default(),
            follower_limits: FollowerLimits::default(),
            control_records: control_records.clone(),
            follower_records: control_records.clone(),
            follower_caps: Vec::new(),
            faults_until: 0,
        };
        let mut cluster = SimulatedCluster::new(config);
        cluster.run_until(2 * SECOND).expect("control node stays within its limits");
        cluster.check_idle(15 * SECOND, 200).expect("only heartbeats are sent");
        cluster.check_change_during_outage(6 * SECOND).expect("the change reaches all followers in time");
        println!("seed {seed}: {:?}", cluster.outcome());
    }
}
