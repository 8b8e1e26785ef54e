//! Control nodes and followers under one seed: connections that break, delays, cuts, crashes, stops and slow disks, while
//! any control node changes records. What a follower holds, claims and acknowledges is checked all the time.
mod support;

use corkbay_feed::{FeedLimits, FollowerLimits, Ms};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::checker::Violation;
use support::world::{Course, Plan, Planted, Time, World, MS, SECOND};
use support::TestStore;

const SEEDS: u64 = 200;
/// Threads that play seeds.
const THREADS: u64 = 3;
/// The time in which all followers must hold what control nodes hold.
const IN_FORCE: u64 = 6 * SECOND;
const IDLE: u64 = 9 * SECOND;
/// The span after which followers go back where that is played, and the time in which all have: three times sixteen of
/// these, and what lies between.
const RETURN_MS: Ms = 400.0;
const ALL_RETURN: u64 = 30 * SECOND;
/// Bytes of all records, at most.
const MOST_COPY_BYTES: usize = 12 << 10;
/// Pages that one copy after the other gets through in 2 s, at 30 ms from one to the next.
const PAGES_IN_TIME: usize = 66;
/// The most bytes of a heartbeat and its answer.
const MOST_PAIR: u64 = 200;

/// How many copies at a time serve all followers in time if they all come to one control node with nothing.
fn copies_in_time(followers: usize, page_bytes: usize) -> usize {
    let pages = MOST_COPY_BYTES.div_ceil(page_bytes);
    (followers * pages).div_ceil(PAGES_IN_TIME)
}

fn plan(seed: u64, planted: Planted) -> Plan {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let followers = rng.random_range(3..=40);
    let page_bytes = rng.random_range(1..=6) << 10;
    let limits = FeedLimits {
        followers: 45,
        full_copies: copies_in_time(followers, page_bytes) + rng.random_range(0..3),
        waiting_copies: rng.random_range(2..=45),
        bytes_per_s: rng.random_range(100_000.0..1_000_000.0),
        history: [4, 16, 64][rng.random_range(0..3)],
        window: rng.random_range(1..=20),
        window_bytes: 4 << 10,
        page_bytes,
        ..FeedLimits::default()
    };
    let (mut content, mut kept) = (TestStore::default(), TestStore::default());
    content.fill(0, 100, 2, 10);
    kept.fill(0, rng.random_range(0..100), 1, 10);
    let troubled_until = rng.random_range(8..20) * SECOND;
    let controls = rng.random_range(3..=4);
    let follower_limits = FollowerLimits::default();
    Plan { seed, planted, controls, followers, limits, follower_limits, content, kept, troubled_until }
}

fn play(seed: u64, planted: Planted) -> Result<Course, Violation> {
    let plan = plan(seed, planted);
    let troubled_until = plan.troubled_until;
    let mut world = World::new(plan);
    world.run_until(troubled_until)?;
    world.check_settles(IN_FORCE)?;
    world.check_idle(IDLE, MOST_PAIR)?;
    world.check_change_while_one_is_away(IN_FORCE)?;
    Ok(world.course())
}

/// Plays with followers that go back soon, so that they do so in the middle of the troubles; tells how many strayed at the
/// end of these.
fn play_returns(seed: u64) -> Result<usize, Violation> {
    let mut plan = plan(seed, Planted::Nothing);
    plan.follower_limits.return_ms = RETURN_MS;
    let troubled_until = plan.troubled_until;
    let mut world = World::new(plan);
    world.run_until(troubled_until)?;
    let strays = world.strays();
    world.check_settles(ALL_RETURN)?;
    assert_eq!(world.strays(), 0, "seed {seed}");
    world.check_change_while_one_is_away(IN_FORCE)?;
    Ok(strays)
}

/// The seeds, from the one that `CORKBAY_SEED` names or from 1 on, and as many as `CORKBAY_SEEDS` says.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("CORKBAY_SEED").unwrap_or(1);
    first..first + number("CORKBAY_SEEDS").unwrap_or(SEEDS)
}

/// What the seeds play out to, in their order.
fn play_all(planted: Planted) -> Vec<(u64, Result<Course, Violation>)> {
    let mut played: Vec<_> = std::thread::scope(|scope| {
        let play_part = |part| {
            let seeds = seeds().filter(move |seed| seed % THREADS == part);
            scope.spawn(move || seeds.map(|seed| (seed, play(seed, planted))).collect::<Vec<_>>())
        };
        let threads: Vec<_> = (0..THREADS).map(play_part).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("plays its seeds")).collect()
    });
    played.sort_by_key(|entry| entry.0);
    played
}

#[test]
fn followers_come_to_equal_the_control_nodes_whatever_happens() {
    let mut troubles = [0; 8];
    let (mut most_pair, mut most_idle) = (0, 0);
    let (mut equal_after, mut in_force_after) = (Vec::new(), Vec::new());
    let played = play_all(Planted::Nothing);
    let found: Vec<_> = played.iter().filter(|(_, played)| played.is_err()).collect();
    assert!(found.is_empty(), "{found:?}");
    for (seed, course) in played.into_iter().filter_map(|(seed, played)| Some((seed, played.ok()?))) {
        most_pair = most_pair.max(course.most_idle_pair);
        most_idle = most_idle.max(course.most_idle_bytes);
        equal_after.push(course.equal_after);
        in_force_after.push(course.in_force_after);
        let feed = course.feed;
        let counts = [
            course.crashes,
            course.torn,
            course.stops,
            course.cuts,
            course.breaks,
            feed.resumes,
            feed.compacted,
            feed.copies,
        ];
        troubles.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        if seed % 50 == 0 {
            println!("seed {seed}: {course:?}");
        }
    }
    println!("crashes, torn, stops, cuts, breaks, resumes, compacted, copies: {troubles:?}");
    println!(
        "most bytes of a heartbeat and its answer: {most_pair}; of {} s idle: {most_idle}",
        IDLE / SECOND
    );
    tell_spread("all equal after the troubles", equal_after);
    tell_spread("in force while one is away", in_force_after);
    assert!(troubles.iter().all(|count| *count > 100), "the troubles took place: {troubles:?}");
}

/// Guards control nodes against carrying the followers of one that failed for ever.
#[test]
fn followers_go_back_to_their_first_choice_after_troubles() {
    let strays: Vec<_> = seeds().take(40).map(|seed| play_returns(seed).expect("keeps the rules")).collect();
    println!("followers at another control node at the end of the troubles: {strays:?}");
    assert!(strays.iter().sum::<usize>() > 40, "there was something to come back from: {strays:?}");
}

fn tell_spread(what: &str, mut times: Vec<Time>) {
    times.sort_unstable();
    let (median, most) = (times[times.len() / 2] / MS, times[times.len() - 1] / MS);
    println!("{what}: median {median} ms, most {most} ms");
}

fn finds(planted: Planted, is_right: fn(&Violation) -> bool) {
    let found: Vec<_> =
        play_all(planted).into_iter().filter_map(|(seed, played)| Some((seed, played.err()?))).collect();
    let right = found.iter().filter(|(_, violation)| is_right(violation)).count();
    let (all, first, others) = (seeds().count(), found.first(), found.len() - right);
    println!("{planted:?}: found in {right} of {all} seeds, first {first:?}; other findings: {others}");
    assert!(right > 0, "{planted:?} is found: {found:?}");
}

#[test]
fn a_revision_skipped_at_a_compaction_is_found() {
    finds(Planted::SkipsAtCompaction, |found| matches!(found, Violation::ClaimsTooMuch { .. }));
}

#[test]
fn a_resume_in_the_numbers_of_another_control_node_is_found() {
    finds(Planted::OneNumbering, |found| matches!(found, Violation::ClaimsTooMuch { .. }));
}

#[test]
fn an_acknowledgement_before_the_sync_is_found() {
    finds(Planted::AcknowledgesEarly, |found| matches!(found, Violation::AcknowledgedBeforeSync { .. }));
}

#[test]
fn an_older_record_of_a_stale_control_node_is_found() {
    finds(Planted::TakesOlder, |found| matches!(found, Violation::WentBack { .. }));
}

#[test]
fn a_seed_plays_out_the_same_way() {
    for seed in 1..=5 {
        assert_eq!(play(seed, Planted::Nothing), play(seed, Planted::Nothing), "seed {seed}");
    }
}
