//! A daemon with thousands of workers: no request rule is violated, and resource use stays within the growth bounds
//! that the operators require.
use corkbay_rig::grow::{table, GrowthRun, Phase, Reading};
use std::path::PathBuf;
use std::time::Duration;

/// The usual number of workers.
const USUAL_WORKERS: usize = 200;
/// The largest number of workers that the operators require.
const MAX_WORKERS: usize = 3200;
/// A share of a core that suffices with the usual number of workers.
const CORE_SHARE: f64 = 0.2;
/// Memory of an invoker on the platform, in MB.
const MEMORY_MB: u64 = 32;
const PHASE_DURATION: Duration = Duration::from_secs(8);

fn program() -> PathBuf {
    let tests = std::env::current_exe().expect("this test");
    let program = tests.ancestors().nth(2).expect("a target folder").join("corkbay");
    assert!(program.exists(), "{} is built by cargo test --workspace", program.display());
    program
}

fn execute(name: &str, workers: usize, phases: &[Phase], core_share: Option<f64>) -> Reading {
    let folder = std::env::temp_dir().join(format!("corkbay-grow-{}-{name}-{workers}", std::process::id()));
    let run = GrowthRun {
        workers,
        phases: phases.to_vec(),
        phase: PHASE_DURATION,
        rate: 40.0,
        allowed_ms: 2000,
        core_share,
        memory_mb: MEMORY_MB,
        seed: 1,
        program: program(),
        folder: folder.clone(),
    };
    let reading = run.execute().expect("the run is executed");
    let violations: Vec<String> = reading.violations.iter().take(5).map(ToString::to_string).collect();
    let count = reading.violations.len();
    assert!(
        violations.is_empty(),
        "{workers} workers, files in {}, {count}: {violations:#?}",
        folder.display()
    );
    assert!(!reading.has_unlisted_workers, "there is no room for {workers} workers");
    let _ = std::fs::remove_dir_all(&folder);
    reading
}

/// Guards against requests without a final answer: with 16 times the workers and an invoker's share of a core, some
/// requests got none.
#[test]
fn requests_are_served_with_thousands_of_workers() {
    let usual = execute("lost", USUAL_WORKERS, &[Phase::Steady], Some(CORE_SHARE));
    let most = execute("lost", MAX_WORKERS, &[Phase::Steady], Some(CORE_SHARE));
    assert!(most.served >= 0.85 * usual.served, "served {} and {}", usual.served, most.served);
}

/// Resource use grows with the number of workers within the operators' bounds, also during a release and the loss of
/// a zone.
#[test]
fn resource_use_stays_within_growth_bounds() {
    let phases = [Phase::Steady, Phase::Release, Phase::ZoneLost];
    let (usual, most) =
        (execute("needs", USUAL_WORKERS, &phases, None), execute("needs", MAX_WORKERS, &phases, None));
    let over: Vec<_> = table(&usual, &most).into_iter().filter(|row| !row.is_kept).collect();
    assert!(over.is_empty(), "{over:#?}");
}
