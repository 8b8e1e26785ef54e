//! Waits of many lengths under an allocator that tells of writes to freed memory.
use corkbay_node::timers;
use may::sync::{mpsc, Semphore};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Blocks of such sizes are kept for a while after they are freed; timers are among them.
const KEPT_SIZES: std::ops::RangeInclusive<usize> = 32..=64;
const KEPT_BLOCKS: usize = 4096;
const FREED: u8 = 0xdd;
/// The file that may, and one whose thread waits on the standard library's queue.
const WAITING_FILES: [&str; 2] = ["src/timers.rs", "src/lifecycle/handover/sync.rs"];
const TASKS: u64 = 50;
const ROUNDS: u64 = 100;

/// Fills what is freed, and looks whether it was written to before it gives it back.
struct Quarantine;

struct Kept {
    next: usize,
    blocks: [Option<(usize, Layout)>; KEPT_BLOCKS],
}

static KEPT: Mutex<Kept> = Mutex::new(Kept { next: 0, blocks: [None; KEPT_BLOCKS] });
static WRITTEN: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static HEAP: Quarantine = Quarantine;

// SAFETY: all blocks are the system's, each given back once, after its time in `KEPT`.
unsafe impl GlobalAlloc for Quarantine {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        if !KEPT_SIZES.contains(&layout.size()) {
            return unsafe { System.dealloc(block, layout) };
        }
        unsafe { block.write_bytes(FREED, layout.size()) };
        let mut kept = KEPT.lock().unwrap_or_else(PoisonError::into_inner);
        let place = kept.next;
        kept.next = (place + 1) % KEPT_BLOCKS;
        let oldest = kept.blocks[place].replace((block as usize, layout));
        drop(kept);
        if let Some((oldest, layout)) = oldest {
            let bytes = unsafe { std::slice::from_raw_parts(oldest as *const u8, layout.size()) };
            let written = bytes.iter().any(|byte| *byte != FREED);
            WRITTEN.fetch_add(usize::from(written), Ordering::Relaxed);
            unsafe { System.dealloc(oldest as *mut u8, layout) };
        }
    }
}

/// Guards against the coroutine library's use of timers that it has freed, which it does once they are of many lengths.
#[test]
fn timers_of_many_lengths_are_used_after_they_are_freed() {
    corkbay_node::lifecycle::platform::set_up_coroutines().expect("event descriptors");
    let (done, ended) = mpsc::channel();
    for task in 0..TASKS {
        let done = done.clone();
        corkbay_node::lifecycle::spawn(move || {
            for round in 0..ROUNDS {
                timers::sleep(Duration::from_nanos(1_000_000 + task * 10_007 + round * 1_009));
                assert!(!timers::wait_for_post(&Semphore::new(0), Duration::from_millis(1 + task)));
            }
            done.send(()).expect("waited for");
        });
    }
    for _ in 0..TASKS {
        assert_eq!(timers::receive(&ended, Duration::from_secs(20)), Ok(()));
    }
    assert_eq!(WRITTEN.load(Ordering::Relaxed), 0, "freed blocks that were written to");
}

/// Guards sockets' timers, which are not made for two threads: tasks whose time was up went on beside all others.
#[test]
fn a_task_whose_time_is_up_goes_on_with_all_others() {
    corkbay_node::lifecycle::platform::set_up_coroutines().expect("event descriptors");
    let (tell, told) = mpsc::channel();
    corkbay_node::lifecycle::spawn(move || {
        let (thread, short) = (|| std::thread::current().id(), Duration::from_millis(2));
        let before = thread();
        timers::sleep(short);
        let slept = thread();
        let (_sender, receiver) = mpsc::channel::<()>();
        assert!(timers::receive(&receiver, short).is_err());
        let received = thread();
        assert!(!timers::wait_for_post(&Semphore::new(0), short));
        tell.send([before, slept, received, thread()]).expect("waited for");
    });
    let threads = timers::receive(&told, Duration::from_secs(10)).expect("the task ends");
    assert!(threads.iter().all(|thread| *thread == threads[0]), "{threads:?}");
}

/// Guards the same for the whole program: no other file waits on the coroutine library's own timers.
#[test]
fn all_timed_waits_are_in_one_file() {
    let mut waits = Vec::new();
    let mut folders = vec![std::path::PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/src"))];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("listed").flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = std::fs::read_to_string(&path).expect("read");
            let is_own = path.ends_with("tests.rs") || WAITING_FILES.iter().any(|file| path.ends_with(file));
            let is_timed =
                ["coroutine::sleep", "wait_timeout", "park_timeout"].iter().any(|word| text.contains(word));
            let receives = text.contains("recv_timeout") && text.contains("may::sync");
            if !is_own && (is_timed || receives) {
                waits.push(path);
            }
        }
    }
    assert!(waits.is_empty(), "{waits:?}");
}
