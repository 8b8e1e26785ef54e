//! Measures the time until a configuration change is in force at several daemons.
use super::deploy::function_body;
use super::process::DaemonProcess;
use super::ScaleError;
use crate::client::Client;
use std::time::{Duration, Instant};

/// Interval at which a daemon is polled; also the precision of the times.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for a change to be in force.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// Deadline of 5 ms, in the daemon's header: a call to a known function is answered soon, served or not; an unknown
/// function is answered with [`UNKNOWN_FUNCTION`].
const DEADLINE: (&str, &str) = ("Corkbay-Deadline-Ms", "5");
const UNKNOWN_FUNCTION: u16 = 404;

/// Configures a new function at one daemon; returns for each of the others the time from the start of that request
/// until it accepts calls to the function.
pub fn times_until_in_force(
    writer: &DaemonProcess,
    readers: &[&DaemonProcess],
    function: &str,
) -> Result<Vec<Duration>, ScaleError> {
    let mut clients: Vec<Client> = readers.iter().map(|reader| reader.client()).collect();
    for client in &mut clients {
        if takes_calls(client, function)? {
            return Err(ScaleError::Failed(format!("{function} was known before it was configured")));
        }
    }
    let began = Instant::now();
    writer.request("PUT", &format!("/v1/functions/{function}"), &function_body())?;
    let results: Vec<Result<Duration, ScaleError>> = std::thread::scope(|scope| {
        let tasks: Vec<_> = clients
            .into_iter()
            .map(|client| scope.spawn(move || wait_for(client, function, began)))
            .collect();
        tasks.into_iter().map(|task| task.join().unwrap_or(Err(panicked()))).collect()
    });
    results.into_iter().collect()
}

fn wait_for(mut client: Client, function: &str, began: Instant) -> Result<Duration, ScaleError> {
    while began.elapsed() < MAX_WAIT {
        if takes_calls(&mut client, function)? {
            return Ok(began.elapsed());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(ScaleError::Failed(format!("{function} was not in force after {MAX_WAIT:?}")))
}

/// Whether a daemon accepts calls to a function, that is, knows it.
pub fn takes_calls(client: &mut Client, function: &str) -> Result<bool, ScaleError> {
    let path = format!("/v1/functions/{function}/invocations");
    let response = client.send_request("POST", &path, &[DEADLINE], b"{}")?;
    Ok(response.status != UNKNOWN_FUNCTION)
}

fn panicked() -> ScaleError {
    ScaleError::Failed("a thread that waited for a change panicked".into())
}

/// The median of the times, in seconds; 0 if there are none.
pub fn median_s(times: &[Duration]) -> f64 {
    crate::compare::median(times.iter().map(Duration::as_secs_f64).collect())
}

/// The longest of the times, in seconds; 0 if there are none.
pub fn longest_s(times: &[Duration]) -> f64 {
    times.iter().map(Duration::as_secs_f64).fold(0.0, f64::max)
}
