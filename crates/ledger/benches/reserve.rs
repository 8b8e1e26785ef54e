//! Measures a reservation and its release on accounts as deep as those of a tenant's call.
use corkbay_ledger::{Budget, Ledger, Purpose, Shares, TenantShare, KIB, MIB};

fn main() {
    divan::main();
}

fn ledger() -> Ledger {
    let keys = ("memory_mb", "memory.shares");
    let budget = Budget::plan(128 * MIB, 6 * MIB, 15.0, &Shares::daemon(), keys).expect("fits");
    let share = |name: &str| TenantShare { name: name.into(), weight: 1.0 };
    Ledger::new(&budget, &[share("a"), share("b"), share("c")])
}

#[divan::bench]
fn purpose(bencher: divan::Bencher) {
    let ledger = ledger();
    bencher.bench_local(|| ledger.reserve(Purpose::Clients, None, KIB));
}

#[divan::bench]
fn tenant(bencher: divan::Bencher) {
    let ledger = ledger();
    bencher.bench_local(|| ledger.reserve(Purpose::Calls, Some(1), KIB));
}

#[divan::bench]
fn refused(bencher: divan::Bencher) {
    let ledger = ledger();
    bencher.bench_local(|| ledger.reserve(Purpose::Calls, Some(1), 1 << 40).is_err());
}

#[divan::bench]
fn resize(bencher: divan::Bencher) {
    let ledger = ledger();
    let mut held = ledger.reserve(Purpose::Calls, Some(1), KIB).expect("room");
    bencher.bench_local(move || {
        held.resize(2 * KIB).expect("room");
        held.shrink_to(KIB);
    });
}
