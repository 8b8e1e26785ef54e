use super::*;
use crate::core::{AbortReason, Answer, AttemptError, CancelNotice, Exchange, OnAttemptEnd, UnixTime};
use crate::state::roster::Host;
use corkbay::{ModelId, Request, WorkerState};
use std::sync::atomic::AtomicUsize;

struct EndedExchange;

impl Exchange for EndedExchange {
    fn cancel(&mut self, _: AbortReason) -> Option<AttemptError> {
        None
    }

    fn cancel_notice(&self) -> &CancelNotice {
        static NOTHING: std::sync::LazyLock<CancelNotice> = std::sync::LazyLock::new(CancelNotice::default);
        &NOTHING
    }
}

/// Workers that handle each send with the test's function, which is given the number of the send.
struct Scripted<F> {
    sends: AtomicUsize,
    act: F,
}

fn scripted<F: Fn(usize, &Call, OnAttemptEnd) -> Box<dyn Exchange>>(act: F) -> Scripted<F> {
    Scripted { sends: AtomicUsize::new(0), act }
}

fn serve(call: &Call, end: OnAttemptEnd) -> Box<dyn Exchange> {
    end(Ok(call.body.clone()));
    Box::new(EndedExchange)
}

/// An attempt that is never answered, and whose cancel notice is written late.
struct Silent {
    notice: CancelNotice,
    held: Arc<std::sync::Mutex<Option<CancelNotice>>>,
}

impl Exchange for Silent {
    fn cancel(&mut self, cause: AbortReason) -> Option<AttemptError> {
        *self.held.lock().expect("whole") = Some(self.notice.clone());
        let held = self.held.clone();
        crate::lifecycle::spawn(move || {
            may::coroutine::sleep(Duration::from_millis(60));
            held.lock().expect("whole").take();
        });
        Some(AttemptError::Unanswered(cause))
    }

    fn cancel_notice(&self) -> &CancelNotice {
        &self.notice
    }
}

impl<F> Workers for Scripted<F>
where
    F: Fn(usize, &Call, OnAttemptEnd) -> Box<dyn Exchange> + Send + Sync + 'static,
{
    fn send(&self, _: &Arc<Host>, call: &Arc<Call>, _: Ms, _: Ms, end: OnAttemptEnd) -> Box<dyn Exchange> {
        (self.act)(self.sends.fetch_add(1, Ordering::Relaxed), call, end)
    }

    fn load(&self, _: &Arc<Host>, _: ModelId, _: u32, _: Ms, _: Duration) -> (Result<(), AttemptError>, u32) {
        (Err(AttemptError::ConnectFailed), 0)
    }

    fn evict(&self, _: &Arc<Host>, _: ModelId) {}

    fn probe(&self, _: &Arc<Host>, _: Duration) -> Result<(), AttemptError> {
        Ok(())
    }
}

/// A worker whose place the test names.
fn listed(name: &str, zone: &str, cell: Option<i64>) -> WorkerListing {
    WorkerListing {
        name: name.to_string(),
        address: "127.0.0.1:1".parse().expect("address"),
        zone: zone.to_string(),
        kind: String::new(),
        cell,
        state: WorkerState::Ready,
        weight: 1.0,
        since: UnixTime::NONE,
        last_contact_without_report: Ms::NEG_INFINITY,
    }
}

/// An invoker with one ready worker, and its memory accounts.
fn with_one_worker(workers: impl Workers, second_copies: bool) -> (Arc<Invoker>, Arc<Ledger>) {
    let setup = serde_json::json!({
        "classes": [{"name": "check", "aimMs": 1000.0, "giveUpMs": 4000.0, "idempotency": "pure"}],
        "zones": ["a"], "myZone": "a",
        "ceilings": {"attemptsCap": 5, "cancel": true, "secondCopies": second_copies},
        "specifics": {"notLoaded": "load", "keepMs": 1000.0}, "safety": {},
    });
    let ledger = crate::state::test_ledger();
    let invoker = Invoker::new(&setup, 1, Arc::new(workers), ledger.clone());
    invoker.update_roster(vec![listed("w", "a", Some(0))], true, true);
    (invoker, ledger)
}

/// Guards against a panic in one request's task that affects others: no request stays registered, and the
/// next request is served.
#[test]
fn a_panic_ends_its_request_and_no_other() {
    let workers = scripted(|number, call, end| {
        assert!(number > 0, "the first send panics");
        serve(call, end)
    });
    let (invoker, ledger) = with_one_worker(workers, true);
    let request = |id| Request { id: RequestId(id), expires: monotonic_ms() + 4000.0, ..Request::default() };
    let call = |id| Call { request: request(id), body: vec![7], ..Call::default() };
    let taken = invoker.accept(call(1)).expect("taken");
    assert_eq!(invoker.accept(call(1)).err(), Some(AdmissionError::DuplicateId));
    let end = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || taken.serve()));
    assert!(end.is_err());
    assert_eq!(invoker.unanswered(), 0);
    assert_eq!(ledger.account(Purpose::Calls).used(), 0);
    let taken = invoker.accept(call(2)).expect("taken");
    assert_eq!(taken.serve(), Answer::Served { body: vec![7] });
    drop(taken);
    invoker.start_leaving(
        Leave::Ending,
        LeaveSchedule { close_connections_at: 0.0, refuse_requests_at: 0.0, all_closed_by: None },
    );
    assert!(invoker.wait_until_answered(Duration::ZERO));
    assert_eq!(invoker.accept(call(3)).err(), Some(AdmissionError::Draining));
}

/// Guards the count of attempts in flight at a worker: if the client withdraws just before an attempt is
/// sent, the attempt is not sent and must not occupy the worker's capacity forever.
#[test]
fn an_attempt_requested_after_its_request_ended_uses_no_capacity() {
    let (invoker, _) = with_one_worker(scripted(|_, call, end| serve(call, end)), true);
    let call = |id| {
        let request = Request { id: RequestId(id), expires: monotonic_ms() + 1000.0, ..Request::default() };
        Call { request, body: vec![7], ..Call::default() }
    };
    for id in 1..=200 {
        let taken = invoker.accept(call(id)).expect("taken");
        invoker.withdraw(RequestId(id));
        assert_eq!(taken.serve(), Answer::Withdrawn);
    }
    let taken = invoker.accept(call(1000)).expect("taken");
    assert_eq!(taken.serve(), Answer::Served { body: vec![7] });
}

/// Guards the rule on concurrent attempts: where a request may have only one, the next attempt waits until
/// the cancel notice of the last one has been sent, however late that is; where several are allowed, nothing
/// waits for the notice.
#[test]
fn the_next_attempt_does_not_overtake_the_cancel_notice_of_the_last() {
    for second_copies in [false, true] {
        // The unsent cancel notice, and whether another send arrived before it was sent.
        let held = Arc::<std::sync::Mutex<Option<CancelNotice>>>::default();
        let overtaken = Arc::new(AtomicBool::new(false));
        let overtaken_flag = overtaken.clone();
        let workers = scripted(move |number, call, end| {
            if number == 0 {
                // The callback is leaked, so that the attempt never ends.
                std::mem::forget(end);
                return Box::new(Silent { notice: CancelNotice::default(), held: held.clone() });
            }
            overtaken_flag.fetch_or(held.lock().expect("whole").is_some(), Ordering::Relaxed);
            serve(call, end)
        });
        let (invoker, _) = with_one_worker(workers, second_copies);
        // The deadline is long, because each stall of the machine makes the dispatcher wait longer for the
        // worker.
        let request = Request { id: RequestId(1), expires: monotonic_ms() + 20_000.0, ..Request::default() };
        let taken = invoker.accept(Call { request, body: vec![7], ..Call::default() }).expect("taken");
        assert_eq!(taken.serve(), Answer::Served { body: vec![7] });
        assert_eq!(overtaken.load(Ordering::Relaxed), second_copies);
    }
}

/// Guards the final answer when the memory cap is reached between the end of the attempt and the answer to
/// the client: the answer waits briefly for room, then is returned and counted over the cap.
#[test]
fn an_answer_is_returned_even_if_it_exceeds_the_memory_cap() {
    let (invoker, ledger) = with_one_worker(scripted(|_, call, end| serve(call, end)), true);
    let request = Request { id: RequestId(1), expires: monotonic_ms() + 4000.0, ..Request::default() };
    let taken = invoker.accept(Call { request, body: vec![7; 100_000], ..Call::default() }).expect("taken");
    let calls = ledger.account(Purpose::Calls);
    let others = calls.reserve(calls.free()).expect("what is left");
    assert_eq!(taken.serve(), Answer::Served { body: vec![7; 100_000] });
    assert!(calls.used() > calls.cap(), "the answer is counted over the cap");
    let other = Request { id: RequestId(2), expires: monotonic_ms() + 4000.0, ..Request::default() };
    let refused = invoker.accept(Call { request: other, ..Call::default() }).err();
    assert!(matches!(refused, Some(AdmissionError::Overloaded(span)) if span > 0.0), "{refused:?}");
    drop((taken, others));
    assert_eq!(calls.used(), 0);
}

/// Guards against a keyed call that runs in two zones or cells because its worker is listed elsewhere between the
/// dispatcher's decision and the sending: a retry is sent only to a worker that is still in the group of the first attempt.
#[test]
fn a_retry_is_withheld_where_its_worker_left_the_group() {
    for (scope, sends) in [("zone", 2), ("cell", 2), ("all", 4)] {
        let count = Arc::new(AtomicUsize::new(0));
        let counter = count.clone();
        let workers = scripted(move |_, _, _| {
            counter.fetch_add(1, Ordering::Relaxed);
            Box::new(EndedExchange)
        });
        let setup = serde_json::json!({
            "classes": [{"name": "post", "aimMs": 1000.0, "giveUpMs": 4000.0, "idempotency": "token",
                         "dedupScope": scope, "dedupWindowMs": 4000.0}],
            "ceilings": {"attemptsCap": 5}, "specifics": {"notLoaded": "load", "keepMs": 1000.0}, "safety": {},
        });
        let invoker = Invoker::new(&setup, 1, Arc::new(workers), crate::state::test_ledger());
        let in_group = |name| listed(name, "north", Some(1));
        invoker.update_roster(vec![in_group("w0"), in_group("w1"), in_group("w2")], true, false);
        let request = Request { id: RequestId(1), expires: monotonic_ms() + 4000.0, ..Request::default() };
        let accepted = invoker.accept(Call { request, ..Call::default() }).expect("accepted");
        let mut attempts = attempts::InFlightAttempts::new(&accepted);
        attempts.start(corkbay::WorkerId(0), 0.0);
        attempts.start(corkbay::WorkerId(1), 0.0);
        invoker.update_roster(vec![listed("w1", "south", Some(2))], false, false);
        attempts.start(corkbay::WorkerId(1), 0.0);
        invoker.update_roster(vec![listed("w2", "", None)], false, false);
        attempts.start(corkbay::WorkerId(2), 0.0);
        assert_eq!(count.load(Ordering::Relaxed), sends, "{scope}");
    }
}
