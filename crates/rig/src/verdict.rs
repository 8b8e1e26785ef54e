//! Decides from the samples of a soak whether memory stayed flat.
//!
//! Two checks are needed, as each misses some leaks: the slope over the last half finds memory that still grows at the end;
//! comparing the two steady phases finds growth that is hidden in the slope by a rise and fall between them.
use serde::Serialize;
use std::collections::BTreeMap;

const MIB: f64 = 1024.0 * 1024.0;

/// How much memory may grow over the last half of a run and between the steady phases.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Bounds {
    /// Growth of resident memory over the last half, from its slope, in bytes.
    pub resident: f64,
    /// Growth of resident memory between the steady phases, in bytes: stacks and pages touched by a flood may stay resident.
    pub touched: f64,
    /// Growth of any one account, as a fraction of its cap.
    pub account: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { resident: 4.0 * MIB, touched: 8.0 * MIB, account: 0.05 }
    }
}

/// Memory of the daemon at one time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// Seconds since the start.
    pub at_s: f64,
    /// The phase of the soak.
    pub phase: String,
    /// Resident memory, in bytes.
    pub resident: f64,
    /// Memory accounts by name.
    pub accounts: BTreeMap<String, Holding>,
}

/// Usage of one account.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Holding {
    /// Current usage, in bytes.
    pub used: f64,
    /// Peak usage, in bytes.
    pub peak: f64,
    /// Limit of the account, in bytes.
    pub cap: f64,
}

/// The verdict on one series.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The account, or `resident`.
    pub series: String,
    /// Growth over the last half, from its slope, in bytes.
    pub growth: f64,
    /// Upper bound for `growth`, in bytes.
    pub growth_bound: f64,
    /// Increase from the first steady phase to the last, in bytes.
    pub rise: f64,
    /// Upper bound for `rise`, in bytes.
    pub rise_bound: f64,
    /// Peak usage above the cap, in bytes; 0 for resident memory.
    pub over_cap: f64,
    /// Whether everything is within bounds.
    pub flat: bool,
}

/// Judges the samples of a run whose first and last phases are named `steady`.
pub fn judge(samples: &[Sample], steady: &str, bounds: Bounds) -> Vec<Finding> {
    let names: Vec<String> =
        samples.last().map(|last| last.accounts.keys().cloned().collect()).unwrap_or_default();
    let holding_of = |name: &str, sample: &Sample| sample.accounts.get(name).copied().unwrap_or_default();
    let resident = finding("resident", samples, steady, (bounds.resident, bounds.touched), 0.0, |sample| {
        sample.resident
    });
    let account = |name: &String| {
        let covariance = |sample: &Sample| holding_of(name, sample).peak - holding_of(name, sample).cap;
        let over_cap = samples.iter().map(covariance).fold(0.0, f64::max);
        let cap = samples.last().map_or(0.0, |last| holding_of(name, last).cap);
        finding(name, samples, steady, (bounds.account * cap, bounds.account * cap), over_cap, |sample| {
            holding_of(name, sample).used
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
    let second_half = &samples[samples.len() / 2..];
    let points: Vec<(f64, f64)> = second_half.iter().map(|sample| (sample.at_s, value(sample))).collect();
    let span_s = points.last().zip(points.first()).map_or(0.0, |(last, first)| last.0 - first.0);
    let growth = slope(&points) * span_s;
    // Only the last third of each steady phase counts: its start still includes memory from before it.
    let tail_mean = |samples: Vec<&Sample>| {
        let tail = &samples[samples.len() - samples.len().div_ceil(3)..];
        tail.iter().map(|sample| value(sample)).sum::<f64>() / tail.len().max(1) as f64
    };
    let first: Vec<&Sample> = samples.iter().take_while(|sample| sample.phase == steady).collect();
    let last: Vec<&Sample> = samples.iter().rev().take_while(|sample| sample.phase == steady).collect();
    let last: Vec<&Sample> = last.into_iter().rev().collect();
    let rise = if first.is_empty() || last.is_empty() { 0.0 } else { tail_mean(last) - tail_mean(first) };
    let flat = growth <= growth_bound && rise <= rise_bound && over_cap <= 0.0;
    Finding { series: series.into(), growth, growth_bound, rise, rise_bound, over_cap, flat }
}

/// Slope of the least squares line through points.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len().max(1) as f64;
    let (x, y) =
        points.iter().fold((0.0, 0.0), |sum, point| (sum.0 + point.0 / count, sum.1 + point.1 / count));
    let (covariance, variance) = points.iter().fold((0.0, 0.0), |sum, point| {
        (sum.0 + (point.0 - x) * (point.1 - y), sum.1 + (point.0 - x) * (point.0 - x))
    });
    if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
