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
        let first = receive_buffer.make_room(4 * CHUNK).map_err(|error| error.kind());
        let again = receive_buffer.make_room(8 * CHUNK).map_err(|error| error.kind());
        let waited = monotonic_ms() - began;
        let huge = receive_buffer.make_room(1 << 30).map_err(|error| error.kind());
        (first, again, waited, huge, monotonic_ms() - began)
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
