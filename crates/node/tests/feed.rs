//! Runs control nodes and their followers as processes: propagation of changes, failures, restarts.
mod support;

use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};
use support::nodes::{
    classes_only, delete_function, frame, function_memory, put_function, replication, start_node, status,
    until_ended,
};
use support::workers::{Behaviour, Fleet};
use support::{ask, free_address, until, Daemon, Folder, CLASSES, TEST_TIMEOUT};

/// Time within which a change reaches every follower, also while one control node fails.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(6);
/// Traffic limit between an idle follower and its control node, in bytes per second.
const IDLE_BYTES_PER_S: f64 = 0.2 * 1024.0;

/// Control nodes and their followers.
struct Cluster {
    /// Additional settings of the control nodes' `[feed]` section.
    feed_settings: &'static str,
    /// Additional settings of the followers' `[follow]` section.
    follow_settings: &'static str,
    folder: Folder,
    replication: Vec<SocketAddr>,
    feeds: Vec<SocketAddr>,
    controls: Vec<Daemon>,
    followers: Vec<Daemon>,
}

impl Cluster {
    fn new(controls: usize, followers: usize) -> Self {
        Cluster::with(controls, followers, "", "")
    }

    fn with(
        controls: usize,
        followers: usize,
        feed_settings: &'static str,
        follow_settings: &'static str,
    ) -> Self {
        let addresses = || (0..controls).map(|_| free_address()).collect::<Vec<_>>();
        let mut cluster = Cluster {
            feed_settings,
            follow_settings,
            folder: Folder::new(),
            replication: addresses(),
            feeds: addresses(),
            controls: Vec::new(),
            followers: Vec::new(),
        };
        cluster.controls = (0..controls).map(|number| cluster.start_control(number)).collect();
        cluster.followers = (0..followers).map(|number| cluster.start_follower(number)).collect();
        cluster.until_all_follow();
        cluster
    }

    fn start_control(&self, number: usize) -> Daemon {
        let own = self.replication[number];
        let peers: Vec<SocketAddr> = self.replication.iter().copied().filter(|peer| *peer != own).collect();
        let feed = format!("[feed]\nlisten = \"{}\"\n{}", self.feeds[number], self.feed_settings);
        let sections = format!("{}{feed}{CLASSES}", replication(own, &peers, 200));
        start_node(&self.folder, &format!("c{number}"), &sections)
    }

    fn start_follower(&self, number: usize) -> Daemon {
        let control = |address: &SocketAddr| format!("[[follow.control]]\naddress = \"{address}\"\n");
        let controls: String = self.feeds.iter().map(control).collect();
        let sections = format!("[follow]\n{}{controls}{}", self.follow_settings, classes_only());
        start_node(&self.folder, &format!("f{number}"), &sections)
    }

    fn until_all_follow(&self) {
        for follower in &self.followers {
            until("the follower is connected and has the functions of the deploy files", || {
                is_following(follower) && function_memory(follower, "once").is_some()
            });
        }
    }

    /// Checks that all followers see this state of a function within [`PROPAGATION_LIMIT`].
    fn assert_propagated(&self, changed: Instant, name: &str, memory_mb: Option<f64>) {
        for (number, follower) in self.followers.iter().enumerate() {
            until("the change has arrived", || function_memory(follower, name) == memory_mb);
            let took = changed.elapsed();
            assert!(took <= PROPAGATION_LIMIT, "f{number} received {name} after {took:?}");
        }
    }

    /// The number of the control node that a follower is connected to.
    fn control_of(&self, follower: &Daemon) -> Option<usize> {
        let address = follow_status(follower)["control"].as_str()?.parse().ok()?;
        self.feeds.iter().position(|feed| *feed == address)
    }

    /// The control node with the most followers, whose failure affects the most nodes.
    fn busiest(&self) -> usize {
        let followed: Vec<usize> =
            self.followers.iter().filter_map(|follower| self.control_of(follower)).collect();
        let count = |control: &usize| followed.iter().filter(|followed| *followed == control).count();
        (0..self.controls.len()).max_by_key(count).expect("some")
    }
}

fn follow_status(follower: &Daemon) -> Value {
    status(follower)["follow"].clone()
}

fn is_following(follower: &Daemon) -> bool {
    let status = status(follower);
    status["ready"] == json!(true) && status["follow"]["state"] == json!("following")
}

fn counter(follower: &Daemon, name: &str) -> u64 {
    follow_status(follower)[name].as_u64().unwrap_or_else(|| panic!("{name} is no counter"))
}

#[test]
fn a_change_at_any_control_node_reaches_all_followers() {
    let cluster = Cluster::new(3, 6);
    for (number, control) in cluster.controls.iter().enumerate() {
        let name = format!("fresh-{number}");
        let changed = Instant::now();
        put_function(control, &name, 7);
        cluster.assert_propagated(changed, &name, Some(7.0));
        let changed = Instant::now();
        delete_function(&cluster.controls[(number + 1) % 3], &name);
        cluster.assert_propagated(changed, &name, None);
    }
    for control in &cluster.controls {
        until("no follower lags", || {
            let feed = status(control)["feed"].clone();
            feed["laggards"] == json!(0) && feed["oldest"]["behind"].as_u64().is_none_or(|behind| behind == 0)
        });
    }
    let metrics = ask(cluster.controls[0].address, "GET", "/metrics", &[], b"").body;
    assert!(String::from_utf8_lossy(&metrics).contains("corkbay_feed_followers"));
    let metrics = ask(cluster.followers[0].address, "GET", "/metrics", &[], b"").body;
    assert!(String::from_utf8_lossy(&metrics).contains("corkbay_follow_ready 1"));
}

#[test]
fn a_worker_added_at_a_control_node_serves_calls_of_followers() {
    let (cluster, fleet) = (Cluster::new(1, 2), Fleet::new(&[Behaviour::Serve]));
    let worker = json!({"address": fleet.http("w1").to_string()}).to_string();
    let added = ask(cluster.controls[0].address, "PUT", "/v1/workers/w1", &[], worker.as_bytes());
    assert_eq!(added.status, 204);
    for follower in &cluster.followers {
        until("the worker serves its calls", || {
            ask(follower.address, "POST", "/v1/functions/check/invocations", &[], b"x").body == b"done: x"
        });
    }
}

/// A change reaches all followers in time although a control node is killed at that moment.
#[test]
fn a_change_reaches_all_followers_while_a_control_node_is_killed() {
    let mut cluster = Cluster::new(3, 6);
    let killed = cluster.busiest();
    let changed = Instant::now();
    cluster.controls[killed].child.kill().expect("own child");
    put_function(&cluster.controls[(killed + 1) % 3], "fresh", 7);
    cluster.assert_propagated(changed, "fresh", Some(7.0));
}

/// A control node that stops without closing its connections delays no change, and reverts none when it continues.
#[test]
fn a_control_node_that_stops_delays_and_reverts_no_change() {
    let cluster = Cluster::new(3, 6);
    let changed = Instant::now();
    put_function(&cluster.controls[0], "changed", 1);
    cluster.assert_propagated(changed, "changed", Some(1.0));
    let stopped = cluster.busiest();
    let other = (stopped + 1) % 3;
    let changed = Instant::now();
    cluster.controls[stopped].signal("STOP");
    put_function(&cluster.controls[other], "changed", 2);
    cluster.assert_propagated(changed, "changed", Some(2.0));
    let changed = Instant::now();
    delete_function(&cluster.controls[other], "once");
    cluster.assert_propagated(changed, "once", None);
    cluster.controls[stopped].signal("CONT");
    let resumed = Instant::now();
    let mut is_updated = false;
    while !is_updated || resumed.elapsed() < Duration::from_secs(3) {
        for follower in &cluster.followers {
            assert_eq!(function_memory(follower, "changed"), Some(2.0));
            assert_eq!(function_memory(follower, "once"), None);
        }
        let resumed_node = &cluster.controls[stopped];
        is_updated = function_memory(resumed_node, "changed") == Some(2.0)
            && function_memory(resumed_node, "once").is_none();
        assert!(resumed.elapsed() < TEST_TIMEOUT, "the control node that continued was not updated");
    }
}

/// A restarted follower resumes from its position on disk and gets only the changes that it has missed.
#[test]
fn a_killed_follower_resumes_from_its_position() {
    let mut cluster = Cluster::new(1, 1);
    put_function(&cluster.controls[0], "before", 1);
    until("the change has arrived", || function_memory(&cluster.followers[0], "before") == Some(1.0));
    cluster.followers.clear();
    put_function(&cluster.controls[0], "meanwhile", 2);
    let follower = cluster.start_follower(0);
    until("the missed change has arrived", || function_memory(&follower, "meanwhile") == Some(2.0));
    assert_eq!(function_memory(&follower, "before"), Some(1.0));
    assert_eq!((counter(&follower, "comparisons"), counter(&follower, "copied_records")), (0, 0));
    assert_eq!(counter(&follower, "changed_records"), 1);
    assert_eq!(status(&cluster.controls[0])["feed"]["resumes"], json!(1));
}

/// A follower may be killed while it writes: the position on disk is never ahead of the records.
#[test]
fn a_follower_killed_during_changes_misses_none() {
    const CHANGES: usize = 200;
    let mut cluster = Cluster::new(1, 1);
    for number in 0..CHANGES {
        put_function(&cluster.controls[0], &format!("x{number}"), 1);
        if number == CHANGES / 2 {
            cluster.followers.clear();
        }
    }
    let follower = cluster.start_follower(0);
    let last = format!("x{}", CHANGES - 1);
    until("the last change has arrived", || function_memory(&follower, &last) == Some(1.0));
    let functions = ask(follower.address, "GET", "/v1/functions", &[], b"").json();
    let missing: Vec<usize> =
        (0..CHANGES).filter(|number| functions[format!("x{number}")].is_null()).collect();
    assert!(missing.is_empty(), "{missing:?}");
    assert_eq!(counter(&follower, "comparisons"), 0);
}

/// A control node keeps deletions over its restart, after which followers cannot resume from a position.
#[test]
fn a_deletion_reaches_a_follower_after_both_sides_restart() {
    let mut cluster = Cluster::new(1, 1);
    cluster.followers.clear();
    delete_function(&cluster.controls[0], "once");
    cluster.controls.clear();
    let follower = cluster.start_follower(0);
    assert!(function_memory(&follower, "once").is_some(), "it starts with the records on its disk");
    let _control = cluster.start_control(0);
    until("the function is deleted", || function_memory(&follower, "once").is_none());
    assert!(function_memory(&follower, "check").is_some());
}

/// A follower that stops reading delays no other follower, and catches up once it continues.
#[test]
fn a_follower_that_stops_delays_no_other_and_catches_up() {
    let mut cluster = Cluster::new(1, 3);
    let stopped = cluster.followers.remove(0);
    stopped.signal("STOP");
    for number in 0..50 {
        put_function(&cluster.controls[0], &format!("x{number}"), 1);
    }
    cluster.assert_propagated(Instant::now(), "x49", Some(1.0));
    until("the control node drops it", || status(&cluster.controls[0])["feed"]["followers"] == json!(2));
    stopped.signal("CONT");
    let resumed = Instant::now();
    until("it has caught up", || function_memory(&stopped, "x49") == Some(1.0));
    assert!(resumed.elapsed() <= PROPAGATION_LIMIT, "{:?}", resumed.elapsed());
    assert_eq!(counter(&stopped, "comparisons"), 1, "the one of its first copy");
}

/// Followers return to their preferred control node after it has restarted and miss no change, which keeps them balanced.
#[test]
fn followers_return_to_a_control_node_that_has_restarted() {
    let mut cluster = Cluster::with(2, 6, "", "return_s = 0.3\n");
    let preferred: Vec<_> = cluster.followers.iter().map(|follower| cluster.control_of(follower)).collect();
    let killed = cluster.busiest();
    let other = 1 - killed;
    cluster.controls[killed].child.kill().expect("own child");
    for follower in &cluster.followers {
        until("it follows the other control node", || {
            is_following(follower) && cluster.control_of(follower) == Some(other)
        });
    }
    put_function(&cluster.controls[other], "meanwhile", 1);
    cluster.controls[killed] = cluster.start_control(killed);
    for (follower, preferred) in cluster.followers.iter().zip(preferred) {
        until("it follows its preferred control node", || {
            is_following(follower) && cluster.control_of(follower) == preferred
        });
        assert_eq!(function_memory(follower, "meanwhile"), Some(1.0));
    }
    let changed = Instant::now();
    put_function(&cluster.controls[killed], "fresh", 7);
    cluster.assert_propagated(changed, "fresh", Some(7.0));
}

/// A control node at its limit of followers sends further ones to another control node.
#[test]
fn a_full_control_node_sends_followers_elsewhere() {
    let cluster = Cluster::with(2, 2, "followers = 1\n", "");
    for control in &cluster.controls {
        until("each control node has one follower", || status(control)["feed"]["followers"] == json!(1));
    }
}

/// After the restart of a control node followers only compare hashes and copy no records.
#[test]
fn a_control_node_that_restarts_causes_no_copies() {
    let mut cluster = Cluster::new(1, 2);
    let copied: Vec<u64> = cluster.followers.iter().map(|each| counter(each, "copied_records")).collect();
    assert!(copied.iter().all(|records| *records > 0), "the first copies: {copied:?}");
    cluster.controls.clear();
    let restarted = cluster.start_control(0);
    for (follower, copied) in cluster.followers.iter().zip(copied) {
        until("the follower has compared hashes", || {
            counter(follower, "comparisons") == 2 && is_following(follower)
        });
        assert_eq!(counter(follower, "copied_records"), copied);
    }
    put_function(&restarted, "fresh", 7);
    cluster.assert_propagated(Instant::now(), "fresh", Some(7.0));
    assert_eq!(status(&restarted)["feed"]["difference_bytes"], json!(0));
}

/// A follower that starts without any control node serves the records on its disk; one without records is not ready.
#[test]
fn a_follower_starts_from_its_disk_and_is_not_ready_without_a_copy() {
    let mut cluster = Cluster::new(1, 1);
    cluster.controls.clear();
    cluster.followers.clear();
    let known = cluster.start_follower(0);
    assert_eq!(status(&known)["ready"], json!(true));
    assert!(function_memory(&known, "once").is_some());
    let empty = cluster.start_follower(1);
    assert_eq!(status(&empty)["ready"], json!(false));
    let call =
        |name: &str| ask(empty.address, "POST", &format!("/v1/functions/{name}/invocations"), &[], b"x");
    let early = call("once");
    assert_eq!(
        (early.status, early.header("retry-after")),
        (503, Some("1")),
        "the function may arrive later"
    );
    assert_eq!(early.header("corkbay-may-have-run"), Some("false"));
    let _control = cluster.start_control(0);
    until("it has its first copy", || is_following(&empty) && function_memory(&empty, "once").is_some());
    assert_eq!(call("nowhere").status, 404);
}

#[test]
fn a_follower_refuses_changes_and_names_the_problem() {
    let cluster = Cluster::new(1, 1);
    let follower = cluster.followers[0].address;
    let function = json!({"class": "check"}).to_string();
    let worker = json!({"address": "127.0.0.1:9"}).to_string();
    for (method, path, body) in [
        ("PUT", "/v1/functions/f", function.as_str()),
        ("DELETE", "/v1/functions/once", ""),
        ("PUT", "/v1/workers/w", worker.as_str()),
        ("DELETE", "/v1/workers/w", ""),
    ] {
        let response = ask(follower, method, path, &[], body.as_bytes());
        assert_eq!(response.status, 409, "{method} {path}");
        assert_eq!(response.header("content-type"), Some("application/problem+json"));
        let kind = response.json()["type"].as_str().expect("a type").to_string();
        assert!(kind.ends_with("follower"), "{kind}");
    }
    assert!(function_memory(&cluster.followers[0], "once").is_some());
}

#[test]
fn a_refusal_names_the_control_nodes_api() {
    let folder = Folder::new();
    let sections = format!(
        "[follow]\n[[follow.control]]\naddress = \"{}\"\napi = \"127.0.0.1:8080\"\n{}",
        free_address(),
        classes_only()
    );
    let follower = start_node(&folder, "f", &sections);
    let response = ask(follower.address, "DELETE", "/v1/functions/once", &[], b"");
    let detail = response.json()["detail"].as_str().expect("a detail").to_string();
    assert!(response.status == 409 && detail.contains("http://127.0.0.1:8080"), "{detail}");
}

#[test]
fn a_follower_with_functions_of_its_own_does_not_start() {
    let folder = Folder::new();
    let follow = format!("[follow]\n[[follow.control]]\naddress = \"{}\"\n", free_address());
    let file = folder.write("f.toml", &support::nodes::deploy("f", &format!("{follow}{CLASSES}")));
    let end = Command::new(env!("CARGO_BIN_EXE_corkbay")).arg("serve").arg(file).output().expect("runs");
    let errors = String::from_utf8_lossy(&end.stderr).into_owned();
    assert_eq!(end.status.code(), Some(2));
    assert!(errors.contains("function: ") && errors.trim_end().lines().count() == 1, "{errors}");
}

/// A node that becomes a follower must not start on its old data: its own records would remain next to those of its control
/// nodes, or hide them.
#[test]
fn a_follower_does_not_start_on_the_data_of_another_role() {
    let folder = Folder::new();
    drop(start_node(&folder, "f", CLASSES));
    let follow =
        format!("[follow]\n[[follow.control]]\naddress = \"{}\"\n{}", free_address(), classes_only());
    let file = folder.write("f.toml", &support::nodes::deploy("f", &follow));
    let end = Command::new(env!("CARGO_BIN_EXE_corkbay")).arg("serve").arg(file).output().expect("runs");
    let errors = String::from_utf8_lossy(&end.stderr).into_owned();
    assert_eq!(end.status.code(), Some(2));
    assert!(errors.contains("data_dir: ") && errors.trim_end().lines().count() == 1, "{errors}");
    let again = start_node(&folder, "f", CLASSES);
    assert!(function_memory(&again, "once").is_some(), "nothing was written");
}

/// A frame that is corrupt, too long or out of order ends only its own connection.
#[test]
fn an_invalid_frame_ends_only_its_connection() {
    let cluster = Cluster::new(1, 1);
    let connections = counter(&cluster.followers[0], "connections");
    let mut damaged = frame(r#"{"hello":{"node":"x","position":null}}"#);
    damaged[9] ^= 1;
    let long = frame(&format!("\"{}\"", "x".repeat(1 << 20)));
    for bytes in [damaged, long, vec![0xff; 64], frame("[1,2]"), frame("\"next_page\""), frame("{")] {
        let mut caller = TcpStream::connect(cluster.feeds[0]).expect("listens");
        // The connection may be closed before everything is written.
        let _ = caller.write_all(&bytes);
        until_ended(caller);
    }
    put_function(&cluster.controls[0], "fresh", 7);
    cluster.assert_propagated(Instant::now(), "fresh", Some(7.0));
    assert_eq!(counter(&cluster.followers[0], "connections"), connections);
}

/// An idle follower only exchanges heartbeats, so that many followers cause little traffic.
#[test]
fn an_idle_follower_causes_little_traffic() {
    let cluster = Cluster::new(1, 1);
    let follower = &cluster.followers[0];
    let bytes = || counter(follower, "received_bytes") + counter(follower, "sent_bytes");
    let window = Duration::from_secs(6);
    let (before, start) = (bytes(), Instant::now());
    std::thread::sleep(window);
    let exchanged = (bytes() - before) as f64;
    assert!(exchanged > 0.0, "no heartbeat in {window:?}");
    assert!(exchanged / start.elapsed().as_secs_f64() <= IDLE_BYTES_PER_S, "{exchanged} bytes in {window:?}");
    assert!(is_following(follower));
}
