//! Upper bounds for the growth of an invoker's resource use with the number of workers, as the operators require them.
use super::run::Reading;
use serde::Serialize;

const MIB: f64 = (1 << 20) as f64;
const KIB: f64 = 1024.0;
const THOUSAND: f64 = 1000.0;

/// A measured figure at one fleet size, with the upper or lower bound that applies to it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// What was measured.
    pub figure: &'static str,
    /// Unit of the figure.
    pub unit: &'static str,
    /// Number of workers.
    pub workers: usize,
    /// The figure at the baseline size.
    pub before: f64,
    /// The figure with `workers` workers.
    pub value: f64,
    /// `value` divided by `before`.
    pub ratio: f64,
    /// The bound: a minimum for the share served, a maximum for all other figures.
    pub bound: f64,
    /// Whether `value` is within the bound.
    pub is_kept: bool,
}

/// A bound: a multiple of the baseline figure, plus a constant, plus an amount per thousand workers.
struct Growth {
    times: f64,
    plus: f64,
    per_thousand: f64,
}

impl Growth {
    fn bound(&self, before: f64, workers: usize) -> f64 {
        self.times * before + self.plus + self.per_thousand * workers as f64 / THOUSAND
    }
}

/// Minimum share of requests served, as a fraction of the share at the baseline size.
const MIN_SERVED_FRACTION: f64 = 0.85;

/// Compares each figure of `now` with the baseline `before` and checks it against its bound.
pub fn table(before: &Reading, now: &Reading) -> Vec<Row> {
    let rows = [
        ("CPU", "s", before.cpu_s, now.cpu_s, Growth { times: 1.4, plus: 0.02, per_thousand: 0.03 }),
        (
            "peak memory",
            "bytes",
            before.peak_resident,
            now.peak_resident,
            Growth { times: 1.5, plus: 8.0 * MIB, per_thousand: 4.0 * MIB },
        ),
        (
            "descriptors",
            "descriptors",
            before.peak_descriptors,
            now.peak_descriptors,
            Growth { times: 2.0, plus: 40.0, per_thousand: 0.0 },
        ),
        (
            "connections made to workers",
            "connections",
            before.connections_made,
            now.connections_made,
            Growth { times: 2.5, plus: 40.0, per_thousand: 0.0 },
        ),
        (
            "lists from discovery",
            "bytes",
            before.list_bytes,
            now.list_bytes,
            Growth { times: 2.0, plus: 64.0 * KIB, per_thousand: 500.0 * KIB },
        ),
    ];
    let mut table: Vec<Row> = rows
        .into_iter()
        .map(|(figure, unit, before, value, growth)| {
            let bound = growth.bound(before, now.workers);
            let (ratio, is_kept) = (value / before, value <= bound);
            Row { figure, unit, workers: now.workers, before, value, ratio, bound, is_kept }
        })
        .collect();
    let bound = MIN_SERVED_FRACTION * before.served;
    table.push(Row {
        figure: "share served",
        unit: "of requests",
        workers: now.workers,
        before: before.served,
        value: now.served,
        ratio: now.served / before.served,
        bound,
        is_kept: now.served >= bound,
    });
    table
}
