use crate::support::{TestRecord, TestStore};
use corkbay_feed::{
    BatchNumber, ConnectionNumber, ControlChoice, ControlMessage, ControlNode, ControlNumber, Follower,
    FollowerAction, FollowerLimits, FollowerMessage, FollowerState, GreaterRecord, LeftOutRecords, Position,
    Progress, Records,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const POSITION: Position = Position { incarnation: 3, revision: 5 };

struct Fixture {
    follower: Follower<TestRecord, GreaterRecord>,
    store: TestStore,
    rng: SmallRng,
}

impl Fixture {
    /// A follower that has connected to the first of two control nodes.
    fn new(position: Option<Position>) -> Self {
        let control = |port: u16| ControlNode { address: format!("127.0.0.1:{port}"), zone: None };
        let choice = ControlChoice::new("n", None, &[control(1), control(2)]).expect("has control nodes");
        let follower = Follower::new(
            "n",
            FollowerLimits::default(),
            choice,
            GreaterRecord,
            position.map(Progress::from),
        );
        let mut fixture = Fixture { follower, store: TestStore::default(), rng: SmallRng::seed_from_u64(1) };
        fixture.follower.tick(0.0, &mut fixture.rng);
        fixture.connected();
        fixture
    }

    /// A follower that follows from the position `POSITION`.
    fn following() -> Self {
        let mut fixture = Fixture::new(Some(POSITION));
        fixture.receive(ControlMessage::Heartbeat { position: POSITION }, 0.0);
        fixture.sent_messages();
        fixture
    }

    fn connected(&mut self) -> ControlNumber {
        let actions = self.follower.actions();
        let Some(FollowerAction::Connect { connection, control }) = actions.last() else {
            panic!("expected a connection attempt: {actions:?}")
        };
        self.follower.connected(*connection, &self.store, 0.0);
        *control
    }

    fn connection(&mut self) -> ConnectionNumber {
        ConnectionNumber(1)
    }

    fn receive(&mut self, message: ControlMessage<TestRecord>, now: f64) {
        let connection = self.connection();
        self.follower.message(connection, message, &self.store, now, &mut self.rng);
    }

    fn changes(&mut self, after: Position, upto: u64, records: &[TestRecord]) {
        self.receive(ControlMessage::Changes { after, upto, records: records.to_vec() }, 0.0);
    }

    fn persisted(&mut self, batch: u64) {
        self.follower.persisted(BatchNumber(batch), LeftOutRecords::default(), &self.store, 0.0);
    }

    fn sent_messages(&mut self) -> Vec<FollowerMessage> {
        let sent_messages = |action| match action {
            FollowerAction::Send { message, .. } => Some(message),
            _ => None,
        };
        self.follower.actions().into_iter().filter_map(sent_messages).collect()
    }

    fn batches(&mut self) -> Vec<(Vec<TestRecord>, Option<Position>)> {
        let batches = |action| match action {
            FollowerAction::Persist { records, update, .. } => Some((records, update.position())),
            _ => None,
        };
        self.follower.actions().into_iter().filter_map(batches).collect()
    }

    fn has_disconnected(&mut self) -> bool {
        let left = FollowerAction::Disconnect { connection: ConnectionNumber(1) };
        self.follower.actions().contains(&left)
    }
}

fn record(key: &str, version: u64) -> TestRecord {
    TestRecord::new(key, version, 1, None)
}

fn applied(position: Position) -> FollowerMessage {
    FollowerMessage::Applied { position: Some(position), left_out_buckets: 0 }
}

#[test]
fn a_change_is_acknowledged_only_once_it_is_on_disk() {
    let mut fixture = Fixture::following();
    fixture.changes(POSITION, 6, &[record("a", 1)]);
    fixture.changes(POSITION.at(6), 8, &[record("b", 1)]);
    let first = (vec![record("a", 1)], Some(POSITION.at(6)));
    assert_eq!(fixture.batches(), [first, (vec![record("b", 1)], Some(POSITION.at(8)))]);
    // The answer to a heartbeat doesn't acknowledge more than what is on disk either.
    fixture.receive(ControlMessage::Heartbeat { position: POSITION.at(8) }, 0.0);
    assert_eq!(fixture.sent_messages(), [applied(POSITION)]);
    fixture.persisted(1);
    assert_eq!(fixture.sent_messages(), [applied(POSITION.at(6))]);
    fixture.persisted(2);
    assert_eq!(fixture.sent_messages(), [applied(POSITION.at(8))]);
    assert_eq!(fixture.follower.status().progress, Some(POSITION.at(8).into()));
}

#[test]
fn changes_that_do_not_continue_its_position_end_the_connection() {
    let foreign = Position { incarnation: 4, ..POSITION };
    for (after, upto) in [(POSITION.at(4), 6), (POSITION.at(6), 7), (foreign, 6), (POSITION, 5)] {
        let mut fixture = Fixture::following();
        fixture.changes(after, upto, &[record("a", 1)]);
        assert!(fixture.has_disconnected(), "{after:?} to {upto}");
    }
}

#[test]
fn heartbeats_of_another_incarnation_or_an_earlier_revision_end_the_connection() {
    for position in [POSITION.at(4), Position { incarnation: 4, ..POSITION }] {
        let mut fixture = Fixture::following();
        fixture.receive(ControlMessage::Heartbeat { position }, 0.0);
        assert!(fixture.has_disconnected(), "{position:?}");
    }
}

#[test]
fn records_that_are_not_greater_are_left_out() {
    let mut fixture = Fixture::following();
    fixture.store.put(record("a", 5));
    fixture.changes(POSITION, 6, &[record("a", 4), record("a", 5), record("b", 2)]);
    // Records in flight count as held.
    fixture.changes(POSITION.at(6), 7, &[record("b", 1), record("b", 2)]);
    let expected = [(vec![record("b", 2)], Some(POSITION.at(6))), (vec![], Some(POSITION.at(7)))];
    assert_eq!(fixture.batches(), expected);
}

#[test]
fn a_record_in_flight_counts_until_its_own_batch_is_on_disk() {
    let mut fixture = Fixture::following();
    fixture.changes(POSITION, 6, &[record("a", 2)]);
    fixture.changes(POSITION.at(6), 7, &[record("a", 3)]);
    fixture.batches();
    fixture.persisted(1);
    fixture.changes(POSITION.at(7), 8, &[record("a", 3)]);
    assert_eq!(fixture.batches(), [(vec![], Some(POSITION.at(8)))]);
}

#[test]
fn a_greeting_without_an_answer_is_given_up() {
    let mut fixture = Fixture::new(Some(POSITION));
    let unresponsive = fixture.follower.status().state.control();
    fixture.follower.tick(1_499.0, &mut fixture.rng);
    assert!(!fixture.has_disconnected());
    fixture.follower.tick(1_500.0, &mut fixture.rng);
    assert_ne!(Some(fixture.connected()), unresponsive);
}

#[test]
fn a_difference_is_confirmed_page_by_page() {
    let mut fixture = Fixture::new(None);
    assert_eq!(fixture.sent_messages(), [FollowerMessage::Hello { node: "n".into(), position: None }]);
    fixture.receive(ControlMessage::SendBuckets, 0.0);
    assert_eq!(fixture.sent_messages(), [FollowerMessage::Buckets { hashes: fixture.store.bucket_hashes() }]);
    fixture.receive(ControlMessage::Difference { records: vec![record("a", 1)], last: None }, 0.0);
    assert_eq!(fixture.sent_messages(), []);
    fixture.persisted(1);
    assert_eq!(fixture.sent_messages(), [FollowerMessage::NextPage]);
    fixture.receive(ControlMessage::Difference { records: vec![], last: Some(POSITION) }, 0.0);
    assert_eq!(fixture.sent_messages(), []);
    fixture.persisted(2);
    assert_eq!(fixture.sent_messages(), [applied(POSITION)]);
    assert!(matches!(fixture.follower.status().state, FollowerState::Following { .. }));
}

#[test]
fn buckets_and_greetings_wait_for_what_is_on_its_way_to_disk() {
    let mut fixture = Fixture::following();
    fixture.changes(POSITION, 6, &[record("a", 1)]);
    fixture.receive(ControlMessage::SendBuckets, 0.0);
    assert_eq!(fixture.sent_messages(), []);
    fixture.follower.disconnected(ConnectionNumber(1), 0.0, &mut fixture.rng);
    fixture.connected();
    assert_eq!(fixture.sent_messages(), []);
    fixture.persisted(1);
    let hello = FollowerMessage::Hello { node: "n".into(), position: Some(POSITION.at(6)) };
    assert_eq!(fixture.sent_messages(), [hello]);
}

#[test]
fn a_failed_write_reconnects_at_the_position_on_disk() {
    let mut fixture = Fixture::following();
    fixture.changes(POSITION, 6, &[record("a", 1)]);
    fixture.follower.persist_failed(0.0, &mut fixture.rng);
    fixture.connected();
    assert_eq!(
        fixture.sent_messages(),
        [FollowerMessage::Hello { node: "n".into(), position: Some(POSITION) }]
    );
}

#[test]
fn a_silent_control_node_is_left_for_another() {
    let mut fixture = Fixture::following();
    let timed_out = fixture.follower.status().state.control();
    fixture.receive(ControlMessage::Heartbeat { position: POSITION }, 1_000.0);
    assert_eq!(fixture.follower.next_wakeup(), 4_500.0);
    fixture.follower.tick(4_499.0, &mut fixture.rng);
    assert!(!fixture.has_disconnected());
    fixture.follower.tick(4_500.0, &mut fixture.rng);
    assert_ne!(Some(fixture.connected()), timed_out);
    // Late messages on the old connection are ignored.
    fixture.sent_messages();
    fixture.changes(POSITION, 6, &[record("a", 1)]);
    assert_eq!(fixture.batches(), []);
}

#[test]
fn a_busy_control_node_is_left_for_another() {
    let mut fixture = Fixture::new(None);
    let busy = fixture.follower.status().state.control();
    fixture.receive(ControlMessage::Busy { retry_after_ms: 1000 }, 0.0);
    assert_ne!(Some(fixture.connected()), busy);
}

#[test]
fn more_batches_than_its_bound_end_the_connection() {
    let mut fixture = Fixture::following();
    let most = FollowerLimits::default().pending_batches as u64;
    for revision in 5..5 + most {
        fixture.changes(POSITION.at(revision), revision + 1, &[]);
    }
    assert!(!fixture.has_disconnected());
    fixture.changes(POSITION.at(5 + most), 6 + most, &[]);
    assert!(fixture.has_disconnected());
}
