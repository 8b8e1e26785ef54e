//! Measurements and fits as text for the terminal and as CSV files.
use super::fit::RowFit;
use super::{Measurement, ScaleError};
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

/// The measurements and fits as aligned text.
pub fn text(measurements: &[Measurement], fits: &[RowFit]) -> String {
    let width = measurements.iter().map(|measurement| measurement.row.len()).max().unwrap_or(0);
    let mut text = String::new();
    for measurement in measurements {
        let Measurement { row, size, value, unit } = measurement;
        let _ = writeln!(text, "{row:width$}  {size:>9}  {:>16}  {unit}", figure(*value));
    }
    for fit in fits {
        let _ = writeln!(text, "{}", fit_line(fit, width));
    }
    text
}

/// Writes `scale-NAME.csv` and `scale-NAME-fits.csv` into a folder.
pub fn write(
    folder: &Path,
    name: &str,
    measurements: &[Measurement],
    fits: &[RowFit],
) -> Result<(), ScaleError> {
    write_csv(&folder.join(format!("scale-{name}.csv")), measurements)?;
    write_csv(&folder.join(format!("scale-{name}-fits.csv")), fits)
}

fn write_csv(path: &Path, rows: &[impl Serialize]) -> Result<(), ScaleError> {
    let mut writer = csv::Writer::from_path(path)?;
    for row in rows {
        writer.serialize(row)?;
    }
    writer.flush()?;
    Ok(())
}

fn fit_line(fit: &RowFit, width: usize) -> String {
    let RowFit { row, unit, points, intercept, slope, line_residual, .. } = fit;
    let mut line = format!(
        "{row:width$}  fit of {points}: {} + {} * size {unit}, residual {}",
        figure(*intercept),
        figure(*slope),
        figure(*line_residual)
    );
    if let (Some(exponent), Some(residual)) = (fit.exponent, fit.power_residual) {
        let _ = write!(line, "; size^{exponent:.2}, residual {residual:.3}");
    }
    line
}

/// A figure with four significant digits, and whole numbers from a thousand on.
fn figure(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1000.0 || magnitude == 0.0 {
        return format!("{value:.0}");
    }
    let digits = (3 - magnitude.log10().floor() as i32).clamp(0, 9) as usize;
    format!("{value:.digits$}")
}
