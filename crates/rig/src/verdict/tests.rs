use super::*;

#[test]
fn a_slope_is_the_slope() {
    assert!((slope(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]) - 2.0).abs() < 1e-9);
    assert_eq!(slope(&[(1.0, 9.0)]), 0.0);
    assert_eq!(slope(&[]), 0.0);
}

fn run(resident: impl Fn(f64) -> f64) -> Finding {
    let phase = |at: f64| if (25.0..75.0).contains(&at) { "flooding" } else { "steady" };
    let sample = |at: u32| Sample {
        at_s: f64::from(at),
        phase: phase(f64::from(at)).into(),
        resident: resident(f64::from(at)),
        accounts: BTreeMap::new(),
    };
    let samples: Vec<Sample> = (0..100).map(sample).collect();
    judge(&samples, "steady", Bounds { resident: 10.0, touched: 10.0, account: 0.05 }).remove(0)
}

#[test]
fn a_leak_is_found_behind_a_flood_and_noise_is_none() {
    assert!(run(|at| 100.0 + 5.0 * (at * 7.0).sin()).flat);
    assert!(run(|at| if (25.0..75.0).contains(&at) { 500.0 } else { 100.0 }).flat, "a flood that went");
    assert!(!run(|at| 100.0 + at).flat, "what grows all the time");
    let covered = run(|at| if (25.0..75.0).contains(&at) { 500.0 } else { 100.0 + at / 2.0 });
    assert!(covered.growth < 0.0 && !covered.flat, "what a falling flood covers: {covered:?}");
}
