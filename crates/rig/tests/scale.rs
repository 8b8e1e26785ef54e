//! Scale experiments at small sizes: the fits against known laws, and the experiments against real daemons.
use corkbay_rig::scale::fit::{fit_rows, Line, PowerLaw};
use corkbay_rig::scale::Measurement;

#[test]
fn fits_recover_a_line_and_a_power_law_and_tell_the_residual() {
    let line: Vec<(f64, f64)> = [1.0, 4.0, 16.0].map(|x| (x, 5.0 + 3.0 * x)).to_vec();
    let fit = Line::fit(&line).expect("three sizes");
    assert!((fit.intercept - 5.0).abs() < 1e-9 && (fit.slope - 3.0).abs() < 1e-9, "{fit:?}");
    assert!(fit.residual < 1e-9 && (fit.at(100.0) - 305.0).abs() < 1e-6);
    let square: Vec<(f64, f64)> = [2.0, 4.0, 8.0, 16.0].map(|x: f64| (x, 0.5 * x.powi(2))).to_vec();
    let law = PowerLaw::fit(&square).expect("four sizes");
    assert!((law.exponent - 2.0).abs() < 1e-9 && (law.factor - 0.5).abs() < 1e-9, "{law:?}");
    assert!(law.residual < 1e-9 && (law.at(32.0) - 512.0).abs() < 1e-6);
    // Points off by 1 to both sides of a flat line have a residual of 1.
    let flat = [(1.0, 9.0), (2.0, 11.0), (3.0, 11.0), (4.0, 9.0)];
    let fit = Line::fit(&flat).expect("four sizes");
    assert!(fit.slope.abs() < 1e-9 && (fit.residual - 1.0).abs() < 1e-9, "{fit:?}");
}

/// Guards against slopes that are told from too few sizes.
#[test]
fn no_slope_is_told_from_fewer_than_three_sizes() {
    assert!(Line::fit(&[(1.0, 1.0), (1.0, 2.0), (2.0, 3.0), (2.0, 4.0)]).is_none());
    assert!(PowerLaw::fit(&[(1.0, 1.0), (2.0, 0.0), (3.0, 3.0)]).is_none(), "0 has no logarithm");
    let two = [1.0, 2.0].map(|size| Measurement::new("two", size, size, "bytes"));
    let three = [1.0, 2.0, 3.0].map(|size| Measurement::new("three", size, 7.0 * size, "bytes"));
    let fits = fit_rows(&[two.to_vec(), three.to_vec()].concat());
    assert_eq!(fits.len(), 1);
    assert!(fits[0].row == "three" && fits[0].points == 3 && (fits[0].slope - 7.0).abs() < 1e-9);
}
