//! Replacements for the C library functions that read the wall clock. They add the offset from the control file; monotonic
//! clocks are unchanged.
use crate::control::clock_offset;
use libc::{c_int, c_void, clockid_t, time_t, timespec, timeval};

const NANOS_PER_S: i64 = 1_000_000_000;

fn kernel_clock_gettime(clock: clockid_t, time: &mut timespec) -> c_int {
    // SAFETY: the kernel writes one `timespec` to a valid reference.
    unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time as *mut timespec) as c_int }
}

fn add_offset(time: &mut timespec) {
    let nanos = time.tv_sec * NANOS_PER_S + time.tv_nsec + clock_offset();
    (time.tv_sec, time.tv_nsec) = (nanos.div_euclid(NANOS_PER_S), nanos.rem_euclid(NANOS_PER_S));
}

/// Replaces `clock_gettime` of the C library.
///
/// # Safety
/// Same as for the C library function: `time` points to a `timespec`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let time = &mut *time;
    let result = kernel_clock_gettime(clock, time);
    if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        add_offset(time);
    }
    result
}

/// Replaces `gettimeofday` of the C library.
///
/// # Safety
/// Same as for the C library function: `time` points to a `timeval` or is null.
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(time: *mut timeval, _zone: *mut c_void) -> c_int {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    let result = clock_gettime(libc::CLOCK_REALTIME, &mut now);
    if let Some(time) = time.as_mut() {
        *time = timeval { tv_sec: now.tv_sec, tv_usec: now.tv_nsec / 1000 };
    }
    result
}

/// Replaces `time` of the C library.
///
/// # Safety
/// Same as for the C library function: `time` points to a `time_t` or is null.
#[no_mangle]
pub unsafe extern "C" fn time(time: *mut time_t) -> time_t {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    clock_gettime(libc::CLOCK_REALTIME, &mut now);
    if let Some(time) = time.as_mut() {
        *time = now.tv_sec;
    }
    now.tv_sec
}
