//! Failures of workers and clients, invalid input, bounded memory, and limits on the source files.
mod support;
use corkbay::*;
use support::*;

/// Sends a call and answers its queries and load orders with success; returns the worker that gets it.
fn load_and_send(invoker: &mut Invoker, id: u64, class: usize, model: u64) -> u32 {
    let mut actions = invoker.request(call(id, class, model, invoker.now + 60000.0));
    let mut sent = None;
    for _ in 0..6 {
        sent = sent.or(sends(&actions).first().map(|sent| sent.1));
        for action in std::mem::take(&mut actions) {
            if let Action::Load { worker, copies, .. } = action {
                actions.extend(invoker.loaded(worker.0, model, Outcome::Ok, copies, 1.0));
            }
        }
    }
    if let Some(at) = sent {
        return at;
    }
    panic!("{id} not sent: {actions:?}");
}

#[test]
fn a_worker_that_fails_fast_gets_few_calls() {
    let once = Settings { max_attempts: 1, ..settings() };
    let mut invoker = Invoker::new(once, (0..6).map(|number| entry(number, 0)).collect());
    let bad = load_and_send(&mut invoker, 1, 0, 5);
    invoker.finish(1, 0, bad, Outcome::Error);
    let mut to_bad = 0;
    for id in 2..40 {
        let at = load_and_send(&mut invoker, id, 0, 5);
        to_bad += u32::from(at == bad);
        invoker.finish(id, 0, at, if at == bad { Outcome::Error } else { Outcome::Ok });
        invoker.now += 10.0;
    }
    assert!(to_bad <= 6, "{to_bad} of 38 calls went to the failing worker");
}

/// An invoker that knows copies of model 5 at workers 0 and 1.
fn invoker_with_two_copies(settings: Settings) -> Invoker {
    let mut invoker = Invoker::new(settings, vec![entry(0, 0), entry(1, 0)]);
    invoker.request(call(1, 0, 5, 60000.0));
    for worker in 0..2 {
        let actions = invoker.loaded(worker, 5, Outcome::Ok, 1, 1.0);
        if let Some(sent) = sends(&actions).first() {
            invoker.finish(1, 0, sent.1, Outcome::Ok);
        }
    }
    invoker
}

#[test]
fn a_worker_that_failed_is_found_again_when_its_failures_have_faded() {
    let mut invoker = invoker_with_two_copies(settings());
    let mut id = 10;
    while sends(&invoker.request(call(id, 0, 5, invoker.now + 60000.0))) == vec![(id, 1)] {
        invoker.finish(id, 0, 1, Outcome::Error);
        id += 1;
        assert!(id < 20, "a failing worker still gets calls");
    }
    invoker.finish(id, 0, 0, Outcome::Ok);
    let actions = invoker.request(call(100, 1, 5, invoker.now + 60000.0));
    assert_eq!(sends(&actions), vec![(100, 0)], "unsafe calls are not sent to a worker that probably fails");
    // Much later the failures have decayed, and more calls come than the healthy copy has lanes.
    invoker.now += 40000.0;
    invoker.loaded(0, 5, Outcome::Ok, 1, 1.0);
    invoker.loaded(1, 5, Outcome::Ok, 1, 1.0);
    let mut at = Vec::new();
    for id in 200..204 {
        at.extend(sends(&invoker.request(call(id, 0, 5, invoker.now + 60000.0))).iter().map(|sent| sent.1));
    }
    assert!(at.contains(&1), "{at:?}");
}

#[test]
fn missing_answers_in_one_class_are_not_offset_by_another_class() {
    // A worker can serve one class and leave calls of another class unanswered (seen in class_fail runs).
    let mut invoker = invoker_with_two_copies(settings());
    let actions = invoker.request(call(10, 1, 5, invoker.now + 60000.0));
    let at = sends(&actions)[0].1;
    for id in 20..30 {
        invoker.wait(300.0);
        invoker.loaded(0, 5, Outcome::Ok, 1, 1.0);
        invoker.loaded(1, 5, Outcome::Ok, 1, 1.0);
        for sent in sends(&invoker.request(call(id, 0, 5, invoker.now + 60000.0))) {
            invoker.finish(sent.0, 0, sent.1, Outcome::Ok);
        }
    }
    let actions = invoker.request(call(100, 1, 5, invoker.now + 60000.0));
    assert_eq!(sends(&actions), vec![(100, 1 - at)], "calls of the unanswered class go elsewhere");
}

#[test]
fn a_stall_of_the_invoker_is_not_blamed_on_workers() {
    let mut invoker = invoker_with_two_copies(settings());
    let at = sends(&invoker.request(call(10, 0, 5, invoker.now + 60000.0)))[0].1;
    invoker.now += 5000.0;
    let actions = invoker.handle_event(Event::Timer { token: 0 });
    assert!(
        !actions.iter().any(|action| matches!(action, Action::Cancel { .. })),
        "no worker was unresponsive"
    );
    invoker.finish(10, 0, at, Outcome::Ok);
    let mut used = Vec::new();
    for id in 20..24 {
        used.extend(sends(&invoker.request(call(id, 1, 5, invoker.now + 60000.0))).iter().map(|sent| sent.1));
    }
    assert!(used.contains(&at), "{used:?}");
}

#[test]
fn when_most_workers_fail_none_is_avoided() {
    let once = Settings { max_attempts: 1, ..settings() };
    let mut invoker = Invoker::new(once, (0..3).map(|number| entry(number, 0)).collect());
    for model in 0..30 {
        let at = load_and_send(&mut invoker, model + 1, 0, model);
        invoker.finish(model + 1, 0, at, Outcome::Error);
        invoker.wait(60.0);
    }
    let actions = invoker.request(call(5000, 1, 900, invoker.now + 9000.0));
    let mut actions = actions;
    for worker in queries(&actions.clone()) {
        actions.extend(invoker.loaded(worker, 900, Outcome::Ok, 0, 1.0));
    }
    assert!(!loads(&actions).is_empty(), "an unsafe call still finds a worker");
}

#[test]
fn timed_out_calls_reduce_the_limit_of_a_worker() {
    // A worker answered so late that all its calls timed out. Only answers were counted, so it went on
    // getting as many calls as before (incident if88256).
    let mut invoker = Invoker::new(Settings { cancel: false, ..settings() }, vec![entry(0, 0)]);
    load_and_send(&mut invoker, 1, 1, 5);
    invoker.finish(1, 0, 0, Outcome::Ok);
    let burst = |invoker: &mut Invoker, from: u64| {
        let mut sent = 0;
        for id in from..from + 12 {
            let request = Request { lanes: 20.0, ..call(id, 1, 5, invoker.now + 900.0) };
            sent += sends(&invoker.request(request)).len();
        }
        sent
    };
    let first = burst(&mut invoker, 100);
    invoker.wait(3000.0);
    for id in 100..100 + first as u64 {
        invoker.finish(id, 0, 0, Outcome::Timeout);
    }
    let second = burst(&mut invoker, 200);
    assert!(first >= 3 && second < first, "{first} and then {second}");
}

#[test]
fn nothing_is_sent_that_cannot_be_answered_in_time() {
    let mut invoker = Invoker::new(settings(), vec![entry(0, 0)]);
    let at = load_and_send(&mut invoker, 1, 0, 5);
    invoker.finish(1, 0, at, Outcome::Ok);
    let actions = invoker.request(call(2, 0, 5, invoker.now + 50.0));
    assert_eq!((sends(&actions), ended(&actions)), (vec![], vec![(2, true)]));
}

#[test]
fn failing_loads_are_retried_with_a_delay() {
    let mut invoker = Invoker::new(settings(), (0..4).map(|number| entry(number, 0)).collect());
    let mut actions = invoker.request(call(1, 0, 5, 60000.0));
    let mut orders = 0;
    for _ in 0..500 {
        for action in std::mem::take(&mut actions) {
            if let Action::Load { worker, copies, .. } = action {
                orders += copies;
                let outcome = if copies > 0 { Outcome::Error } else { Outcome::Ok };
                actions.extend(invoker.loaded(worker.0, 5, outcome, 0, 5.0));
            }
        }
        actions.extend(invoker.wait(20.0));
    }
    assert!((2..40).contains(&orders), "{orders} orders in 10 s");
}

#[test]
fn concurrent_loads_are_few_at_first_and_fewer_where_workers_are_full() {
    // Many concurrent loads evicted models that others had just loaded (seen in lakes big-1).
    let mut invoker = Invoker::new(settings(), (0..8).map(|number| entry(number, 0)).collect());
    let under_way = |invoker: &mut Invoker, from: u64| {
        let mut orders = Vec::new();
        for id in from..from + 10 {
            let mut actions = invoker.request(call(id, 0, id, invoker.now + 60000.0));
            for worker in queries(&actions.clone()) {
                actions.extend(invoker.loaded(worker, id, Outcome::Ok, 0, 1.0));
            }
            orders.extend(loads(&actions));
        }
        orders
    };
    let first = under_way(&mut invoker, 1);
    assert_eq!(first.len(), 2);
    // Each "full" answer ends a load and reduces the limit on concurrent loads; few orders may follow.
    let mut next = invoker.loaded(first[0].0, first[0].1, Outcome::Full, 0, 1.0);
    next.extend(invoker.loaded(first[1].0, first[1].1, Outcome::Full, 0, 1.0));
    assert!(loads(&next).len() <= 1 + first.len() / 2, "{:?}", loads(&next));
}

#[test]
fn a_load_order_without_an_answer_goes_to_another_worker() {
    let mut invoker = Invoker::new(settings(), (0..4).map(|number| entry(number, 0)).collect());
    let mut actions = invoker.request(call(1, 0, 5, 60000.0));
    for worker in queries(&actions.clone()) {
        actions.extend(invoker.loaded(worker, 5, Outcome::Ok, 0, 1.0));
    }
    let first = loads(&actions)[0].0;
    let later = loads(&invoker.wait(6000.0));
    assert!(later.iter().any(|load| load.0 != first), "{later:?}");
}

#[test]
fn invalid_input_neither_panics_nor_loses_a_request() {
    let nowhere = RosterEntry { location: Location::default(), ..entry(0, 0) };
    let mut invoker = Invoker::new(settings(), vec![nowhere]);
    invoker.finish(77, 3, 9, Outcome::Ok);
    invoker.loaded(9, 9, Outcome::Error, u32::MAX, f64::INFINITY);
    invoker.handle_event(Event::Withdrawn { id: RequestId(5) });
    invoker.handle_event(Event::Started { id: RequestId(5) });
    invoker.handle_event(Event::Timer { token: u64::MAX });
    invoker.handle_event(Event::Roster(RosterUpdate::Refused));
    invoker.handle_event(Event::Roster(RosterUpdate::Changes(vec![RosterEntry {
        kind: Some(usize::MAX),
        weight: -1.0,
        started_at: 1e300,
        ..entry(3, 9)
    }])));
    let odd = Request { memory: -5.0, lanes: 0.0, load_hint: Some(0.0), ..call(1, 0, 5, 0.0) };
    let mut actions = invoker.request(odd.clone());
    actions.extend(invoker.wait(60.0));
    assert_eq!(ended(&actions).len(), 1, "it had already expired");
    let actions = invoker.request(Request { class: 99, id: RequestId(2), ..odd.clone() });
    assert_eq!(ended(&actions), vec![(2, true)]);
    invoker.now = f64::NAN;
    let actions = invoker.request(Request { id: RequestId(3), expires: f64::INFINITY, ..odd.clone() });
    assert!(ended(&actions).is_empty());
    let empty = Settings { classes: vec![], min_idle_keep: 0.0, kind_memory: vec![], ..settings() };
    let mut invoker = Invoker::new(empty, vec![entry(0, 0)]);
    assert_eq!(ended(&invoker.request(odd)), vec![(1, true)]);
}

#[test]
fn a_roster_that_must_be_asked_for_is_asked_for() {
    let set = Settings { roster_on_request: true, ..settings() };
    let mut actions = Vec::new();
    Dispatcher::new(set, 1).handle(5.0, Event::Roster(RosterUpdate::Refused), &mut actions);
    assert!(actions.contains(&Action::Subscribe));
}

#[test]
fn a_stream_that_began_is_not_ended() {
    let mut invoker = Invoker::new(settings(), vec![entry(0, 0)]);
    let at = load_and_send(&mut invoker, 1, 0, 5);
    invoker.handle_event(Event::Started { id: RequestId(1) });
    assert!(ended(&invoker.wait(70000.0)).is_empty());
    assert!(ended(&invoker.finish(1, 0, at, Outcome::Ok)).is_empty());
}

#[test]
fn calls_withdrawn_late_lead_to_early_refusals() {
    // Clients withdrew requests early and retried at once, while workers, which can't be stopped, still
    // worked on the earlier calls (incident ia9d8b0).
    let refused = |leave: bool, after: Ms| {
        let mut invoker = invoker_with_two_copies(settings());
        let mut ends = 0;
        for id in 10..210 {
            let actions = invoker.request(call(id, 0, 5, invoker.now + 60000.0));
            ends += ended(&actions).len();
            if let Some(sent) = sends(&actions).first() {
                invoker.wait(after);
                if leave {
                    invoker.handle_event(Event::Withdrawn { id: RequestId(id) });
                }
                invoker.finish(id, 0, sent.1, Outcome::Ok);
            }
            invoker.now += 1.0;
        }
        ends
    };
    assert_eq!(refused(false, 1100.0), 0);
    assert!(refused(true, 1100.0) > 20, "{}", refused(true, 1100.0));
    // Requests withdrawn at once, which happens by the hundred, say nothing about the workers.
    assert_eq!(refused(true, 0.0), 0);
}

#[test]
fn a_lost_call_does_not_count_towards_the_limit_of_a_worker_that_answers() {
    // Calls that were never answered used up the limits of healthy workers, and hundreds of calls waited
    // (seen in rate+silent+leave).
    let accepted_calls = |lost: bool| {
        let mut invoker = Invoker::new(settings(), vec![entry(0, 0)]);
        load_and_send(&mut invoker, 1, 1, 5);
        invoker.finish(1, 0, 0, Outcome::Ok);
        let wide =
            |invoker: &Invoker, id: u64| Request { lanes: 50.0, ..call(id, 1, 5, invoker.now + 60000.0) };
        for id in 10..13 {
            let request = wide(&invoker, id);
            assert_eq!(sends(&invoker.request(request)).len(), 1);
        }
        for id in (10..13).filter(|_| !lost) {
            invoker.finish(id, 0, 0, Outcome::Ok);
        }
        for id in 20..40 {
            let request = wide(&invoker, id);
            if !sends(&invoker.request(request)).is_empty() {
                invoker.finish(id, 0, 0, Outcome::Ok);
            }
            invoker.wait(200.0);
        }
        let mut sent = 0;
        for id in 100..140 {
            let request = wide(&invoker, id);
            sent += sends(&invoker.request(request)).len();
        }
        sent
    };
    assert!(
        accepted_calls(true) + 1 >= accepted_calls(false),
        "{} of {}",
        accepted_calls(true),
        accepted_calls(false)
    );
}

#[test]
fn unanswered_queries_do_not_reduce_concurrent_loads() {
    // Each lost query reduced the limit on concurrent loads, until it was one (seen in rate+silent+leave).
    let mut invoker = Invoker::new(settings(), (0..8).map(|number| entry(number, 0)).collect());
    let under_way = |invoker: &mut Invoker, id: u64, answer: Outcome| {
        let actions = invoker.request(call(id, 0, id, invoker.now + 60000.0));
        let mut orders = loads(&actions);
        for worker in queries(&actions) {
            orders.extend(loads(&invoker.loaded(worker, id, answer, 0, 1.0)));
        }
        orders
    };
    for id in 1..7 {
        for (worker, model) in under_way(&mut invoker, id, Outcome::Timeout) {
            invoker.loaded(worker, model, Outcome::Ok, 1, 1.0);
        }
    }
    let orders: Vec<_> = (11..14).flat_map(|id| under_way(&mut invoker, id, Outcome::Ok)).collect();
    assert_eq!(orders.len(), 2, "{orders:?}");
}

#[test]
fn one_full_worker_among_others_with_room_leads_to_no_refusals() {
    // Three of six workers were full and the others nearly idle, yet up to half of all calls were refused
    // (seen in wide).
    let mut invoker = Invoker::new(settings(), (0..3).map(|number| entry(number, 0)).collect());
    let mut full = 0;
    for id in 1..400 {
        let mut actions = invoker.request(call(id, 0, 5 + id % 7, invoker.now + 60000.0));
        let mut attempt = 0;
        for _ in 0..6 {
            assert_eq!(ended(&actions), [], "after {full} full answers");
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send { worker, .. } => {
                        let turned_away = attempt == 0 && id % 3 == 0;
                        let outcome = if turned_away { Outcome::Full } else { Outcome::Ok };
                        full += u32::from(turned_away);
                        actions.extend(invoker.finish(id, attempt, worker.0, outcome));
                        attempt += 1;
                    }
                    Action::Load { worker, copies, .. } => {
                        actions.extend(invoker.loaded(worker.0, 5 + id % 7, Outcome::Ok, copies, 1.0));
                    }
                    _ => {}
                }
            }
        }
        invoker.wait(200.0);
    }
    assert!(full > 30, "{full}");
}

#[test]
fn a_retry_goes_where_the_call_has_not_failed() {
    // A call failed up to five times at the same worker, which was idle because it failed fast (seen in
    // reload with fast-failing workers).
    let mut invoker = invoker_with_two_copies(settings());
    let send =
        |invoker: &mut Invoker, id: u64| sends(&invoker.request(call(id, 0, 5, invoker.now + 60000.0)))[0].1;
    for id in (10..50).step_by(4) {
        let out: Vec<u32> = (id..id + 4).map(|id| send(&mut invoker, id)).collect();
        for (id, at) in (id..).zip(out) {
            invoker.finish(id, 0, at, Outcome::Ok);
        }
    }
    // The first call fails, while the other worker still has some of the later calls in flight.
    let out: Vec<u32> = (50..54).map(|id| send(&mut invoker, id)).collect();
    for (id, at) in (51..).zip(&out[1..]) {
        if *at == out[0] {
            invoker.finish(id, 0, *at, Outcome::Ok);
        }
    }
    assert_eq!(sends(&invoker.finish(50, 0, out[0], Outcome::Error)), [(50, 1 - out[0])], "{out:?}");
}

#[test]
fn a_keyed_call_that_may_have_run_has_its_model_loaded_in_its_group() {
    let keyed = class(Effect::Keyed(Group::Cell, 20000.0), 1.0);
    let settings = Settings { classes: vec![keyed], ..settings() };
    let in_cell =
        |number: u32| RosterEntry { location: location(0, u64::from(number > 1)), ..entry(number, 0) };
    for model in 1..20 {
        let mut invoker = Invoker::new(settings.clone(), (0..10).map(in_cell).collect());
        invoker.request(call(1, 0, model, 60000.0));
        // The model is loaded only at worker 0, which then fails.
        let actions = invoker.loaded(0, model, Outcome::Ok, 1, 1.0);
        let Some(&(_, at)) = sends(&actions).first() else { continue };
        if at != 0 {
            continue;
        }
        let orders = loads(&invoker.finish(1, 0, 0, Outcome::Error));
        assert!(orders.iter().all(|order| order.0 == 1), "model {model}: {orders:?}");
    }
}

/// Guards against memory that grows with every zone that a worker was ever listed in, also between sweeps.
#[test]
fn estimates_of_zones_without_workers_are_forgotten() {
    let bytes_after_listings_in = |zones: u64| {
        let mut invoker = Invoker::new(settings(), vec![entry(0, 0)]);
        load_and_send(&mut invoker, 1, 0, 5);
        invoker.finish(1, 0, 0, Outcome::Ok);
        for id in 2..2000 {
            let moved = RosterEntry { location: location(id % zones, 0), ..entry(0, 0) };
            invoker.handle_event(Event::Roster(RosterUpdate::Changes(vec![moved])));
            invoker.request(call(id, 0, 5, invoker.now + 1000.0));
            invoker.finish(id, 0, 0, Outcome::Ok);
        }
        invoker.dispatcher.table_sizes().bytes
    };
    let (few, many) = (bytes_after_listings_in(2), bytes_after_listings_in(u64::MAX));
    assert!(many < few + 8 * 1024, "{few} bytes with two zones, {many} with many");
}

#[test]
fn a_connection_reset_alone_does_not_make_a_worker_cold() {
    // Each broken connection made its worker count as just started with nothing loaded, until all workers
    // were cold and most calls were refused (seen in runs with corrupted answers).
    let mut invoker = Invoker::new(settings(), vec![entry(0, 0)]);
    assert_eq!(load_and_send(&mut invoker, 1, 0, 5), 0);
    invoker.finish(1, 0, 0, Outcome::Ok);
    let sent = |invoker: &mut Invoker, from: u64| -> Vec<u64> {
        let mut sent = Vec::new();
        for id in from..from + 3 {
            sent.extend(
                sends(&invoker.request(call(id, 0, 5, invoker.now + 60000.0))).iter().map(|sent| sent.0),
            );
        }
        sent
    };
    let out = sent(&mut invoker, 10);
    assert_eq!(out, [10, 11, 12]);
    let mut again = Vec::new();
    for id in out {
        again.extend(sends(&invoker.finish(id, 0, 0, Outcome::Reset)));
    }
    assert_eq!(again, [(10, 0), (11, 0), (12, 0)], "the worker is still warm and accepts calls");
    // A reset followed by a refused connection means that the process has died.
    invoker.finish(10, 1, 0, Outcome::ConnectFailed);
    invoker.finish(11, 1, 0, Outcome::Ok);
    invoker.finish(12, 1, 0, Outcome::Ok);
    assert!(sent(&mut invoker, 20).len() < 3, "the new process is cold");
}

#[test]
fn a_model_that_no_worker_knows_is_refused_at_once_and_slows_no_loads() {
    // Models that no worker knows were ordered again and again; the errors reduced the limit on all
    // concurrent loads to one and made workers seem unhealthy (seen in runs with bad clients).
    let settings = Settings { on_missing_model: MissingModelBehavior::Misses, ..settings() };
    let mut invoker =
        Invoker::new(settings, (0..6).map(|number| entry(number, number as usize % 3)).collect());
    for id in 1..30 {
        // Every call, query and load order for the model is answered with an error.
        let (mut actions, mut attempt) = (invoker.request(call(id, 0, 1000 + id, invoker.now + 60000.0)), 0);
        let mut seen = Vec::new();
        while !actions.is_empty() && seen.len() < 50 {
            seen.extend(actions.clone());
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send { worker, .. } => {
                        actions.extend(invoker.finish(id, attempt, worker.0, Outcome::Error));
                        attempt += 1;
                    }
                    Action::Load { worker, .. } => {
                        actions.extend(invoker.loaded(worker.0, 1000 + id, Outcome::Error, 0, 1.0));
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(ended(&seen), [(id, true)], "{seen:?}");
        let again = invoker.request(call(100 + id, 0, 1000 + id, invoker.now + 60000.0));
        assert_eq!((again.len(), ended(&again)), (1, vec![(100 + id, true)]));
    }
    // Concurrent loads are still allowed as at the start, and workers still count as healthy.
    let mut orders = Vec::new();
    for id in 201..204 {
        let (mut actions, mut attempt) = (invoker.request(call(id, 0, id, invoker.now + 60000.0)), 0);
        for _ in 0..6 {
            orders.extend(loads(&actions));
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send { worker, .. } => {
                        actions.extend(invoker.finish(id, attempt, worker.0, Outcome::Miss));
                        attempt += 1;
                    }
                    Action::Load { worker, copies: 0, .. } => {
                        actions.extend(invoker.loaded(worker.0, id, Outcome::Ok, 0, 1.0));
                    }
                    _ => {}
                }
            }
        }
    }
    assert_eq!(orders.len(), 2, "{orders:?}");
    // Unknown model names don't accumulate.
    invoker.wait(60000.0);
    assert!(invoker.dispatcher.table_sizes().models <= 3, "{:?}", invoker.dispatcher.table_sizes());
}

#[test]
fn unused_models_and_workers_are_forgotten() {
    // Models called once and removed workers must not accumulate in a process that runs for months.
    let mut invoker = Invoker::new(settings(), vec![]);
    for number in 0..600u32 {
        let list = (0..3).map(|back| RosterEntry {
            state: if back == 2 { WorkerState::Removed } else { WorkerState::Ready },
            ..entry((number + 2).saturating_sub(back), 0)
        });
        invoker.handle_event(Event::Roster(RosterUpdate::Changes(list.collect())));
        let id = u64::from(number) + 1;
        let at = load_and_send(&mut invoker, id, 0, id);
        invoker.finish(id, 0, at, Outcome::Ok);
        invoker.wait(1000.0);
    }
    let tables = invoker.dispatcher.table_sizes();
    assert!(tables.models < 60 && tables.workers < 20 && tables.entries < 100, "{tables:?}");
    assert!(tables.bytes < 60_000, "{tables:?}");
}

/// Guards memory against model names that clients make up faster than they expire: when memory must be
/// freed, models never loaded are forgotten first, then the least recently used, and never one with an open
/// call.
#[test]
fn models_never_loaded_and_least_recently_used_are_forgotten_first() {
    let mut invoker = Invoker::new(settings(), (0..4).map(|number| entry(number, 0)).collect());
    let standing = |invoker: &mut Invoker, id: u64| {
        let at = load_and_send(invoker, id, 0, id);
        invoker.finish(id, 0, at, Outcome::Ok);
        invoker.wait(50.0);
    };
    (1..=3).for_each(|id| standing(&mut invoker, id));
    let made_up = 10;
    let known = |invoker: &Invoker, model: u64| invoker.dispatcher.model_cost_bytes(ModelId(model)) == 0;
    invoker.request(call(made_up, 0, made_up, 1e6));
    invoker.handle_event(Event::Withdrawn { id: RequestId(made_up) });
    invoker.wait(50.0);
    load_and_send(&mut invoker, 11, 0, 11);
    assert!([1, 2, 3, made_up, 11].into_iter().all(|model| known(&invoker, model)));
    let before = invoker.dispatcher.table_sizes();
    let freed = invoker.dispatcher.evict_state(1);
    assert!(
        freed > 0 && !known(&invoker, made_up) && known(&invoker, 1),
        "models never loaded are forgotten first"
    );
    assert_eq!(invoker.dispatcher.table_sizes().bytes, before.bytes - freed);
    invoker.dispatcher.evict_state(1);
    assert!(!known(&invoker, 1) && known(&invoker, 2), "then the least recently used");
    invoker.dispatcher.evict_state(usize::MAX);
    assert!(
        known(&invoker, 11) && invoker.dispatcher.table_sizes().models == 1,
        "a model with a call in flight is kept"
    );
    standing(&mut invoker, 20);
}

/// Maximum number of lines of a file in `src/policy`.
const MAX_LINES: usize = 300;

/// Guards the structure of `src/policy`: short files, all declared in the deploy file, without I/O or a
/// clock.
#[test]
fn policy_modules_are_declared_and_use_no_clock_or_io() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let declared: Vec<&str> = deploy.split('"').filter(|text| text.starts_with("src/")).collect();
    let mut found = 0;
    for entry in std::fs::read_dir(root.join("src/policy")).expect("src/policy is readable") {
        let path = entry.expect("an entry").path();
        let (name, text) = (path.display(), std::fs::read_to_string(&path).expect("text"));
        let relative = path.strip_prefix(root).expect("below the root").to_str().expect("plain");
        assert!(declared.contains(&relative), "{name} is not declared");
        assert!(text.starts_with("//! "), "{name} does not say what it does");
        assert!(text.lines().count() <= MAX_LINES, "{name} is too long");
        for banned in ["std::time", "std::net", "std::fs", "std::io", "std::thread", "Instant", "SystemTime"]
        {
            assert!(!text.contains(banned), "{name} uses {banned}");
        }
        assert!(text.lines().all(|line| line.chars().count() <= 110), "{name} has too long a line");
        found += 1;
    }
    assert_eq!(found, declared.len(), "each declared module exists");
}
