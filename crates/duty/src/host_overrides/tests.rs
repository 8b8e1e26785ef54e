use super::*;

#[test]
fn one_resume_ends_any_number_of_suspensions() {
    let mut bans = Bans::default();
    assert!(bans.suspend("a", 1.0));
    assert!(!bans.suspend("a", 2.0));
    assert_eq!(bans.out().collect::<Vec<_>>(), ["a"]);
    assert!(bans.resume("a", 3.0));
    assert!(!bans.resume("a", 4.0), "it is already resumed");
    assert_eq!((bans.is_out("a"), bans.back_at("a")), (false, Some(3.0)), "the first resume counts");
    assert!(!bans.resume("b", 5.0), "it was never suspended");
    assert_eq!(bans.back_at("b"), None);
}

/// Guards against memory growth during weeks of rolling maintenance.
#[test]
fn old_resumes_are_forgotten_and_suspensions_are_not() {
    let mut bans = Bans::default();
    bans.suspend("held", 0.0);
    for number in 0..1000 {
        let (name, now) = (format!("h{number}"), f64::from(number) * 1000.0);
        bans.suspend(&name, now);
        bans.resume(&name, now + 500.0);
    }
    assert!(bans.is_out("held"));
    assert!(bans.host_overrides().count() < 70, "{}", bans.host_overrides().count());
    assert!(bans.bytes() < 70 * Bans::cost("h1000"));
}
