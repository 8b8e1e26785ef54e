//! Followers whose memory for functions and workers is full: what is known still changes, what is left out arrives once
//! there is room.
mod support;

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::faults::{Call, Faults};
use support::nodes::{
    catalog_account, classes_only, delete_function, deploy, function_memory, put_function, put_worker,
    replication, start_node, status, worker_state,
};
use support::workers::{Behaviour, Fleet};
use support::{ask, free_address, until, Daemon, Folder, CLASSES};

/// Time within which a change reaches a follower.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(6);
/// Share of the account `catalog` of a follower that has room for some hundred functions, in percent.
const SMALL_SHARE: f64 = 0.08;
/// A share that has room for all functions of a test, in percent.
const LARGE_SHARE: f64 = 5.0;
/// What new versions of known records and the two stored notes (page and position) take beyond the cap in these tests, in
/// bytes.
const MOST_OVER_CAP_BYTES: u64 = 1024;
/// No space left on device.
const ENOSPC: i32 = 28;
/// Number of functions that are put at a time.
const FUNCTIONS_AT_A_TIME: usize = 20;
/// Number of functions that don't fit.
const SURPLUS: usize = 60;

struct Cluster {
    folder: Folder,
    replication: Vec<SocketAddr>,
    feeds: Vec<SocketAddr>,
    controls: Vec<Daemon>,
    /// Number of functions that were put.
    functions: usize,
}

impl Cluster {
    fn new(controls: usize) -> Self {
        let addresses = || (0..controls).map(|_| free_address()).collect::<Vec<_>>();
        let (replication, feeds) = (addresses(), addresses());
        let mut cluster =
            Cluster { folder: Folder::new(), replication, feeds, controls: Vec::new(), functions: 0 };
        cluster.controls = (0..controls).map(|number| cluster.start_control(number)).collect();
        cluster
    }

    fn start_control(&self, number: usize) -> Daemon {
        let own = self.replication[number];
        let peers: Vec<SocketAddr> = self.replication.iter().copied().filter(|peer| *peer != own).collect();
        let feed = format!("[feed]\nlisten = \"{}\"\n", self.feeds[number]);
        let sections = format!("{}{feed}{CLASSES}", replication(own, &peers, 200));
        start_node(&self.folder, &format!("c{number}"), &sections)
    }

    fn follower_sections(&self, share: f64) -> String {
        let control = |address: &SocketAddr| format!("[[follow.control]]\naddress = \"{address}\"\n");
        let controls: String = self.feeds.iter().map(control).collect();
        format!("[memory]\nshares = {{ catalog = {share} }}\n[follow]\n{controls}{}", classes_only())
    }

    fn start_follower(&self, share: f64) -> Daemon {
        let follower = start_node(&self.folder, "f", &self.follower_sections(share));
        until("it follows", || status(&follower)["follow"]["state"] == json!("following"));
        follower
    }

    /// Has a running follower reload its deploy file with another share.
    fn change_share(&self, follower: &Daemon, share: f64) {
        self.folder.write("f.toml", &deploy("f", &self.follower_sections(share)));
        follower.signal("HUP");
    }

    /// Puts functions until some of them don't fit into the follower.
    fn fill(&mut self, follower: &Daemon) {
        while left_out_buckets(follower) == 0 {
            self.put_functions(FUNCTIONS_AT_A_TIME);
            assert!(self.functions < 2000, "the follower has room for {} functions", self.functions);
        }
        self.put_functions(SURPLUS);
        let last = function(self.functions - 1);
        until("the follower has heard of all functions", || {
            self.controls.iter().any(|control| {
                function_memory(control, &last).is_some()
                    && status(control)["feed"]["oldest"]["behind"] == json!(0)
            })
        });
    }

    fn put_functions(&mut self, count: usize) {
        for number in self.functions..self.functions + count {
            put_function(&self.controls[0], &function(number), 1);
        }
        self.functions += count;
    }

    /// The functions that the follower lacks.
    fn missing(&self, follower: &Daemon) -> Vec<usize> {
        let held = ask(follower.address, "GET", "/v1/functions", &[], b"").json();
        (0..self.functions).filter(|number| held[function(*number)].is_null()).collect()
    }

    fn until_complete(&self, follower: &Daemon) {
        until("the functions that were left out have arrived", || self.missing(follower).is_empty());
        until("nothing is left out", || left_out_buckets(follower) == 0);
    }
}

fn function(number: usize) -> String {
    format!("x{number}")
}

fn left_out_buckets(follower: &Daemon) -> u64 {
    status(follower)["follow"]["left_out"]["buckets"].as_u64().expect("a number")
}

fn delete_worker(node: &Daemon, name: &str) {
    assert_eq!(ask(node.address, "DELETE", &format!("/v1/workers/{name}"), &[], b"").status, 204);
}

fn counter(follower: &Daemon, name: &str) -> u64 {
    status(follower)["follow"][name].as_u64().unwrap_or_else(|| panic!("{name} is no counter"))
}

fn call(node: &Daemon, function: &str) -> support::Response {
    ask(node.address, "POST", &format!("/v1/functions/{function}/invocations"), &[], b"x")
}

/// Guards against a worker's drain that never reaches a follower, because a new function that was put before it has no room
/// there.
#[test]
fn a_drain_reaches_a_follower_without_room() {
    let (mut cluster, fleet) = (Cluster::new(1), Fleet::new(&[Behaviour::Serve; 2]));
    for name in ["w1", "w2"] {
        put_worker(&cluster.controls[0], name, fleet.http(name), "up");
    }
    let follower = cluster.start_follower(SMALL_SHARE);
    until("it knows both workers", || worker_state(&follower, "w2") == json!("up"));
    cluster.put_functions(600);
    put_worker(&cluster.controls[0], "w1", fleet.http("w1"), "draining");
    let drained = Instant::now();
    until("the follower knows of the drain", || worker_state(&follower, "w1") == json!("draining"));
    assert!(drained.elapsed() <= PROPAGATION_LIMIT, "{:?}", drained.elapsed());
    // Changes and deletions of known functions, and moves and returns of workers, arrive as well.
    put_function(&cluster.controls[0], "once", 7);
    delete_function(&cluster.controls[0], &function(0));
    let other_address = fleet.http("w1");
    delete_worker(&cluster.controls[0], "w1");
    put_worker(&cluster.controls[0], "w1", other_address, "up");
    until("the function has changed", || function_memory(&follower, "once") == Some(7.0));
    until("the function is deleted", || function_memory(&follower, &function(0)).is_none());
    until("the worker is back at another address", || {
        let worker = ask(follower.address, "GET", "/v1/workers", &[], b"").json()["w1"].clone();
        worker["state"] == json!("up") && worker["address"] == json!(other_address.to_string())
    });
    assert_eq!(call(&follower, "check").body, b"done: x");
    let account = catalog_account(&follower);
    let bytes = |name: &str| account[name].as_u64().expect("a number");
    assert!(bytes("peak_bytes") <= bytes("cap_bytes") + MOST_OVER_CAP_BYTES, "{account}");
}

/// Guards against functions that a follower leaves out for want of room and never gets: they arrive once an operator gives
/// it more memory, and until then calls of them are told from calls of functions that don't exist.
#[test]
fn functions_that_were_left_out_arrive_once_there_is_room() {
    let mut cluster = Cluster::new(1);
    let follower = cluster.start_follower(SMALL_SHARE);
    cluster.fill(&follower);
    let missing = cluster.missing(&follower);
    assert!(missing.len() >= SURPLUS, "{missing:?}");
    let left_out = call(&follower, &function(missing[0]));
    let detail = left_out.json()["detail"].as_str().expect("a detail").to_string();
    assert_eq!((left_out.status, left_out.header("corkbay-may-have-run")), (503, Some("false")));
    assert!(left_out.header("retry-after").is_some() && detail.contains("catalog"), "{detail}");
    let control = status(&cluster.controls[0])["feed"].clone();
    assert_eq!((&control["incomplete"], &control["laggards"]), (&json!(1), &json!(0)), "{control}");
    assert_eq!(control["oldest"]["left_out_buckets"], json!(left_out_buckets(&follower)));
    assert_eq!(status(&follower)["ready"], json!(true));

    cluster.change_share(&follower, LARGE_SHARE);
    cluster.until_complete(&follower);
    assert_eq!(status(&follower)["follow"]["comparisons"], json!(1), "the one of its first copy");
    assert_eq!(call(&follower, "no-such-function").status, 404);
}

/// Guards against a follower that forgets what it left out when it is killed.
#[test]
fn functions_that_were_left_out_arrive_after_a_kill() {
    let mut cluster = Cluster::new(1);
    let follower = cluster.start_follower(SMALL_SHARE);
    cluster.fill(&follower);
    let missing = cluster.missing(&follower);
    drop(follower);
    let follower = cluster.start_follower(SMALL_SHARE);
    assert_eq!(cluster.missing(&follower), missing);
    assert!(left_out_buckets(&follower) > 0);
    drop(follower);
    let follower = cluster.start_follower(LARGE_SHARE);
    cluster.until_complete(&follower);
    assert_eq!(status(&follower)["follow"]["comparisons"], json!(0), "it goes on from its position");
}

/// Guards against a follower that takes the records of another control node for complete.
#[test]
fn functions_that_were_left_out_arrive_from_another_control_node() {
    let mut cluster = Cluster::new(2);
    let follower = cluster.start_follower(SMALL_SHARE);
    cluster.fill(&follower);
    let last = function(cluster.functions - 1);
    until("the control nodes agree", || function_memory(&cluster.controls[1], &last).is_some());
    let address: SocketAddr =
        serde_json::from_value(status(&follower)["follow"]["control"].clone()).expect("set");
    let followed = cluster.feeds.iter().position(|feed| *feed == address).expect("a control node");
    cluster.controls.remove(followed);
    until("it follows the other control node", || {
        let follow = &status(&follower)["follow"];
        follow["state"] == json!("following") && follow["control"] != json!(address.to_string())
    });
    assert!(left_out_buckets(&follower) > 0);
    cluster.change_share(&follower, LARGE_SHARE);
    cluster.until_complete(&follower);
}

/// Guards against room that is never used again, and against a follower that copies everything whenever some room frees.
#[test]
fn room_that_frees_is_used_for_functions_that_were_left_out() {
    let mut cluster = Cluster::new(1);
    let follower = cluster.start_follower(SMALL_SHARE);
    cluster.fill(&follower);
    let before = cluster.missing(&follower);
    let received = || status(&follower)["follow"]["received_bytes"].as_u64().expect("a number");
    let received_before = received();
    let held: Vec<usize> = (0..cluster.functions).filter(|number| !before.contains(number)).collect();
    for number in held.iter().take(held.len() / 2) {
        delete_function(&cluster.controls[0], &function(*number));
    }
    let arrived = |missing: &[usize]| before.iter().filter(|number| !missing.contains(number)).count();
    until("some have arrived", || arrived(&cluster.missing(&follower)) >= 3);
    let all_bytes = 250 * cluster.functions as u64;
    assert!(received() - received_before < 2 * all_bytes, "{} of {all_bytes}", received() - received_before);
}

/// Guards control nodes against a follower that asks again and again for what it has no room for, and operators against
/// not being told.
#[test]
fn a_follower_without_room_says_so_and_asks_seldom() {
    let cluster = Cluster::new(1);
    let follower = cluster.start_follower(0.2);
    for number in 0..600 {
        put_function(&cluster.controls[0], &format!("x{number}"), 1);
    }
    until("it has no more room", || counter(&follower, "failed_writes") > 0);
    let (before, connections) = (counter(&follower, "failed_writes"), counter(&follower, "connections"));
    std::thread::sleep(Duration::from_secs(4));
    // Pauses of 0.5, 1 and 2 s leave room for four tries in 4 s.
    assert!(counter(&follower, "failed_writes") - before <= 4);
    assert!(counter(&follower, "connections") - connections <= 4);
    assert!(function_memory(&follower, "once").is_some(), "it keeps what it has");
}

/// Guards against a follower that asks again and again for what it has no room for.
#[test]
fn a_full_follower_stays_connected_and_quiet() {
    let mut cluster = Cluster::new(1);
    let follower = cluster.start_follower(SMALL_SHARE);
    cluster.fill(&follower);
    let follow = || status(&follower)["follow"].clone();
    let bytes = |follow: &Value| {
        follow["received_bytes"].as_u64().expect("a number")
            + follow["sent_bytes"].as_u64().expect("a number")
    };
    let before = follow();
    std::thread::sleep(Duration::from_secs(4));
    let after = follow();
    assert_eq!(after["connections"], json!(1));
    assert_eq!(after["comparisons"], json!(1));
    assert_eq!(after["left_out"], before["left_out"]);
    assert!(bytes(&after) - bytes(&before) <= 4 * 1024, "{before} {after}");
}

/// Guards against a cap that a first copy takes the account beyond, and against a copy that never ends.
#[test]
fn a_first_copy_into_too_little_room_ends_within_the_cap() {
    let mut cluster = Cluster::new(1);
    cluster.put_functions(600);
    let follower = cluster.start_follower(SMALL_SHARE);
    let account = catalog_account(&follower);
    let bytes = |name: &str| account[name].as_u64().expect("a number");
    assert!(bytes("peak_bytes") <= bytes("cap_bytes") + MOST_OVER_CAP_BYTES, "{account}");
    assert!(bytes("used_bytes") > bytes("cap_bytes") / 2, "{account}");
    assert!(left_out_buckets(&follower) > 0 && status(&follower)["ready"] == json!(true));
    cluster.change_share(&follower, LARGE_SHARE);
    cluster.until_complete(&follower);
}

/// Guards against a follower that fills its room with functions before it has heard of any worker.
#[test]
fn a_first_copy_into_too_little_room_has_the_workers() {
    let (mut cluster, fleet) = (Cluster::new(1), Fleet::new(&[Behaviour::Serve; 2]));
    cluster.put_functions(600);
    for name in ["w1", "w2"] {
        put_worker(&cluster.controls[0], name, fleet.http(name), "up");
    }
    let follower = cluster.start_follower(SMALL_SHARE);
    assert!(left_out_buckets(&follower) > 0);
    assert_eq!([worker_state(&follower, "w1"), worker_state(&follower, "w2")], [json!("up"), json!("up")]);
    assert_eq!(call(&follower, "check").body, b"done: x");
}

/// Guards against a drain that a follower hears of and ignores, because its disk is full; and against one that is lost once
/// the disk has room again, because it seemed to be stored.
#[test]
fn a_drain_holds_at_a_follower_whose_disk_is_full() {
    let (mut cluster, fleet) = (Cluster::new(1), Fleet::new(&[Behaviour::Serve; 2]));
    for name in ["w1", "w2"] {
        put_worker(&cluster.controls[0], name, fleet.http(name), "up");
    }
    let faults = Faults::new();
    let file = cluster.folder.write("f.toml", &deploy("f", &cluster.follower_sections(LARGE_SHARE)));
    let follower = Daemon::serve_with(&file, &faults.environment());
    until("it knows both workers", || worker_state(&follower, "w2") == json!("up"));
    faults.fail(Call::FileWrite, 1, ENOSPC, u64::MAX);
    put_worker(&cluster.controls[0], "w1", fleet.http("w1"), "draining");
    let drained = Instant::now();
    until("the follower knows of the drain", || worker_state(&follower, "w1") == json!("draining"));
    assert!(drained.elapsed() <= PROPAGATION_LIMIT, "{:?}", drained.elapsed());
    // Nor does a pause after failed writes delay the next drain.
    std::thread::sleep(Duration::from_secs(4));
    put_worker(&cluster.controls[0], "w2", fleet.http("w2"), "draining");
    let drained = Instant::now();
    until("the follower knows of the second drain", || worker_state(&follower, "w2") == json!("draining"));
    assert!(drained.elapsed() <= PROPAGATION_LIMIT, "{:?}", drained.elapsed());
    let behind = status(&follower)["follow"]["behind"].as_u64();
    assert!(
        behind.is_some_and(|behind| behind > 0),
        "it doesn't acknowledge what is not on disk: {behind:?}"
    );

    faults.mend(Call::FileWrite);
    cluster.put_functions(1);
    until("it goes on", || function_memory(&follower, &function(0)).is_some());
    drop(follower);
    cluster.controls.clear();
    let follower = start_node(&cluster.folder, "f", &cluster.follower_sections(LARGE_SHARE));
    assert_eq!(
        [worker_state(&follower, "w1"), worker_state(&follower, "w2")],
        ["draining"; 2].map(|state| json!(state))
    );
}
