use super::*;
use proptest::prelude::*;

proptest! {
    /// Guards against a body that depends on how its bytes were cut, and against taking bytes of
    /// the next message along.
    #[test]
    fn chunked_bodies_survive_any_cut(parts in proptest::collection::vec("[a-z]{1,20}", 0..5), cut in 1usize..40) {
        let mut bytes = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for part in &parts {
            bytes.extend(format!("{:x}\r\n{part}\r\n", part.len()).bytes());
        }
        bytes.extend(b"0\r\nTrailing: x\r\n\r\nNEXT");
        let (mut raw, mut body, mut head, mut whole) = (Vec::new(), Vec::new(), None, false);
        for piece in bytes.chunks(cut) {
            raw.extend(piece);
            if head.is_none() {
                head = RequestHead::decode(&mut raw).expect("head");
            }
            if let Some(head) = head.as_mut().filter(|_| !whole) {
                whole = head.body.feed(&mut raw, &mut body, 1000).expect("body");
            }
        }
        prop_assert!(whole);
        prop_assert_eq!(body, parts.concat().into_bytes());
        prop_assert_eq!(raw, b"NEXT");
    }

    #[test]
    fn any_bytes_are_read_or_turned_down(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = RequestHead::decode(&mut bytes.clone());
        let _ = ResponseHead::decode(&mut bytes.clone());
        for mut body in [Body::Length(50), Body::Chunked(0), Body::Chunked(3), Body::Trailer] {
            let _ = body.feed(&mut bytes.clone(), &mut Vec::new(), 100);
        }
    }
}

#[test]
fn unclear_or_long_bodies_are_turned_down() {
    for head in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: +3",
        "Transfer-Encoding: gzip",
    ] {
        let mut raw = format!("POST / HTTP/1.1\r\n{head}\r\n\r\n").into_bytes();
        assert_eq!(RequestHead::decode(&mut raw), Err(BadHttp::Length), "{head}");
    }
    let long = Body::Length(11).feed(&mut vec![0; 11], &mut Vec::new(), 10);
    assert_eq!(long, Err(BadHttp::Long));
    let long = Body::Chunked(0).feed(&mut b"ffffffffffffffff\r\n".to_vec(), &mut Vec::new(), 10);
    assert_eq!(long, Err(BadHttp::Long));
}
