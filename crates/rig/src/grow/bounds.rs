//! How what an invoker needs may grow with the workers, as the operators' standing page states it.
use super::day::Reading;
use serde::Serialize;

const MIB: f64 = (1 << 20) as f64;
const KIB: f64 = 1024.0;
const THOUSAND: f64 = 1000.0;

/// A figure at one size beside the most, or least, that it may be there.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// What was measured.
    pub figure: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Workers.
    pub workers: usize,
    /// With the fewest workers.
    pub before: f64,
    /// With so many.
    pub value: f64,
    /// Over the figure with the fewest workers.
    pub ratio: f64,
    /// What it may be.
    pub bound: f64,
    /// Whether it keeps to that.
    pub is_kept: bool,
}

/// A part of the figure at the usual size, something more, and something more for each thousand workers.
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

/// The least share served, as a part of that at the usual size.
const LEAST_SHARE: f64 = 0.85;

/// The table of growth from one size to another.
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
    let bound = LEAST_SHARE * before.served;
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
