//! Replacements for the C library functions whose system calls can be failed. Calls that don't fail go to the kernel
//! directly.
use crate::control::{next_action, Action, Call};
use libc::{c_char, c_int, c_void, epoll_event, off_t, size_t, sockaddr, socklen_t, ssize_t};

fn fail(error: c_int) -> c_int {
    // SAFETY: the C library returns a valid pointer to this thread's `errno`.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Returns the file type bits (`S_IFMT`) of a descriptor, 0 if it can't be examined.
fn file_type(file: c_int) -> u32 {
    // SAFETY: a zeroed `stat` is valid, and the kernel writes exactly one.
    unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        match libc::syscall(libc::SYS_fstat, file, &mut status as *mut libc::stat) {
            0 => status.st_mode & libc::S_IFMT,
            _ => 0,
        }
    }
}

/// Performs or fails a call that transfers up to `size` bytes.
fn transfer(call: Call, size: size_t, perform: impl FnOnce(size_t) -> ssize_t) -> ssize_t {
    match next_action(call) {
        Action::Pass => perform(size),
        Action::Short => perform(size.div_ceil(2)),
        Action::Fail(error) => fail(error) as ssize_t,
    }
}

/// Performs or fails a call that transfers no data.
fn perform(call: Call, perform: impl FnOnce() -> c_int) -> c_int {
    match next_action(call) {
        Action::Pass | Action::Short => perform(),
        Action::Fail(error) => fail(error),
    }
}

/// Replaces `accept4` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    file: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    perform(Call::Accept, || libc::syscall(libc::SYS_accept4, file, address, length, flags) as c_int)
}

/// Replaces `connect` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn connect(file: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    perform(Call::Connect, || libc::syscall(libc::SYS_connect, file, address, length) as c_int)
}

/// Replaces `socket` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    perform(Call::Socket, || libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int)
}

/// Replaces `recv` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn recv(file: c_int, buffer: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let none = std::ptr::null::<c_void>();
    transfer(Call::Receive, size, |size| {
        libc::syscall(libc::SYS_recvfrom, file, buffer, size, flags, none, none) as ssize_t
    })
}

/// Replaces `send` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn send(file: c_int, buffer: *const c_void, size: size_t, flags: c_int) -> ssize_t {
    let none = std::ptr::null::<c_void>();
    transfer(Call::Send, size, |size| {
        libc::syscall(libc::SYS_sendto, file, buffer, size, flags, none, 0) as ssize_t
    })
}

/// Replaces `read` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn read(file: c_int, buffer: *mut c_void, size: size_t) -> ssize_t {
    let read = |size: size_t| libc::syscall(libc::SYS_read, file, buffer, size) as ssize_t;
    match file_type(file) {
        libc::S_IFSOCK => transfer(Call::Receive, size, read),
        _ => read(size),
    }
}

/// Replaces `write` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, size: size_t) -> ssize_t {
    let write = |size: size_t| libc::syscall(libc::SYS_write, file, buffer, size) as ssize_t;
    match file_type(file) {
        libc::S_IFSOCK => transfer(Call::Send, size, write),
        libc::S_IFREG => transfer(Call::FileWrite, size, write),
        _ => write(size),
    }
}

/// Replaces `epoll_wait` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    file: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    let none = std::ptr::null::<c_void>();
    perform(Call::Wait, || {
        libc::syscall(libc::SYS_epoll_pwait, file, events, max_events, timeout, none, 0) as c_int
    })
}

/// Replaces `fsync` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    perform(Call::Sync, || libc::syscall(libc::SYS_fsync, file) as c_int)
}

/// Replaces `fdatasync` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    perform(Call::Sync, || libc::syscall(libc::SYS_fdatasync, file) as c_int)
}

/// Replaces `rename` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let here = libc::AT_FDCWD;
    perform(Call::Rename, || libc::syscall(libc::SYS_renameat2, here, from, here, to, 0) as c_int)
}

/// Replaces `ftruncate` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn ftruncate(file: c_int, size: off_t) -> c_int {
    perform(Call::Truncate, || libc::syscall(libc::SYS_ftruncate, file, size) as c_int)
}

/// Replaces `ftruncate64` of the C library.
///
/// # Safety
/// Same as for the C library function.
#[no_mangle]
pub unsafe extern "C" fn ftruncate64(file: c_int, size: off_t) -> c_int {
    ftruncate(file, size)
}
