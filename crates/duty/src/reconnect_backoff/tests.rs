use super::*;

/// Guards the source against clients that reconnect in lockstep, and clients against events that arrive too
/// late.
#[test]
fn pauses_grow_to_a_limit_and_have_jitter() {
    let mut backoff = ReconnectBackoff::default();
    let pauses: Vec<Ms> = (0..6).map(|_| backoff.next_delay(1.0)).collect();
    assert_eq!(pauses, [50.0, 100.0, 200.0, 400.0, 400.0, 400.0]);
    assert_eq!(backoff.next_delay(0.0), 200.0, "never less than half");
    (0..100).for_each(|_| assert!(backoff.next_delay(1.0) <= MAX_PAUSE_MS));
    backoff.reset();
    assert_eq!(backoff.next_delay(1.0), 50.0);
}
