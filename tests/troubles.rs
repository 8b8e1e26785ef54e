//! Each kind of trouble, odd input, and the limits of the module's text.
mod support;
use corkbay::*;
use support::*;

/// Settles a model at a worker of its own choosing by answering orders; gives the worker.
fn settle(front: &mut Front, id: u64, class: usize, model: u64) -> u32 {
    let mut act = front.ask(call(id, class, model, front.now + 60000.0));
    let mut sent = None;
    for _ in 0..6 {
        sent = sent.or(sends(&act).first().map(|sent| sent.1));
        for action in std::mem::take(&mut act) {
            if let Action::Load { worker, copies, .. } = action {
                act.extend(front.loaded(worker.0, model, Outcome::Ok, copies, 1.0));
            }
        }
    }
    if let Some(at) = sent {
        return at;
    }
    panic!("{id} not sent: {act:?}");
}

#[test]
fn a_worker_that_fails_fast_attracts_no_more_calls() {
    let once = Settings { max_attempts: 1, ..settings() };
    let mut front = Front::new(once, (0..6).map(|number| entry(number, 0)).collect());
    let bad = settle(&mut front, 1, 0, 5);
    front.end(1, 0, bad, Outcome::Error);
    let mut to_bad = 0;
    for id in 2..40 {
        let at = settle(&mut front, id, 0, 5);
        to_bad += u32::from(at == bad);
        front.end(id, 0, at, if at == bad { Outcome::Error } else { Outcome::Ok });
        front.now += 10.0;
    }
    assert!(to_bad <= 6, "{to_bad} of 38 calls went to the failing worker");
}

/// A front end that knows copies at workers 0 and 1.
fn pair(settings: Settings) -> Front {
    let mut front = Front::new(settings, vec![entry(0, 0), entry(1, 0)]);
    front.ask(call(1, 0, 5, 60000.0));
    for worker in 0..2 {
        let act = front.loaded(worker, 5, Outcome::Ok, 1, 1.0);
        if let Some(sent) = sends(&act).first() {
            front.end(1, 0, sent.1, Outcome::Ok);
        }
    }
    front
}

#[test]
fn a_worker_that_failed_is_found_again_when_its_failures_have_faded() {
    let mut front = pair(settings());
    let mut id = 10;
    while sends(&front.ask(call(id, 0, 5, front.now + 60000.0))) == vec![(id, 1)] {
        front.end(id, 0, 1, Outcome::Error);
        id += 1;
        assert!(id < 20, "a failing worker attracts calls");
    }
    front.end(id, 0, 0, Outcome::Ok);
    let act = front.ask(call(100, 1, 5, front.now + 60000.0));
    assert_eq!(sends(&act), vec![(100, 0)], "an unsafe call is no bait");
    // Both lanes of the healthy copy are taken, and much later the failures are old.
    front.now += 40000.0;
    front.loaded(0, 5, Outcome::Ok, 1, 1.0);
    front.loaded(1, 5, Outcome::Ok, 1, 1.0);
    let mut at = Vec::new();
    for id in 200..204 {
        at.extend(sends(&front.ask(call(id, 0, 5, front.now + 60000.0))).iter().map(|sent| sent.1));
    }
    assert!(at.contains(&1), "{at:?}");
}

#[test]
fn silence_in_one_class_is_not_cleared_by_answers_in_another() {
    // Seen on class_fail days: a worker serves one class and leaves the other's calls unanswered.
    let mut front = pair(settings());
    let act = front.ask(call(10, 1, 5, front.now + 60000.0));
    let at = sends(&act)[0].1;
    for id in 20..30 {
        front.wait(300.0);
        front.loaded(0, 5, Outcome::Ok, 1, 1.0);
        front.loaded(1, 5, Outcome::Ok, 1, 1.0);
        for sent in sends(&front.ask(call(id, 0, 5, front.now + 60000.0))) {
            front.end(sent.0, 0, sent.1, Outcome::Ok);
        }
    }
    let act = front.ask(call(100, 1, 5, front.now + 60000.0));
    assert_eq!(sends(&act), vec![(100, 1 - at)], "the silent class goes elsewhere");
}

#[test]
fn a_stall_of_our_own_is_no_silence_of_workers() {
    let mut front = pair(settings());
    let at = sends(&front.ask(call(10, 0, 5, front.now + 60000.0)))[0].1;
    front.now += 5000.0;
    let act = front.tell(Event::Timer { token: 0 });
    assert!(!act.iter().any(|action| matches!(action, Action::Cancel { .. })), "nobody was silent");
    front.end(10, 0, at, Outcome::Ok);
    let mut used = Vec::new();
    for id in 20..24 {
        used.extend(sends(&front.ask(call(id, 1, 5, front.now + 60000.0))).iter().map(|sent| sent.1));
    }
    assert!(used.contains(&at), "{used:?}");
}

#[test]
fn when_most_workers_look_bad_none_is_shunned() {
    let once = Settings { max_attempts: 1, ..settings() };
    let mut front = Front::new(once, (0..3).map(|number| entry(number, 0)).collect());
    for model in 0..30 {
        let at = settle(&mut front, model + 1, 0, model);
        front.end(model + 1, 0, at, Outcome::Error);
        front.wait(60.0);
    }
    let act = front.ask(call(5000, 1, 900, front.now + 9000.0));
    let mut act = act;
    for worker in questions(&act.clone()) {
        act.extend(front.loaded(worker, 900, Outcome::Ok, 0, 1.0));
    }
    assert!(!loads(&act).is_empty(), "an unsafe call still finds a worker");
}

#[test]
fn calls_given_up_at_a_worker_narrow_its_share() {
    // Incident if88256: a worker answered so late that all calls were given up there; only answers
    // counted, so it went on being sent as many as ever.
    let mut front = Front::new(Settings { cancel: false, ..settings() }, vec![entry(0, 0)]);
    settle(&mut front, 1, 1, 5);
    front.end(1, 0, 0, Outcome::Ok);
    let burst = |front: &mut Front, from: u64| {
        let mut sent = 0;
        for id in from..from + 12 {
            let request = Request { lanes: 20.0, ..call(id, 1, 5, front.now + 900.0) };
            sent += sends(&front.ask(request)).len();
        }
        sent
    };
    let first = burst(&mut front, 100);
    front.wait(3000.0);
    for id in 100..100 + first as u64 {
        front.end(id, 0, 0, Outcome::Timeout);
    }
    let second = burst(&mut front, 200);
    assert!(first >= 3 && second < first, "{first} and then {second}");
}

#[test]
fn nothing_is_sent_that_cannot_be_answered_in_time() {
    let mut front = Front::new(settings(), vec![entry(0, 0)]);
    let at = settle(&mut front, 1, 0, 5);
    front.end(1, 0, at, Outcome::Ok);
    let act = front.ask(call(2, 0, 5, front.now + 50.0));
    assert_eq!((sends(&act), ended(&act)), (vec![], vec![(2, true)]));
}

#[test]
fn failing_loads_are_backed_off() {
    let mut front = Front::new(settings(), (0..4).map(|number| entry(number, 0)).collect());
    let mut act = front.ask(call(1, 0, 5, 60000.0));
    let mut orders = 0;
    for _ in 0..500 {
        for action in std::mem::take(&mut act) {
            if let Action::Load { worker, copies, .. } = action {
                orders += copies;
                let outcome = if copies > 0 { Outcome::Error } else { Outcome::Ok };
                act.extend(front.loaded(worker.0, 5, outcome, 0, 5.0));
            }
        }
        act.extend(front.wait(20.0));
    }
    assert!((2..40).contains(&orders), "{orders} orders in 10 s");
}

#[test]
fn own_loads_are_few_at_first_and_fewer_where_there_is_no_room() {
    // Seen on lakes big-1: many loads at once pushed out what others had just loaded.
    let mut front = Front::new(settings(), (0..8).map(|number| entry(number, 0)).collect());
    let under_way = |front: &mut Front, from: u64| {
        let mut orders = Vec::new();
        for id in from..from + 10 {
            let mut act = front.ask(call(id, 0, id, front.now + 60000.0));
            for worker in questions(&act.clone()) {
                act.extend(front.loaded(worker, id, Outcome::Ok, 0, 1.0));
            }
            orders.extend(loads(&act));
        }
        orders
    };
    let first = under_way(&mut front, 1);
    assert_eq!(first.len(), 2);
    // Each full answer frees a place, but the bound falls to one: only one order follows the two.
    let mut next = front.loaded(first[0].0, first[0].1, Outcome::Full, 0, 1.0);
    next.extend(front.loaded(first[1].0, first[1].1, Outcome::Full, 0, 1.0));
    assert!(loads(&next).len() <= 1 + first.len() / 2, "{:?}", loads(&next));
}

#[test]
fn an_order_that_is_never_answered_goes_elsewhere() {
    let mut front = Front::new(settings(), (0..4).map(|number| entry(number, 0)).collect());
    let mut act = front.ask(call(1, 0, 5, 60000.0));
    for worker in questions(&act.clone()) {
        act.extend(front.loaded(worker, 5, Outcome::Ok, 0, 1.0));
    }
    let first = loads(&act)[0].0;
    let later = loads(&front.wait(6000.0));
    assert!(later.iter().any(|load| load.0 != first), "{later:?}");
}

#[test]
fn odd_input_neither_panics_nor_loses_a_request() {
    let mut front = Front::new(settings(), vec![entry(0, usize::MAX)]);
    front.end(77, 3, 9, Outcome::Ok);
    front.loaded(9, 9, Outcome::Error, u32::MAX, f64::INFINITY);
    front.tell(Event::Withdrawn { id: RequestId(5) });
    front.tell(Event::Started { id: RequestId(5) });
    front.tell(Event::Timer { token: u64::MAX });
    front.tell(Event::Roster(Roster::Refused));
    front.tell(Event::Roster(Roster::Changes(vec![RosterEntry {
        kind: usize::MAX,
        weight: -1.0,
        born: 1e300,
        ..entry(3, 9)
    }])));
    let odd = Request { memory: -5.0, lanes: 0.0, load_hint: Some(0.0), ..call(1, 0, 5, 0.0) };
    let mut act = front.ask(odd.clone());
    act.extend(front.wait(60.0));
    assert_eq!(ended(&act).len(), 1, "its time was up before it came");
    let act = front.ask(Request { class: 99, id: RequestId(2), ..odd.clone() });
    assert_eq!(ended(&act), vec![(2, true)]);
    front.now = f64::NAN;
    let act = front.ask(Request { id: RequestId(3), expires: f64::INFINITY, ..odd.clone() });
    assert!(ended(&act).is_empty());
    let empty = Settings { classes: vec![], keep: 0.0, kind_memory: vec![], ..settings() };
    let mut front = Front::new(empty, vec![entry(0, 0)]);
    assert_eq!(ended(&front.ask(odd)), vec![(1, true)]);
}

#[test]
fn a_roster_that_must_be_asked_for_is_asked_for() {
    let set = Settings { roster_on_request: true, ..settings() };
    let mut act = Vec::new();
    Dispatcher::new(set, 1).handle(5.0, Event::Roster(Roster::Refused), &mut act);
    assert!(act.contains(&Action::Subscribe));
}

#[test]
fn a_stream_that_began_is_not_ended() {
    let mut front = Front::new(settings(), vec![entry(0, 0)]);
    let at = settle(&mut front, 1, 0, 5);
    front.tell(Event::Started { id: RequestId(1) });
    assert!(ended(&front.wait(70000.0)).is_empty());
    assert!(ended(&front.end(1, 0, at, Outcome::Ok)).is_empty());
}

#[test]
fn calls_that_clients_leave_lead_to_early_refusals() {
    // Incident ia9d8b0: clients left before their time and came back at once, and workers, which
    // nothing stops, worked on for both.
    let refused = |leave: bool, after: Ms| {
        let mut front = pair(settings());
        let mut ends = 0;
        for id in 10..210 {
            let act = front.ask(call(id, 0, 5, front.now + 60000.0));
            ends += ended(&act).len();
            if let Some(sent) = sends(&act).first() {
                front.wait(after);
                if leave {
                    front.tell(Event::Withdrawn { id: RequestId(id) });
                }
                front.end(id, 0, sent.1, Outcome::Ok);
            }
            front.now += 1.0;
        }
        ends
    };
    assert_eq!(refused(false, 1100.0), 0);
    assert!(refused(true, 1100.0) > 20, "{}", refused(true, 1100.0));
    // What is taken back at once, by the hundred on some days, tells nothing of the workers.
    assert_eq!(refused(true, 0.0), 0);
}

#[test]
fn a_call_lost_at_a_worker_that_answers_others_holds_no_place_there() {
    // Seen on rate+silent+leave: calls that were never answered filled the bounds of workers in good
    // health, and hundreds of calls waited behind them.
    let places = |lost: bool| {
        let mut front = Front::new(settings(), vec![entry(0, 0)]);
        settle(&mut front, 1, 1, 5);
        front.end(1, 0, 0, Outcome::Ok);
        let wide = |front: &Front, id: u64| Request { lanes: 50.0, ..call(id, 1, 5, front.now + 60000.0) };
        for id in 10..13 {
            let request = wide(&front, id);
            assert_eq!(sends(&front.ask(request)).len(), 1);
        }
        for id in (10..13).filter(|_| !lost) {
            front.end(id, 0, 0, Outcome::Ok);
        }
        for id in 20..40 {
            let request = wide(&front, id);
            if !sends(&front.ask(request)).is_empty() {
                front.end(id, 0, 0, Outcome::Ok);
            }
            front.wait(200.0);
        }
        let mut sent = 0;
        for id in 100..140 {
            let request = wide(&front, id);
            sent += sends(&front.ask(request)).len();
        }
        sent
    };
    assert!(places(true) + 1 >= places(false), "{} of {}", places(true), places(false));
}

#[test]
fn questions_that_are_never_answered_slow_no_loads() {
    // Seen on rate+silent+leave: each lost question cut the bound on loads, until one was left for all.
    let mut front = Front::new(settings(), (0..8).map(|number| entry(number, 0)).collect());
    let under_way = |front: &mut Front, id: u64, answer: Outcome| {
        let act = front.ask(call(id, 0, id, front.now + 60000.0));
        let mut orders = loads(&act);
        for worker in questions(&act) {
            orders.extend(loads(&front.loaded(worker, id, answer, 0, 1.0)));
        }
        orders
    };
    for id in 1..7 {
        for (worker, model) in under_way(&mut front, id, Outcome::Timeout) {
            front.loaded(worker, model, Outcome::Ok, 1, 1.0);
        }
    }
    let orders: Vec<_> = (11..14).flat_map(|id| under_way(&mut front, id, Outcome::Ok)).collect();
    assert_eq!(orders.len(), 2, "{orders:?}");
}

#[test]
fn one_full_worker_among_others_with_room_leads_to_no_refusals() {
    // Seen on wide: three of six workers were full, the others all but idle, and up to half of all calls
    // were refused.
    let mut front = Front::new(settings(), (0..3).map(|number| entry(number, 0)).collect());
    let mut full = 0;
    for id in 1..400 {
        let mut act = front.ask(call(id, 0, 5 + id % 7, front.now + 60000.0));
        let mut attempt = 0;
        for _ in 0..6 {
            assert_eq!(ended(&act), [], "after {full} full answers");
            for action in std::mem::take(&mut act) {
                match action {
                    Action::Send { worker, .. } => {
                        let turned_away = attempt == 0 && id % 3 == 0;
                        let outcome = if turned_away { Outcome::Full } else { Outcome::Ok };
                        full += u32::from(turned_away);
                        act.extend(front.end(id, attempt, worker.0, outcome));
                        attempt += 1;
                    }
                    Action::Load { worker, copies, .. } => {
                        act.extend(front.loaded(worker.0, 5 + id % 7, Outcome::Ok, copies, 1.0));
                    }
                    _ => {}
                }
            }
        }
        front.wait(200.0);
    }
    assert!(full > 30, "{full}");
}

#[test]
fn a_retry_goes_where_the_call_has_not_failed() {
    // Seen on reload with hosts that fail fast: a call failed up to five times at the same worker, which
    // was idle for the very reason that it failed.
    let mut front = pair(settings());
    let send = |front: &mut Front, id: u64| sends(&front.ask(call(id, 0, 5, front.now + 60000.0)))[0].1;
    for id in (10..50).step_by(4) {
        let out: Vec<u32> = (id..id + 4).map(|id| send(&mut front, id)).collect();
        for (id, at) in (id..).zip(out) {
            front.end(id, 0, at, Outcome::Ok);
        }
    }
    // The first to be sent fails, while the other worker holds some of the calls behind it.
    let out: Vec<u32> = (50..54).map(|id| send(&mut front, id)).collect();
    for (id, at) in (51..).zip(&out[1..]) {
        if *at == out[0] {
            front.end(id, 0, *at, Outcome::Ok);
        }
    }
    assert_eq!(sends(&front.end(50, 0, out[0], Outcome::Error)), [(50, 1 - out[0])], "{out:?}");
}

#[test]
fn a_keyed_call_that_may_have_run_has_its_model_loaded_in_its_group() {
    let keyed = class(Effect::Keyed(Group::Cell, 20000.0), 1.0);
    let settings = Settings { classes: vec![keyed], ..settings() };
    let in_cell = |number: u32| RosterEntry { cell: i64::from(number > 1), ..entry(number, 0) };
    for model in 1..20 {
        let mut front = Front::new(settings.clone(), (0..10).map(in_cell).collect());
        front.ask(call(1, 0, model, 60000.0));
        // It stands at worker 0 alone, which then fails.
        let act = front.loaded(0, model, Outcome::Ok, 1, 1.0);
        let Some(&(_, at)) = sends(&act).first() else { continue };
        if at != 0 {
            continue;
        }
        let orders = loads(&front.end(1, 0, 0, Outcome::Error));
        assert!(orders.iter().all(|order| order.0 == 1), "model {model}: {orders:?}");
    }
}

#[test]
fn a_connection_that_breaks_alone_makes_no_worker_cold() {
    // Seen on days of spoilt answers: each broken connection made its worker count as just started, with
    // nothing loaded, until all were cold and most calls were refused.
    let mut front = Front::new(settings(), vec![entry(0, 0)]);
    assert_eq!(settle(&mut front, 1, 0, 5), 0);
    front.end(1, 0, 0, Outcome::Ok);
    let sent = |front: &mut Front, from: u64| -> Vec<u64> {
        let mut sent = Vec::new();
        for id in from..from + 3 {
            sent.extend(sends(&front.ask(call(id, 0, 5, front.now + 60000.0))).iter().map(|sent| sent.0));
        }
        sent
    };
    let out = sent(&mut front, 10);
    assert_eq!(out, [10, 11, 12]);
    let mut again = Vec::new();
    for id in out {
        again.extend(sends(&front.end(id, 0, 0, Outcome::Reset)));
    }
    assert_eq!(again, [(10, 0), (11, 0), (12, 0)], "warm and open as before");
    // A refused connection behind it is another matter: the process has died.
    front.end(10, 1, 0, Outcome::ConnectFailed);
    front.end(11, 1, 0, Outcome::Ok);
    front.end(12, 1, 0, Outcome::Ok);
    assert!(sent(&mut front, 20).len() < 3, "its successor is cold");
}

#[test]
fn a_model_that_no_worker_knows_is_refused_at_once_and_slows_no_loads() {
    // Seen on days of bad clients: each id that no host knows was ordered again and again, the errors cut
    // the bound on all loads to one and made workers look ill.
    let settings = Settings { lacking: Lacking::Misses, ..settings() };
    let mut front = Front::new(settings, (0..6).map(|number| entry(number, number as usize % 3)).collect());
    for id in 1..30 {
        // Whatever names it, request, question or order, is answered with an error.
        let (mut act, mut attempt) = (front.ask(call(id, 0, 1000 + id, front.now + 60000.0)), 0);
        let mut seen = Vec::new();
        while !act.is_empty() && seen.len() < 50 {
            seen.extend(act.clone());
            for action in std::mem::take(&mut act) {
                match action {
                    Action::Send { worker, .. } => {
                        act.extend(front.end(id, attempt, worker.0, Outcome::Error));
                        attempt += 1;
                    }
                    Action::Load { worker, .. } => {
                        act.extend(front.loaded(worker.0, 1000 + id, Outcome::Error, 0, 1.0));
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(ended(&seen), [(id, true)], "{seen:?}");
        let again = front.ask(call(100 + id, 0, 1000 + id, front.now + 60000.0));
        assert_eq!((again.len(), ended(&again)), (1, vec![(100 + id, true)]));
    }
    // Loads go on side by side as at the start, and calls are spread as among workers in good health.
    let mut orders = Vec::new();
    for id in 201..204 {
        let (mut act, mut attempt) = (front.ask(call(id, 0, id, front.now + 60000.0)), 0);
        for _ in 0..6 {
            orders.extend(loads(&act));
            for action in std::mem::take(&mut act) {
                match action {
                    Action::Send { worker, .. } => {
                        act.extend(front.end(id, attempt, worker.0, Outcome::Miss));
                        attempt += 1;
                    }
                    Action::Load { worker, copies: 0, .. } => {
                        act.extend(front.loaded(worker.0, id, Outcome::Ok, 0, 1.0));
                    }
                    _ => {}
                }
            }
        }
    }
    assert_eq!(orders.len(), 2, "{orders:?}");
    // And made-up names don't pile up.
    front.wait(60000.0);
    assert!(front.dispatcher.remembered().models <= 3, "{:?}", front.dispatcher.remembered());
}

#[test]
fn what_is_no_longer_used_is_forgotten() {
    // Models called once and workers long gone; a process that runs for months stays bounded.
    let mut front = Front::new(settings(), vec![]);
    for number in 0..600u32 {
        let list = (0..3).map(|back| RosterEntry {
            standing: if back == 2 { Standing::Gone } else { Standing::Ready },
            ..entry((number + 2).saturating_sub(back), 0)
        });
        front.tell(Event::Roster(Roster::Changes(list.collect())));
        let id = u64::from(number) + 1;
        let at = settle(&mut front, id, 0, id);
        front.end(id, 0, at, Outcome::Ok);
        front.wait(1000.0);
    }
    let held = front.dispatcher.remembered();
    assert!(held.models < 60 && held.workers < 20 && held.lines < 100, "{held:?}");
    assert!(held.bytes < 60_000, "{held:?}");
}

/// Guards memory against names that are made up faster than they are forgotten: asked for room, the module
/// gives up names that never stood, then those unused for longest, and never one with a call open.
#[test]
fn what_is_least_missed_is_forgotten_first() {
    let mut front = Front::new(settings(), (0..4).map(|number| entry(number, 0)).collect());
    let standing = |front: &mut Front, id: u64| {
        let at = settle(front, id, 0, id);
        front.end(id, 0, at, Outcome::Ok);
        front.wait(50.0);
    };
    (1..=3).for_each(|id| standing(&mut front, id));
    let made_up = 10;
    let known = |front: &Front, model: u64| front.dispatcher.adds(ModelId(model)) == 0;
    front.ask(call(made_up, 0, made_up, 1e6));
    front.tell(Event::Withdrawn { id: RequestId(made_up) });
    front.wait(50.0);
    settle(&mut front, 11, 0, 11);
    assert!([1, 2, 3, made_up, 11].into_iter().all(|model| known(&front, model)));
    let before = front.dispatcher.remembered();
    let freed = front.dispatcher.forget(1);
    assert!(freed > 0 && !known(&front, made_up) && known(&front, 1), "what never stood goes first");
    assert_eq!(front.dispatcher.remembered().bytes, before.bytes - freed);
    front.dispatcher.forget(1);
    assert!(!known(&front, 1) && known(&front, 2), "then what is unused for longest");
    front.dispatcher.forget(usize::MAX);
    assert!(known(&front, 11) && front.dispatcher.remembered().models == 1, "what has a call out stays");
    standing(&mut front, 20);
}

/// Most lines of a module of decisions.
const MOST_LINES: usize = 300;

/// Guards the decisions' own ground: modules with one job each, all of them declared in the deploy file, without I/O or
/// a clock.
#[test]
fn the_decisions_stand_in_declared_modules_without_clock_or_io() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let declared: Vec<&str> = deploy.split('"').filter(|text| text.starts_with("src/")).collect();
    let mut found = 0;
    for entry in std::fs::read_dir(root.join("src/policy")).expect("the decisions") {
        let path = entry.expect("an entry").path();
        let (name, text) = (path.display(), std::fs::read_to_string(&path).expect("text"));
        let relative = path.strip_prefix(root).expect("below the root").to_str().expect("plain");
        assert!(declared.contains(&relative), "{name} is not declared");
        assert!(text.starts_with("//! "), "{name} does not say what it does");
        assert!(text.lines().count() <= MOST_LINES, "{name} is too long");
        for banned in ["std::time", "std::net", "std::fs", "std::io", "std::thread", "Instant", "SystemTime"]
        {
            assert!(!text.contains(banned), "{name} uses {banned}");
        }
        assert!(text.lines().all(|line| line.chars().count() <= 110), "{name} has too long a line");
        found += 1;
    }
    assert_eq!(found, declared.len(), "each declared module stands");
}
