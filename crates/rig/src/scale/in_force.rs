//! The time until a change of the configuration is in force at many daemons.
use super::deploy::function_body;
use super::process::DaemonProcess;
use super::ScaleError;
use crate::client::Client;
use std::time::{Duration, Instant};

/// How often a daemon is asked; also how exact the times are.
const POLL: Duration = Duration::from_millis(5);
/// Longest time for which a change is waited for.
pub const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// A call with this deadline is answered at once, served or not, unless its function is unknown.
const DEADLINE: (&str, &str) = ("Corkbay-Deadline-Ms", "5");
const UNKNOWN_FUNCTION: u16 = 404;

/// Configures a new function at one daemon and returns how long after the request began each of the others
/// takes calls for it.
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
    while began.elapsed() < LONGEST_WAIT {
        if takes_calls(&mut client, function)? {
            return Ok(began.elapsed());
        }
        std::thread::sleep(POLL);
    }
    Err(ScaleError::Failed(format!("{function} was not in force after {LONGEST_WAIT:?}")))
}

/// Whether a daemon knows a function by now.
pub fn takes_calls(client: &mut Client, function: &str) -> Result<bool, ScaleError> {
    let path = format!("/v1/functions/{function}/invocations");
    let response = client.ask("POST", &path, &[DEADLINE], b"{}")?;
    Ok(response.status != UNKNOWN_FUNCTION)
}

fn panicked() -> ScaleError {
    ScaleError::Failed("a thread that waited for a change panicked".into())
}

/// The median of times in seconds; 0 of none.
pub fn median_s(times: &[Duration]) -> f64 {
    crate::compare::median(times.iter().map(Duration::as_secs_f64).collect())
}

/// The longest of times in seconds; 0 of none.
pub fn longest_s(times: &[Duration]) -> f64 {
    times.iter().map(Duration::as_secs_f64).fold(0.0, f64::max)
}
