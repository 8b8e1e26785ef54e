//! What the module says that it holds against what the heap says.
mod support;

use corkbay::*;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use support::*;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Guards the cap on what is learnt: bytes that are told must be bytes that are held, or the cap holds
/// nothing.
#[test]
fn what_is_told_is_what_the_heap_holds() {
    let mut front = Front::new(settings(), (0..12).map(|number| entry(number, 0)).collect());
    let (region, before) = (Region::new(HEAP), front.dispatcher.remembered().bytes);
    for id in 1..=4000 {
        for action in front.ask(call(id, 0, id.wrapping_mul(0x9e37_79b9) % (1 << 40), 1e9)) {
            if let Action::Send { worker, .. } = action {
                front.end(id, 0, worker.0, Outcome::Ok);
            }
        }
    }
    let told = front.dispatcher.remembered();
    let held = region.change();
    let held = held.bytes_allocated - held.bytes_deallocated;
    let ratio = (told.bytes - before) as f64 / held as f64;
    assert!(told.models > 3000 && (0.7..1.4).contains(&ratio), "{told:?} for {held} bytes: {ratio}");
}
