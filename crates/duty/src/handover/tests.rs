use super::*;
use proptest::prelude::*;

fn message() -> impl Strategy<Value = Message> {
    let bytes = proptest::collection::vec(any::<u8>(), 0..40);
    prop_oneof![
        (any::<u64>(), proptest::collection::vec(any::<i32>(), 0..33))
            .prop_map(|(number, unanswered)| Message::Connection { number, unanswered }),
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
