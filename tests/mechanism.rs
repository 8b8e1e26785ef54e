//! The mechanism of the paper, as the ordinary path follows it.
mod support;
use corkbay::*;
use support::*;

/// A front end that was told by questions that `holders` hold model 5.
fn told(zones: &[usize], holders: &[u32], settings: Settings) -> (Front, Vec<Action>) {
    let entries = zones.iter().enumerate().map(|(at, zone)| entry(at as u32, *zone)).collect();
    let mut front = Front::new(settings, entries);
    let mut act = front.ask(call(1, 0, 5, 9000.0));
    for worker in holders {
        act.extend(front.loaded(*worker, 5, Outcome::Ok, 1, 1.0));
    }
    for worker in questions(&act.clone()).into_iter().filter(|worker| !holders.contains(worker)) {
        act.extend(front.loaded(worker, 5, Outcome::Ok, 0, 1.0));
    }
    (front, act)
}

#[test]
fn a_call_goes_to_a_warm_instance_and_nothing_is_loaded() {
    let (_, act) = told(&[0, 0, 0], &[1], settings());
    assert_eq!(sends(&act), vec![(1, 1)]);
    assert!(loads(&act).is_empty());
}

#[test]
fn own_zone_before_another() {
    let (mut front, _) = told(&[1, 0, 1], &[0, 1, 2], settings());
    for id in 2..4 {
        let act = front.ask(call(id, 0, 5, 9000.0));
        assert_eq!(sends(&act), vec![(id, 1)], "one lane of worker 1 is free each time");
        front.end(id, 0, 1, Outcome::Ok);
    }
}

#[test]
fn another_zone_only_when_cheaper_than_a_load() {
    let (_, act) = told(&[0, 1], &[1], settings());
    assert_eq!(sends(&act), vec![(1, 1)]);
    let dear = Settings { price_cross: 50.0, ..settings() };
    let (_, act) = told(&[0, 1], &[1], dear);
    assert!(sends(&act).is_empty());
    assert!(!loads(&act).is_empty() && loads(&act).iter().all(|load| *load == (0, 5)), "to the own zone");
}

#[test]
fn a_load_is_ordered_in_the_own_zone_and_calls_wait_behind_it() {
    let (mut front, act) = told(&[1, 0, 1], &[], settings());
    assert_eq!(loads(&act), vec![(1, 5)]);
    let act = front.ask(call(2, 0, 5, 9000.0));
    assert!(sends(&act).is_empty(), "the call waits here");
    let act = front.loaded(1, 5, Outcome::Ok, 1, 700.0);
    assert_eq!(sends(&act).len(), 2, "both lanes of the copy are used at once");
}

#[test]
fn at_most_two_loads_of_a_model_are_under_way() {
    let (mut front, act) = told(&[0; 6], &[], settings());
    let mut ordered = loads(&act).len();
    for id in 2..60 {
        front.now += 50.0;
        ordered += loads(&front.ask(call(id, 0, 5, 90000.0))).len();
    }
    assert!((1..=2).contains(&ordered), "{ordered} loads");
}

#[test]
fn every_front_end_names_the_same_home() {
    let home = |seed: u64| {
        let mut dispatcher = Dispatcher::new(settings(), seed);
        let mut act = Vec::new();
        let list = (0..6).map(|number| entry(number, 0)).collect();
        dispatcher.handle(1.0, Event::Roster(Roster::Whole(list)), &mut act);
        dispatcher.handle(1.0, Event::Request(call(1, 0, 5, 9000.0)), &mut act);
        for worker in questions(&act.clone()) {
            let (worker, model, outcome) = (WorkerId(worker), ModelId(5), Outcome::Ok);
            dispatcher.handle(2.0, Event::Loaded { worker, model, outcome, copies: 0, took: 1.0 }, &mut act);
        }
        loads(&act)
    };
    assert_eq!(home(1).len(), 1);
    assert_eq!(home(1), home(99));
}

#[test]
fn a_full_worker_drops_models_drawn_by_size_over_frequency_plus_recency() {
    // One worker of 1000 MB; a big rare model, a small one often called, then one that needs room.
    let mut drawn = [0, 0];
    for seed in 0..400 {
        let mut front = Front::new(settings(), vec![entry(0, 0)]);
        front.dispatcher = Dispatcher::new(settings(), seed);
        front.tell(Event::Roster(Roster::Whole(vec![entry(0, 0)])));
        let serve = |front: &mut Front, id: u64, model: u64, memory: f64| {
            let mut act = front.ask(Request { memory, ..call(id, 0, model, 90000.0) });
            for _ in 0..3 {
                if let Some(Action::Load { worker, copies, .. }) =
                    act.iter().find(|action| matches!(action, Action::Load { .. })).cloned()
                {
                    let copies = copies.min(1);
                    act = front.loaded(worker.0, model, Outcome::Ok, copies, 1.0);
                }
            }
            if sends(&act).len() == 1 {
                front.end(id, 0, 0, Outcome::Ok);
            }
        };
        serve(&mut front, 1, 1, 600.0);
        for id in 2..6 {
            serve(&mut front, id, 2, 300.0);
        }
        let mut act = front.ask(Request { memory: 200.0, ..call(9, 0, 3, 90000.0) });
        act.extend(front.loaded(0, 3, Outcome::Ok, 0, 1.0));
        let mut victims = act.iter().filter_map(|action| match action {
            Action::Evict { model, .. } => Some(model.0),
            _ => None,
        });
        let first = victims.next().expect("room is needed");
        assert!(victims.next().is_none(), "one draw gives the room needed");
        drawn[first as usize - 1] += 1;
    }
    // Weights 600 / (1 + 1) and 300 / (4 + 1): 5 to 1.
    let part = f64::from(drawn[0]) / 400.0;
    assert!((part - 5.0 / 6.0).abs() < 0.06, "drawn {drawn:?}");
}

#[test]
fn the_table_ages_by_the_keep_time() {
    let (mut front, _) = told(&[0, 0], &[0], settings());
    front.end(1, 0, 0, Outcome::Ok);
    front.now += 100.0;
    assert_eq!(sends(&front.ask(call(2, 0, 5, 9000.0))), vec![(2, 0)]);
    front.end(2, 0, 0, Outcome::Ok);
    front.now += 8001.0;
    let act = front.ask(call(3, 0, 5, 30000.0));
    assert!(sends(&act).is_empty(), "an old belief is asked about, not trusted");
    assert!(!questions(&act).is_empty());
}

#[test]
fn one_busy_model_is_not_spread_with_every_call() {
    // A model with one lane and calls that queue: a second copy is ordered, not one for each call.
    let (mut front, _) = told(&[0; 8], &[0], settings());
    let mut ordered = 0;
    for id in 2..40 {
        let act = front.ask(Request { lanes: 1.0, ..call(id, 0, 5, 60000.0) });
        for (worker, model) in loads(&act) {
            ordered += 1;
            front.loaded(worker, model, Outcome::Full, 0, 1.0);
        }
        front.now += 5.0;
    }
    assert!((1..=2).contains(&ordered), "{ordered}");
}
