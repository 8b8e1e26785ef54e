use super::*;
use proptest::prelude::*;

fn dispatch(seqid: i32, fields: &Fields, body: &[u8]) -> Vec<u8> {
    let mut writer = Writer::message(CALL, "dispatch", seqid);
    writer.field(MAP, 1);
    writer.map(fields);
    writer.field(STRING, 2);
    writer.bytes(body);
    writer.0.push(STOP);
    writer.frame()
}

proptest! {
    #[test]
    fn dispatch_is_read_back(seqid in any::<i32>(), name in "[a-z]{1,8}", value in ".{0,20}",
                             body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let fields = Fields::from([(name, value)]);
        let mut buffer = dispatch(seqid, &fields, &body);
        let message = unframe(&mut buffer).expect("framed").expect("whole");
        prop_assert_eq!(parse_message(&message), Ok(Message::Dispatch { seqid, fields, body }));
    }

    /// Arbitrary bytes from a client must be parsed or rejected without a panic.
    #[test]
    fn any_bytes_are_read_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_message(&bytes);
        let mut head = Writer::message(CALL, "dispatch", 7).frame().split_off(4);
        head.extend(bytes);
        if let Err(malformed) = parse_message(&head) {
            prop_assert_eq!(malformed.call, Some((7, "dispatch".to_string())));
        }
    }
}

#[test]
fn lengths_beyond_the_message_are_rejected() {
    let mut message = Writer::message(CALL, "dispatch", 3);
    message.field(STRING, 2);
    message.0.extend(i32::MAX.to_be_bytes());
    assert_eq!(parse_message(&message.frame()[4..]).expect_err("cut").what, "cut short");
    assert!(unframe(&mut vec![0xff; 8]).is_err());
}
