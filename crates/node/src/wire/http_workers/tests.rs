use super::*;

/// Guards the class of a call whose task ends in the middle of its writing, by a panic: its last byte may be out.
#[test]
fn an_attempt_that_ends_while_it_is_written_may_have_run() {
    let (told, end) = std::sync::mpsc::channel();
    let mut link = Link::new(1);
    assert!(link.open(1, Box::new(move |end| _ = told.send(end)) as Ending).is_ok());
    assert!(link.begin(1));
    let attempt =
        Attempt { link: Mutex::new(link), id: 1, socket: Mutex::default(), location: Mutex::default() };
    drop(EndGuard(Arc::new(attempt), Arc::new(AtomicUsize::new(1))));
    assert_eq!(end.recv(), Ok(Err(AttemptError::Unanswered(Cause::Broken))));
}
