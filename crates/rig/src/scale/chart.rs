//! A chart of measurements with one line per row and logarithmic axes.
use super::{Measurement, ScaleError};
use crate::report;
use std::collections::BTreeMap;
use std::path::Path;

/// Draws `scale-NAME.svg` into a folder. Sizes and figures of 0 or less are left out: they have no logarithm.
pub fn draw(folder: &Path, name: &str, measurements: &[Measurement]) -> Result<(), ScaleError> {
    let mut lines: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for measurement in measurements {
        if measurement.size <= 0.0 || measurement.value <= 0.0 {
            continue;
        }
        let label = format!("{} ({})", measurement.row, measurement.unit);
        lines.entry(label).or_default().push((measurement.size.log10(), measurement.value.log10()));
    }
    let path = folder.join(format!("scale-{name}.svg"));
    let labels = ["size, log10", "figure, log10"];
    report::chart(&path, &format!("scale {name}"), labels, lines.into_iter().collect())
        .map_err(|error| ScaleError::Chart(error.to_string()))
}
