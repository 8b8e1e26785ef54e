use super::*;

const PLAIN: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hi\n\nid: 4\ndata: {\"a\"\ndata: :1}\n\nid: 5\ndata: x\n\n";
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 4\nd\r\n12\r\nata: {\"a\"\ndata: :1\r\n11\r\n}\n\nid: 5\ndata: x\n\r\n1\r\n\n\r\n0\r\n\r\n";

/// Parsing must not depend on how the bytes are split.
#[test]
fn events_survive_any_split() {
    for whole in [PLAIN, CHUNKED] {
        for step in 1..whole.len() {
            let mut stream = Stream::default();
            let mut events = Vec::new();
            for part in whole.chunks(step) {
                events.extend(stream.feed(part).expect("reads"));
            }
            let received: Vec<_> =
                events.iter().map(|event| (event.id.as_deref(), event.data.as_str())).collect();
            assert_eq!(received, [(Some("4"), "{\"a\"\n:1}"), (Some("5"), "x")], "in steps of {step}");
        }
    }
}

#[test]
fn responses_that_are_not_event_streams_are_rejected() {
    assert_eq!(Stream::default().feed(b"HTTP/1.1 503 No\r\n\r\n"), Err(EventStreamError::Status(503)));
    assert_eq!(Stream::default().feed(b"SSH-2.0\r\n\r\n"), Err(EventStreamError::Http(HttpError::Head)));
}
