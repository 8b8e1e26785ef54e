//! Structured logs on standard error, one line per event.

/// Configures logging. Must be called once, before anything is logged.
pub fn set_up() {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(false)
        .with_max_level(tracing::Level::INFO)
        .init();
}
