//! Peers of which one has no room for all functions and workers of the other.
mod support;

use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::nodes::{
    catalog_account, classes_only, put_worker, replication, start_node, status, worker_state, Relay,
};
use support::{ask, free_address, until, Daemon, Folder, TEST_TIMEOUT};

/// Time within which a change reaches a peer.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(6);
/// Number of functions of the larger node: their hashes take several messages.
const FUNCTIONS: usize = 3000;
/// Interval of comparisons, in milliseconds.
const INTERVAL_MS: u64 = 500;
/// Traffic limit of two peers of which one is full, while nothing changes, in bytes per second. A single comparison of all
/// hashes is far larger.
const IDLE_BYTES_PER_S: f64 = 2048.0;

/// A node with all functions and a peer with room for a few hundred of them.
struct Pair {
    _folder: Folder,
    large: Daemon,
    small: Daemon,
    relays: [Relay; 2],
}

impl Pair {
    fn new() -> Self {
        let folder = Folder::new();
        let addresses = [free_address(), free_address()];
        let relays = addresses.map(Relay::to);
        let start = |own: usize, catalog: &str, entries: &str| {
            let memory = format!("[memory]\nshares = {{ replication = 0.4{catalog} }}\n");
            let replication = replication(addresses[own], &[relays[1 - own].address], INTERVAL_MS);
            let sections = format!("{memory}{replication}{}{entries}", classes_only());
            start_node(&folder, &format!("n{own}"), &sections)
        };
        let function = |number: usize| format!("[[function]]\nname = \"x{number}\"\nclass = \"check\"\n");
        let functions: String = (0..FUNCTIONS).map(function).collect();
        let small = start(1, ", catalog = 0.2", "");
        let worker = "[[worker]]\nname = \"only-large\"\naddress = \"127.0.0.1:9\"\n";
        put_worker(&small, "w1", worker_address(), "up");
        put_worker(&small, "w2", worker_address(), "up");
        let large = start(0, "", &format!("{functions}{worker}"));
        until("the larger node knows the workers", || {
            worker_state(&large, "w1") == json!("up") && worker_state(&large, "w2") == json!("up")
        });
        until("the smaller node is full", || free_bytes(&small) < 1024);
        Pair { _folder: folder, large, small, relays }
    }
}

/// An address at which no worker listens.
fn worker_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

/// The room of a node for functions and workers, in bytes.
fn free_bytes(node: &Daemon) -> u64 {
    let catalog = catalog_account(node);
    let bytes = |name: &str| catalog[name].as_u64().expect("a number");
    bytes("cap_bytes").saturating_sub(bytes("used_bytes"))
}

fn sent_bytes(node: &Daemon) -> u64 {
    status(node)["replication"]["sent_bytes"].as_u64().expect("a count")
}

/// Guards against a drain that was missed during a partition and reaches a full peer late, behind thousands of functions that
/// the peer has no room for.
#[test]
fn a_missed_drain_reaches_a_full_peer_before_what_it_has_no_room_for() {
    let pair = Pair::new();
    for name in ["w1", "w2"] {
        pair.relays.iter().for_each(Relay::cut);
        put_worker(&pair.large, name, worker_address(), "draining");
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(worker_state(&pair.small, name), json!("up"), "the nodes are partitioned");
        pair.relays.iter().for_each(Relay::mend);
        let mended = Instant::now();
        until("the drain has arrived", || worker_state(&pair.small, name) == json!("draining"));
        assert!(mended.elapsed() <= PROPAGATION_LIMIT, "{:?}", mended.elapsed());
    }
    // Changes of the smaller node arrive as well.
    put_worker(&pair.small, "w1", worker_address(), "removed");
    until("the worker is removed", || worker_state(&pair.large, "w1") == json!("removed"));
}

/// Guards against a node that fills its room with a peer's functions before it has heard of all workers, and against
/// operators who are not told.
#[test]
fn a_full_peer_has_the_workers_and_says_that_it_is_full() {
    let pair = Pair::new();
    assert_eq!(worker_state(&pair.small, "only-large"), json!("up"));
    until("it says so", || status(&pair.small)["replication"]["peers_with_more"] == json!(1));
    assert_eq!(status(&pair.large)["replication"]["peers_with_more"], json!(0));
    // A function that may have been left out is told from one that doesn't exist.
    let held = ask(pair.small.address, "GET", "/v1/functions", &[], b"").json();
    let missing = (0..FUNCTIONS).map(|number| format!("x{number}")).find(|name| held[name].is_null());
    let call = |node: &Daemon, name: &str| {
        let path = format!("/v1/functions/{name}/invocations");
        ask(node.address, "POST", &path, &[], b"x")
    };
    let refused = call(&pair.small, &missing.expect("some have no room"));
    assert_eq!((refused.status, refused.header("corkbay-may-have-run")), (503, Some("false")));
    assert_eq!(call(&pair.large, "no-such-function").status, 404);
}

/// Guards against peers that send each other the same hashes and records again at each interval, because one has no room for
/// them.
#[test]
fn a_full_peer_is_not_sent_the_same_records_again() {
    let pair = Pair::new();
    let began = Instant::now();
    loop {
        let (before, start) = (sent_bytes(&pair.large) + sent_bytes(&pair.small), Instant::now());
        std::thread::sleep(Duration::from_secs(4));
        let sent = sent_bytes(&pair.large) + sent_bytes(&pair.small) - before;
        let rate = sent as f64 / start.elapsed().as_secs_f64();
        println!("{rate} bytes a second");
        if rate <= IDLE_BYTES_PER_S {
            return;
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "{rate} bytes a second");
    }
}
