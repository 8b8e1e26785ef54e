use super::*;

#[test]
fn one_resume_ends_any_number_of_suspensions() {
    let mut host_overrides = HostOverrides::default();
    assert!(host_overrides.suspend("a", 1.0));
    assert!(!host_overrides.suspend("a", 2.0));
    assert_eq!(host_overrides.out().collect::<Vec<_>>(), ["a"]);
    assert!(host_overrides.resume("a", 3.0));
    assert!(!host_overrides.resume("a", 4.0), "it is already resumed");
    assert_eq!(
        (host_overrides.is_suspended("a"), host_overrides.resumed_at("a")),
        (false, Some(3.0)),
        "the first resume counts"
    );
    assert!(!host_overrides.resume("b", 5.0), "it was never suspended");
    assert_eq!(host_overrides.resumed_at("b"), None);
}

/// Guards against memory growth during weeks of rolling maintenance.
#[test]
fn old_resumes_are_forgotten_and_suspensions_are_not() {
    let mut host_overrides = HostOverrides::default();
    host_overrides.suspend("held", 0.0);
    for number in 0..1000 {
        let (name, now) = (format!("h{number}"), f64::from(number) * 1000.0);
        host_overrides.suspend(&name, now);
        host_overrides.resume(&name, now + 500.0);
    }
    assert!(host_overrides.is_suspended("held"));
    assert!(host_overrides.host_overrides().count() < 70, "{}", host_overrides.host_overrides().count());
    assert!(host_overrides.bytes() < 70 * HostOverrides::cost("h1000"));
}
