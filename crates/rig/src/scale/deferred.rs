//! The experiment `deferred`.
use super::{Measurement, ScaleContext, ScaleError};
use clap::Args;

/// What the experiment is told on the command line.
#[derive(Args, Clone, Debug)]
pub struct Options {}

/// Measures and returns the figures.
pub fn run(_context: &ScaleContext, _options: &Options) -> Result<Vec<Measurement>, ScaleError> {
    Err(ScaleError::NotAvailable("deferred"))
}
