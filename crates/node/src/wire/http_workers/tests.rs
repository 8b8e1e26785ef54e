use super::*;

/// A task may panic while it writes a request. The last byte may have been written, so the call must be reported as one
/// that may have run.
#[test]
fn an_attempt_that_ends_while_it_is_written_may_have_run() {
    let (sender, end) = std::sync::mpsc::channel();
    let mut exchanges = ConnectionExchanges::new(1);
    assert!(exchanges.open(1, Box::new(move |end| _ = sender.send(end)) as OnAttemptEnd).is_ok());
    assert!(exchanges.begin(1));
    let attempt = Attempt {
        exchanges: Mutex::new(exchanges),
        id: 1,
        socket: Mutex::default(),
        location: Mutex::default(),
    };
    drop(EndGuard(Arc::new(attempt), Arc::new(AtomicUsize::new(1))));
    assert_eq!(end.recv(), Ok(Err(AttemptError::Unanswered(AbortReason::ConnectionLost))));
}
