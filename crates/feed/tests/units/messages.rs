use crate::support::{TestRecord, TestStore};
use corkbay_feed::{BucketNumber, ControlMessage, FollowerMessage, Position, RecordHashes, Records};

const FRAME_HEADER_BYTES: usize = 8;
const GREATEST: Position = Position { incarnation: u64::MAX, revision: u64::MAX };

#[test]
fn a_heartbeat_and_its_answer_fit_200_bytes_whatever_the_position() {
    let heartbeat = ControlMessage::<TestRecord>::Heartbeat { position: GREATEST };
    let answer = FollowerMessage::Applied { position: Some(GREATEST), left_out_buckets: 256 };
    let texts = [
        serde_json::to_string(&heartbeat).expect("message serializes"),
        serde_json::to_string(&answer).expect("message serializes"),
    ];
    let bytes: usize = texts.iter().map(|text| text.len() + FRAME_HEADER_BYTES).sum();
    println!("{bytes} bytes: {texts:?}");
    assert!(bytes <= 200, "{bytes}");
}

/// Guards against incompatibility between versions: the text of each message must not change.
#[test]
fn the_text_of_messages_does_not_change() {
    let record = TestRecord::new("k", 2, 3, None);
    let position = Position { incarnation: 255, revision: 7 };
    let hashes = TestStore::default().bucket_hashes();
    let empty = "A".repeat(2731);
    let from_control = [
        (
            ControlMessage::Changes { after: position, upto: 8, records: vec![record.clone()] },
            r#"{"changes":{"after":"00000000000000ff:7","upto":8,"records":[{"key":"k","version":2,"writer":3,"value":null}]}}"#,
        ),
        (ControlMessage::SendBuckets, r#""send_buckets""#),
        (
            ControlMessage::Difference { records: vec![], last: Some(position) },
            r#"{"difference":{"records":[],"last":"00000000000000ff:7"}}"#,
        ),
        (ControlMessage::Heartbeat { position }, r#"{"heartbeat":{"position":"00000000000000ff:7"}}"#),
        (ControlMessage::OfferRepair, r#""offer_repair""#),
        (
            ControlMessage::Missing { bucket: BucketNumber(9), records: vec![], skipped: 3 },
            r#"{"missing":{"bucket":9,"records":[],"skipped":3}}"#,
        ),
        (ControlMessage::Busy { retry_after_ms: 5 }, r#"{"busy":{"retry_after_ms":5}}"#),
    ];
    for (message, text) in from_control {
        assert_eq!(serde_json::to_string(&message).expect("message serializes"), text);
        assert_eq!(
            serde_json::from_str::<ControlMessage<TestRecord>>(text).expect("message deserializes"),
            message
        );
    }
    let from_follower = [
        (
            FollowerMessage::Hello { node: "n".into(), position: None },
            r#"{"hello":{"node":"n","position":null}}"#.to_string(),
        ),
        (FollowerMessage::Buckets { hashes }, format!(r#"{{"buckets":{{"hashes":"{empty}="}}}}"#)),
        (FollowerMessage::NextPage, r#""next_page""#.to_string()),
        (
            FollowerMessage::Applied { position: Some(position), left_out_buckets: 0 },
            r#"{"applied":{"position":"00000000000000ff:7"}}"#.to_string(),
        ),
        (
            FollowerMessage::Applied { position: Some(position), left_out_buckets: 2 },
            r#"{"applied":{"position":"00000000000000ff:7","left_out_buckets":2}}"#.to_string(),
        ),
        (
            FollowerMessage::Repair { bucket: BucketNumber(9), held: RecordHashes(vec![1, 2]), max_bytes: 5 },
            r#"{"repair":{"bucket":9,"held":"AAAAAAAAAAEAAAAAAAAAAg==","max_bytes":5}}"#.to_string(),
        ),
    ];
    for (message, text) in from_follower {
        assert_eq!(serde_json::to_string(&message).expect("message serializes"), text);
        assert_eq!(serde_json::from_str::<FollowerMessage>(&text).expect("message deserializes"), message);
    }
}

#[test]
fn bad_positions_are_refused() {
    for text in
        ["", "1:2", "00000000000000ff", "00000000000000ff:", "00000000000000ff:-1", "+0000000000000ff:1"]
    {
        assert!(text.parse::<Position>().is_err(), "{text}");
    }
    assert_eq!(GREATEST.to_string().parse(), Ok(GREATEST));
}

#[test]
fn positions_of_different_incarnations_are_not_compared() {
    let position = Position { incarnation: 1, revision: 5 };
    assert_eq!(position.behind(position.at(9)), Some(4));
    assert_eq!(position.at(9).behind(position), None);
    assert_eq!(position.behind(Position { incarnation: 2, revision: 9 }), None);
}
