//! Invariants of the decisions: deadlines, repeats, draining workers, cold workers and the load quota. Each
//! is checked in small scenarios, then all together under seeded random but legal events.
mod support;
use corkbay::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use support::*;

/// Sends a request and answers queries and load orders until the call goes to a worker; returns the worker.
fn deliver(invoker: &mut Invoker, request: Request) -> u32 {
    let (id, model) = (request.id.0, request.model.0);
    let mut actions = invoker.request(request);
    for _ in 0..6 {
        if let Some(sent) = sends(&actions).iter().find(|sent| sent.0 == id) {
            return sent.1;
        }
        let mut next = Vec::new();
        for action in actions {
            if let Action::Load { worker, copies, .. } = action {
                next.extend(invoker.loaded(worker.0, model, Outcome::Ok, copies, 1.0));
            }
        }
        actions = next;
    }
    panic!("call {id} was not sent");
}

#[test]
fn each_request_ends_before_its_own_time_is_up() {
    for entries in
        [vec![], vec![RosterEntry { state: WorkerState::Draining, ..entry(0, 0) }], vec![entry(0, 0)]]
    {
        let mut invoker = Invoker::new(settings(), entries);
        let mut actions = invoker.request(call(1, 0, 5, invoker.now + 300.0));
        actions.extend(invoker.wait(280.0));
        assert_eq!(ended(&actions), vec![(1, true)]);
        assert!(ended(&invoker.wait(500.0)).is_empty(), "the request ends only once");
    }
}

#[test]
fn a_request_with_little_time_left_gets_a_timer_of_its_own() {
    // Answers take 1 ms here, so a call with 30 ms left is sent; it expires before the next recurring
    // timer.
    let mut invoker = Invoker::new(settings(), vec![entry(0, 0)]);
    for id in 100..140 {
        let at = WorkerId(deliver(&mut invoker, call(id, 0, 5, 90000.0)));
        invoker.handle_event(Event::Finished(Finished {
            id: RequestId(id),
            attempt: 0,
            worker: at,
            closed: true,
            outcome: Outcome::Ok,
            took: 1.0,
            warmth: Warmth::Warm,
            concurrent_calls: None,
            report: None,
        }));
    }
    let actions = invoker.request(call(1, 0, 5, invoker.now + 30.0));
    assert_eq!(sends(&actions).len(), 1);
    let timer = actions.iter().find_map(|action| match action {
        Action::Timer { token, delay } if *token != 0 => Some((*token, *delay)),
        _ => None,
    });
    let (token, delay) = timer.expect("a timer");
    assert!(delay <= 30.0);
    invoker.now += delay;
    assert_eq!(ended(&invoker.handle_event(Event::Timer { token })), vec![(1, true)]);
}

#[test]
fn an_unsafe_call_that_may_have_run_is_neither_sent_again_nor_refused() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut invoker = Invoker::new(settings(), vec![entry(0, 0), entry(1, 0)]);
        let at = deliver(&mut invoker, call(1, 1, 5, 9000.0));
        let actions = invoker.finish(1, 0, at, outcome);
        assert_eq!((sends(&actions), ended(&actions)), (vec![], vec![(1, false)]), "{outcome:?}");
    }
}

#[test]
fn an_unsafe_call_that_did_not_run_is_not_ended() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed, Outcome::Miss, Outcome::Moot] {
        let mut invoker = Invoker::new(settings(), vec![entry(0, 0), entry(1, 0)]);
        let at = deliver(&mut invoker, call(1, 1, 5, 9000.0));
        let actions = invoker.finish(1, 0, at, outcome);
        assert!(ended(&actions).is_empty(), "{outcome:?}");
        assert_eq!(ended(&invoker.wait(9000.0)).len(), 1, "{outcome:?}");
    }
}

#[test]
fn calls_at_an_unresponsive_worker_are_cancelled_unless_unsafe() {
    let mut invoker = Invoker::new(settings(), vec![entry(0, 0), entry(1, 0)]);
    let at = deliver(&mut invoker, call(1, 0, 5, 60000.0));
    let other = deliver(&mut invoker, call(2, 1, 5, 60000.0));
    assert_eq!(at, other);
    let actions = invoker.wait(1500.0);
    let cancelled: Vec<_> = actions.iter().filter(|action| matches!(action, Action::Cancel { .. })).collect();
    assert_eq!(cancelled, vec![&Action::Cancel { id: RequestId(1), attempt: 0 }]);
    assert_ne!(
        deliver(&mut invoker, call(3, 1, 5, 60000.0)),
        at,
        "unsafe calls are not sent to a worker that probably fails"
    );
}

/// Guards against a keyed call that runs in two zones or cells because nothing is known of either: such a call that may
/// have run is not sent again.
#[test]
fn a_keyed_call_is_not_sent_again_where_places_are_unknown() {
    for (group, place) in [
        (Group::Zone, Location { zone: None, ..location(0, 1) }),
        (Group::Cell, Location { cell: None, ..location(0, 1) }),
    ] {
        let settings = Settings { classes: vec![class(Effect::Keyed(group, 2000.0), 1.0)], ..settings() };
        let entries = (0..3).map(|number| RosterEntry { location: place, ..entry(number, 0) }).collect();
        let mut invoker = Invoker::new(settings, entries);
        let at = deliver(&mut invoker, call(1, 0, 5, 60000.0));
        let actions = invoker.finish(1, 0, at, Outcome::Reset);
        assert!(
            actions.contains(&Action::Fail { id: RequestId(1), reason: EndReason::MayNotRepeat }),
            "its client need not wait: {actions:?}"
        );
        assert_eq!(sends(&invoker.wait(60000.0)), [], "{group:?}");
    }
}

/// Guards against a keyed call that runs in two zones or cells because its worker is listed elsewhere after it was sent: the
/// first run stays where it was.
#[test]
fn a_keyed_call_does_not_follow_a_worker_that_is_listed_elsewhere() {
    for (group, place) in [(Group::Zone, location(1, 0)), (Group::Cell, location(0, 1))] {
        let settings = Settings { classes: vec![class(Effect::Keyed(group, 2000.0), 1.0)], ..settings() };
        let elsewhere = |number| RosterEntry { location: place, ..entry(number, 0) };
        let mut invoker = Invoker::new(settings, vec![entry(0, 0), elsewhere(1), elsewhere(2)]);
        invoker.request(call(1, 0, 5, 60000.0));
        let actions = invoker.loaded(0, 5, Outcome::Ok, 1, 1.0);
        assert_eq!(sends(&actions), [(1, 0)], "{group:?}");
        invoker.handle_event(Event::Roster(RosterUpdate::Changes(vec![elsewhere(0)])));
        let mut actions = invoker.finish(1, 0, 0, Outcome::Reset);
        for (worker, _) in loads(&actions.clone()) {
            actions.extend(invoker.loaded(worker, 5, Outcome::Ok, 1, 1.0));
        }
        actions.extend(invoker.wait(60000.0));
        assert_eq!(sends(&actions), [], "{group:?}");
        assert_eq!(ended(&actions), vec![(1, false)]);
    }
}

#[test]
fn a_keyed_call_stays_in_its_group_and_window() {
    let keyed = |group| Settings { classes: vec![class(Effect::Keyed(group, 2000.0), 1.0)], ..settings() };
    for (group, refusable) in [(Group::Zone, false), (Group::Cell, false), (Group::All, true)] {
        let entries = vec![entry(0, 0), entry(1, 1), entry(2, 1)];
        let mut invoker = Invoker::new(keyed(group), entries);
        let at = deliver(&mut invoker, call(1, 0, 5, 60000.0));
        assert_eq!(at, 0);
        invoker.handle_event(Event::Roster(RosterUpdate::Changes(vec![RosterEntry {
            state: WorkerState::Removed,
            ..entry(0, 0)
        }])));
        let mut actions = invoker.finish(1, 0, 0, Outcome::Reset);
        for (worker, _) in loads(&actions.clone()) {
            actions.extend(invoker.loaded(worker, 5, Outcome::Ok, 1, 1.0));
        }
        if refusable {
            assert_eq!(sends(&actions).len(), 1, "any worker drops the repeat");
        } else {
            assert!(sends(&actions).is_empty(), "no other zone or cell may get it");
            actions.extend(invoker.wait(60000.0));
            assert_eq!(ended(&actions), vec![(1, false)]);
        }
    }
}

#[test]
fn nothing_new_goes_to_a_draining_worker() {
    let mut invoker = Invoker::new(settings(), vec![entry(0, 0), entry(1, 0)]);
    let at = deliver(&mut invoker, call(1, 0, 5, 90000.0));
    invoker.finish(1, 0, at, Outcome::Ok);
    invoker.handle_event(Event::Roster(RosterUpdate::Changes(vec![RosterEntry {
        state: WorkerState::Draining,
        ..entry(at, 0)
    }])));
    assert_ne!(deliver(&mut invoker, call(2, 0, 5, 90000.0)), at);
    assert!(loads(&invoker.wait(20000.0)).iter().all(|load| load.0 != at), "no load is ordered there either");
}

#[test]
fn a_cold_worker_gets_a_small_part_of_an_average_share() {
    let mut invoker = Invoker::new(settings(), (0..4).map(|number| entry(number, 0)).collect());
    for model in 0..8 {
        for id in 0..4 {
            let at = deliver(&mut invoker, call(model * 10 + id + 1, 0, model, 90000.0));
            invoker.finish(model * 10 + id + 1, 0, at, Outcome::Ok);
        }
    }
    let started_at = invoker.now;
    invoker
        .handle_event(Event::Roster(RosterUpdate::Changes(vec![RosterEntry { started_at, ..entry(2, 0) }])));
    let mut counts = [0; 4];
    for id in 1000..1400 {
        let at = deliver(&mut invoker, call(id, 0, id % 8, 900_000.0));
        counts[at as usize] += 1;
        invoker.finish(id, 0, at, Outcome::Ok);
        invoker.now += 1.0;
    }
    // It has a fifth of its capacity and fails at twice that: with 400 calls over four workers, at 40
    // calls.
    assert!(counts[2] <= 25, "{counts:?}");
}

/// Guards against restarted workers without calls where few invokers have little traffic: with random
/// admission alone, some got no call for as long as they were cold.
#[test]
fn a_cold_worker_is_used_soon_where_invokers_are_few() {
    for seed in 0..20 {
        let list = || (0..10).map(|worker| entry(worker, 0)).collect::<Vec<_>>();
        let mut invoker = Invoker::new(settings(), list());
        invoker.dispatcher = Dispatcher::new(settings(), seed);
        invoker.handle_event(Event::Roster(RosterUpdate::Complete(list())));
        let started_at = invoker.now;
        invoker.handle_event(Event::Roster(RosterUpdate::Changes(vec![RosterEntry {
            started_at,
            ..entry(2, 0)
        }])));
        let mut used = false;
        for id in 1..=40 {
            invoker.now += 100.0;
            let at = deliver(&mut invoker, call(id, 0, id % 40, 90000.0));
            used |= at == 2;
            invoker.finish(id, 0, at, Outcome::Ok);
        }
        assert!(used, "seed {seed}");
    }
}

/// Guards against restarted workers without calls while all called models are loaded elsewhere: each must
/// get exactly one call soon, in any zone, unless there are many invokers.
#[test]
fn a_worker_that_comes_back_gets_one_call_although_copies_exist_elsewhere() {
    for (invokers, expected_calls) in [(3, 1), (100, 0)] {
        let set = Settings { invokers, on_missing_model: MissingModelBehavior::Misses, ..settings() };
        let mut invoker = Invoker::new(set, vec![entry(0, 0), entry(1, 1)]);
        let serve = |invoker: &mut Invoker, id: u64| {
            invoker.now += 10.0;
            let at = deliver(invoker, call(id, 0, 5, 900_000.0));
            invoker.finish(id, 0, at, Outcome::Ok);
            at
        };
        (1..10).for_each(|id| assert_eq!(serve(&mut invoker, id), 0, "the copy in the own zone is used"));
        let draining = RosterEntry { state: WorkerState::Draining, ..entry(1, 1) };
        invoker.handle_event(Event::Roster(RosterUpdate::Changes(vec![draining])));
        invoker.now += 3000.0;
        let started_at = invoker.now;
        invoker.handle_event(Event::Roster(RosterUpdate::Changes(vec![RosterEntry {
            started_at,
            ..entry(1, 1)
        }])));
        let calls = (10..30).filter(|id| serve(&mut invoker, *id) == 1).count();
        assert_eq!(calls, expected_calls, "{invokers} invokers");
    }
}

/// Counts calls sent to the one cold worker of ten, and all calls sent, by many invokers in 1.5 seconds.
fn count_cold_sends(invokers: u64, calls_of: impl Fn(u64) -> u64) -> (usize, usize) {
    let (mut cold, mut all) = (0, 0);
    for number in 0..invokers {
        let mut list: Vec<_> = (0..10).map(|worker| entry(worker, 0)).collect();
        list[2].started_at = 900.0;
        let settings = Settings { invokers: invokers as u32, ..settings() };
        let mut invoker = Invoker::new(settings.clone(), list);
        invoker.dispatcher = Dispatcher::new(settings, number);
        let list = (0..10).map(|worker| RosterEntry {
            started_at: if worker == 2 { 900.0 } else { 0.0 },
            ..entry(worker, 0)
        });
        invoker.handle_event(Event::Roster(RosterUpdate::Complete(list.collect())));
        let calls = calls_of(number);
        for id in 1..=calls {
            invoker.now = 1000.0 + 1500.0 * id as f64 / calls as f64;
            let model = (number + id) % 40;
            let mut actions = invoker.request(call(id, 0, model, 90000.0));
            for worker in [2, (model % 10) as u32] {
                actions.extend(invoker.loaded(worker, model, Outcome::Ok, 1, 1.0));
            }
            for (sent, at) in sends(&actions) {
                (cold, all) = (cold + usize::from(at == 2), all + 1);
                invoker.finish(sent, 0, at, Outcome::Ok);
            }
        }
    }
    (cold, all)
}

#[test]
fn hundreds_of_invokers_together_do_not_overload_a_cold_worker() {
    // It starts at a fifth of its capacity and fails at twice that: two fifths of an even share in a fully
    // loaded fleet. Cases: each invoker has a few calls; one invoker has most calls; two have many each.
    for (invokers, few, many) in [(300, 4, 4), (300, 1, 900), (2, 600, 600)] {
        let (cold, all) = count_cold_sends(invokers, |number| if number == 0 { many } else { few });
        let even = all as f64 / 10.0;
        assert!(all > 1000 && (cold as f64) < 0.4 * even, "{cold} of {all}, {invokers} invokers");
    }
}

/// Sends a request and answers all resulting queries and load orders at once; returns the number of load
/// orders.
fn ordered(invoker: &mut Invoker, request: Request) -> usize {
    let (mut actions, mut ordered) = (invoker.request(request), 0);
    while !actions.is_empty() {
        ordered += loads(&actions).len();
        let mut next = Vec::new();
        for action in actions {
            if let Action::Load { worker, model, copies } = action {
                next.extend(invoker.loaded(worker.0, model.0, Outcome::Ok, copies, 1.0));
            }
        }
        actions = next;
    }
    ordered
}

#[test]
fn load_orders_keep_within_the_quota() {
    let limited =
        Settings { load_window: 5000.0, load_quota_base: 2.0, load_quota_per_request: 0.1, ..settings() };
    let mut invoker = Invoker::new(limited, (0..4).map(|number| entry(number, 0)).collect());
    let mut orders = 0;
    for id in 1..31 {
        orders += ordered(&mut invoker, call(id, 0, id % 10, 900_000.0));
        assert!(orders as f64 <= 2.0 + 0.1 * id as f64, "{orders} orders after {id} calls");
        invoker.now += 1.0;
    }
    assert!(orders >= 4, "the quota is used: {orders}");
}

/// Guards the load quota against clients that repeat one request or make up a model name for each: neither
/// may add to the quota.
#[test]
fn repeats_and_made_up_models_add_nothing_to_the_load_quota() {
    let limited =
        Settings { load_window: 5000.0, load_quota_base: 2.0, load_quota_per_request: 0.5, ..settings() };
    let mut invoker = Invoker::new(limited, (0..4).map(|number| entry(number, 0)).collect());
    let mut orders = |id, model| ordered(&mut invoker, call(id, 0, model, 900_000.0));
    let mut sum = orders(1, 1);
    for _ in 0..50 {
        sum += orders(2, 1);
    }
    for id in 100..150 {
        sum += orders(id, id);
    }
    assert_eq!(sum, 2, "the free orders only: one call and its repeats add half an order");
    for id in 200..210 {
        sum += orders(id, 1);
    }
    for id in 300..310 {
        sum += orders(id, id);
    }
    assert_eq!(sum, 7, "each call of a model called before adds half an order");
}

/// Guards the load quota as counted at the receiver: each order may be delayed by up to `order_lag`, so
/// orders of different windows can arrive closer together than they were decided.
#[test]
fn delayed_load_orders_keep_within_the_quota() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let set = Settings {
            load_window: 3000.0,
            load_quota_base: 3.0,
            load_quota_per_request: 0.2,
            order_lag: 250.0,
            ..settings()
        };
        let mut invoker = Invoker::new(set.clone(), (0..12).map(|number| entry(number, 0)).collect());
        let (mut taken, mut arrived): (Vec<Ms>, Vec<Ms>) = (Vec::new(), Vec::new());
        for id in 1..2000 {
            // Alternates bursts and lulls: the quota earned in a burst is still available in the following
            // lull.
            invoker.now +=
                if id / 100 % 2 == 0 { rng.random_range(1.0..8.0) } else { rng.random_range(10.0..80.0) };
            taken.push(invoker.now);
            // New models all the time, each called several times.
            let model = id / 8 + rng.random_range(0..4);
            let request = call(id, 0, model, invoker.now + 900.0);
            for _ in 0..ordered(&mut invoker, request) {
                arrived.push(invoker.now + rng.random_range(0.0..set.order_lag));
            }
        }
        arrived.sort_by(f64::total_cmp);
        assert!(arrived.len() > 50, "seed {seed}: {} orders", arrived.len());
        for at in &arrived {
            let within =
                |times: &[Ms]| times.iter().filter(|t| (*at - 3000.0 <= **t) && **t <= *at).count() as f64;
            let (orders, calls) = (within(&arrived), within(&taken));
            assert!(orders <= 3.0 + 0.2 * calls, "seed {seed}, {at}: {orders} orders for {calls} calls");
        }
    }
}

#[test]
fn no_load_is_ordered_where_orders_are_not_allowed() {
    for lacking in [MissingModelBehavior::Misses, MissingModelBehavior::Loads] {
        let mut invoker = Invoker::new(
            Settings { load_orders_allowed: false, on_missing_model: lacking, ..settings() },
            vec![entry(0, 0), entry(1, 0)],
        );
        let mut actions = invoker.request(call(1, 0, 5, 9000.0));
        assert_eq!(sends(&actions).len(), 1);
        let at = sends(&actions)[0].1;
        actions.extend(invoker.finish(1, 0, at, Outcome::Ok));
        actions.extend(invoker.wait(20000.0));
        assert!(!actions.iter().any(|action| matches!(action, Action::Load { .. } | Action::Evict { .. })));
    }
}

struct SentAttempt {
    worker: u32,
    /// The zone of its worker when it was sent.
    zone: u32,
    at: Ms,
    done: bool,
}

/// Effects of the classes in random runs; a call's class is its id modulo 4.
const EFFECTS: [Effect; 4] =
    [Effect::Repeatable, Effect::Unsafe, Effect::Keyed(Group::Zone, 700.0), Effect::Keyed(Group::All, 700.0)];

/// Settings of a random run.
fn random_settings(rng: &mut SmallRng) -> Settings {
    Settings {
        classes: EFFECTS.iter().map(|effect| class(*effect, 1.0)).collect(),
        cancel: rng.random_bool(0.5),
        load_orders_allowed: rng.random_bool(0.8),
        on_missing_model: if rng.random_bool(0.5) {
            MissingModelBehavior::Misses
        } else {
            MissingModelBehavior::Loads
        },
        load_window: if rng.random_bool(0.5) { 3000.0 } else { 0.0 },
        load_quota_base: 3.0,
        load_quota_per_request: 0.2,
        ..settings()
    }
}

/// Any legal settings: what a site allows, what answers report, the load quota, slow start and prices.
fn any_settings() -> impl Strategy<Value = (Settings, u32, u64)> {
    let allow = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), 1u32..6);
    let family = (any::<bool>(), any::<bool>(), 0.0..5.0f64, 0.0..0.5f64, 0.0..6000.0f64, 500.0..20_000.0f64);
    let start = (0.05..1.0f64, 0.0..17_000.0f64, 1.2..4.0f64, 0.0..4000.0f64, 0.0..300.0f64);
    let prices = (0.0..0.1f64, 0.0..0.1f64, 0.0..0.2f64, any::<bool>(), 1u32..200);
    (allow, family, start, prices, 1u32..4, any::<u64>()).prop_map(
        |(allow, family, start, prices, zones, seed)| {
            let classes = EFFECTS.iter().enumerate();
            let worth = |(number, effect): (usize, &Effect)| class(*effect, [1.0, 5.0, 2.0, 0.5][number]);
            let set = Settings {
                classes: classes.map(worth).collect(),
                cancel: allow.0,
                second_copies: allow.1,
                retry_after: allow.2,
                reports_warmth: allow.3,
                max_attempts: allow.4,
                load_orders_allowed: family.0,
                on_missing_model: if family.1 {
                    MissingModelBehavior::Loads
                } else {
                    MissingModelBehavior::Misses
                },
                load_quota_base: family.2.floor(),
                load_quota_per_request: family.3,
                load_window: if family.4 < 2000.0 { 0.0 } else { family.4 },
                min_idle_keep: family.5,
                cold_from: start.0,
                cold_span: start.1,
                overload_multiple: start.2,
                overload_span: start.3,
                order_lag: start.4,
                price_cross: prices.0,
                price_probe: prices.1,
                price_fetch: prices.2,
                worth_by_work: prices.3,
                invokers: prices.4,
                ..settings()
            };
            (set, zones, seed)
        },
    )
}

/// Feeds random but legal events and checks the invariants on every action. A listing moves its worker to another zone
/// with the probability `moves`. Returns the calls served and taken.
fn run_random_events(seed: u64, set: Settings, zones: u32, moves: f64) -> (usize, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (cancel, orders, max) = (set.cancel, set.load_orders_allowed, set.max_attempts as usize);
    let (window, free, share) = (set.load_window, set.load_quota_base, set.load_quota_per_request);
    let mut invoker = Invoker::new(set, vec![]);
    let mut zone_of: BTreeMap<u32, u32> = (0..7).map(|worker| (worker, worker % zones)).collect();
    let mut ready: BTreeMap<u32, bool> = BTreeMap::new();
    let mut open: BTreeMap<u64, (Ms, Vec<SentAttempt>)> = BTreeMap::new();
    let mut queries: VecDeque<(u32, u64)> = VecDeque::new();
    let (mut taken, mut ordered) = (Vec::new(), Vec::new());
    let (mut served, mut next) = (0, 1u64);
    for step in 0..6000 {
        invoker.now += rng.random::<f64>() * 8.0;
        let drain = step >= 5000;
        let event = match rng.random_range(0..10) {
            0 if step < 20 || rng.random_bool(0.1) => {
                let number = rng.random_range(0..7);
                let state =
                    [WorkerState::Ready, WorkerState::Ready, WorkerState::Draining, WorkerState::Removed]
                        [rng.random_range(0..4)];
                ready.insert(number, state == WorkerState::Ready);
                // One in four has just started.
                let started_at = if rng.random_bool(0.25) { invoker.now } else { 0.0 };
                if moves > 0.0 && rng.random_bool(moves) {
                    zone_of.insert(number, rng.random_range(0..zones));
                }
                let zone = zone_of[&number] as usize;
                let entry_update = RosterEntry { state, started_at, ..entry(number, zone) };
                Event::Roster(RosterUpdate::Changes(vec![entry_update]))
            }
            1..=3 if !drain => {
                let expires = invoker.now + 20.0 + rng.random::<f64>() * 1500.0;
                let request = call(next, (next % 4) as usize, rng.random_range(0..12), expires);
                let request = Request { lanes: rng.random_range(1..5).into(), ..request };
                open.insert(next, (expires, vec![]));
                taken.push(invoker.now);
                next += 1;
                Event::Request(request)
            }
            4..=6 => {
                let in_flight: Vec<_> = open
                    .iter()
                    .flat_map(|(id, (_, attempts))| {
                        attempts.iter().enumerate().filter(|out| !out.1.done).map(|out| (*id, out.0))
                    })
                    .collect();
                if in_flight.is_empty() {
                    Event::Timer { token: 0 }
                } else {
                    let (id, attempt) = in_flight[rng.random_range(0..in_flight.len())];
                    let outcomes = [
                        Outcome::Ok,
                        Outcome::Error,
                        Outcome::Full,
                        Outcome::Timeout,
                        Outcome::ConnectFailed,
                        Outcome::Reset,
                        Outcome::Miss,
                    ];
                    let outcome = outcomes[rng.random_range(0..outcomes.len())];
                    let (_, attempts) = open.get_mut(&id).unwrap();
                    attempts[attempt].done = true;
                    let worker = attempts[attempt].worker;
                    let closed = outcome == Outcome::Ok;
                    if outcome.proves_not_run() {
                        attempts[attempt].at = -1.0;
                    }
                    if closed {
                        served += 1;
                        open.remove(&id);
                    }
                    Event::Finished(Finished {
                        id: RequestId(id),
                        attempt: attempt as u32,
                        worker: WorkerId(worker),
                        closed,
                        outcome,
                        took: rng.random::<f64>() * 400.0,
                        warmth: Warmth::Unknown,
                        concurrent_calls: rng.random_bool(0.5).then_some(3),
                        report: rng.random_bool(0.5).then(|| Report {
                            inflight: Some(rng.random_range(0.0..20.0)),
                            pinned: Some(rng.random::<f64>()),
                            loading: None,
                        }),
                    })
                }
            }
            7 | 8 if !queries.is_empty() => {
                let (worker, model) = queries.pop_front().unwrap();
                let outcome =
                    [Outcome::Ok, Outcome::Ok, Outcome::Full, Outcome::Error][rng.random_range(0..4)];
                let (worker, model) = (WorkerId(worker), ModelId(model));
                Event::Loaded { worker, model, outcome, copies: rng.random_range(0..2), took: 50.0 }
            }
            _ => Event::Timer { token: 0 },
        };
        for action in invoker.handle_event(event) {
            match action {
                Action::Send { id, worker, .. } => {
                    assert!(
                        ready.get(&worker.0).copied().unwrap_or(false),
                        "sent to a worker that is not ready"
                    );
                    let (expires, attempts) = open.get_mut(&id.0).expect("sent after its end");
                    assert!(invoker.now < *expires && attempts.len() < max);
                    assert!(attempts.iter().all(|out| out.done), "two attempts in flight at once");
                    let ran = attempts.iter().find(|out| out.at >= 0.0);
                    let class = (id.0 % 4) as usize;
                    match ran {
                        Some(_) if class == 1 => panic!("an unsafe call was repeated"),
                        Some(ran) if class == 2 => {
                            assert!(ran.zone == zone_of[&worker.0] && invoker.now <= ran.at + 700.0)
                        }
                        Some(ran) if class == 3 => assert!(invoker.now <= ran.at + 700.0),
                        _ => {}
                    }
                    let zone = zone_of[&worker.0];
                    attempts.push(SentAttempt { worker: worker.0, zone, at: invoker.now, done: false });
                }
                Action::Refuse { id, .. } => {
                    let (_, attempts) = open.remove(&id.0).expect("ended twice");
                    let ran = attempts.iter().any(|out| out.at >= 0.0);
                    let class = id.0 % 4;
                    assert!(!ran || class == 0 || class == 3, "refused though it may have run");
                }
                Action::Fail { id, .. } => assert!(open.remove(&id.0).is_some(), "ended twice"),
                Action::Load { worker, model, copies } => {
                    assert!(orders, "a load order although orders are not allowed");
                    queries.push_back((worker.0, model.0));
                    if copies > 0 {
                        assert!(
                            ready.get(&worker.0).copied().unwrap_or(false),
                            "a load ordered at a draining worker"
                        );
                        ordered.push(invoker.now);
                        let count =
                            |times: &[Ms]| times.iter().filter(|at| **at > invoker.now - window).count();
                        let allowed = free + share * count(&taken) as f64;
                        assert!(window <= 0.0 || count(&ordered) as f64 <= allowed, "over the load quota");
                    }
                }
                Action::Cancel { .. } => assert!(cancel),
                Action::Probe { .. } => panic!("probes are not allowed here"),
                _ => {}
            }
        }
        for (id, (expires, _)) in &open {
            assert!(invoker.now < *expires + 8.0, "request {id} was lost");
        }
    }
    (served, next as usize)
}

#[test]
fn random_legal_events_keep_all_invariants() {
    for seed in 0..12 {
        let set = random_settings(&mut SmallRng::seed_from_u64(seed));
        let (served, taken) = run_random_events(seed, set, 2, 0.0);
        assert!(taken > 500 && served > 5, "seed {seed}: {served} of {taken}");
    }
}

/// Guards the same invariants while workers are listed in other zones with calls out.
#[test]
fn random_legal_events_keep_all_invariants_while_workers_move() {
    for seed in 0..12 {
        let set = random_settings(&mut SmallRng::seed_from_u64(seed));
        let (served, taken) = run_random_events(seed, set, 3, 0.5);
        assert!(taken > 500 && served > 5, "seed {seed}: {served} of {taken}");
    }
}

/// Guards against a call that draws for a cold worker without end: with a `overload_span` of 0, a lost draw was
/// forgotten at once.
#[test]
fn a_lost_draw_counts_even_if_fall_span_is_zero() {
    let set = Settings {
        overload_span: 0.0,
        invokers: 200,
        on_missing_model: MissingModelBehavior::Misses,
        ..settings()
    };
    let started_at = 1000.0;
    let mut invoker = Invoker::new(set, vec![RosterEntry { started_at, ..entry(0, 0) }]);
    for id in 1..20 {
        invoker.request(call(id, 0, id, invoker.now + 300.0));
    }
    assert_eq!(ended(&invoker.wait(300.0)).len(), 19, "every call is ended once");
}

/// Checks the invariants under random legal settings.
#[test]
fn random_legal_settings_keep_all_invariants() {
    let config = Config { cases: 64, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let result = runner.run(&any_settings(), |(set, zones, seed)| {
        let (_, taken) = run_random_events(seed, set, zones, 0.0);
        prop_assert!(taken > 500);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against clients that retry at once: a refusal must carry a retry delay where the site passes it
/// on.
#[test]
fn a_refusal_advises_when_to_come_back_where_advice_is_passed_on() {
    for (retry_after, advice) in [(true, 500.0), (false, 0.0)] {
        let mut invoker = Invoker::new(Settings { retry_after, ..settings() }, vec![]);
        let mut actions = invoker.request(call(1, 0, 5, invoker.now + 2000.0));
        actions.extend(invoker.wait(2000.0));
        let refused = Action::Refuse { id: RequestId(1), retry_after: advice, reason: EndReason::NoTime };
        assert!(actions.contains(&refused), "{actions:?}");
    }
}
