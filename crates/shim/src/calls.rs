//! The system calls that can be failed. What passes goes to the kernel directly.
use crate::control::{judge, Call, Verdict};
use libc::{c_char, c_int, c_void, epoll_event, off_t, size_t, sockaddr, socklen_t, ssize_t};

fn fail(error: c_int) -> c_int {
    // SAFETY: the C library's place for this thread's error number.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// What the descriptor stands for, as far as a fault depends on it.
fn kind(file: c_int) -> u32 {
    // SAFETY: a `stat` is plain data, and the kernel writes one.
    unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        match libc::syscall(libc::SYS_fstat, file, &mut status as *mut libc::stat) {
            0 => status.st_mode & libc::S_IFMT,
            _ => 0,
        }
    }
}

/// Performs a call that has so many bytes as its verdict says.
fn transfer(call: Call, size: size_t, perform: impl FnOnce(size_t) -> ssize_t) -> ssize_t {
    match judge(call) {
        Verdict::Pass => perform(size),
        Verdict::Short => perform(size.div_ceil(2)),
        Verdict::Fail(error) => fail(error) as ssize_t,
    }
}

/// Performs a call without bytes as its verdict says.
fn perform(call: Call, perform: impl FnOnce() -> c_int) -> c_int {
    match judge(call) {
        Verdict::Pass | Verdict::Short => perform(),
        Verdict::Fail(error) => fail(error),
    }
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    file: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    perform(Call::Accept, || libc::syscall(libc::SYS_accept4, file, address, length, flags) as c_int)
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn connect(file: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    perform(Call::Connect, || libc::syscall(libc::SYS_connect, file, address, length) as c_int)
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    perform(Call::Socket, || libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int)
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn recv(file: c_int, buffer: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let none = std::ptr::null::<c_void>();
    transfer(Call::Receive, size, |size| {
        libc::syscall(libc::SYS_recvfrom, file, buffer, size, flags, none, none) as ssize_t
    })
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn send(file: c_int, buffer: *const c_void, size: size_t, flags: c_int) -> ssize_t {
    let none = std::ptr::null::<c_void>();
    transfer(Call::Send, size, |size| {
        libc::syscall(libc::SYS_sendto, file, buffer, size, flags, none, 0) as ssize_t
    })
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn read(file: c_int, buffer: *mut c_void, size: size_t) -> ssize_t {
    let read = |size: size_t| libc::syscall(libc::SYS_read, file, buffer, size) as ssize_t;
    match kind(file) {
        libc::S_IFSOCK => transfer(Call::Receive, size, read),
        _ => read(size),
    }
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, size: size_t) -> ssize_t {
    let write = |size: size_t| libc::syscall(libc::SYS_write, file, buffer, size) as ssize_t;
    match kind(file) {
        libc::S_IFSOCK => transfer(Call::Send, size, write),
        libc::S_IFREG => transfer(Call::FileWrite, size, write),
        _ => write(size),
    }
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    file: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    let none = std::ptr::null::<c_void>();
    perform(Call::Wait, || {
        libc::syscall(libc::SYS_epoll_pwait, file, events, most, timeout, none, 0) as c_int
    })
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    perform(Call::Sync, || libc::syscall(libc::SYS_fsync, file) as c_int)
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    perform(Call::Sync, || libc::syscall(libc::SYS_fdatasync, file) as c_int)
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let here = libc::AT_FDCWD;
    perform(Call::Rename, || libc::syscall(libc::SYS_renameat2, here, from, here, to, 0) as c_int)
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn ftruncate(file: c_int, size: off_t) -> c_int {
    perform(Call::Truncate, || libc::syscall(libc::SYS_ftruncate, file, size) as c_int)
}

/// Stands before the C library's.
///
/// # Safety
/// As for the C library's.
#[no_mangle]
pub unsafe extern "C" fn ftruncate64(file: c_int, size: off_t) -> c_int {
    ftruncate(file, size)
}
