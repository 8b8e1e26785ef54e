use super::*;
use crate::state::test_ledger;
use corkbay_ledger::Purpose;

fn account() -> Account {
    test_ledger().account(Purpose::Replication).clone()
}

fn frame(account: &Account, message: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    let sent = send(account, &mut bytes, message).expect("room");
    assert_eq!(sent, bytes.len());
    bytes
}

#[test]
fn messages_round_trip_and_release_their_reservations() {
    let account = account();
    let texts = vec!["one".to_string(), "two".to_string()];
    let bytes = frame(&account, &texts);
    let received = receive::<Vec<String>>(&account, &mut bytes.as_slice(), MAX_MESSAGE).expect("whole");
    assert_eq!((received.message, received.bytes), (texts, bytes.len()));
    assert!(account.used() > 0);
    drop(received.held);
    assert_eq!(account.used(), 0);
}

/// Frames that are damaged, truncated, too long or of another protocol each give an error of their own.
#[test]
fn bad_frames_give_distinct_errors() {
    let account = account();
    let whole = frame(&account, &"word");
    let read = |bytes: &[u8]| receive::<String>(&account, &mut &*bytes, MAX_MESSAGE).expect_err("bad");
    let mut damaged = whole.clone();
    damaged[HEADER_BYTES + 1] ^= 1;
    assert!(matches!(read(&damaged), FramingError::Checksum));
    assert!(read(&whole[..whole.len() - 1]).is_closed());
    assert!(matches!(read(&[0xff; HEADER_BYTES]), FramingError::TooLong { .. }));
    assert!(matches!(read(&frame(&account, &7)), FramingError::Malformed(_)));
    assert_eq!(account.used(), 0);
}

/// A message that the account has no room for is neither written nor read to its end.
#[test]
fn a_full_account_refuses_a_message() {
    let account = account();
    let long = frame(&account, &"x".repeat(1 << 20));
    let _taken = account.reserve(account.cap() - (64 << 10)).expect("room");
    let sent = send(&account, &mut Vec::new(), &"x".repeat(1 << 20));
    assert!(matches!(sent, Err(FramingError::Full(_))), "{sent:?}");
    let received = receive::<String>(&account, &mut long.as_slice(), MAX_MESSAGE);
    assert!(matches!(received, Err(FramingError::Full(_))), "{received:?}");
}
