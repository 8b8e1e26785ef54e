use super::*;

#[test]
fn what_is_read_behind_a_stall_may_have_come_at_its_beginning() {
    let watch = StallWatch::default();
    assert_eq!(watch.came_at(5000.0), 5000.0, "nothing is known yet");
    for beat in 0..10 {
        watch.beat(5000.0 + 50.0 * f64::from(beat));
    }
    assert_eq!(watch.came_at(5490.0), 5490.0, "it runs");
    assert_eq!(watch.came_at(6450.0), 5450.0, "it has just gone on");
    watch.beat(6451.0);
    assert_eq!(watch.came_at(6460.0), 5450.0, "it is catching up");
    watch.beat(6501.0);
    assert_eq!(watch.came_at(6502.0), 6502.0, "what is read from here on has come since");
}

#[test]
fn what_is_read_while_late_again_and_again_may_have_come_before_the_last_heartbeat() {
    let watch = StallWatch::default();
    for beat in [1000.0, 1050.0, 1350.0, 1700.0] {
        watch.beat(beat);
    }
    assert_eq!(watch.came_at(1720.0), 1350.0, "it is catching up");
    assert_eq!(watch.came_at(2000.0), 1350.0, "it is late once more");
    watch.beat(1750.0);
    assert_eq!(watch.came_at(1751.0), 1751.0);
}

#[test]
fn a_pause_alone_is_no_falling_behind() {
    let watch = StallWatch::default();
    watch.beat(1000.0);
    assert_eq!(watch.beat(1050.0), None);
    assert_eq!(watch.beat(1400.0), None, "it was stopped");
    assert!(!watch.is_behind(1440.0));
    assert_eq!(watch.beat(1450.0), None);
    assert_eq!(watch.beat(1750.0), None);
    assert!(!watch.is_behind(1800.0) && watch.is_behind(1900.0), "late once more");
    assert_eq!(watch.beat(2050.0), Some(Turn::FellBehind(275.0)));
    assert!(watch.is_behind(2060.0));
    assert_eq!(watch.beat(2300.0), None);
    assert_eq!(watch.beat(2350.0), Some(Turn::CaughtUp));
    assert!(!watch.is_behind(2351.0));
}
