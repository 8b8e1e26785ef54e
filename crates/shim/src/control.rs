//! The control file: where it is mapped, and what it says of the clock and of each call.
use libc::{c_char, c_int, c_void};
use std::ptr::null_mut;
use std::sync::atomic::{AtomicI64, AtomicPtr, AtomicU64, Ordering};

/// Bytes of the control file.
pub const PAGE: usize = 4096;
/// The word at which the faults begin.
pub const FIRST_FAULT: usize = 8;
/// Words of one fault.
pub const WORDS_PER_FAULT: usize = 4;

const NAME: &[u8] = b"CORKBAY_SHIM\0";

/// Calls that can be failed, in the order of their words.
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

/// What becomes of a call.
pub(crate) enum Verdict {
    Pass,
    Fail(c_int),
    /// Half of its bytes.
    Short,
}

static MAPPED: AtomicPtr<AtomicU64> = AtomicPtr::new(null_mut());

/// Maps the control file before `main` runs.
#[used]
#[link_section = ".init_array"]
static AT_START: extern "C" fn() = map;

extern "C" fn map() {
    // SAFETY: both texts end with a zero byte, and the mapping lasts for as long as the process.
    unsafe {
        let path = libc::getenv(NAME.as_ptr().cast::<c_char>());
        if path.is_null() {
            return;
        }
        let file = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return;
        }
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let page = libc::mmap(null_mut::<c_void>(), PAGE, access, libc::MAP_SHARED, file, 0);
        libc::close(file);
        if page != libc::MAP_FAILED {
            MAPPED.store(page.cast(), Ordering::Release);
        }
    }
}

/// A word of the control file; `None` where there is no file.
fn word(at: usize) -> Option<&'static AtomicU64> {
    let page = MAPPED.load(Ordering::Acquire);
    // SAFETY: the page has room for that many words, is aligned and is never unmapped.
    (!page.is_null() && at < PAGE / 8).then(|| unsafe { &*page.add(at) })
}

/// How far the wall clock is off, in nanoseconds.
pub(crate) fn clock_offset() -> i64 {
    let page = MAPPED.load(Ordering::Acquire).cast::<AtomicI64>();
    // SAFETY: as above, for the first word.
    if page.is_null() {
        0
    } else {
        unsafe { (*page).load(Ordering::Relaxed) }
    }
}

/// Counts a call and tells what is to become of it.
pub(crate) fn judge(call: Call) -> Verdict {
    let first = FIRST_FAULT + call as usize * WORDS_PER_FAULT;
    let words = [word(first), word(first + 1), word(first + 2), word(first + 3)];
    let [Some(period), Some(error), Some(left), Some(seen)] = words else { return Verdict::Pass };
    let period = period.load(Ordering::Relaxed);
    if period == 0 {
        return Verdict::Pass;
    }
    let count = seen.fetch_add(1, Ordering::Relaxed) + 1;
    let spend = |left: u64| left.checked_sub(1);
    let is_due = count.is_multiple_of(period);
    if !is_due || left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_err() {
        return Verdict::Pass;
    }
    match error.load(Ordering::Relaxed) as c_int {
        0 => Verdict::Short,
        error => Verdict::Fail(error),
    }
}
