//! Tests the soak's verdict with a deliberate leak, and runs a short soak of the daemon itself.
use corkbay_ledger::{Account, Reservation};
use corkbay_rig::load::CallResults;
use corkbay_rig::soak::{Soak, STEADY};
use corkbay_rig::verdict::{judge, Bounds, Finding, Holding, Sample};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Judges a simulated run on a real account. Every n-th step leaks its reservations, if n is given.
fn run(leak_every: Option<usize>) -> Vec<Finding> {
    let account = Account::root("calls", 1 << 20);
    let mut reservations: VecDeque<Reservation> = VecDeque::new();
    let mut samples = Vec::new();
    for step in 0..4000usize {
        let flooding = (1000..3000).contains(&step);
        for part in 0..if flooding { 20 } else { 2 } {
            // Reservations beyond the cap are refused, as in a flood.
            let Ok(reservation) = account.reserve(512 + 16 * part) else { continue };
            match leak_every {
                Some(every) if step % every == 0 => std::mem::forget(reservation),
                _ => reservations.push_back(reservation),
            }
        }
        while reservations.len() > if flooding { 400 } else { 40 } {
            reservations.pop_front();
        }
        let (used, peak, cap) = (account.used() as f64, account.peak() as f64, account.cap() as f64);
        samples.push(Sample {
            at_s: step as f64 / 10.0,
            phase: if flooding { "flooding".into() } else { STEADY.into() },
            resident: 16e6 + used,
            accounts: BTreeMap::from([("calls".to_string(), Holding { used, peak, cap })]),
        });
    }
    judge(&samples, STEADY, Bounds::default())
}

/// Guards against a verdict that misses leaks: reservations that are never returned must make it fail.
#[test]
fn an_account_whose_reservations_are_never_returned_fails_the_verdict() {
    assert!(run(None).iter().all(|finding| finding.flat), "{:?}", run(None));
    for every in [1, 10, 40] {
        let findings = run(Some(every));
        let calls = findings.iter().find(|finding| finding.series == "calls").expect("judged");
        assert!(!calls.flat, "one in {every}: {calls:?}");
    }
}

/// Runs a soak of one minute against the daemon, which is built together with the tests of its package. The bounds are wider
/// than the default, because a large part of the memory is touched for the first time in such a short run.
#[test]
fn a_minute_of_turnover_leaves_memory_flat() {
    let tests = std::env::current_exe().expect("this test");
    let program = tests.ancestors().nth(2).expect("a target folder").join("corkbay");
    assert!(program.exists(), "{} is built by cargo test --workspace", program.display());
    let folder = std::env::temp_dir().join(format!("corkbay-soak-{}", std::process::id()));
    let (span, seed) = (Duration::from_secs(60), 11);
    println!("seed {seed}");
    let soak = Soak { span, seed, program, folder: folder.clone(), extra_lines: "memory_mb = 64".into() };
    let (samples, outcome) = soak.run().expect("the soak runs");
    let bounds = Bounds { touched: 16.0 * 1024.0 * 1024.0, account: 0.15, ..Bounds::default() };
    let findings = judge(&samples, STEADY, bounds);
    assert!(findings.len() > 20 && samples.len() > 60, "{} samples", samples.len());
    let has_grown = |finding: &&Finding| !finding.flat;
    let not_flat: Vec<&Finding> = findings.iter().filter(has_grown).collect();
    assert!(not_flat.is_empty(), "{not_flat:?}");
    let served: u64 = outcome.values().filter_map(|group| group.statuses.get(&200)).sum();
    let requests: u64 = outcome.values().map(CallResults::count).sum();
    assert!(
        served * 2 > requests,
        "{served} of {requests}: calls to configured functions are served throughout"
    );
    let has_near_full_account =
        samples.last().expect("samples").accounts.values().any(|account| account.peak >= 0.9 * account.cap);
    assert!(has_near_full_account, "some account came close to its cap");
    let _ = std::fs::remove_dir_all(folder);
}
