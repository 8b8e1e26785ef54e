use super::*;
use crate::core::monotonic_ms;
use crate::lifecycle::spawn;
use crate::state::memory_wait::OUT_OF_MEMORY_KIND;

/// Many large messages at once must not exceed the account: each waits for room, and one that waits in vain fails and
/// holds no memory.
#[test]
fn growth_waits_for_room_and_gives_up_in_the_end() {
    let account = Account::root("clients", 10 * CHUNK);
    let other = account.reserve(8 * CHUNK).expect("room");
    let (task_account, began) = (account.clone(), monotonic_ms());
    let task = spawn(move || {
        let mut receive_buffer = ReceiveBuffer::new(&task_account, Purpose::Clients);
        let mut grow_from = |size: usize| {
            receive_buffer.bytes.resize(size, 0);
            receive_buffer.grow().map_err(|error| error.kind())
        };
        let (first, second) = (grow_from(CHUNK), grow_from(2 * CHUNK));
        let again = grow_from(4 * CHUNK);
        let waited = monotonic_ms() - began;
        let huge = receive_buffer.beside(1 << 30).map_err(|error| error.kind());
        (first.and(second), again, waited, huge, monotonic_ms() - began)
    });
    std::thread::sleep(Duration::from_millis(50));
    drop(other);
    let held = account.notify_when_free(0, || {});
    let (first, again, waited, huge, in_all) = task.join().expect("no panic");
    drop(held);
    assert_eq!((first, again, huge), (Ok(()), Ok(()), Err(OUT_OF_MEMORY_KIND)));
    assert!(waited >= 50.0 && in_all < 900.0, "a reservation that can never fit must fail without a wait");
    assert_eq!(account.used(), 0);
}

/// The steps in which a buffer grows wait for the same time together as a single one, so that a client has its refusal
/// while it still waits.
#[test]
fn the_steps_of_a_message_wait_no_longer_than_one() {
    let account = Account::root("clients", 10 * CHUNK);
    let _other = account.reserve(7 * CHUNK).expect("room");
    let task_account = account.clone();
    let task = spawn(move || {
        let mut receive_buffer = ReceiveBuffer::new(&task_account, Purpose::Clients);
        let began = monotonic_ms();
        receive_buffer.bytes.resize(CHUNK, 0);
        receive_buffer.expect(4 * CHUNK);
        receive_buffer.grow().expect("room for one more chunk");
        receive_buffer.bytes.resize(2 * CHUNK, 0);
        let in_use = task_account.reserve(2 * CHUNK).expect("room");
        let first = receive_buffer.grow().map_err(|error| error.kind());
        let second = receive_buffer.grow().map_err(|error| error.kind());
        drop(in_use);
        (first, second, monotonic_ms() - began)
    });
    let (first, second, took) = task.join().expect("no panic");
    assert_eq!((first, second), (Err(OUT_OF_MEMORY_KIND), Err(OUT_OF_MEMORY_KIND)));
    assert!((900.0..1900.0).contains(&took), "{took}");
}

/// A buffer holds memory beyond its first chunk only while it contains more than that: idle connections held that of their
/// last message, and there was none for the next messages of others.
#[test]
fn consumed_bytes_release_their_memory() {
    let account = Account::root("clients", 100 * CHUNK);
    let mut receive_buffer = ReceiveBuffer::new(&account, Purpose::Clients);
    for rest in [0, 1, CHUNK] {
        receive_buffer.bytes = vec![1; CHUNK];
        receive_buffer.grow().expect("room");
        receive_buffer.bytes.resize(2 * CHUNK, 1);
        receive_buffer.beside(CHUNK).expect("room");
        assert_eq!(account.used(), 2 * CHUNK);
        receive_buffer.consume(|bytes| bytes.drain(..2 * CHUNK - rest).count());
        receive_buffer.end_message();
        assert_eq!((account.used(), receive_buffer.bytes().len()), (0, rest));
        receive_buffer.clear();
    }
}
