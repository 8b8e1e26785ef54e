use super::*;
use proptest::prelude::*;

proptest! {
    /// Decoding a body must not depend on how its bytes are split, and must not consume bytes of the next message.
    #[test]
    fn chunked_bodies_survive_any_split(parts in proptest::collection::vec("[a-z]{1,20}", 0..5), split in 1usize..40) {
        let mut bytes = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for part in &parts {
            bytes.extend(format!("{:x}\r\n{part}\r\n", part.len()).bytes());
        }
        bytes.extend(b"0\r\nTrailing: x\r\n\r\nNEXT");
        let (mut input, mut body, mut head, mut whole) = (Vec::new(), Vec::new(), None, false);
        for piece in bytes.chunks(split) {
            input.extend(piece);
            if head.is_none() {
                head = RequestHead::decode(&mut input).expect("head");
            }
            if let Some(head) = head.as_mut().filter(|_| !whole) {
                whole = head.body.feed(&mut input, &mut body, 1000).expect("body");
            }
        }
        prop_assert!(whole);
        prop_assert_eq!(body, parts.concat().into_bytes());
        prop_assert_eq!(input, b"NEXT");
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_the_parser(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = RequestHead::decode(&mut bytes.clone());
        let _ = ResponseHead::decode(&mut bytes.clone());
        for mut body in [Body::Length(50), Body::Chunked(0), Body::Chunked(3), Body::Trailer] {
            let _ = body.feed(&mut bytes.clone(), &mut Vec::new(), 100);
        }
    }
}

#[test]
fn ambiguous_or_long_bodies_are_rejected() {
    for head in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: +3",
        "Transfer-Encoding: gzip",
    ] {
        let mut input = format!("POST / HTTP/1.1\r\n{head}\r\n\r\n").into_bytes();
        assert_eq!(RequestHead::decode(&mut input), Err(HttpError::Length), "{head}");
    }
    let long = Body::Length(11).feed(&mut vec![0; 11], &mut Vec::new(), 10);
    assert_eq!(long, Err(HttpError::Long));
    let long = Body::Chunked(0).feed(&mut b"ffffffffffffffff\r\n".to_vec(), &mut Vec::new(), 10);
    assert_eq!(long, Err(HttpError::Long));
}
