use super::*;

fn accepted_for(allowed_ms: Ms) -> Rerun {
    let (deadline, deadline_machine_ms) = (UnixTime::from_ms(50_000.0), 9000.0);
    Rerun { body: Vec::new(), allowed_ms, deadline, deadline_machine_ms }
}

#[test]
fn remaining_time_follows_the_machine_clock_until_a_reboot() {
    let rerun = accepted_for(3000.0);
    for remaining_by_date_ms in [-3_600_000.0, 0.0, 3_600_000.0] {
        assert_eq!(rerun.remaining_ms(6000.0, remaining_by_date_ms), 3000.0);
        assert_eq!(rerun.remaining_ms(8500.0, remaining_by_date_ms), 500.0);
        assert_eq!(rerun.remaining_ms(20_000.0, remaining_by_date_ms), 0.0);
    }
}

#[test]
fn after_a_reboot_remaining_time_follows_the_date_up_to_the_allowed_time() {
    let rerun = accepted_for(3000.0);
    assert_eq!(rerun.remaining_ms(100.0, 1000.0), 1000.0);
    assert_eq!(rerun.remaining_ms(100.0, -5.0), 0.0);
    assert_eq!(rerun.remaining_ms(100.0, 3_600_000.0), 3000.0);
}
