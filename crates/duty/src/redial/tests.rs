use super::*;

/// Guards the source against clients that reconnect in lockstep, and clients against events that arrive too
/// late.
#[test]
fn pauses_grow_to_a_limit_and_have_jitter() {
    let mut redial = Redial::default();
    let pauses: Vec<Ms> = (0..6).map(|_| redial.pause(1.0)).collect();
    assert_eq!(pauses, [50.0, 100.0, 200.0, 400.0, 400.0, 400.0]);
    assert_eq!(redial.pause(0.0), 200.0, "never less than half");
    (0..100).for_each(|_| assert!(redial.pause(1.0) <= MAX_PAUSE_MS));
    redial.heard();
    assert_eq!(redial.pause(1.0), 50.0);
}
