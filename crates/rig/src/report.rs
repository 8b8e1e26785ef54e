//! Writes results as tables (CSV, JSON) and charts (SVG) into a folder.
use crate::load::Outcome;
use crate::verdict::{Finding, Sample};
use plotters::prelude::*;
use serde::Serialize;
use std::error::Error;
use std::path::Path;

const CHART_SIZE_PX: (u32, u32) = (960, 540);
const QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];

#[derive(Serialize)]
struct Row {
    calls: String,
    answers: u64,
    served: u64,
    accepted: u64,
    refused: u64,
    other: u64,
    p50_ms: f64,
    p90_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    most_ms: f64,
}

/// Writes the results of a load run: `load.csv`, `load.json` and `latency.svg`.
pub fn load(folder: &Path, outcome: &Outcome) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    let rows: Vec<Row> = outcome
        .iter()
        .map(|(calls, group)| {
            let of = |status| group.statuses.get(&status).copied().unwrap_or(0);
            let at = QUANTILES.map(|part| group.latency.value_at_quantile(part) as f64 / 1000.0);
            let (answers, served, accepted, refused) = (group.count(), of(200), of(202), of(503));
            Row {
                calls: calls.clone(),
                answers,
                served,
                accepted,
                refused,
                other: answers - served - accepted - refused,
                p50_ms: at[0],
                p90_ms: at[1],
                p99_ms: at[2],
                p999_ms: at[3],
                most_ms: at[4],
            }
        })
        .collect();
    table(&folder.join("load.csv"), &rows)?;
    std::fs::write(folder.join("load.json"), serde_json::to_vec_pretty(&rows)?)?;
    let lines = outcome.iter().map(|(name, group)| {
        let point = |step: u32| {
            let part = 1.0 - 0.5f64.powf(f64::from(step) / 4.0);
            (f64::from(step) / 4.0, group.latency.value_at_quantile(part) as f64 / 1000.0)
        };
        (name.clone(), (0..=40).map(point).collect())
    });
    let labels = ["halvings of the slower fraction of calls", "milliseconds"];
    chart(&folder.join("latency.svg"), "Latency from the scheduled time of a call", labels, lines.collect())
}

/// Writes the results of a soak: `samples.json`, `verdict.csv`, `accounts.svg` and `resident.svg`.
pub fn soak(folder: &Path, samples: &[Sample], findings: &[Finding]) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    table(&folder.join("verdict.csv"), findings)?;
    std::fs::write(folder.join("samples.json"), serde_json::to_vec(samples)?)?;
    let names =
        samples.last().map(|last| last.accounts.keys().cloned().collect::<Vec<_>>()).unwrap_or_default();
    let without_tenants = names.into_iter().filter(|name| !name.contains('/'));
    let lines = without_tenants.map(|name| {
        let point = |sample: &Sample| {
            let used = sample.accounts.get(&name).map_or(0.0, |holding| holding.used);
            (sample.at_s, used / 1e6)
        };
        (name.clone(), samples.iter().map(point).collect())
    });
    let labels = ["seconds", "MB"];
    chart(&folder.join("accounts.svg"), "Memory held by purpose", labels, lines.collect())?;
    let resident = samples.iter().map(|sample| (sample.at_s, sample.resident / 1e6)).collect();
    let held = |sample: &Sample| {
        let without_tenants = sample.accounts.iter().filter(|(name, _)| !name.contains('/'));
        (sample.at_s, without_tenants.map(|(_, holding)| holding.used).sum::<f64>() / 1e6)
    };
    let lines = vec![
        ("resident".to_string(), resident),
        ("all accounts".to_string(), samples.iter().map(held).collect()),
    ];
    chart(&folder.join("resident.svg"), "Resident memory and sum of the accounts", labels, lines)
}

fn table(path: &Path, rows: &[impl Serialize]) -> Result<(), Box<dyn Error>> {
    let mut writer = csv::Writer::from_path(path)?;
    rows.iter().try_for_each(|row| writer.serialize(row))?;
    Ok(writer.flush()?)
}

/// A line of a chart: its name and its points.
pub(crate) type Line = (String, Vec<(f64, f64)>);

/// Draws lines as SVG. Both axes start at 0 unless a point is negative.
pub(crate) fn chart(
    path: &Path,
    title: &str,
    labels: [&str; 2],
    lines: Vec<Line>,
) -> Result<(), Box<dyn Error>> {
    let upper_bound = |of: fn(&(f64, f64)) -> f64| {
        lines.iter().flat_map(|line| line.1.iter()).map(of).fold(1e-3, f64::max) * 1.05
    };
    let lower_bound = |of: fn(&(f64, f64)) -> f64| {
        lines.iter().flat_map(|line| line.1.iter()).map(of).fold(0.0, f64::min) * 1.05
    };
    let area = SVGBackend::new(path, CHART_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(
            lower_bound(|point| point.0)..upper_bound(|point| point.0),
            lower_bound(|point| point.1)..upper_bound(|point| point.1),
        )?;
    chart.configure_mesh().x_desc(labels[0]).y_desc(labels[1]).draw()?;
    for (index, (name, points)) in lines.into_iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(area.present()?)
}
