//! A daemon before thousands of workers: its requests keep their rules, and its needs the operators' bounds of growth.
use corkbay_rig::grow::{table, Day, Phase, Reading};
use std::path::PathBuf;
use std::time::Duration;

/// The usual number of workers, and the most that the operators name.
const USUAL: usize = 200;
const MOST: usize = 3200;
/// A share of a core that suffices before the usual number of workers.
const CORE_SHARE: f64 = 0.2;
/// The memory of an invoker on the platform.
const MEMORY_MB: u64 = 32;
const PHASE: Duration = Duration::from_secs(8);

fn program() -> PathBuf {
    let tests = std::env::current_exe().expect("this test");
    let program = tests.ancestors().nth(2).expect("a target folder").join("corkbay");
    assert!(program.exists(), "{} is built by cargo test --workspace", program.display());
    program
}

fn play(name: &str, workers: usize, phases: &[Phase], core_share: Option<f64>) -> Reading {
    let folder = std::env::temp_dir().join(format!("corkbay-grow-{}-{name}-{workers}", std::process::id()));
    let day = Day {
        workers,
        phases: phases.to_vec(),
        phase: PHASE,
        rate: 40.0,
        allowed_ms: 2000,
        core_share,
        memory_mb: MEMORY_MB,
        seed: 1,
        program: program(),
        folder: folder.clone(),
    };
    let reading = day.play().expect("plays");
    let breaks: Vec<String> = reading.breaks.iter().take(5).map(ToString::to_string).collect();
    let count = reading.breaks.len();
    assert!(breaks.is_empty(), "{workers} workers, files in {}, {count}: {breaks:#?}", folder.display());
    assert!(!reading.left_workers_out, "there is no room for {workers} workers");
    let _ = std::fs::remove_dir_all(&folder);
    reading
}

/// With 16 times the workers, requests had no final answer where the processor's share was that of an invoker.
#[test]
fn requests_lost_before_thousands_of_workers() {
    let usual = play("lost", USUAL, &[Phase::Steady], Some(CORE_SHARE));
    let most = play("lost", MOST, &[Phase::Steady], Some(CORE_SHARE));
    assert!(most.served >= 0.85 * usual.served, "served {} and {}", usual.served, most.served);
}

/// What a daemon needs grows with the workers by no more than the operators allow, through a release and the loss of a
/// zone.
#[test]
fn work_grows_with_the_fleet() {
    let phases = [Phase::Steady, Phase::Release, Phase::ZoneLost];
    let (usual, most) = (play("needs", USUAL, &phases, None), play("needs", MOST, &phases, None));
    let over: Vec<_> = table(&usual, &most).into_iter().filter(|row| !row.is_kept).collect();
    assert!(over.is_empty(), "{over:#?}");
}
