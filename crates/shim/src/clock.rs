//! The wall clock, moved by the offset that the control file gives. The monotonic clocks are left alone.
use crate::control::clock_offset;
use libc::{c_int, c_void, clockid_t, time_t, timespec, timeval};

const NANOS: i64 = 1_000_000_000;

fn real_time(clock: clockid_t, time: &mut timespec) -> c_int {
    // SAFETY: the kernel writes one `timespec` to a place that is one.
    unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time as *mut timespec) as c_int }
}

fn moved(time: &mut timespec) {
    let nanos = time.tv_sec * NANOS + time.tv_nsec + clock_offset();
    (time.tv_sec, time.tv_nsec) = (nanos.div_euclid(NANOS), nanos.rem_euclid(NANOS));
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's: `time` points to a `timespec`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let time = &mut *time;
    let end = real_time(clock, time);
    if end == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        moved(time);
    }
    end
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's: `time` points to a `timeval` or is null.
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(time: *mut timeval, _zone: *mut c_void) -> c_int {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    let end = clock_gettime(libc::CLOCK_REALTIME, &mut now);
    if let Some(time) = time.as_mut() {
        *time = timeval { tv_sec: now.tv_sec, tv_usec: now.tv_nsec / 1000 };
    }
    end
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's: `time` points to a `time_t` or is null.
#[no_mangle]
pub unsafe extern "C" fn time(time: *mut time_t) -> time_t {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    clock_gettime(libc::CLOCK_REALTIME, &mut now);
    if let Some(time) = time.as_mut() {
        *time = now.tv_sec;
    }
    now.tv_sec
}
