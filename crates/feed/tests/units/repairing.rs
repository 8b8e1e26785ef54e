use crate::support::{TestRecord, TestStore};
use corkbay_feed::{
    BatchNumber, BucketNumber, ConnectionNumber, ControlChoice, ControlMessage, ControlNode, Feed,
    FeedAction, FeedLimits, FeedRecord, Follower, FollowerAction, FollowerLimits, FollowerMessage,
    GreaterRecord, LeftOutRecords, Ms, Position, Progress, ProgressUpdate, RecordHashes, Records,
    SessionNumber,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const POSITION: Position = Position { incarnation: 3, revision: 5 };
const ROOM: usize = 10_000;
const KEY: &str = "a";
const SESSION: SessionNumber = SessionNumber(1);

fn bucket() -> BucketNumber {
    BucketNumber::of(KEY)
}

/// A follower that left out a record with the key [`KEY`].
struct Fixture {
    follower: Follower<TestRecord, GreaterRecord>,
    store: TestStore,
    rng: SmallRng,
    batches: u64,
}

impl Fixture {
    fn new(is_repair_offered: bool) -> Self {
        let controls = [ControlNode { address: "127.0.0.1:1".into(), zone: None }];
        let choice = ControlChoice::new("n", None, &controls).expect("has control nodes");
        let mut progress = Progress::from(POSITION);
        progress.left_out.insert(bucket());
        let follower = Follower::new("n", FollowerLimits::default(), choice, GreaterRecord, Some(progress));
        let rng = SmallRng::seed_from_u64(1);
        let mut fixture = Fixture { follower, store: TestStore::default(), rng, batches: 0 };
        fixture.follower.tick(0.0, &mut fixture.rng);
        fixture.follower.connected(ConnectionNumber(1), &fixture.store, 0.0);
        fixture.receive(ControlMessage::Heartbeat { position: POSITION }, 0.0);
        if is_repair_offered {
            fixture.receive(ControlMessage::OfferRepair, 0.0);
        }
        fixture.follower.actions();
        fixture
    }

    fn receive(&mut self, message: ControlMessage<TestRecord>, now: Ms) {
        self.follower.message(ConnectionNumber(1), message, &self.store, now, &mut self.rng);
    }

    /// The request that the follower sends when it has so much room.
    fn request(&mut self, room: usize, now: Ms) -> Option<FollowerMessage> {
        self.follower.report_room(room, &self.store, now);
        self.follower.actions().into_iter().find_map(|action| match action {
            FollowerAction::Send { message, .. } => Some(message),
            _ => None,
        })
    }

    /// Receives an answer without records and writes it.
    fn answer(&mut self, skipped: usize, now: Ms) {
        self.receive(ControlMessage::Missing { bucket: bucket(), records: vec![], skipped }, now);
        let actions = self.follower.actions();
        let is_complete = skipped == 0;
        let update = ProgressUpdate::Repaired { bucket: bucket(), is_complete };
        assert!(matches!(&actions[..], [FollowerAction::Persist { update: found, .. }] if *found == update));
        self.batches += 1;
        self.follower.persisted(BatchNumber(self.batches), LeftOutRecords::default(), &self.store, now);
    }
}

/// Guards against messages that a control node of an earlier version doesn't know, and against requests for records that
/// there is no room for.
#[test]
fn left_out_records_are_requested_only_where_offered_and_with_room() {
    assert_eq!(Fixture::new(false).request(ROOM, 0.0), None);
    let mut fixture = Fixture::new(true);
    fixture.store.put(TestRecord::new("held", 1, 0, None));
    assert_eq!(fixture.request(100, 0.0), None);
    let request =
        FollowerMessage::Repair { bucket: bucket(), held: RecordHashes::default(), max_bytes: ROOM as u64 };
    assert_eq!(fixture.request(ROOM, 0.0), Some(request));
    assert_eq!(fixture.request(2 * ROOM, 0.0), None, "one request at a time");
    fixture.answer(0, 1.0);
    assert!(fixture.follower.progress().is_some_and(|progress| progress.left_out.is_empty()));
    assert_eq!(fixture.request(ROOM, 2.0), None, "nothing is left out");
}

/// Guards against a full follower that asks again and again, and against room that is not used.
#[test]
fn requests_that_lead_to_nothing_are_repeated_with_growing_pauses_unless_there_is_more_room() {
    let mut fixture = Fixture::new(true);
    let (mut now, mut pauses) = (0.0, Vec::new());
    for _ in 0..8 {
        let asked = now;
        assert!(fixture.request(ROOM, now).is_some());
        fixture.answer(1, now);
        while fixture.request(ROOM, now).is_none() {
            now += 500.0;
        }
        pauses.push(now - asked);
        fixture.answer(1, now);
        now += 60_000.0;
    }
    assert_eq!(pauses[..3], [1000.0, 4000.0, 16_000.0]);
    assert_eq!(pauses[7], 60_000.0);
    assert!(fixture.request(ROOM, now).is_some());
    fixture.answer(1, now);
    assert_eq!(fixture.request(ROOM + 100, now), None);
    assert!(fixture.request(2 * ROOM, now).is_some(), "there is more room");
}

/// Guards against a control node that closes the connection at each request and is asked again at once.
#[test]
fn a_request_that_ends_the_connection_counts_as_one_that_led_to_nothing() {
    let mut fixture = Fixture::new(true);
    assert!(fixture.request(ROOM, 0.0).is_some());
    fixture.follower.disconnected(ConnectionNumber(1), 0.0, &mut fixture.rng);
    let mut now = 0.0;
    while !matches!(fixture.follower.actions()[..], [.., FollowerAction::Connect { .. }]) {
        now += 1.0;
        fixture.follower.tick(now, &mut fixture.rng);
    }
    fixture.follower.connected(ConnectionNumber(2), &fixture.store, now);
    for message in [ControlMessage::Heartbeat { position: POSITION }, ControlMessage::OfferRepair] {
        fixture.follower.message(ConnectionNumber(2), message, &fixture.store, now, &mut fixture.rng);
    }
    fixture.follower.actions();
    assert!(now < 900.0 && fixture.request(ROOM, 900.0).is_none());
    assert!(fixture.request(ROOM, 1000.0).is_some());
}

/// A control node whose store has three records of one bucket, and a connected follower that left out some.
fn control() -> (Feed<TestRecord>, TestStore, Vec<TestRecord>) {
    let keys = (0..).map(|number| format!("key/{number}")).filter(|key| BucketNumber::of(key) == bucket());
    let record = |key: String| TestRecord::new(&key, 1, 0, Some("value"));
    let records: Vec<TestRecord> = keys.take(3).map(record).collect();
    let mut store = TestStore::default();
    records.iter().for_each(|record| store.put(record.clone()));
    let mut feed = Feed::new(FeedLimits::default(), POSITION.at(0), 0.0);
    feed.connected(SESSION, 0.0);
    let hello = FollowerMessage::Hello { node: "n".into(), position: Some(POSITION.at(0)) };
    feed.message(SESSION, hello, &store, 0.0);
    feed.actions();
    (feed, store, records)
}

fn sent(feed: &mut Feed<TestRecord>) -> Vec<ControlMessage<TestRecord>> {
    let sent = |action| match action {
        FeedAction::Send { message, .. } => Some(message),
        FeedAction::Close { reason, .. } => panic!("closed: {reason:?}"),
    };
    feed.actions().into_iter().filter_map(sent).collect()
}

/// Guards against a copy of everything where a follower lacks one record, and against more records than it has room for.
#[test]
fn a_control_node_sends_what_is_lacking_and_fits() {
    let (mut feed, store, records) = control();
    for left_out_buckets in [0, 1, 1] {
        let applied = FollowerMessage::Applied { position: Some(POSITION.at(0)), left_out_buckets };
        feed.message(SESSION, applied, &store, 0.0);
    }
    assert_eq!(sent(&mut feed), [ControlMessage::OfferRepair], "once");
    assert_eq!(feed.followers(0.0)[0].left_out_buckets, 1);
    let size = records[1].size() as u64;
    for (room, expected) in [(size - 1, 0), (size, 1), (2 * size, 2), (u64::MAX, 2)] {
        let held = [records[0].hash()].into_iter().collect();
        let request = FollowerMessage::Repair { bucket: bucket(), held, max_bytes: room };
        feed.message(SESSION, request, &store, 0.0);
        let answer = sent(&mut feed);
        let [ControlMessage::Missing { records: missing, skipped, .. }] = &answer[..] else {
            panic!("{answer:?}")
        };
        assert_eq!((missing.len(), *skipped), (expected, 2 - expected), "room for {room} bytes");
        assert!(missing.iter().all(|record| *record != records[0]));
    }
    assert_eq!((feed.counters().repairs, feed.counters().comparisons), (4, 0));
}

/// Guards against a repair that breaks a comparison that begins at the same time.
#[test]
fn a_request_that_crosses_a_comparison_is_ignored() {
    let limits = FeedLimits { history: 1, ..FeedLimits::default() };
    let (_, mut store, _) = control();
    let mut feed = Feed::new(limits, POSITION.at(0), 0.0);
    feed.connected(SESSION, 0.0);
    let hello = FollowerMessage::Hello { node: "n".into(), position: None };
    feed.message(SESSION, hello, &store, 0.0);
    assert_eq!(sent(&mut feed), [ControlMessage::SendBuckets]);
    let request =
        FollowerMessage::Repair { bucket: bucket(), held: RecordHashes::default(), max_bytes: u64::MAX };
    feed.message(SESSION, request, &store, 0.0);
    assert_eq!(sent(&mut feed), []);
    store.put(TestRecord::new("other", 1, 0, None));
    let hashes = store.bucket_hashes();
    feed.message(SESSION, FollowerMessage::Buckets { hashes }, &store, 0.0);
    assert_eq!(sent(&mut feed), [ControlMessage::Difference { records: vec![], last: Some(POSITION.at(0)) }]);
}
