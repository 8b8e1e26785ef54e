use crate::support::{TestRecord, TestStore};
use corkbay_feed::{
    BatchNumber, ConnectionNumber, ControlChoice, ControlMessage, ControlNode, ControlNumber, Follower,
    FollowerAction, FollowerLimits, FollowerMessage, FollowerState, GreaterRecord, Position, Records,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const HERE: Position = Position { incarnation: 3, revision: 5 };

struct Bench {
    follower: Follower<TestRecord, GreaterRecord>,
    store: TestStore,
    rng: SmallRng,
}

impl Bench {
    /// A follower that has connected to the first of two control nodes.
    fn new(position: Option<Position>) -> Self {
        let control = |port: u16| ControlNode { address: format!("127.0.0.1:{port}"), zone: None };
        let choice = ControlChoice::new("n", None, &[control(1), control(2)]).expect("has control nodes");
        let follower = Follower::new("n", FollowerLimits::default(), choice, GreaterRecord, position);
        let mut bench = Bench { follower, store: TestStore::default(), rng: SmallRng::seed_from_u64(1) };
        bench.follower.tick(0.0, &mut bench.rng);
        bench.connected();
        bench
    }

    /// One that follows from a position.
    fn following() -> Self {
        let mut bench = Bench::new(Some(HERE));
        bench.hear(ControlMessage::Heartbeat { position: HERE }, 0.0);
        bench.said();
        bench
    }

    fn connected(&mut self) -> ControlNumber {
        let actions = self.follower.actions();
        let Some(FollowerAction::Connect { connection, control }) = actions.last() else {
            panic!("connects: {actions:?}")
        };
        self.follower.connected(*connection, &self.store, 0.0);
        *control
    }

    fn connection(&mut self) -> ConnectionNumber {
        ConnectionNumber(1)
    }

    fn hear(&mut self, message: ControlMessage<TestRecord>, now: f64) {
        let connection = self.connection();
        self.follower.message(connection, message, &self.store, now, &mut self.rng);
    }

    fn changes(&mut self, after: Position, upto: u64, records: &[TestRecord]) {
        self.hear(ControlMessage::Changes { after, upto, records: records.to_vec() }, 0.0);
    }

    fn persisted(&mut self, batch: u64) {
        self.follower.persisted(BatchNumber(batch), &self.store, 0.0);
    }

    fn said(&mut self) -> Vec<FollowerMessage> {
        let said = |action| match action {
            FollowerAction::Send { message, .. } => Some(message),
            _ => None,
        };
        self.follower.actions().into_iter().filter_map(said).collect()
    }

    fn batches(&mut self) -> Vec<(Vec<TestRecord>, Option<Position>)> {
        let batches = |action| match action {
            FollowerAction::Persist { records, position, .. } => Some((records, position)),
            _ => None,
        };
        self.follower.actions().into_iter().filter_map(batches).collect()
    }

    fn has_left(&mut self) -> bool {
        let left = FollowerAction::Disconnect { connection: ConnectionNumber(1) };
        self.follower.actions().contains(&left)
    }
}

fn record(key: &str, version: u64) -> TestRecord {
    TestRecord::new(key, version, 1, None)
}

fn applied(position: Position) -> FollowerMessage {
    FollowerMessage::Applied { position: Some(position) }
}

#[test]
fn a_change_is_acknowledged_only_once_it_is_on_disk() {
    let mut bench = Bench::following();
    bench.changes(HERE, 6, &[record("a", 1)]);
    bench.changes(HERE.at(6), 8, &[record("b", 1)]);
    let first = (vec![record("a", 1)], Some(HERE.at(6)));
    assert_eq!(bench.batches(), [first, (vec![record("b", 1)], Some(HERE.at(8)))]);
    // Its answer to a heartbeat claims no more either.
    bench.hear(ControlMessage::Heartbeat { position: HERE.at(8) }, 0.0);
    assert_eq!(bench.said(), [applied(HERE)]);
    bench.persisted(1);
    assert_eq!(bench.said(), [applied(HERE.at(6))]);
    bench.persisted(2);
    assert_eq!(bench.said(), [applied(HERE.at(8))]);
    assert_eq!(bench.follower.status().position, Some(HERE.at(8)));
}

#[test]
fn changes_that_do_not_continue_its_position_end_the_connection() {
    let foreign = Position { incarnation: 4, ..HERE };
    for (after, upto) in [(HERE.at(4), 6), (HERE.at(6), 7), (foreign, 6), (HERE, 5)] {
        let mut bench = Bench::following();
        bench.changes(after, upto, &[record("a", 1)]);
        assert!(bench.has_left(), "{after:?} to {upto}");
    }
}

#[test]
fn heartbeats_of_another_numbering_or_from_before_end_the_connection() {
    for position in [HERE.at(4), Position { incarnation: 4, ..HERE }] {
        let mut bench = Bench::following();
        bench.hear(ControlMessage::Heartbeat { position }, 0.0);
        assert!(bench.has_left(), "{position:?}");
    }
}

#[test]
fn records_that_are_not_greater_are_left_out() {
    let mut bench = Bench::following();
    bench.store.put(record("a", 5));
    bench.changes(HERE, 6, &[record("a", 4), record("a", 5), record("b", 2)]);
    // What is on its way to disk counts as held.
    bench.changes(HERE.at(6), 7, &[record("b", 1), record("b", 2)]);
    let expected = [(vec![record("b", 2)], Some(HERE.at(6))), (vec![], Some(HERE.at(7)))];
    assert_eq!(bench.batches(), expected);
}

#[test]
fn a_record_in_flight_counts_until_its_own_batch_is_on_disk() {
    let mut bench = Bench::following();
    bench.changes(HERE, 6, &[record("a", 2)]);
    bench.changes(HERE.at(6), 7, &[record("a", 3)]);
    bench.batches();
    bench.persisted(1);
    bench.changes(HERE.at(7), 8, &[record("a", 3)]);
    assert_eq!(bench.batches(), [(vec![], Some(HERE.at(8)))]);
}

#[test]
fn a_greeting_without_an_answer_is_given_up() {
    let mut bench = Bench::new(Some(HERE));
    let mute = bench.follower.status().state.control();
    bench.follower.tick(1_499.0, &mut bench.rng);
    assert!(!bench.has_left());
    bench.follower.tick(1_500.0, &mut bench.rng);
    assert_ne!(Some(bench.connected()), mute);
}

#[test]
fn a_difference_is_confirmed_page_by_page() {
    let mut bench = Bench::new(None);
    assert_eq!(bench.said(), [FollowerMessage::Hello { node: "n".into(), position: None }]);
    bench.hear(ControlMessage::SendBuckets, 0.0);
    assert_eq!(bench.said(), [FollowerMessage::Buckets { hashes: bench.store.bucket_hashes() }]);
    bench.hear(ControlMessage::Difference { records: vec![record("a", 1)], last: None }, 0.0);
    assert_eq!(bench.said(), []);
    bench.persisted(1);
    assert_eq!(bench.said(), [FollowerMessage::NextPage]);
    bench.hear(ControlMessage::Difference { records: vec![], last: Some(HERE) }, 0.0);
    assert_eq!(bench.said(), []);
    bench.persisted(2);
    assert_eq!(bench.said(), [applied(HERE)]);
    assert!(matches!(bench.follower.status().state, FollowerState::Following { .. }));
}

#[test]
fn buckets_and_greetings_wait_for_what_is_on_its_way_to_disk() {
    let mut bench = Bench::following();
    bench.changes(HERE, 6, &[record("a", 1)]);
    bench.hear(ControlMessage::SendBuckets, 0.0);
    assert_eq!(bench.said(), []);
    bench.follower.disconnected(ConnectionNumber(1), 0.0, &mut bench.rng);
    bench.connected();
    assert_eq!(bench.said(), []);
    bench.persisted(1);
    let hello = FollowerMessage::Hello { node: "n".into(), position: Some(HERE.at(6)) };
    assert_eq!(bench.said(), [hello]);
}

#[test]
fn what_could_not_be_written_is_asked_for_again() {
    let mut bench = Bench::following();
    bench.changes(HERE, 6, &[record("a", 1)]);
    bench.follower.persist_failed(0.0, &mut bench.rng);
    bench.connected();
    assert_eq!(bench.said(), [FollowerMessage::Hello { node: "n".into(), position: Some(HERE) }]);
}

#[test]
fn a_silent_control_node_is_left_for_another() {
    let mut bench = Bench::following();
    let silent = bench.follower.status().state.control();
    bench.hear(ControlMessage::Heartbeat { position: HERE }, 1_000.0);
    assert_eq!(bench.follower.next_wakeup(), 4_500.0);
    bench.follower.tick(4_499.0, &mut bench.rng);
    assert!(!bench.has_left());
    bench.follower.tick(4_500.0, &mut bench.rng);
    assert_ne!(Some(bench.connected()), silent);
    // What comes late over the old connection counts no more.
    bench.said();
    bench.changes(HERE, 6, &[record("a", 1)]);
    assert_eq!(bench.batches(), []);
}

#[test]
fn a_busy_control_node_is_left_for_another() {
    let mut bench = Bench::new(None);
    let busy = bench.follower.status().state.control();
    bench.hear(ControlMessage::Busy { retry_after_ms: 1000 }, 0.0);
    assert_ne!(Some(bench.connected()), busy);
}

#[test]
fn more_batches_than_its_bound_end_the_connection() {
    let mut bench = Bench::following();
    let most = FollowerLimits::default().pending_batches as u64;
    for revision in 5..5 + most {
        bench.changes(HERE.at(revision), revision + 1, &[]);
    }
    assert!(!bench.has_left());
    bench.changes(HERE.at(5 + most), 6 + most, &[]);
    assert!(bench.has_left());
}
