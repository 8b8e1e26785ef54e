//! Scale experiments: each measures a cost at several sizes and fits its growth.
//!
//! Every experiment returns [`Measurement`]s. They are printed as a table, written as CSV and drawn as a
//! chart, and every row that was measured at three sizes or more is fitted by a straight line and a power law.
pub mod catalog;
pub mod connections;
pub mod decisions;
pub mod deferred;
pub mod deploy;
pub mod feed;
pub mod fit;
pub mod in_force;
pub mod mesh;
pub mod process;
pub mod recovery;
pub mod relay;
pub mod table;
pub mod traffic;
pub mod usage;
pub mod worker_list;

mod chart;

use clap::Subcommand;
use serde::Serialize;
use std::io;
use std::path::PathBuf;

/// One measured figure of one row at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measurement {
    /// Name of the quantity; measurements with the same row are fitted together.
    pub row: String,
    /// The size at which it was measured, such as a number of nodes.
    pub size: f64,
    /// The figure.
    pub value: f64,
    /// The unit of the figure, such as `bytes/s`.
    pub unit: String,
}

impl Measurement {
    /// A measurement of a row at a size.
    pub fn new(row: impl Into<String>, size: f64, value: f64, unit: impl Into<String>) -> Self {
        Measurement { row: row.into(), size, value, unit: unit.into() }
    }
}

/// Error of an experiment.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A file, a socket or a process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A table could not be written.
    #[error("table: {0}")]
    Table(#[from] csv::Error),
    /// A chart could not be drawn.
    #[error("chart: {0}")]
    Chart(String),
    /// The experiment did not reach the state that it measures.
    #[error("{0}")]
    Failed(String),
    /// The experiment is not part of this build.
    #[error("the experiment {0} is not available yet")]
    NotAvailable(&'static str),
}

/// Context that all experiments get.
#[derive(Clone, Debug)]
pub struct ScaleContext {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Output folder for tables, charts and the files of the daemons.
    pub out: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
}

/// The experiments.
#[derive(Clone, Debug, Subcommand)]
pub enum Experiment {
    /// Daemons that name one another as peers: idle cost, and the time until a change is in force.
    Mesh(mesh::Options),
    /// Start time and memory of a daemon by the number of functions.
    Catalog(catalog::Options),
    /// Many followers of the change feed: idle cost, changes, restarts, lost control nodes.
    Feed(feed::Options),
    /// Restarted and paused followers: bytes and time until they are current.
    Recovery(recovery::Options),
    /// The cost of a decision by the number of workers and functions.
    Decisions(decisions::Options),
    /// The cost of the worker list and of changes to it.
    WorkerList(worker_list::Options),
    /// The cost of connections and probes.
    Connections(connections::Options),
    /// The cost of deferred calls and idempotency keys.
    Deferred(deferred::Options),
}

impl Experiment {
    /// The name under which the results are written.
    pub fn name(&self) -> &'static str {
        match self {
            Experiment::Mesh(_) => "mesh",
            Experiment::Catalog(_) => "catalog",
            Experiment::Feed(_) => "feed",
            Experiment::Recovery(_) => "recovery",
            Experiment::Decisions(_) => "decisions",
            Experiment::WorkerList(_) => "worker-list",
            Experiment::Connections(_) => "connections",
            Experiment::Deferred(_) => "deferred",
        }
    }

    fn measure(&self, context: &ScaleContext) -> Result<Vec<Measurement>, ScaleError> {
        match self {
            Experiment::Mesh(options) => mesh::run(context, options),
            Experiment::Catalog(options) => catalog::run(context, options),
            Experiment::Feed(options) => feed::run(context, options),
            Experiment::Recovery(options) => recovery::run(context, options),
            Experiment::Decisions(options) => decisions::run(context, options),
            Experiment::WorkerList(options) => worker_list::run(context, options),
            Experiment::Connections(options) => connections::run(context, options),
            Experiment::Deferred(options) => deferred::run(context, options),
        }
    }
}

/// Runs an experiment, prints its tables and writes `scale-NAME.csv`, `scale-NAME-fits.csv` and
/// `scale-NAME.svg`.
pub fn run(context: &ScaleContext, experiment: &Experiment) -> Result<(), ScaleError> {
    std::fs::create_dir_all(&context.out)?;
    let measurements = experiment.measure(context)?;
    let fits = fit::fit_rows(&measurements);
    print!("{}", table::text(&measurements, &fits));
    table::write(&context.out, experiment.name(), &measurements, &fits)?;
    chart::draw(&context.out, experiment.name(), &measurements)
}
