use super::*;
use proptest::prelude::*;

#[test]
fn layout_matches_the_protocol() {
    let bytes = Frame::command(code::LOAD, 0x0102, "a=1".into(), vec![9]).encode();
    assert_eq!(&bytes[..16], &[254, 36, 0, 3, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 1, 2]);
    assert_eq!(&bytes[16..20], b"a=1\x09");
    assert_eq!(bytes[20..], crc32fast::hash(b"a=1\x09").to_be_bytes());
}

proptest! {
    /// Decoding must not depend on how the stream is split, and must not accept a damaged frame.
    #[test]
    fn frames_survive_any_split_and_damage_is_detected(
        fields in "[a-z=,]{0,40}", body in proptest::collection::vec(any::<u8>(), 0..300),
        id in any::<u64>(), split in 0usize..400, flip in 0usize..400,
    ) {
        let frame = Frame { mark: FROM_WORKER, code: code::OK, id, fields, body };
        let bytes = frame.encode();
        let mut buffer = bytes[..split.min(bytes.len() - 1)].to_vec();
        prop_assert_eq!(Frame::decode(&mut buffer, FROM_WORKER), Ok(None));
        buffer.extend(&bytes[split.min(bytes.len() - 1)..]);
        prop_assert_eq!(Frame::decode(&mut buffer, FROM_WORKER), Ok(Some(frame.clone())));
        prop_assert!(buffer.is_empty());
        let at = HEADER_BYTES + flip % (bytes.len() - HEADER_BYTES);
        let mut damaged = bytes;
        damaged[at] ^= 1;
        prop_assert!(Frame::decode(&mut damaged, FROM_WORKER).is_err());
    }
}
