//! Compares the memory that the library reports with the memory it allocates.
mod support;

use corkbay::*;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use support::*;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Guards the memory limit on learnt state, which relies on the reported bytes: they must match the heap.
#[test]
fn reported_bytes_match_the_heap() {
    let mut invoker = Invoker::new(settings(), (0..12).map(|number| entry(number, 0)).collect());
    let (region, before) = (Region::new(HEAP), invoker.dispatcher.table_sizes().bytes);
    for id in 1..=4000 {
        for action in invoker.request(call(id, 0, id.wrapping_mul(0x9e37_79b9) % (1 << 40), 1e9)) {
            if let Action::Send { worker, .. } = action {
                invoker.finish(id, 0, worker.0, Outcome::Ok);
            }
        }
    }
    let reported = invoker.dispatcher.table_sizes();
    let allocated = region.change();
    let allocated = allocated.bytes_allocated - allocated.bytes_deallocated;
    let ratio = (reported.bytes - before) as f64 / allocated as f64;
    assert!(
        reported.models > 3000 && (0.7..1.4).contains(&ratio),
        "{reported:?} for {allocated} bytes: {ratio}"
    );
}
