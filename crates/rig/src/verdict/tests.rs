use super::*;

#[test]
fn slope_fits_a_line_and_is_zero_without_one() {
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
fn a_leak_hidden_by_a_flood_is_found_and_noise_is_accepted() {
    assert!(run(|at| 100.0 + 5.0 * (at * 7.0).sin()).flat);
    assert!(run(|at| if (25.0..75.0).contains(&at) { 500.0 } else { 100.0 }).flat, "a flood that ended");
    assert!(!run(|at| 100.0 + at).flat, "constant growth");
    let covered = run(|at| if (25.0..75.0).contains(&at) { 500.0 } else { 100.0 + at / 2.0 });
    assert!(covered.growth < 0.0 && !covered.flat, "growth hidden by the end of a flood: {covered:?}");
}
