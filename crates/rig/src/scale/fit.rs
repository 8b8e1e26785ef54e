//! Least-squares fits of measurements: a straight line, and the exponent of a power law.
use super::Measurement;
use serde::Serialize;

/// Minimum number of different sizes from which a slope is fitted.
pub const MIN_SIZES: usize = 3;

/// The least-squares line `intercept + slope * x` through a set of points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at 0.
    pub intercept: f64,
    /// The growth per unit of size.
    pub slope: f64,
    /// The root of the mean squared distance of the points from the line.
    pub residual: f64,
}

impl Line {
    /// The value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Fits a line to the points; `None` with fewer than [`MIN_SIZES`] different sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
        if distinct_sizes(points) < MIN_SIZES {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let variance = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum::<f64>();
        let covariance = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum::<f64>();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let squares = points.iter().map(|point| (point.1 - intercept - slope * point.0).powi(2)).sum::<f64>();
        Some(Line { intercept, slope, residual: (squares / count).sqrt() })
    }
}

/// The power law `factor * x^exponent`, fitted by least squares of logarithms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerLaw {
    /// The value at size 1.
    pub factor: f64,
    /// The exponent of the size.
    pub exponent: f64,
    /// The root of the mean squared distance of the logarithms; 0.1 means about 10 percent.
    pub residual: f64,
}

impl PowerLaw {
    /// The value of the law at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }

    /// Fits a power law to the points; `None` with fewer than [`MIN_SIZES`] different sizes, or
    /// where a size or a value is not above 0.
    pub fn fit(points: &[(f64, f64)]) -> Option<PowerLaw> {
        if points.iter().any(|point| point.0 <= 0.0 || point.1 <= 0.0) {
            return None;
        }
        let logarithms: Vec<(f64, f64)> = points.iter().map(|point| (point.0.ln(), point.1.ln())).collect();
        let line = Line::fit(&logarithms)?;
        Some(PowerLaw { factor: line.intercept.exp(), exponent: line.slope, residual: line.residual })
    }
}

/// How the figures of one row grow with the size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RowFit {
    /// The row.
    pub row: String,
    /// The unit of its figures.
    pub unit: String,
    /// Number of figures fitted.
    pub points: usize,
    /// The value of the line at size 0.
    pub intercept: f64,
    /// The growth per unit of size.
    pub slope: f64,
    /// The residual of the line, in `unit`.
    pub line_residual: f64,
    /// The exponent of the power law, where one can be fitted.
    pub exponent: Option<f64>,
    /// The residual of the power law, in natural logarithms.
    pub power_residual: Option<f64>,
}

/// Fits every row that was measured at [`MIN_SIZES`] different sizes or more, in the order of their first measurement.
pub fn fit_rows(measurements: &[Measurement]) -> Vec<RowFit> {
    let mut rows: Vec<(&str, &str)> = Vec::new();
    for measurement in measurements {
        let row = (measurement.row.as_str(), measurement.unit.as_str());
        if !rows.contains(&row) {
            rows.push(row);
        }
    }
    rows.into_iter().filter_map(|(row, unit)| fit_row(measurements, row, unit)).collect()
}

fn fit_row(measurements: &[Measurement], row: &str, unit: &str) -> Option<RowFit> {
    let points: Vec<(f64, f64)> = measurements
        .iter()
        .filter(|measurement| measurement.row == row && measurement.unit == unit)
        .map(|measurement| (measurement.size, measurement.value))
        .collect();
    let line = Line::fit(&points)?;
    let power = PowerLaw::fit(&points);
    Some(RowFit {
        row: row.to_string(),
        unit: unit.to_string(),
        points: points.len(),
        intercept: line.intercept,
        slope: line.slope,
        line_residual: line.residual,
        exponent: power.map(|power| power.exponent),
        power_residual: power.map(|power| power.residual),
    })
}

fn distinct_sizes(points: &[(f64, f64)]) -> usize {
    let mut sizes: Vec<f64> = points.iter().map(|point| point.0).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes.len()
}
