use crate::support::{TestRecord, TestStore};
use corkbay_feed::{
    CloseReason, ControlMessage, Feed, FeedAction, FeedLimits, FollowerMessage, FollowerStage, Position,
    Records, SessionNumber,
};

const START: Position = Position { incarnation: 9, revision: 0 };
const SESSION: SessionNumber = SessionNumber(1);

struct Bench {
    feed: Feed<TestRecord>,
    store: TestStore,
    version: u64,
}

impl Bench {
    fn new(limits: FeedLimits) -> Self {
        Bench { feed: Feed::new(limits, START, 0.0), store: TestStore::default(), version: 0 }
    }

    fn change(&mut self, key: &str, now: f64) {
        self.version += 1;
        let record = TestRecord::new(key, self.version, 1, Some("value"));
        self.store.put(record.clone());
        self.feed.changed(&record.key, now);
        self.feed.tick(&self.store, now);
    }

    fn say(&mut self, session: SessionNumber, message: FollowerMessage, now: f64) {
        self.feed.message(session, message, &self.store, now);
    }

    fn greet(&mut self, session: u64, position: Option<Position>, now: f64) {
        self.feed.connected(SessionNumber(session), now);
        let node = format!("invoker-{session}");
        self.say(SessionNumber(session), FollowerMessage::Hello { node, position }, now);
    }

    fn applied(&mut self, session: SessionNumber, revision: u64, now: f64) {
        self.say(session, FollowerMessage::Applied { position: Some(START.at(revision)) }, now);
    }

    fn empty_buckets(&mut self, session: u64, now: f64) {
        let hashes = TestStore::default().bucket_hashes();
        self.say(SessionNumber(session), FollowerMessage::Buckets { hashes }, now);
    }

    fn closed(&mut self) -> Vec<(SessionNumber, CloseReason)> {
        let closed = |action| match action {
            FeedAction::Close { session, reason } => Some((session, reason)),
            FeedAction::Send { .. } => None,
        };
        self.feed.actions().into_iter().filter_map(closed).collect()
    }

    fn sent(&mut self) -> Vec<ControlMessage<TestRecord>> {
        let sent = |action| match action {
            FeedAction::Send { message, .. } => Some(message),
            FeedAction::Close { .. } => None,
        };
        self.feed.actions().into_iter().filter_map(sent).collect()
    }
}

/// What revisions were sent: from where to where, and how many records.
fn spans(messages: &[ControlMessage<TestRecord>]) -> Vec<(u64, u64, usize)> {
    let span = |message: &ControlMessage<TestRecord>| match message {
        ControlMessage::Changes { after, upto, records } => (after.revision, *upto, records.len()),
        other => panic!("not changes: {other:?}"),
    };
    messages.iter().map(span).collect()
}

#[test]
fn changes_are_sent_up_to_the_window_and_go_on_with_the_acknowledgement() {
    let mut bench = Bench::new(FeedLimits { window: 2, ..FeedLimits::default() });
    bench.greet(1, Some(START), 0.0);
    assert_eq!(bench.sent(), [ControlMessage::Heartbeat { position: START }]);
    for key in ["a", "b", "c", "d", "c"] {
        bench.change(key, 1.0);
    }
    assert_eq!(spans(&bench.sent()), [(0, 1, 1), (1, 2, 1)]);
    bench.applied(SESSION, 1, 2.0);
    // The first change of "c" is superseded.
    assert_eq!(spans(&bench.sent()), [(2, 4, 1)]);
    bench.applied(SESSION, 4, 3.0);
    assert_eq!(spans(&bench.sent()), [(4, 5, 1)]);
    let lag = bench.feed.oldest(4.0).expect("follows");
    assert_eq!((lag.stage, lag.applied, lag.behind), (FollowerStage::Following, Some(START.at(4)), 1));
    assert_eq!(bench.feed.laggards(2.0, 4.0).len(), 1);
    bench.applied(SESSION, 5, 4.0);
    assert_eq!((bench.feed.laggards(2.0, 400.0).len(), bench.sent().len()), (0, 0));
}

#[test]
fn changes_of_many_bytes_are_held_back_as_well() {
    let mut bench = Bench::new(FeedLimits { window_bytes: 100, page_bytes: 60, ..FeedLimits::default() });
    bench.greet(1, Some(START), 0.0);
    bench.sent();
    for key in ["a", "b", "c", "d"] {
        bench.change(key, 1.0);
    }
    assert_eq!(spans(&bench.sent()), [(0, 1, 1), (1, 2, 1)]);
}

#[test]
fn a_position_that_is_compacted_unknown_or_ahead_is_compared() {
    let mut bench = Bench::new(FeedLimits { history: 2, ..FeedLimits::default() });
    for key in ["a", "b", "c"] {
        bench.change(key, 0.0);
    }
    let foreign = Position { incarnation: 8, revision: 3 };
    for (session, position) in [None, Some(START), Some(START.at(4)), Some(foreign)].into_iter().enumerate() {
        bench.greet(session as u64, position, 1.0);
        assert_eq!(bench.sent(), [ControlMessage::SendBuckets], "{position:?}");
    }
    bench.greet(5, Some(START.at(1)), 1.0);
    assert_eq!(spans(&bench.sent()), [(1, 3, 2)]);
}

#[test]
fn a_copy_that_outlasts_the_history_takes_another_round_of_what_changed() {
    let mut bench = Bench::new(FeedLimits { history: 1, page_bytes: 100, ..FeedLimits::default() });
    bench.store.fill(0, 3, 1, 10);
    bench.greet(1, None, 0.0);
    bench.empty_buckets(1, 0.0);
    bench.change("x", 0.0);
    bench.change("y", 0.0);
    let mut keys = Vec::new();
    let mut position = None;
    for _ in 0..20 {
        for message in bench.sent() {
            if let ControlMessage::Difference { records, last } = message {
                keys.extend(records.into_iter().map(|record| record.key.to_string()));
                position = last;
            }
        }
        if position.is_some() {
            break;
        }
        bench.say(SESSION, FollowerMessage::NextPage, 1.0);
    }
    assert_eq!(position, Some(START.at(2)));
    for key in ["key/0", "key/1", "key/2", "x", "y"] {
        assert!(keys.iter().any(|sent| sent == key), "{key} of {keys:?}");
    }
}

#[test]
fn copies_wait_for_a_place_and_those_over_the_bound_come_again() {
    let limits = FeedLimits { full_copies: 1, waiting_copies: 1, page_bytes: 100, ..FeedLimits::default() };
    let mut bench = Bench::new(limits);
    bench.store.fill(0, 5, 1, 10);
    for session in 1..=3 {
        bench.greet(session, None, 0.0);
        bench.empty_buckets(session, 0.0);
    }
    assert_eq!(bench.feed.copies(), (1, 1));
    assert_eq!(bench.closed(), [(SessionNumber(3), CloseReason::Busy)]);
    // Who has the place and doesn't go on loses it.
    for now in [2_000.0, 4_000.0, 6_000.0, 8_000.0] {
        bench.applied(SESSION, 0, now);
        bench.applied(SessionNumber(2), 0, now);
        bench.feed.tick(&bench.store, now);
    }
    assert_eq!(bench.closed(), []);
    bench.feed.tick(&bench.store, 10_000.0);
    assert_eq!(bench.closed(), [(SESSION, CloseReason::Stalled)]);
    assert_eq!(bench.feed.copies(), (1, 0));
}

#[test]
fn a_copy_ends_with_the_acknowledgement_of_its_last_page() {
    let mut bench = Bench::new(FeedLimits { history: 1, page_bytes: 100, ..FeedLimits::default() });
    for key in ["a", "b", "c"] {
        bench.change(key, 0.0);
    }
    bench.greet(1, Some(START), 0.0);
    bench.empty_buckets(1, 0.0);
    while !matches!(bench.sent().last(), Some(ControlMessage::Difference { last: Some(_), .. })) {
        bench.say(SESSION, FollowerMessage::NextPage, 1.0);
    }
    // The answer to a heartbeat tells what it held before.
    bench.applied(SESSION, 0, 2.0);
    assert_eq!(bench.feed.copies(), (1, 0));
    bench.applied(SESSION, 3, 3.0);
    assert_eq!(bench.feed.copies(), (0, 0));
}

#[test]
fn followers_over_the_bound_come_again() {
    let mut bench = Bench::new(FeedLimits { followers: 1, ..FeedLimits::default() });
    bench.feed.connected(SESSION, 0.0);
    bench.feed.connected(SessionNumber(2), 0.0);
    let busy = ControlMessage::Busy { retry_after_ms: 1000 };
    let session = SessionNumber(2);
    let actions = [
        FeedAction::Send { session, message: busy },
        FeedAction::Close { session, reason: CloseReason::Busy },
    ];
    assert_eq!(bench.feed.actions(), actions);
}

#[test]
fn heartbeats_go_out_and_who_is_silent_is_closed() {
    let mut bench = Bench::new(FeedLimits::default());
    bench.greet(1, Some(START), 0.0);
    bench.sent();
    assert_eq!(bench.feed.next_wakeup(), Some(1_500.0));
    bench.feed.tick(&bench.store, 1_499.0);
    assert_eq!(bench.sent(), []);
    bench.feed.tick(&bench.store, 1_500.0);
    assert_eq!(bench.sent(), [ControlMessage::Heartbeat { position: START }]);
    bench.applied(SESSION, 0, 1_501.0);
    bench.feed.tick(&bench.store, 5_000.0);
    assert_eq!(bench.closed(), []);
    bench.feed.tick(&bench.store, 5_001.0);
    assert_eq!(bench.closed(), [(SESSION, CloseReason::Silent)]);
    assert_eq!((bench.feed.next_wakeup(), bench.feed.connections()), (None, 0));
}

#[test]
fn a_new_connection_takes_the_place_of_the_older_one() {
    let mut bench = Bench::new(FeedLimits::default());
    bench.greet(1, Some(START), 0.0);
    bench.feed.connected(SessionNumber(2), 0.0);
    let hello = FollowerMessage::Hello { node: "invoker-1".into(), position: Some(START) };
    bench.say(SessionNumber(2), hello, 0.0);
    assert_eq!(bench.closed(), [(SESSION, CloseReason::Replaced)]);
}

#[test]
fn what_does_not_fit_ends_the_connection() {
    let hello = FollowerMessage::Hello { node: "invoker-1".into(), position: None };
    let ahead = FollowerMessage::Applied { position: Some(START.at(1)) };
    let hashes = TestStore::default().bucket_hashes();
    for message in [hello, ahead, FollowerMessage::NextPage, FollowerMessage::Buckets { hashes }] {
        let mut bench = Bench::new(FeedLimits::default());
        bench.greet(1, Some(START), 0.0);
        bench.say(SESSION, message.clone(), 0.0);
        assert_eq!(bench.closed(), [(SESSION, CloseReason::Unexpected)], "{message:?}");
    }
    let mut bench = Bench::new(FeedLimits::default());
    bench.feed.connected(SESSION, 0.0);
    let hello = FollowerMessage::Hello { node: "n".repeat(257), position: None };
    bench.say(SESSION, hello, 0.0);
    assert_eq!(bench.closed(), [(SESSION, CloseReason::Unexpected)]);
}
