use super::*;

#[test]
fn data_read_after_a_stall_may_have_arrived_at_its_beginning() {
    let detector = StallDetector::default();
    assert_eq!(detector.earliest_arrival(5000.0), 5000.0, "no heartbeat yet");
    for heartbeat in 0..10 {
        detector.record_heartbeat(5000.0 + 50.0 * f64::from(heartbeat));
    }
    assert_eq!(detector.earliest_arrival(5490.0), 5490.0, "heartbeats are on time");
    assert_eq!(detector.earliest_arrival(6450.0), 5450.0, "the process has just resumed");
    detector.record_heartbeat(6451.0);
    assert_eq!(detector.earliest_arrival(6460.0), 5450.0, "reading the backlog");
    detector.record_heartbeat(6501.0);
    assert_eq!(detector.earliest_arrival(6502.0), 6502.0, "the backlog has been read");
}

#[test]
fn data_read_during_overload_may_have_arrived_before_the_last_heartbeat() {
    let detector = StallDetector::default();
    for heartbeat in [1000.0, 1050.0, 1350.0, 1700.0] {
        detector.record_heartbeat(heartbeat);
    }
    assert_eq!(detector.earliest_arrival(1720.0), 1350.0, "reading the backlog");
    assert_eq!(detector.earliest_arrival(2000.0), 1350.0, "the next heartbeat is late too");
    detector.record_heartbeat(1750.0);
    assert_eq!(detector.earliest_arrival(1751.0), 1751.0);
}

#[test]
fn a_single_pause_is_not_overload() {
    let detector = StallDetector::default();
    detector.record_heartbeat(1000.0);
    assert_eq!(detector.record_heartbeat(1050.0), None);
    assert_eq!(detector.record_heartbeat(1400.0), None, "one pause");
    assert!(!detector.is_overloaded(1440.0));
    assert_eq!(detector.record_heartbeat(1450.0), None);
    assert_eq!(detector.record_heartbeat(1750.0), None);
    assert!(!detector.is_overloaded(1800.0) && detector.is_overloaded(1900.0), "a second late heartbeat");
    assert_eq!(detector.record_heartbeat(2050.0), Some(LoadChange::Overloaded(275.0)));
    assert!(detector.is_overloaded(2060.0));
    assert_eq!(detector.record_heartbeat(2300.0), None);
    assert_eq!(detector.record_heartbeat(2350.0), Some(LoadChange::Recovered));
    assert!(!detector.is_overloaded(2351.0));
}
