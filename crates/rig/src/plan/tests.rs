use super::*;

fn arrivals(seed: u64) -> Vec<Arrival> {
    Plan::new(Offer::default(), seed).expect("an offer").take(20_000).collect()
}

#[test]
fn a_day_follows_from_its_seed_and_offers_what_was_asked() {
    let day = arrivals(7);
    assert_eq!(day, arrivals(7));
    assert_ne!(day, arrivals(8));
    let rate = day.len() as f64 / day[day.len() - 1].at.as_secs_f64();
    assert!((rate - 110.0).abs() < 5.0, "{rate}");
    let part = |holds: fn(&Arrival) -> bool| day.iter().filter(|one| holds(one)).count() as f64 / 20_000.0;
    assert!((part(|one| one.key.is_some()) - 0.44).abs() < 0.02);
    assert!((part(|one| one.deferred) - 0.2).abs() < 0.02);
    assert!((part(|one| one.abandoned) - 0.1).abs() < 0.02);
    assert!(Plan::new(Offer { rate: 0.0, ..Offer::default() }, 1).is_none());
}

#[test]
fn tenants_come_by_their_shares() {
    for (name, share) in TENANTS {
        let part = (0..1000).filter(|number| tenant(*number) == name).count() as f64 / 1000.0;
        assert!((part - share).abs() < 0.02, "{name}: {part}");
    }
}
