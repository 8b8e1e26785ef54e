//! The addresses that tests hand to daemons: whoever is named one can listen there.
mod support;

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use support::free_address;

const ADDRESSES: usize = 500;
const STARTERS: usize = 4;
/// Processes that are started meanwhile, at least.
const STARTS: usize = 200;

/// Guards all tests that start daemons side by side: a process that is just being started holds copies of all
/// descriptors until it runs its program, so that a listener closed here may still listen there.
#[test]
fn a_free_address_can_be_listened_at_while_processes_are_started() {
    let (is_over, starts) = (AtomicBool::new(false), AtomicUsize::new(0));
    let failures: Vec<_> = std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    Command::new("true").stdin(Stdio::null()).status().expect("starts");
                    starts.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        let mut failures = Vec::new();
        let mut addresses = 0;
        while addresses < ADDRESSES || starts.load(Ordering::Relaxed) < STARTS {
            failures.extend(TcpListener::bind(free_address()).err());
            addresses += 1;
        }
        is_over.store(true, Ordering::Relaxed);
        failures
    });
    assert!(failures.is_empty(), "{} refused: {:?}", failures.len(), failures.first());
}
