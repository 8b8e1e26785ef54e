use super::*;
use crate::core::{Answer, AttemptError, CancelNotice, Cause, Ending, Exchange, UnixTime};
use crate::memory::roster::Host;
use corkbay::{ModelId, Request, Standing};
use std::sync::atomic::AtomicUsize;

struct Over;

impl Exchange for Over {
    fn give_up(&mut self, _: Cause) -> Option<AttemptError> {
        None
    }

    fn cancel_notice(&self) -> &CancelNotice {
        static NOTHING: std::sync::LazyLock<CancelNotice> = std::sync::LazyLock::new(CancelNotice::default);
        &NOTHING
    }
}

/// Workers that do with each send, by its number, what the test says.
struct Scripted<F> {
    sends: AtomicUsize,
    act: F,
}

fn scripted<F: Fn(usize, &Call, Ending) -> Box<dyn Exchange>>(act: F) -> Scripted<F> {
    Scripted { sends: AtomicUsize::new(0), act }
}

fn serve(call: &Call, end: Ending) -> Box<dyn Exchange> {
    end(Ok(call.body.clone()));
    Box::new(Over)
}

/// An attempt that is never answered, and whose notice of being given up is written late.
struct Silent {
    notice: CancelNotice,
    held: Arc<std::sync::Mutex<Option<CancelNotice>>>,
}

impl Exchange for Silent {
    fn give_up(&mut self, cause: Cause) -> Option<AttemptError> {
        *self.held.lock().expect("whole") = Some(self.notice.clone());
        let held = self.held.clone();
        crate::life::spawn(move || {
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
    F: Fn(usize, &Call, Ending) -> Box<dyn Exchange> + Send + Sync + 'static,
{
    fn send(&self, _: &Arc<Host>, call: &Arc<Call>, _: Ms, _: Ms, end: Ending) -> Box<dyn Exchange> {
        (self.act)(self.sends.fetch_add(1, Ordering::Relaxed), call, end)
    }

    fn load(&self, _: &Arc<Host>, _: ModelId, _: u32, _: Ms, _: Duration) -> (Result<(), AttemptError>, u32) {
        (Err(AttemptError::Unconnected), 0)
    }

    fn evict(&self, _: &Arc<Host>, _: ModelId) {}

    fn probe(&self, _: &Arc<Host>, _: Duration) -> Result<(), AttemptError> {
        Ok(())
    }
}

/// An invoker with one worker that is ready, and the accounts of what it holds.
fn with_one_worker(workers: impl Workers, second_copies: bool) -> (Arc<Invoker>, Arc<Ledger>) {
    let setup = serde_json::json!({
        "classes": [{"name": "check", "aimMs": 1000.0, "giveUpMs": 4000.0, "idempotency": "pure"}],
        "zones": ["a"], "myZone": "a",
        "ceilings": {"attemptsCap": 5, "cancel": true, "secondCopies": second_copies},
        "specifics": {"notLoaded": "load", "keepMs": 1000.0}, "safety": {},
    });
    let ledger = crate::memory::roomy();
    let invoker = Invoker::new(&setup, 1, Arc::new(workers), ledger.clone());
    let address = "127.0.0.1:1".parse().expect("address");
    let (name, zone, kind) = ("w".to_string(), "a".to_string(), String::new());
    let (standing, since) = (Standing::Ready, UnixTime::NONE);
    let heard_without = Ms::NEG_INFINITY;
    let listing = Listing { name, address, zone, kind, cell: 0, standing, weight: 1.0, since, heard_without };
    invoker.news(vec![listing], true, true);
    (invoker, ledger)
}

/// Guards against a panic that takes more down than its request: nothing stays owed, and the next
/// request is served.
#[test]
fn a_panic_ends_its_request_and_no_other() {
    let workers = scripted(|number, call, end| {
        assert!(number > 0, "the first send panics");
        serve(call, end)
    });
    let (invoker, ledger) = with_one_worker(workers, true);
    let request = |id| Request { id: RequestId(id), expires: monotonic_ms() + 4000.0, ..Request::default() };
    let call = |id| Call { request: request(id), body: vec![7], ..Call::default() };
    let taken = invoker.take(call(1)).expect("taken");
    assert_eq!(invoker.take(call(1)).err(), Some(NotTaken::Open));
    let end = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || taken.serve()));
    assert!(end.is_err());
    assert_eq!(invoker.owed(), 0);
    assert_eq!(ledger.account(Purpose::Calls).used(), 0);
    let taken = invoker.take(call(2)).expect("taken");
    assert_eq!(taken.serve(), Answer::Served { body: vec![7] });
    drop(taken);
    invoker.leave(Leave::Ending, Terms { let_go: 0.0, refuse: 0.0, gone: None });
    assert!(invoker.settle(Duration::ZERO));
    assert_eq!(invoker.take(call(3)).err(), Some(NotTaken::Draining));
}

/// Guards a worker's places against calls whose clients leave just as they are to go out: such an attempt never
/// goes out, and holds no place for ever.
#[test]
fn an_attempt_asked_for_behind_the_end_of_its_request_holds_no_place() {
    let (invoker, _) = with_one_worker(scripted(|_, call, end| serve(call, end)), true);
    let call = |id| {
        let request = Request { id: RequestId(id), expires: monotonic_ms() + 1000.0, ..Request::default() };
        Call { request, body: vec![7], ..Call::default() }
    };
    for id in 1..=200 {
        let taken = invoker.take(call(id)).expect("taken");
        invoker.withdraw(RequestId(id));
        assert_eq!(taken.serve(), Answer::Withdrawn);
    }
    let taken = invoker.take(call(1000)).expect("taken");
    assert_eq!(taken.serve(), Answer::Served { body: vec![7] });
}

/// Guards the rule on second copies where none are allowed: the next attempt waits until the notice that gives the
/// one before up is out, however late that is; where copies are allowed nothing waits for it.
#[test]
fn the_next_attempt_does_not_overtake_the_notice_that_ends_the_last() {
    for second_copies in [false, true] {
        // The notice on its way, and whether another send came before it was out.
        let held = Arc::<std::sync::Mutex<Option<CancelNotice>>>::default();
        let overtaken = Arc::new(AtomicBool::new(false));
        let came = overtaken.clone();
        let workers = scripted(move |number, call, end| {
            if number == 0 {
                // Nobody else holds the end, so it can't come.
                std::mem::forget(end);
                return Box::new(Silent { notice: CancelNotice::default(), held: held.clone() });
            }
            came.fetch_or(held.lock().expect("whole").is_some(), Ordering::Relaxed);
            serve(call, end)
        });
        let (invoker, _) = with_one_worker(workers, second_copies);
        // A stall of the machine makes the decisions more patient with the worker, once and again.
        let request = Request { id: RequestId(1), expires: monotonic_ms() + 20_000.0, ..Request::default() };
        let taken = invoker.take(Call { request, body: vec![7], ..Call::default() }).expect("taken");
        assert_eq!(taken.serve(), Answer::Served { body: vec![7] });
        assert_eq!(overtaken.load(Ordering::Relaxed), second_copies);
    }
}

/// Guards the one final answer at a cap that is met between an attempt's end and the client's answer: the
/// answer waits a little for room and goes out all the same, counted.
#[test]
fn an_answer_that_finds_no_room_is_given_all_the_same() {
    let (invoker, ledger) = with_one_worker(scripted(|_, call, end| serve(call, end)), true);
    let request = Request { id: RequestId(1), expires: monotonic_ms() + 4000.0, ..Request::default() };
    let taken = invoker.take(Call { request, body: vec![7; 100_000], ..Call::default() }).expect("taken");
    let calls = ledger.account(Purpose::Calls);
    let others = calls.reserve(calls.free()).expect("what is left");
    assert_eq!(taken.serve(), Answer::Served { body: vec![7; 100_000] });
    assert!(calls.used() > calls.cap(), "it is counted, over the cap");
    let other = Request { id: RequestId(2), expires: monotonic_ms() + 4000.0, ..Request::default() };
    let refused = invoker.take(Call { request: other, ..Call::default() }).err();
    assert!(matches!(refused, Some(NotTaken::Crowded(span)) if span > 0.0), "{refused:?}");
    drop((taken, others));
    assert_eq!(calls.used(), 0);
}
