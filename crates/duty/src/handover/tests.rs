use super::*;
use proptest::prelude::*;

fn message() -> impl Strategy<Value = Message> {
    let bytes = proptest::collection::vec(any::<u8>(), 0..40);
    prop_oneof![
        (any::<u64>(), proptest::collection::vec(any::<i32>(), 0..33), any::<bool>()).prop_map(
            |(number, unanswered, reads_withdrawals)| Message::Connection {
                number,
                unanswered,
                reads_withdrawals
            }
        ),
        (any::<u64>(), any::<i32>()).prop_map(|(number, seqid)| Message::Withdrawn { number, seqid }),
        Just(Message::Greeting),
        (any::<u64>(), any::<i32>(), bytes).prop_map(|(number, seqid, bytes)| Message::End {
            number,
            seqid,
            bytes
        }),
    ]
}

proptest! {
    #[test]
    fn a_message_is_decoded_as_encoded(message in message()) {
        let bytes = message.encode();
        let (head, body) = bytes.split_first_chunk::<HEADER_BYTES>().expect("a head");
        let head = MessageHeader::decode(head).expect("good");
        prop_assert_eq!(head.length(), body.len());
        prop_assert_eq!(head.message(body.to_vec()), message);
    }

    /// Guards memory against what is no message: nothing is read beyond a bound.
    #[test]
    fn no_header_allows_a_body_over_the_limit(head in any::<[u8; HEADER_BYTES]>()) {
        if let Ok(head) = MessageHeader::decode(&head) {
            prop_assert!(head.length() <= MAX_BODY_BYTES);
        }
    }
}

/// Guards an upgrade from an earlier version, which leaves the flags zero and doesn't read what its successor writes.
#[test]
fn a_connection_of_an_earlier_version_reads_no_withdrawals() {
    let bytes = [1, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0, 5];
    let (head, body) = bytes.split_first_chunk::<HEADER_BYTES>().expect("a head");
    let message = MessageHeader::decode(head).expect("good").message(body.to_vec());
    assert_eq!(message, Message::Connection { number: 9, unanswered: vec![5], reads_withdrawals: false });
}

/// Guards an upgrade to an earlier version: the bytes that it reads are those that it wrote itself, but for a flag that it
/// ignores. A message of a later version is skipped.
#[test]
fn earlier_and_later_versions_go_on_as_before() {
    let message = Message::Connection { number: 9, unanswered: vec![5], reads_withdrawals: true };
    let mut bytes = message.encode();
    bytes[1] = 0;
    assert_eq!(bytes, [1, 0, 0, 0, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0, 5]);
    let later = [9, 7, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 9];
    let head = MessageHeader::decode(&later).expect("good");
    assert_eq!((head.length(), head.message(vec![1, 2])), (2, Message::Unknown));
}
