//! Whether memory stayed flat: the verdict over what was sampled in a soak.
//!
//! Two looks that hide different faults: the slope over the last half finds what still grows at the end, and
//! the levels of the two steady phases find what a rise and a fall between them would cover.
use serde::Serialize;
use std::collections::BTreeMap;

const MIB: f64 = 1024.0 * 1024.0;

/// What may be grown, in bytes over the last half of the run and between the steady phases.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Bounds {
    /// Of resident memory, as its slope over the last half tells.
    pub resident: f64,
    /// Of resident memory, between the steady phases: stacks and pages that a flood touched may stay.
    pub touched: f64,
    /// Of any one account, as a part of its cap.
    pub account: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { resident: 4.0 * MIB, touched: 8.0 * MIB, account: 0.05 }
    }
}

/// One look at the process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// Seconds from the start.
    pub at_s: f64,
    /// The phase.
    pub phase: String,
    /// Resident memory, in bytes.
    pub resident: f64,
    /// Accounts by name.
    pub accounts: BTreeMap<String, Holding>,
}

/// What one account held.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Holding {
    /// In bytes.
    pub used: f64,
    /// The most it ever held, in bytes.
    pub peak: f64,
    /// What it may hold, in bytes.
    pub cap: f64,
}

/// One finding about one series.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The account, or `resident`.
    pub series: String,
    /// Growth over the last half as its slope tells, in bytes.
    pub growth: f64,
    /// The most that this may be, in bytes.
    pub growth_bound: f64,
    /// How much higher the last steady phase was than the first, in bytes.
    pub rise: f64,
    /// The most that this may be, in bytes.
    pub rise_bound: f64,
    /// The most it ever held over its cap; 0 for resident memory.
    pub over_cap: f64,
    /// Whether all of it is within bounds.
    pub flat: bool,
}

/// Judges the samples of a run whose first and last phase go by that name.
pub fn judge(samples: &[Sample], steady: &str, bounds: Bounds) -> Vec<Finding> {
    let names: Vec<String> =
        samples.last().map(|last| last.accounts.keys().cloned().collect()).unwrap_or_default();
    let held = |name: &str, sample: &Sample| sample.accounts.get(name).copied().unwrap_or_default();
    let resident = finding("resident", samples, steady, (bounds.resident, bounds.touched), 0.0, |sample| {
        sample.resident
    });
    let account = |name: &String| {
        let over = |sample: &Sample| held(name, sample).peak - held(name, sample).cap;
        let over_cap = samples.iter().map(over).fold(0.0, f64::max);
        let cap = samples.last().map_or(0.0, |last| held(name, last).cap);
        finding(name, samples, steady, (bounds.account * cap, bounds.account * cap), over_cap, |sample| {
            held(name, sample).used
        })
    };
    std::iter::once(resident).chain(names.iter().map(account)).collect()
}

fn finding(
    series: &str,
    samples: &[Sample],
    steady: &str,
    (growth_bound, rise_bound): (f64, f64),
    over_cap: f64,
    value: impl Fn(&Sample) -> f64,
) -> Finding {
    let half = &samples[samples.len() / 2..];
    let points: Vec<(f64, f64)> = half.iter().map(|sample| (sample.at_s, value(sample))).collect();
    let span = points.last().zip(points.first()).map_or(0.0, |(last, first)| last.0 - first.0);
    let growth = slope(&points) * span;
    // The end of each steady phase: its begin still holds what came before.
    let ends = |samples: Vec<&Sample>| {
        let tail = &samples[samples.len() - samples.len().div_ceil(3)..];
        tail.iter().map(|sample| value(sample)).sum::<f64>() / tail.len().max(1) as f64
    };
    let first: Vec<&Sample> = samples.iter().take_while(|sample| sample.phase == steady).collect();
    let last: Vec<&Sample> = samples.iter().rev().take_while(|sample| sample.phase == steady).collect();
    let last: Vec<&Sample> = last.into_iter().rev().collect();
    let rise = if first.is_empty() || last.is_empty() { 0.0 } else { ends(last) - ends(first) };
    let flat = growth <= growth_bound && rise <= rise_bound && over_cap <= 0.0;
    Finding { series: series.into(), growth, growth_bound, rise, rise_bound, over_cap, flat }
}

/// The slope of the line of least squares through points.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len().max(1) as f64;
    let (x, y) =
        points.iter().fold((0.0, 0.0), |sum, point| (sum.0 + point.0 / count, sum.1 + point.1 / count));
    let (over, under) = points.iter().fold((0.0, 0.0), |sum, point| {
        (sum.0 + (point.0 - x) * (point.1 - y), sum.1 + (point.0 - x) * (point.0 - x))
    });
    if under > 0.0 {
        over / under
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
