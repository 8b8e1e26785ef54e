//! Tests the verdict of the fault soak with a violation of each rule, and runs short soaks of the daemon itself.
use corkbay_rig::faults::process::Peaks;
use corkbay_rig::faults::records::{
    Arrival, ClientRequest, DrainNotice, Millis, Records, Replacement, RequestOutcome, Span,
};
use corkbay_rig::faults::verdict::{judge, Rule};
use corkbay_rig::faults::{run, InjectedFault, Scenario, SoakPaths};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

const CHECK: usize = 0;
const POST: usize = 1;
const ONCE: usize = 2;

/// A request sent at 1 s with a timeout of 1 s, served after 0.1 s.
fn request(class: usize) -> ClientRequest {
    let ends = vec![(RequestOutcome::Served, 1100.0)];
    ClientRequest {
        id: 7,
        class,
        daemon: 0,
        at: 1000.0,
        allowed: 1000.0,
        abandoned_at: None,
        ends,
        disconnected_at: None,
    }
}

/// The attempt of that request at worker 1 in cell 1, which ran.
fn arrival(at: Millis) -> Arrival {
    Arrival { id: 7, worker: 1, cell: 1, at, remaining_ms: 2000.0 - at, was_run: true }
}

fn records(request: ClientRequest, arrivals: Vec<Arrival>) -> Records {
    Records { requests: vec![request], arrivals, window: 300.0, ended: 60_000.0, ..Records::default() }
}

fn rules(records: &Records) -> Vec<Rule> {
    judge(records).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn allowed_behaviour_is_not_a_violation() {
    for class in [CHECK, POST, ONCE] {
        assert_eq!(rules(&records(request(class), vec![arrival(1010.0)])), []);
    }
    let repeat_in_window = vec![arrival(1010.0), Arrival { worker: 3, ..arrival(1300.0) }];
    assert_eq!(
        rules(&records(request(POST), repeat_in_window)),
        [],
        "in the same cell and within the window"
    );
    let first_not_run = vec![Arrival { was_run: false, ..arrival(1010.0) }, arrival(1050.0)];
    assert_eq!(rules(&records(request(ONCE), first_not_run)), [], "the first attempt did not run");
    let repeat = vec![arrival(1010.0), Arrival { cell: 0, ..arrival(1900.0) }];
    assert_eq!(rules(&records(request(CHECK), repeat)), [], "its class allows repeats");
}

#[test]
fn a_missing_late_or_second_answer_is_a_violation() {
    let unanswered = ClientRequest { ends: Vec::new(), ..request(CHECK) };
    let late = ClientRequest { ends: vec![(RequestOutcome::Failed, 2600.0)], ..request(CHECK) };
    let twice = ClientRequest {
        ends: vec![(RequestOutcome::Served, 1100.0), (RequestOutcome::Served, 1101.0)],
        ..request(CHECK)
    };
    let closed = ClientRequest { disconnected_at: Some(1200.0), ..unanswered.clone() };
    for planted in [unanswered.clone(), late.clone(), twice, closed.clone()] {
        assert_eq!(rules(&records(planted.clone(), Vec::new())), [Rule::Lost], "{planted:?}");
    }
    let gone = ClientRequest { abandoned_at: Some(1050.0), ..unanswered };
    assert_eq!(rules(&records(gone, Vec::new())), [], "the client cancelled, so no answer is needed");
    let killed = Records { killed: vec![(0, 1190.0)], ..records(closed.clone(), Vec::new()) };
    assert_eq!(rules(&killed), [], "its daemon was killed");
    let raced = ClientRequest { disconnected_at: Some(1030.0), ..closed };
    assert_eq!(rules(&records(raced.clone(), Vec::new())), [], "it was sent just as its connection ended");
    assert_eq!(
        rules(&records(raced, vec![arrival(1010.0)])),
        [Rule::Lost],
        "it was read and sent to a worker"
    );
    let paused = vec![Span { daemon: 0, from: 1200.0, to: 1700.0 }];
    assert_eq!(rules(&Records { paused, ..records(late, Vec::new()) }), [], "its daemon was stopped");
}

#[test]
fn a_repeat_that_its_class_forbids_is_a_violation() {
    let repeated_at = |at| vec![arrival(1010.0), arrival(at)];
    assert_eq!(rules(&records(request(ONCE), repeated_at(1020.0))), [Rule::Duplicate]);
    assert_eq!(rules(&records(request(POST), repeated_at(1400.0))), [Rule::Duplicate], "after the window");
    let other_cell = vec![arrival(1010.0), Arrival { cell: 0, ..arrival(1020.0) }];
    assert_eq!(rules(&records(request(POST), other_cell)), [Rule::Duplicate], "in another cell");
    let refused = ClientRequest { ends: vec![(RequestOutcome::Refused, 1500.0)], ..request(POST) };
    assert_eq!(rules(&records(refused, vec![arrival(1010.0)])), [Rule::Duplicate], "refused although it ran");
}

#[test]
fn attempts_after_a_cancel_with_too_much_time_or_to_a_draining_worker_are_violations() {
    let gone = ClientRequest { abandoned_at: Some(1050.0), ends: Vec::new(), ..request(CHECK) };
    assert_eq!(rules(&records(gone.clone(), vec![arrival(1200.0)])), [Rule::ClientGone]);
    assert_eq!(rules(&records(gone, vec![arrival(1100.0)])), []);
    let sent_too_long = Arrival { remaining_ms: 1300.0, ..arrival(1010.0) };
    assert_eq!(rules(&records(request(CHECK), vec![sent_too_long])), [Rule::Deadline]);
    let drained = |notified_at| vec![DrainNotice { worker: 1, daemon: 0, notified_at }];
    let late = Records { drained: drained(-1200.0), ..records(request(CHECK), vec![arrival(1010.0)]) };
    assert_eq!(rules(&late), [Rule::Drain]);
    let in_grace = Records { drained: drained(-900.0), ..records(request(CHECK), vec![arrival(1010.0)]) };
    assert_eq!(rules(&in_grace), []);
}

/// A worker that was started at the address of worker 1, which was removed at 1.1 s; it was announced at 8 s.
fn replaced_at_address() -> Records {
    Records {
        replacements: vec![Replacement { worker: 2, daemon: 0, removed_at: 1100.0, announced_at: 8000.0 }],
        drained: vec![DrainNotice { worker: 1, daemon: 0, notified_at: 1100.0 }],
        ..records(ClientRequest { allowed: 9000.0, ..request(ONCE) }, Vec::new())
    }
}

fn arrival_at_worker(worker: usize, at: Millis) -> Arrival {
    Arrival { worker, remaining_ms: 10_000.0 - at, ..arrival(at) }
}

#[test]
fn an_attempt_at_a_process_taken_for_the_one_before_it_is_a_violation() {
    let with = |arrivals| Records { arrivals, ..replaced_at_address() };
    assert_eq!(rules(&with(vec![arrival_at_worker(2, 5000.0)])), [Rule::Mistaken], "not announced yet");
    assert_eq!(rules(&with(vec![arrival_at_worker(1, 5000.0)])), [Rule::Drain], "at the removed one");
    let twice = vec![arrival_at_worker(1, 1050.0), arrival_at_worker(2, 8100.0)];
    assert_eq!(rules(&with(twice)), [Rule::Duplicate], "run by both");
    assert_eq!(rules(&with(vec![arrival_at_worker(2, 8100.0)])), [], "it was announced");
    assert_eq!(rules(&with(vec![arrival_at_worker(2, 1500.0)])), [], "the removal was just told");
}

/// What a flood and a slow crowd may lead to: answers that are late, requests without one, too much memory.
#[test]
fn what_a_flood_or_a_slow_crowd_breaks_is_found() {
    let late = ClientRequest { ends: vec![(RequestOutcome::Served, 2501.0)], ..request(CHECK) };
    assert_eq!(rules(&records(late, vec![arrival(1010.0)])), [Rule::Lost]);
    let stale = Arrival { remaining_ms: 330.0, ..arrival(6000.0) };
    let unanswered = ClientRequest { ends: Vec::new(), ..request(CHECK) };
    assert_eq!(rules(&records(unanswered, vec![stale])), [Rule::Lost, Rule::Deadline]);
    let usual = Peaks { resident: 30 << 20, descriptors: 300 };
    assert!(usual.are_within_limits());
    assert!(!Peaks { resident: 65 << 20, ..usual }.are_within_limits());
    assert!(!Peaks { descriptors: 513, ..usual }.are_within_limits());
}

#[test]
fn the_seeds_in_ci_draw_floods_slow_crowds_and_replacements() {
    let faults: Vec<_> =
        SEEDS.iter().flat_map(|seed| Scenario::draw(*seed, SPAN).events).map(|event| event.fault).collect();
    let any = |is_drawn: fn(&InjectedFault) -> bool| faults.iter().any(is_drawn);
    assert!(any(|fault| matches!(fault, InjectedFault::Flood(..))), "{faults:?}");
    assert!(any(|fault| matches!(fault, InjectedFault::SlowCrowd(..))), "{faults:?}");
    assert!(any(|fault| matches!(fault, InjectedFault::WorkerReplacedAtAddress(_))), "{faults:?}");
    assert!(any(|fault| matches!(fault, InjectedFault::Terminate)), "{faults:?}");
    assert!(any(|fault| matches!(fault, InjectedFault::Reload)), "{faults:?}");
    assert!(any(|fault| matches!(fault, InjectedFault::WorkerReplaced(_))), "{faults:?}");
    assert!(SEEDS.iter().any(|seed| Scenario::draw(*seed, SPAN).has_one_shot_clients));
}

#[test]
fn a_process_that_exits_by_itself_is_a_violation() {
    let crashed = Records { crashed: vec![(0, 5.0)], ..Records::default() };
    assert_eq!(rules(&crashed), [Rule::Crash]);
}

/// Builds the preload library that steps clocks and fails system calls, and returns its path.
fn shim(target: &Path) -> PathBuf {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_string());
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../shim/Cargo.toml");
    let built =
        Command::new(cargo).args(["build", "--quiet", "--offline", "--manifest-path"]).arg(manifest).status();
    assert!(built.expect("cargo runs").success(), "the library is built");
    target.join("libcorkbay_shim.so")
}

/// Seeds whose scenarios together contain each kind of fault and one-shot clients.
const SEEDS: [u64; 4] = [2, 3, 4, 9];
/// How long clients send requests.
const SPAN: Duration = Duration::from_secs(12);

#[test]
fn short_soaks_under_faults_break_no_rule() {
    let tests = std::env::current_exe().expect("this test");
    let target = tests.ancestors().nth(2).expect("a target folder").to_path_buf();
    let (program, shim) = (target.join("corkbay"), shim(&target));
    assert!(program.exists(), "{} is built by cargo test --workspace", program.display());
    let folder = std::env::temp_dir().join(format!("corkbay-faults-{}", std::process::id()));
    for seed in SEEDS {
        let places =
            SoakPaths { program: program.clone(), shim: shim.clone(), folder: folder.join(seed.to_string()) };
        let outcome = run(Scenario::draw(seed, SPAN), seed, &places).expect("the soak runs");
        let violations: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
        assert!(violations.is_empty(), "seed {seed}, files in {}: {violations:#?}", folder.display());
        assert!(outcome.within_limits, "seed {seed}: {:?}", outcome.peaks);
        assert!(
            outcome.requests > 300 && outcome.served.iter().all(|part| *part > 0.33),
            "seed {seed}: {outcome:?}"
        );
    }
    let _ = std::fs::remove_dir_all(&folder);
}
