//! All followers start at once against one control node: copies at a time and bytes a second stay in their bounds, and
//! everyone is served in the end.
mod support;

use corkbay_feed::{FeedCounters, FeedLimits, FollowerLimits};
use support::world::{Plan, Planted, Time, World, MS, SECOND};
use support::TestStore;

const FOLLOWERS: usize = 220;
const RECORDS: usize = 2000;
const VALUE_BYTES: usize = 300;
/// The longest that the slowest start may take.
const PATIENCE: Time = 60 * SECOND;

/// Plays a start and tells when everyone was served, and what the control node did.
fn start(kept: TestStore) -> (Time, FeedCounters) {
    let limits = FeedLimits::default();
    let mut content = TestStore::default();
    content.fill(0, RECORDS, 2, VALUE_BYTES);
    let plan = Plan {
        seed: 1,
        planted: Planted::Nothing,
        controls: 1,
        followers: FOLLOWERS,
        limits: limits.clone(),
        follower_limits: FollowerLimits::default(),
        content,
        kept,
        troubled_until: 0,
    };
    let mut world = World::new(plan);
    loop {
        world.run_until(world.now + 100 * MS).expect("keeps its bounds");
        if world.check_equal().is_ok() {
            break;
        }
        assert!(world.now < PATIENCE, "everyone is served: {:?}", world.course());
    }
    check_rate(&limits, &world.differences);
    let counters = world.course().feed;
    println!(
        "all served after {:.1} s, at most {} copies at a time, {counters:?}",
        world.now as f64 / SECOND as f64,
        world.most_copies
    );
    (world.now, counters)
}

/// In no span does more pass than the rate allows, and a second's worth and a page more.
fn check_rate(limits: &FeedLimits, sent: &[(Time, usize)]) {
    let (mut level, mut last) = (0.0f64, 0);
    for (at, bytes) in sent {
        let drained = (at - last) as f64 / SECOND as f64 * limits.bytes_per_s;
        level = (level - drained).max(0.0) + *bytes as f64;
        last = *at;
        assert!(level <= limits.bytes_per_s + limits.page_bytes as f64, "{level} bytes at {at}");
    }
}

#[test]
fn followers_with_nothing_kept_are_all_served() {
    let (_, counters) = start(TestStore::default());
    assert_eq!(counters.copies, FOLLOWERS as u64);
    assert!(counters.busy > 0, "some were told to come again");
}

#[test]
fn followers_with_data_kept_are_sent_little() {
    let mut kept = TestStore::default();
    kept.fill(0, RECORDS, 2, VALUE_BYTES);
    kept.fill(0, 10, 1, VALUE_BYTES);
    let (took, counters) = start(kept);
    assert_eq!(counters.copies, 0, "a page is no copy");
    assert!(took < 6 * SECOND);
}

/// A large fleet whose followers hold the records already: a third of them lose their control node in the moment of a
/// change, by its crash, its stop or its isolation.
#[test]
fn a_change_is_in_force_in_a_large_fleet_while_a_control_node_is_away() {
    let mut content = TestStore::default();
    content.fill(0, 1000, 2, VALUE_BYTES);
    for seed in 1..=3 {
        let plan = Plan {
            seed,
            planted: Planted::Nothing,
            controls: 3,
            followers: 880,
            limits: FeedLimits::default(),
            follower_limits: FollowerLimits::default(),
            content: content.clone(),
            kept: content.clone(),
            troubled_until: 0,
        };
        let mut world = World::new(plan);
        world.run_until(2 * SECOND).expect("keeps its bounds");
        world.check_idle(15 * SECOND, 200).expect("sends heartbeats only");
        world.check_change_while_one_is_away(6 * SECOND).expect("is in force in time");
        println!("seed {seed}: {:?}", world.course());
    }
}
