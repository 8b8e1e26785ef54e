//! Starts the daemon: on the platform with the settings of `PROXY_CONFIG`, elsewhere with a deploy file.
use corkbay_node::lifecycle::config::{ConfigError, Source};
use corkbay_node::lifecycle::deploy::Deploy;
use corkbay_node::lifecycle::{import, logs, platform, service};
use std::path::Path;
use std::process::ExitCode;

/// jemalloc groups allocations by size, so that many small long-lived ones do not pin large short-lived ones
/// between them: with the system allocator, a flood of names left two thirds of the heap unused.
#[global_allocator]
static HEAP: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

const USAGE: &str = "usage: corkbay                          on the platform, as PROXY_CONFIG says
       corkbay serve [DEPLOY_FILE]        the invoke API; without a file, deploy/invoke.toml
       corkbay import FILE [--output FILE]  Apache worker files to [[worker]] entries";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let end = match arguments.as_slice() {
        [] => on_platform(),
        ["serve"] => serve("deploy/invoke.toml"),
        ["serve", path] => serve(path),
        ["import", path] => return import::run(Path::new(path), None),
        ["import", path, "--output", output] => return import::run(Path::new(path), Some(Path::new(output))),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match end {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("corkbay: {error}");
            ExitCode::from(2)
        }
    }
}

fn on_platform() -> Result<bool, ConfigError> {
    let source = Source::from_env()?;
    let config = source.read()?;
    logs::set_up();
    platform::set_up_coroutines()?;
    platform::run(config, &source)
}

fn serve(path: &str) -> Result<bool, ConfigError> {
    let path = Path::new(path);
    let deploy = Deploy::load(path)?;
    logs::set_up();
    platform::set_up_coroutines()?;
    service::run(&deploy, path)
}
