//! Starts the daemon: on the platform as `PROXY_CONFIG` says.
use corkbay_node::life::config::{ConfigError, Platform};
use corkbay_node::life::platform;
use std::process::ExitCode;

fn main() -> ExitCode {
    platform::set_up_coroutines();
    match start() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("corkbay: {error}");
            ExitCode::from(2)
        }
    }
}

fn start() -> Result<bool, ConfigError> {
    let path = std::env::var("PROXY_CONFIG").map_err(|error| ConfigError::new("PROXY_CONFIG", error))?;
    let text = std::fs::read_to_string(&path).map_err(|error| ConfigError::new("PROXY_CONFIG", error))?;
    let listen = std::env::var("PROXY_LISTEN").ok();
    platform::run(Platform::read(&text, listen.as_deref())?)
}
