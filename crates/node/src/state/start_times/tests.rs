use super::*;

const NOW: Ms = 1_000_000.0;
const HOUR_MS: Ms = 3_600_000.0;

fn report_time(now: Ms, last_contact_without_report: Ms) -> ReportTime {
    ReportTime { now, last_contact_without_report }
}

/// The age determined for a reported start, given its age by the wall clock as it was at the start of the process and as
/// it is now.
fn determined_age(age_at_start_clock: Ms, age_at_present_clock: Ms, last_contact_without_report: Ms) -> Ms {
    let readings = MonotonicReadings {
        at_start_clock: NOW - age_at_start_clock,
        at_present_clock: NOW - age_at_present_clock,
    };
    let start = ReportedStart::interpret(
        UnixTime::from_ms(5.0),
        readings,
        report_time(NOW, last_contact_without_report),
        None,
    );
    NOW - start.started
}

#[test]
fn a_correct_clock_is_trusted() {
    assert_eq!(determined_age(2500.0, 2500.0, NOW - 1000.0), 2500.0);
    assert_eq!(
        determined_age(90_000.0, 90_000.0, Ms::NEG_INFINITY),
        90_000.0,
        "started before the first contact"
    );
}

/// Guards against a worker that skips slow start because our clock was stepped and it appears older than it is.
#[test]
fn a_step_of_our_clock_makes_no_worker_older() {
    for step in [2000.0, 30_000.0, HOUR_MS] {
        assert_eq!(determined_age(2500.0, 2500.0 + step, NOW - 1000.0), 2500.0, "set forward");
        assert_eq!(
            determined_age(2500.0 + step, 2500.0, NOW - 1000.0),
            2500.0,
            "set right after it was ahead"
        );
        assert!(determined_age(2500.0, 2500.0 - step, NOW - 1000.0) <= 2500.0, "set back");
    }
}

/// Guards against a worker that skips slow start because the sender's clock or ours is wrong.
#[test]
fn a_start_lies_between_the_last_contact_without_it_and_now() {
    for wrong in [30_000.0, HOUR_MS] {
        assert_eq!(determined_age(wrong, wrong, NOW - 1000.0), 0.0, "too long ago to be reported only now");
        assert_eq!(determined_age(-wrong, -wrong, NOW - 1000.0), 0.0, "in the future");
    }
    assert_eq!(determined_age(20_000.0, 20_000.0, NOW - 8000.0), 20_000.0, "reported after a silence");
}

#[test]
fn the_same_date_is_the_same_start_and_another_is_a_later_one() {
    let readings = |at| MonotonicReadings { at_start_clock: at, at_present_clock: at };
    let interpret = |since, at, now, before| {
        ReportedStart::interpret(
            UnixTime::from_ms(since),
            readings(at),
            report_time(now, now - 1000.0),
            before,
        )
    };
    let first = interpret(5.0, NOW - 2000.0, NOW, None);
    assert_eq!(
        interpret(5.0, NOW + HOUR_MS, NOW + 9000.0, Some(first)),
        first,
        "reported again after a step"
    );
    let second = interpret(6.0, NOW - HOUR_MS, NOW, Some(first));
    assert_eq!(second.started, NOW, "an impossible date is not an earlier start");
    assert!(
        interpret(4.0, NOW - 2500.0, NOW, Some(first)).started > first.started,
        "the sender's clock went back"
    );
    assert_eq!(interpret(0.0, 0.0, NOW, Some(first)).started, 0.0, "long ago");
}

#[test]
fn what_was_missed_during_a_silence_may_be_as_old_as_the_silence() {
    let mut contact = ChannelContact::default();
    assert_eq!(contact.last_contact_without_report(), Ms::NEG_INFINITY);
    contact.record_contact(0.0);
    assert_eq!(
        contact.last_contact_without_report(),
        Ms::NEG_INFINITY,
        "the first list may report any start"
    );
    for second in 1..=10 {
        contact.record_contact(f64::from(second) * 1000.0);
    }
    assert_eq!(contact.last_contact_without_report(), 9000.0);
    contact.record_contact(19_000.0);
    contact.record_contact(19_001.0);
    assert_eq!(contact.last_contact_without_report(), 10_000.0, "the channel was down");
    contact.record_contact(20_000.0);
    contact.record_contact(21_000.0);
    assert_eq!(contact.last_contact_without_report(), 20_000.0, "caught up");
}
