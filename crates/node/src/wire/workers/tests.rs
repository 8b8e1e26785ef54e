use super::*;
use crate::core::monotonic_ms;

/// Guards the rule on second copies: the word that gives an attempt up is out once it was written, not once it was
/// queued behind what a worker does not read.
#[test]
fn word_is_out_once_it_was_written() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let host = Host::new(WorkerId(1), "w", listener.local_addr().expect("bound"));
    let second = Duration::from_secs(1);
    let limits = Limits {
        streams: 8,
        connect: second,
        idle: 30 * second,
        connections: 8,
        answer: 1024,
        cancels: true,
    };
    let workers = FrameWorkers::new(limits, crate::memory::roomy().account(Purpose::Workers).clone());
    let call = |id, size| {
        let request = corkbay::Request { id: corkbay::RequestId(id), ..Default::default() };
        Arc::new(Call { request, body: vec![7; size], ..Call::default() })
    };
    let mut first =
        workers.send(&host, &call(1, 1), monotonic_ms() + 30_000.0, f64::INFINITY, Box::new(|_| ()));
    let (mut socket, _) = listener.accept().expect("dialled");
    let mut head = [0; 18];
    std::io::Read::read_exact(&mut socket, &mut head).expect("the first call");
    // More than buffers hold: the writer is stuck in it.
    let _second =
        workers.send(&host, &call(2, 32 << 20), monotonic_ms() + 30_000.0, f64::INFINITY, Box::new(|_| ()));
    assert_eq!(first.give_up(Cause::GivenUp), Some(AttemptError::Unanswered(Cause::GivenUp)));
    std::thread::sleep(Duration::from_millis(100));
    assert!(!first.cancel_notice().is_sent(), "it waits behind the second call");
    std::thread::spawn(move || std::io::copy(&mut socket, &mut std::io::sink()));
    let end = monotonic_ms() + 20_000.0;
    while !first.cancel_notice().is_sent() {
        assert!(monotonic_ms() < end, "it is written at last");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards the rule on repeats against a race: an answer, or the end of the connection, may be read
/// before the writer has noted that the last byte was out.
#[test]
fn a_frame_that_may_be_out_proves_nothing() {
    for cause in [Cause::Broken, Cause::Silent, Cause::GivenUp] {
        assert!(broken(Stage::Queued, cause).outcome().proves_not_run());
        assert!(!broken(Stage::Writing, cause).outcome().proves_not_run());
        assert!(!broken(Stage::Whole, cause).outcome().proves_not_run());
    }
}
