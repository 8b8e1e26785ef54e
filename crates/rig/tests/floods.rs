//! Regular clients while other clients send without a pause: each answer is due in time, not only at some point.
use corkbay_rig::faults::flood::FloodKind;
use corkbay_rig::floods::FloodRun;
use std::time::Duration;

/// How long each flood lasts.
const SPAN: Duration = Duration::from_secs(3);
/// Client timeout in milliseconds.
const ALLOWED_MS: u64 = 334;
/// Memory limit of the daemon, in MB.
const MEMORY_MB: u64 = 64;
/// Smallest memory limit that is deployed, in MB.
const LEAST_MEMORY_MB: u64 = 32;

/// Runs a flood and checks that no rule is violated: an answer that is late or missing violates one.
fn answers_stay_in_time(kinds: &[FloodKind], connections: usize) {
    run(kinds, connections, 0, MEMORY_MB);
}

fn run(kinds: &[FloodKind], connections: usize, slow_clients: usize, memory_mb: u64) {
    let tests = std::env::current_exe().expect("this test");
    let program = tests.ancestors().nth(2).expect("a target folder").join("corkbay");
    assert!(program.exists(), "{} is built by cargo test --workspace", program.display());
    let folder =
        std::env::temp_dir().join(format!("corkbay-floods-{}-{kinds:?}-{connections}", std::process::id()));
    let run = FloodRun {
        kinds: kinds.to_vec(),
        connections,
        slow_clients,
        span: SPAN,
        allowed_ms: ALLOWED_MS,
        memory_mb,
        core_share: None,
        program,
        folder: folder.clone(),
        seed: 1,
    };
    let reading = run.execute().expect("the run");
    let violations: Vec<String> = reading.violations.iter().take(3).map(ToString::to_string).collect();
    println!("{kinds:?} x {connections}: {reading}");
    assert!(reading.violations.is_empty(), "{reading}: {violations:#?}, log {:#?}", reading.log_lines);
    assert!(reading.requests > 200, "{reading}");
    assert!(reading.peak_resident < (memory_mb << 20) as f64, "{reading}");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn answers_stay_in_time_while_others_send_without_a_pause() {
    for kind in [FloodKind::Alive, FloodKind::NewNames, FloodKind::NewNamesCancelled] {
        answers_stay_in_time(&[kind], 8);
    }
}

#[test]
fn answers_stay_in_time_while_hundreds_of_others_send_slowly_or_not_to_the_end() {
    run(&[], 0, 300, LEAST_MEMORY_MB);
}

#[test]
fn answers_stay_in_time_while_others_send_all_kinds_without_a_pause() {
    answers_stay_in_time(&FloodKind::ALL, 4);
}
