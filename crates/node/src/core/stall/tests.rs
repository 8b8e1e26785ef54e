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
