//! What many front ends do together: sums over a whole fleet, where each front end alone sees little.
mod support;
use corkbay::*;
use support::fleet::{Fleet, Sums};
use support::*;

/// Settings of a large fleet: calls that miss are told so, and nothing is told of warmth.
fn large(price_probe: f64) -> Settings {
    Settings {
        lacking: Lacking::Misses,
        max_attempts: 5,
        tells_warm: false,
        price_probe,
        price_fetch: 0.03,
        kind_memory: vec![1e6],
        ..settings()
    }
}

/// Thirty front ends each call each of forty models once; every model stands at one worker, where the front
/// ends of one zone would have brought it.
fn first_calls(price_probe: f64) -> Sums {
    let mut fleet = Fleet::new(&large(price_probe), 30, 24, 3);
    // One front end of each zone calls some of the models, whose copies then stand.
    for model in 0..40 {
        fleet.call(model as f64, model as usize % 3, 0, 0, model + 1, 3000.0);
    }
    fleet.run(5000.0);
    fleet.sums = Sums::default();
    for front in 0..30 {
        for model in 0..40 {
            fleet.call((model * 60 + front * 7) as f64, front as usize, front + 1, 0, model + 1, 3000.0);
        }
    }
    fleet.run(4000.0);
    fleet.sums
}

/// Guards against a price that each front end pays for itself: where a question costs more than half a
/// crossing, front ends that know nothing find what others brought with their calls, and ask no worker.
#[test]
fn dear_questions_are_not_asked_and_what_others_brought_is_found() {
    let sums = first_calls(0.08);
    assert_eq!((sums.taken, sums.served), (1200, 1200));
    assert_eq!(sums.questions, 0);
    assert!(sums.orders <= 12, "hardly a model is loaded twice: {sums:?}");
    assert!(sums.crossed <= 2 * sums.taken, "at most one look in each other zone: {sums:?}");
}

#[test]
fn cheap_questions_are_asked_before_a_call_crosses() {
    let sums = first_calls(0.01);
    assert_eq!((sums.taken, sums.served), (1200, 1200));
    assert!(sums.questions > 400, "{sums:?}");
    assert!(sums.crossed <= sums.taken, "only the call that is served crosses: {sums:?}");
}
