//! Maps the control file and reads the clock offset and the faults of each call from it.
use libc::{c_char, c_int, c_void};
use std::ptr::null_mut;
use std::sync::atomic::{AtomicI64, AtomicPtr, AtomicU64, Ordering};

/// Size of the control file, in bytes.
pub const CONTROL_FILE_BYTES: usize = 4096;
/// Index of the first word of the faults.
pub const FIRST_FAULT_WORD: usize = 8;
/// Number of words for each kind of call.
pub const WORDS_PER_FAULT: usize = 4;

const CONTROL_FILE_VARIABLE: &[u8] = b"CORKBAY_SHIM\0";

/// System calls that can be failed, in the order of their words in the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4`
    Accept,
    /// `connect`
    Connect,
    /// `socket`
    Socket,
    /// `recv`, and `read` of a socket
    Receive,
    /// `send`, and `write` to a socket
    Send,
    /// `epoll_wait`
    Wait,
    /// `write` to a regular file
    FileWrite,
    /// `fsync` and `fdatasync`
    Sync,
    /// `rename`
    Rename,
    /// `ftruncate`
    Truncate,
}

/// What to do with a call.
pub(crate) enum Action {
    Pass,
    Fail(c_int),
    /// Transfer only half of the bytes.
    Short,
}

static MAPPED: AtomicPtr<AtomicU64> = AtomicPtr::new(null_mut());

/// Maps the control file before `main` runs.
#[used]
#[link_section = ".init_array"]
static MAP_AT_START: extern "C" fn() = map_control_file;

extern "C" fn map_control_file() {
    // SAFETY: both strings end with a zero byte, and the mapping lasts for as long as the process.
    unsafe {
        let path = libc::getenv(CONTROL_FILE_VARIABLE.as_ptr().cast::<c_char>());
        if path.is_null() {
            return;
        }
        let file = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return;
        }
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let page = libc::mmap(null_mut::<c_void>(), CONTROL_FILE_BYTES, access, libc::MAP_SHARED, file, 0);
        libc::close(file);
        if page != libc::MAP_FAILED {
            MAPPED.store(page.cast(), Ordering::Release);
        }
    }
}

/// Returns a word of the control file; `None` if no file is mapped.
fn word(index: usize) -> Option<&'static AtomicU64> {
    let page = MAPPED.load(Ordering::Acquire);
    // SAFETY: the page has room for that many words, is aligned and is never unmapped.
    (!page.is_null() && index < CONTROL_FILE_BYTES / 8).then(|| unsafe { &*page.add(index) })
}

/// Returns the offset of the wall clock, in nanoseconds.
pub(crate) fn clock_offset() -> i64 {
    let page = MAPPED.load(Ordering::Acquire).cast::<AtomicI64>();
    // SAFETY: as above, for the first word.
    if page.is_null() {
        0
    } else {
        unsafe { (*page).load(Ordering::Relaxed) }
    }
}

/// Counts a call and decides whether it fails.
pub(crate) fn next_action(call: Call) -> Action {
    let first = FIRST_FAULT_WORD + call as usize * WORDS_PER_FAULT;
    let words = [word(first), word(first + 1), word(first + 2), word(first + 3)];
    let [Some(period), Some(error), Some(remaining), Some(call_count)] = words else { return Action::Pass };
    let period = period.load(Ordering::Relaxed);
    if period == 0 {
        return Action::Pass;
    }
    let count = call_count.fetch_add(1, Ordering::Relaxed) + 1;
    let decrement = |remaining: u64| remaining.checked_sub(1);
    let is_due = count.is_multiple_of(period);
    if !is_due || remaining.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_err() {
        return Action::Pass;
    }
    match error.load(Ordering::Relaxed) as c_int {
        0 => Action::Short,
        error => Action::Fail(error),
    }
}
