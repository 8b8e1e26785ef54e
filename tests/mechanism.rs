//! The common path of routing, loading and eviction as described in the paper.
mod support;
use corkbay::*;
use support::*;

/// An invoker with one call of model 5 that learnt by queries that `holders` have a copy of it.
fn invoker_with_copies(zones: &[usize], holders: &[u32], settings: Settings) -> (Invoker, Vec<Action>) {
    let entries = zones.iter().enumerate().map(|(at, zone)| entry(at as u32, *zone)).collect();
    let mut invoker = Invoker::new(settings, entries);
    let mut actions = invoker.request(call(1, 0, 5, 9000.0));
    for worker in holders {
        actions.extend(invoker.loaded(*worker, 5, Outcome::Ok, 1, 1.0));
    }
    for worker in queries(&actions.clone()).into_iter().filter(|worker| !holders.contains(worker)) {
        actions.extend(invoker.loaded(worker, 5, Outcome::Ok, 0, 1.0));
    }
    (invoker, actions)
}

#[test]
fn a_call_goes_to_a_warm_instance_and_nothing_is_loaded() {
    let (_, actions) = invoker_with_copies(&[0, 0, 0], &[1], settings());
    assert_eq!(sends(&actions), vec![(1, 1)]);
    assert!(loads(&actions).is_empty());
}

#[test]
fn own_zone_before_another() {
    let (mut invoker, _) = invoker_with_copies(&[1, 0, 1], &[0, 1, 2], settings());
    for id in 2..4 {
        let actions = invoker.request(call(id, 0, 5, 9000.0));
        assert_eq!(sends(&actions), vec![(id, 1)], "one lane of worker 1 is free each time");
        invoker.finish(id, 0, 1, Outcome::Ok);
    }
}

#[test]
fn another_zone_only_when_cheaper_than_a_load() {
    let (_, actions) = invoker_with_copies(&[0, 1], &[1], settings());
    assert_eq!(sends(&actions), vec![(1, 1)]);
    let expensive_crossing = Settings { price_cross: 50.0, ..settings() };
    let (_, actions) = invoker_with_copies(&[0, 1], &[1], expensive_crossing);
    assert!(sends(&actions).is_empty());
    assert!(
        !loads(&actions).is_empty() && loads(&actions).iter().all(|load| *load == (0, 5)),
        "loads go to the own zone"
    );
}

#[test]
fn a_load_is_ordered_in_the_own_zone_and_calls_wait_for_it() {
    let (mut invoker, actions) = invoker_with_copies(&[1, 0, 1], &[], settings());
    assert_eq!(loads(&actions), vec![(1, 5)]);
    let actions = invoker.request(call(2, 0, 5, 9000.0));
    assert!(sends(&actions).is_empty(), "the call waits for the load");
    let actions = invoker.loaded(1, 5, Outcome::Ok, 1, 700.0);
    assert_eq!(sends(&actions).len(), 2, "both lanes of the copy are used at once");
}

#[test]
fn at_most_two_loads_of_a_model_are_under_way() {
    let (mut invoker, actions) = invoker_with_copies(&[0; 6], &[], settings());
    let mut ordered = loads(&actions).len();
    for id in 2..60 {
        invoker.now += 50.0;
        ordered += loads(&invoker.request(call(id, 0, 5, 90000.0))).len();
    }
    assert!((1..=2).contains(&ordered), "{ordered} loads");
}

#[test]
fn every_invoker_prefers_the_same_worker() {
    let preferred = |seed: u64| {
        let mut dispatcher = Dispatcher::new(settings(), seed);
        let mut actions = Vec::new();
        let list = (0..6).map(|number| entry(number, 0)).collect();
        dispatcher.handle(1.0, Event::Roster(RosterUpdate::Complete(list)), &mut actions);
        dispatcher.handle(1.0, Event::Request(call(1, 0, 5, 9000.0)), &mut actions);
        for worker in queries(&actions.clone()) {
            let (worker, model, outcome) = (WorkerId(worker), ModelId(5), Outcome::Ok);
            dispatcher.handle(
                2.0,
                Event::Loaded { worker, model, outcome, copies: 0, took: 1.0 },
                &mut actions,
            );
        }
        loads(&actions)
    };
    assert_eq!(preferred(1).len(), 1);
    assert_eq!(preferred(1), preferred(99));
}

#[test]
fn a_full_worker_evicts_models_drawn_by_size_over_frequency_plus_recency() {
    // One worker of 1000 MB with a large model called once and a small one called often; then a third needs
    // memory.
    let mut drawn = [0, 0];
    for seed in 0..400 {
        let mut invoker = Invoker::new(settings(), vec![entry(0, 0)]);
        invoker.dispatcher = Dispatcher::new(settings(), seed);
        invoker.handle_event(Event::Roster(RosterUpdate::Complete(vec![entry(0, 0)])));
        let serve = |invoker: &mut Invoker, id: u64, model: u64, memory: f64| {
            let mut actions = invoker.request(Request { memory, ..call(id, 0, model, 90000.0) });
            for _ in 0..3 {
                if let Some(Action::Load { worker, copies, .. }) =
                    actions.iter().find(|action| matches!(action, Action::Load { .. })).cloned()
                {
                    let copies = copies.min(1);
                    actions = invoker.loaded(worker.0, model, Outcome::Ok, copies, 1.0);
                }
            }
            if sends(&actions).len() == 1 {
                invoker.finish(id, 0, 0, Outcome::Ok);
            }
        };
        serve(&mut invoker, 1, 1, 600.0);
        for id in 2..6 {
            serve(&mut invoker, id, 2, 300.0);
        }
        let mut actions = invoker.request(Request { memory: 200.0, ..call(9, 0, 3, 90000.0) });
        actions.extend(invoker.loaded(0, 3, Outcome::Ok, 0, 1.0));
        let mut victims = actions.iter().filter_map(|action| match action {
            Action::Evict { model, .. } => Some(model.0),
            _ => None,
        });
        let first = victims.next().expect("a model must be evicted");
        assert!(victims.next().is_none(), "one eviction frees enough memory");
        drawn[first as usize - 1] += 1;
    }
    // Weights 600 / (1 + 1) and 300 / (4 + 1): 5 to 1.
    let part = f64::from(drawn[0]) / 400.0;
    assert!((part - 5.0 / 6.0).abs() < 0.06, "drawn {drawn:?}");
}

#[test]
fn entries_expire_after_the_keep_time() {
    let (mut invoker, _) = invoker_with_copies(&[0, 0], &[0], settings());
    invoker.finish(1, 0, 0, Outcome::Ok);
    invoker.now += 100.0;
    assert_eq!(sends(&invoker.request(call(2, 0, 5, 9000.0))), vec![(2, 0)]);
    invoker.finish(2, 0, 0, Outcome::Ok);
    invoker.now += 8001.0;
    let actions = invoker.request(call(3, 0, 5, 30000.0));
    assert!(sends(&actions).is_empty(), "an expired entry leads to a query, not to a call");
    assert!(!queries(&actions).is_empty());
}

#[test]
fn a_busy_model_is_not_loaded_again_for_every_call() {
    // Calls queue at a copy with one lane: one or two more copies are ordered, not one per call.
    let (mut invoker, _) = invoker_with_copies(&[0; 8], &[0], settings());
    let mut ordered = 0;
    for id in 2..40 {
        let actions = invoker.request(Request { lanes: 1.0, ..call(id, 0, 5, 60000.0) });
        for (worker, model) in loads(&actions) {
            ordered += 1;
            invoker.loaded(worker, model, Outcome::Full, 0, 1.0);
        }
        invoker.now += 5.0;
    }
    assert!((1..=2).contains(&ordered), "{ordered}");
}
