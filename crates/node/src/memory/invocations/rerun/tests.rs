use super::*;

fn accepted_for(allowed_ms: Ms) -> Rerun {
    let (deadline, deadline_machine_ms) = (UnixTime::from_ms(50_000.0), 9000.0);
    Rerun { body: Vec::new(), allowed_ms, deadline, deadline_machine_ms }
}

#[test]
fn what_is_left_is_told_by_the_machines_clock_while_it_runs_on() {
    let rerun = accepted_for(3000.0);
    for left_by_date in [-3_600_000.0, 0.0, 3_600_000.0] {
        assert_eq!(rerun.left(6000.0, left_by_date), 3000.0);
        assert_eq!(rerun.left(8500.0, left_by_date), 500.0);
        assert_eq!(rerun.left(20_000.0, left_by_date), 0.0);
    }
}

#[test]
fn a_machine_that_was_started_anew_goes_by_the_date_and_gives_no_more_than_the_whole_time() {
    let rerun = accepted_for(3000.0);
    assert_eq!(rerun.left(100.0, 1000.0), 1000.0);
    assert_eq!(rerun.left(100.0, -5.0), 0.0);
    assert_eq!(rerun.left(100.0, 3_600_000.0), 3000.0);
}
