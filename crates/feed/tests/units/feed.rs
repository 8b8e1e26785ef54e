use crate::support::{TestRecord, TestStore};
use corkbay_feed::{
    CloseReason, ControlMessage, Feed, FeedAction, FeedLimits, FollowerMessage, FollowerStage, Position,
    Records, SessionNumber,
};

const START: Position = Position { incarnation: 9, revision: 0 };
const SESSION: SessionNumber = SessionNumber(1);

struct Fixture {
    feed: Feed<TestRecord>,
    store: TestStore,
    version: u64,
}

impl Fixture {
    fn new(limits: FeedLimits) -> Self {
        Fixture { feed: Feed::new(limits, START, 0.0), store: TestStore::default(), version: 0 }
    }

    fn change(&mut self, key: &str, now: f64) {
        self.version += 1;
        let record = TestRecord::new(key, self.version, 1, Some("value"));
        self.store.put(record.clone());
        self.feed.changed(&record.key, now);
        self.feed.tick(&self.store, now);
    }

    fn receive(&mut self, session: SessionNumber, message: FollowerMessage, now: f64) {
        self.feed.message(session, message, &self.store, now);
    }

    fn connect(&mut self, session: u64, position: Option<Position>, now: f64) {
        self.feed.connected(SessionNumber(session), now);
        let node = format!("invoker-{session}");
        self.receive(SessionNumber(session), FollowerMessage::Hello { node, position }, now);
    }

    fn acknowledge(&mut self, session: SessionNumber, revision: u64, now: f64) {
        self.receive(
            session,
            FollowerMessage::Applied { position: Some(START.at(revision)), left_out_buckets: 0 },
            now,
        );
    }

    fn send_empty_buckets(&mut self, session: u64, now: f64) {
        let hashes = TestStore::default().bucket_hashes();
        self.receive(SessionNumber(session), FollowerMessage::Buckets { hashes }, now);
    }

    fn take_closed(&mut self) -> Vec<(SessionNumber, CloseReason)> {
        let closed = |action| match action {
            FeedAction::Close { session, reason } => Some((session, reason)),
            FeedAction::Send { .. } => None,
        };
        self.feed.actions().into_iter().filter_map(closed).collect()
    }

    fn take_sent(&mut self) -> Vec<ControlMessage<TestRecord>> {
        let sent = |action| match action {
            FeedAction::Send { message, .. } => Some(message),
            FeedAction::Close { .. } => None,
        };
        self.feed.actions().into_iter().filter_map(sent).collect()
    }
}

/// For each message of changes: the revision that it continues from, the one that it leads to, and its number of
/// records.
fn revision_ranges(messages: &[ControlMessage<TestRecord>]) -> Vec<(u64, u64, usize)> {
    let span = |message: &ControlMessage<TestRecord>| match message {
        ControlMessage::Changes { after, upto, records } => (after.revision, *upto, records.len()),
        other => panic!("expected changes, got {other:?}"),
    };
    messages.iter().map(span).collect()
}

#[test]
fn changes_are_sent_up_to_the_window_and_go_on_with_the_acknowledgement() {
    let mut fixture = Fixture::new(FeedLimits { window: 2, ..FeedLimits::default() });
    fixture.connect(1, Some(START), 0.0);
    assert_eq!(fixture.take_sent(), [ControlMessage::Heartbeat { position: START }]);
    for key in ["a", "b", "c", "d", "c"] {
        fixture.change(key, 1.0);
    }
    assert_eq!(revision_ranges(&fixture.take_sent()), [(0, 1, 1), (1, 2, 1)]);
    fixture.acknowledge(SESSION, 1, 2.0);
    // The first change of "c" is superseded.
    assert_eq!(revision_ranges(&fixture.take_sent()), [(2, 4, 1)]);
    fixture.acknowledge(SESSION, 4, 3.0);
    assert_eq!(revision_ranges(&fixture.take_sent()), [(4, 5, 1)]);
    let lag = fixture.feed.oldest(4.0).expect("follows");
    assert_eq!((lag.stage, lag.applied, lag.behind), (FollowerStage::Following, Some(START.at(4)), 1));
    assert_eq!(fixture.feed.laggards(2.0, 4.0).len(), 1);
    fixture.acknowledge(SESSION, 5, 4.0);
    assert_eq!((fixture.feed.laggards(2.0, 400.0).len(), fixture.take_sent().len()), (0, 0));
}

#[test]
fn changes_of_many_bytes_are_held_back_as_well() {
    let mut fixture = Fixture::new(FeedLimits { window_bytes: 100, page_bytes: 60, ..FeedLimits::default() });
    fixture.connect(1, Some(START), 0.0);
    fixture.take_sent();
    for key in ["a", "b", "c", "d"] {
        fixture.change(key, 1.0);
    }
    assert_eq!(revision_ranges(&fixture.take_sent()), [(0, 1, 1), (1, 2, 1)]);
}

#[test]
fn a_position_that_is_compacted_unknown_or_ahead_is_compared() {
    let mut fixture = Fixture::new(FeedLimits { history: 2, ..FeedLimits::default() });
    for key in ["a", "b", "c"] {
        fixture.change(key, 0.0);
    }
    let foreign = Position { incarnation: 8, revision: 3 };
    for (session, position) in [None, Some(START), Some(START.at(4)), Some(foreign)].into_iter().enumerate() {
        fixture.connect(session as u64, position, 1.0);
        assert_eq!(fixture.take_sent(), [ControlMessage::SendBuckets], "{position:?}");
    }
    fixture.connect(5, Some(START.at(1)), 1.0);
    assert_eq!(revision_ranges(&fixture.take_sent()), [(1, 3, 2)]);
}

#[test]
fn a_copy_that_outlasts_the_history_takes_another_round_of_what_changed() {
    let mut fixture = Fixture::new(FeedLimits { history: 1, page_bytes: 100, ..FeedLimits::default() });
    fixture.store.fill(0, 3, 1, 10);
    fixture.connect(1, None, 0.0);
    fixture.send_empty_buckets(1, 0.0);
    fixture.change("x", 0.0);
    fixture.change("y", 0.0);
    let mut keys = Vec::new();
    let mut position = None;
    for _ in 0..20 {
        for message in fixture.take_sent() {
            if let ControlMessage::Difference { records, last } = message {
                keys.extend(records.into_iter().map(|record| record.key.to_string()));
                position = last;
            }
        }
        if position.is_some() {
            break;
        }
        fixture.receive(SESSION, FollowerMessage::NextPage, 1.0);
    }
    assert_eq!(position, Some(START.at(2)));
    for key in ["key/0", "key/1", "key/2", "x", "y"] {
        assert!(keys.iter().any(|sent| sent == key), "{key} of {keys:?}");
    }
}

#[test]
fn copies_wait_for_a_slot_and_those_over_the_limit_are_rejected() {
    let limits = FeedLimits { full_copies: 1, waiting_copies: 1, page_bytes: 100, ..FeedLimits::default() };
    let mut fixture = Fixture::new(limits);
    fixture.store.fill(0, 5, 1, 10);
    for session in 1..=3 {
        fixture.connect(session, None, 0.0);
        fixture.send_empty_buckets(session, 0.0);
    }
    assert_eq!(fixture.feed.copies(), (1, 1));
    assert_eq!(fixture.take_closed(), [(SessionNumber(3), CloseReason::Busy)]);
    // A session that holds the slot and doesn't confirm its page loses it.
    for now in [2_000.0, 4_000.0, 6_000.0, 8_000.0] {
        fixture.acknowledge(SESSION, 0, now);
        fixture.acknowledge(SessionNumber(2), 0, now);
        fixture.feed.tick(&fixture.store, now);
    }
    assert_eq!(fixture.take_closed(), []);
    fixture.feed.tick(&fixture.store, 10_000.0);
    assert_eq!(fixture.take_closed(), [(SESSION, CloseReason::Stalled)]);
    assert_eq!(fixture.feed.copies(), (1, 0));
}

#[test]
fn a_copy_ends_with_the_acknowledgement_of_its_last_page() {
    let mut fixture = Fixture::new(FeedLimits { history: 1, page_bytes: 100, ..FeedLimits::default() });
    for key in ["a", "b", "c"] {
        fixture.change(key, 0.0);
    }
    fixture.connect(1, Some(START), 0.0);
    fixture.send_empty_buckets(1, 0.0);
    while !matches!(fixture.take_sent().last(), Some(ControlMessage::Difference { last: Some(_), .. })) {
        fixture.receive(SESSION, FollowerMessage::NextPage, 1.0);
    }
    // The answer to a heartbeat acknowledges the position from before the copy.
    fixture.acknowledge(SESSION, 0, 2.0);
    assert_eq!(fixture.feed.copies(), (1, 0));
    fixture.acknowledge(SESSION, 3, 3.0);
    assert_eq!(fixture.feed.copies(), (0, 0));
}

#[test]
fn followers_over_the_limit_are_told_to_reconnect_later() {
    let mut fixture = Fixture::new(FeedLimits { followers: 1, ..FeedLimits::default() });
    fixture.feed.connected(SESSION, 0.0);
    fixture.feed.connected(SessionNumber(2), 0.0);
    let busy = ControlMessage::Busy { retry_after_ms: 1000 };
    let session = SessionNumber(2);
    let actions = [
        FeedAction::Send { session, message: busy },
        FeedAction::Close { session, reason: CloseReason::Busy },
    ];
    assert_eq!(fixture.feed.actions(), actions);
}

#[test]
fn heartbeats_are_sent_and_silent_followers_are_disconnected() {
    let mut fixture = Fixture::new(FeedLimits::default());
    fixture.connect(1, Some(START), 0.0);
    fixture.take_sent();
    assert_eq!(fixture.feed.next_wakeup(), Some(1_500.0));
    fixture.feed.tick(&fixture.store, 1_499.0);
    assert_eq!(fixture.take_sent(), []);
    fixture.feed.tick(&fixture.store, 1_500.0);
    assert_eq!(fixture.take_sent(), [ControlMessage::Heartbeat { position: START }]);
    fixture.acknowledge(SESSION, 0, 1_501.0);
    fixture.feed.tick(&fixture.store, 5_000.0);
    assert_eq!(fixture.take_closed(), []);
    fixture.feed.tick(&fixture.store, 5_001.0);
    assert_eq!(fixture.take_closed(), [(SESSION, CloseReason::Silent)]);
    assert_eq!((fixture.feed.next_wakeup(), fixture.feed.connections()), (None, 0));
}

#[test]
fn a_new_connection_takes_the_place_of_the_older_one() {
    let mut fixture = Fixture::new(FeedLimits::default());
    fixture.connect(1, Some(START), 0.0);
    fixture.feed.connected(SessionNumber(2), 0.0);
    let hello = FollowerMessage::Hello { node: "invoker-1".into(), position: Some(START) };
    fixture.receive(SessionNumber(2), hello, 0.0);
    assert_eq!(fixture.take_closed(), [(SESSION, CloseReason::Replaced)]);
}

#[test]
fn messages_that_violate_the_protocol_end_the_connection() {
    let hello = FollowerMessage::Hello { node: "invoker-1".into(), position: None };
    let ahead = FollowerMessage::Applied { position: Some(START.at(1)), left_out_buckets: 0 };
    let hashes = TestStore::default().bucket_hashes();
    for message in [hello, ahead, FollowerMessage::NextPage, FollowerMessage::Buckets { hashes }] {
        let mut fixture = Fixture::new(FeedLimits::default());
        fixture.connect(1, Some(START), 0.0);
        fixture.receive(SESSION, message.clone(), 0.0);
        assert_eq!(fixture.take_closed(), [(SESSION, CloseReason::Unexpected)], "{message:?}");
    }
    let mut fixture = Fixture::new(FeedLimits::default());
    fixture.feed.connected(SESSION, 0.0);
    let hello = FollowerMessage::Hello { node: "n".repeat(257), position: None };
    fixture.receive(SESSION, hello, 0.0);
    assert_eq!(fixture.take_closed(), [(SESSION, CloseReason::Unexpected)]);
}
