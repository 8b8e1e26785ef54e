use super::*;

fn arrivals(seed: u64) -> Vec<Arrival> {
    Plan::new(OfferedLoad::default(), seed).expect("a valid load").take(20_000).collect()
}

#[test]
fn a_plan_is_determined_by_its_seed_and_matches_the_offered_load() {
    let plan = arrivals(7);
    assert_eq!(plan, arrivals(7));
    assert_ne!(plan, arrivals(8));
    let rate = plan.len() as f64 / plan[plan.len() - 1].at.as_secs_f64();
    assert!((rate - 110.0).abs() < 5.0, "{rate}");
    let fraction =
        |holds: fn(&Arrival) -> bool| plan.iter().filter(|arrival| holds(arrival)).count() as f64 / 20_000.0;
    assert!((fraction(|arrival| arrival.key.is_some()) - 0.44).abs() < 0.02);
    assert!((fraction(|arrival| arrival.deferred) - 0.2).abs() < 0.02);
    assert!((fraction(|arrival| arrival.abandoned) - 0.1).abs() < 0.02);
    assert!(Plan::new(OfferedLoad { rate: 0.0, ..OfferedLoad::default() }, 1).is_none());
}

#[test]
fn tenants_get_functions_by_their_shares() {
    for (name, share) in TENANTS {
        let fraction = (0..1000).filter(|number| tenant(*number) == name).count() as f64 / 1000.0;
        assert!((fraction - share).abs() < 0.02, "{name}: {fraction}");
    }
}
