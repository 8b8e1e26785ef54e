//! Keyed calls that may have run, over sockets: they are sent again only to workers that are known to drop repeats of
//! them, however the workers became known to the node.
mod support;

use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};
use support::nodes::{classes_only, deploy, replication, start_node};
use support::platform::{dispatch, fields, Fixture};
use support::workers::{Behaviour, Fleet};
use support::{ask, free_address, head, receive, start, until, Daemon, Folder, CLASSES};

/// The zones of the workers; the node itself is in another one.
const ZONES: [&str; 4] = ["hall-b", "hall-c", "hall-d", "hall-d"];
const CALLS: usize = 12;
/// The client's time.
const DEADLINE: Duration = Duration::from_millis(1500);

/// The client's time in milliseconds, as it is written in a request.
fn deadline_ms() -> String {
    DEADLINE.as_millis().to_string()
}

/// Replaces the scope of the keyed class.
fn with_scope(classes: &str, scope: &str) -> String {
    classes.replace("dedup_scope = \"cell\"", &format!("dedup_scope = \"{scope}\""))
}

/// Workers that close the connection of each call after they have received it, so that it may have run.
struct Workers {
    fleet: Fleet,
    addresses: Vec<SocketAddr>,
}

impl Workers {
    fn http() -> Self {
        Self::with(Fleet::http)
    }

    fn frames() -> Self {
        Self::with(Fleet::frames)
    }

    fn with(start: impl Fn(&Fleet, &str) -> SocketAddr) -> Self {
        let fleet = Fleet::new(&[Behaviour::Reset]);
        let addresses = (0..ZONES.len()).map(|number| start(&fleet, &number.to_string())).collect();
        Workers { fleet, addresses }
    }

    /// Entries of a deploy file; `place` is the rest of an entry, given the number of the worker.
    fn entries(&self, place: impl Fn(usize) -> String) -> String {
        let entry = |(number, address): (usize, &SocketAddr)| {
            format!("[[worker]]\nname = \"w{number}\"\naddress = \"{address}\"\n{}", place(number))
        };
        self.addresses.iter().enumerate().map(entry).collect()
    }

    fn entries_in_zones(&self) -> String {
        self.entries(|number| format!("zone = \"{}\"\ncell = {number}\n", ZONES[number]))
    }

    /// Adds the workers by API.
    fn put(&self, node: SocketAddr) {
        for (number, address) in self.addresses.iter().enumerate() {
            let worker = json!({"address": address.to_string(), "zone": ZONES[number], "cell": number});
            put_worker(node, &format!("w{number}"), &worker);
        }
    }

    /// The workers that each call was sent to, by the call's body.
    fn workers_by_call(&self) -> BTreeMap<Vec<u8>, Vec<usize>> {
        let mut calls = BTreeMap::<Vec<u8>, Vec<usize>>::new();
        for sent in self.fleet.sent() {
            calls.entry(sent.body).or_default().push(sent.worker.parse().expect("a number"));
        }
        calls
    }

    /// Sends keyed calls by HTTP and checks where they went.
    fn assert_calls_stay_in_their_zone(&self, node: &Daemon) {
        until("all workers are known", || {
            ask(node.address, "GET", "/v1/workers", &[], b"").json().as_object().map(|all| all.len())
                == Some(ZONES.len())
        });
        let prefix = format!("after-{}", self.fleet.sent().len());
        call(node, &prefix);
        self.assert_each_call_in_one_zone(node);
    }

    /// Checks that each call so far stayed in one zone, and that calls were sent again there.
    fn assert_each_call_in_one_zone(&self, node: &Daemon) {
        let calls = self.workers_by_call();
        for (call, workers) in &calls {
            let zones: BTreeSet<&str> = workers.iter().map(|worker| ZONES[*worker]).collect();
            let call = String::from_utf8_lossy(call);
            assert_eq!(zones.len(), 1, "{call} was sent to {workers:?}; log:\n{}", node.errors());
        }
        assert!(calls.values().any(|workers| workers.len() > 1), "none was sent again: {calls:?}");
    }
}

/// Adds or changes a worker by API.
fn put_worker(node: SocketAddr, name: &str, worker: &Value) {
    let path = format!("/v1/workers/{name}");
    assert_eq!(ask(node, "PUT", &path, &[], worker.to_string().as_bytes()).status, 204);
}

/// Sends keyed calls, none of which is answered by a worker. Their keys begin with `prefix`.
fn call(node: &Daemon, prefix: &str) {
    let path = "/v1/functions/post/invocations";
    let deadline = deadline_ms();
    for number in 0..CALLS {
        let key = format!("{prefix}-{number}");
        let headers = [("Idempotency-Key", key.as_str()), ("Corkbay-Deadline-Ms", deadline.as_str())];
        let answer = ask(node.address, "POST", path, &headers, key.as_bytes());
        assert!(matches!(answer.status, 502..=504), "{}", answer.status);
    }
}

/// Guards against a keyed call that runs in two zones after a reset, because the node's own file names neither (a follower's
/// file may name no worker).
#[test]
fn a_keyed_call_of_a_follower_stays_in_its_zone() {
    let (folder, workers, feed) = (Folder::new(), Workers::http(), free_address());
    let sections = format!(
        "zone = \"hall-a\"\n[feed]\nlisten = \"{feed}\"\n{}{}",
        with_scope(CLASSES, "zone"),
        workers.entries_in_zones()
    );
    let _control = start_node(&folder, "control", &sections);
    let sections = format!(
        "zone = \"hall-a\"\n[follow]\n[[follow.control]]\naddress = \"{feed}\"\n{}",
        with_scope(classes_only(), "zone")
    );
    let follower = start_node(&folder, "follower", &sections);
    until("it has the function", || {
        ask(follower.address, "GET", "/v1/functions", &[], b"").json()["post"].is_object()
    });
    workers.assert_calls_stay_in_their_zone(&follower);
    let log = follower.errors();
    assert!(log.contains("scope=\"zone\" zone=\"hall-"), "the log tells the zones of retries:\n{log}");
}

/// Guards against the same where a peer was told of the workers.
#[test]
fn a_keyed_call_stays_in_its_zone_where_a_peer_names_it() {
    let (folder, workers) = (Folder::new(), Workers::http());
    let addresses = [free_address(), free_address()];
    let nodes = [0, 1].map(|number| {
        let peers = replication(addresses[number], &addresses[1 - number..=1 - number], 100);
        start_node(&folder, &format!("n{number}"), &(peers + &with_scope(CLASSES, "zone")))
    });
    workers.put(nodes[0].address);
    workers.assert_calls_stay_in_their_zone(&nodes[1]);
}

/// Guards against the same at a node alone whose workers are added by API, and after its restart from disk.
#[test]
fn a_keyed_call_stays_in_its_zone_where_workers_are_added_by_api() {
    let (folder, workers) = (Folder::new(), Workers::http());
    let file = folder.write("n.toml", &deploy("n", &with_scope(CLASSES, "zone")));
    let node = Daemon::serve(&file);
    workers.put(node.address);
    workers.assert_calls_stay_in_their_zone(&node);
    drop(node);
    let restarted = Daemon::serve(&file);
    workers.assert_calls_stay_in_their_zone(&restarted);
}

/// Guards against the same for deferred calls.
#[test]
fn a_deferred_keyed_call_stays_in_its_zone() {
    let (folder, workers) = (Folder::new(), Workers::http());
    let node = Daemon::serve(&folder.write("n.toml", &deploy("n", &with_scope(CLASSES, "zone"))));
    workers.put(node.address);
    let deadline = deadline_ms();
    for number in 0..CALLS {
        let key = format!("key-{number}");
        let headers = [
            ("Idempotency-Key", key.as_str()),
            ("Corkbay-Deadline-Ms", deadline.as_str()),
            ("Prefer", "respond-async"),
        ];
        let accepted = ask(node.address, "POST", "/v1/functions/post/invocations", &headers, key.as_bytes());
        let location = accepted.header("location").expect("accepted").to_string();
        until("it has ended", || {
            ask(node.address, "GET", &location, &[("Prefer", "wait=1")], b"").status != 202
        });
    }
    workers.assert_each_call_in_one_zone(&node);
}

/// Guards against the same where the deploy file names the zones from the start.
#[test]
fn a_keyed_call_stays_in_its_zone_where_the_deploy_file_names_it() {
    let (folder, workers) = (Folder::new(), Workers::http());
    let text = deploy("n", &with_scope(CLASSES, "zone")) + &workers.entries_in_zones();
    workers.assert_calls_stay_in_their_zone(&Daemon::serve(&folder.write("n.toml", &text)));
}

/// Guards against the same where the deploy file names the zones only once it is read again.
#[test]
fn a_keyed_call_stays_in_its_zone_after_a_reload_that_names_it() {
    let (folder, workers) = (Folder::new(), Workers::http());
    let text = deploy("n", &with_scope(CLASSES, "zone"));
    let node = Daemon::serve(&folder.write("n.toml", &text));
    folder.write("n.toml", &(text + &workers.entries_in_zones()));
    node.signal("HUP");
    workers.assert_calls_stay_in_their_zone(&node);
}

/// Guards against the same on the platform, where discovery lists workers in zones that the settings do not name.
#[test]
fn a_keyed_call_stays_in_its_zone_where_discovery_names_it() {
    let workers = Workers::frames();
    let fixture = Fixture::with_settings(&[Behaviour::Reset], 0, 1024, 192, |settings| {
        settings["classes"][1]["dedupScope"] = json!("zone");
    });
    let endpoint = |(number, address): (usize, &SocketAddr)| {
        json!({"name": format!("w{number}"), "address": address.to_string(), "zone": ZONES[number], "type": "std",
               "group": number, "status": "up", "weight": 1, "since_ms": 0})
    };
    let endpoints: Vec<_> = workers.addresses.iter().enumerate().map(endpoint).collect();
    let event = json!({"cursor": 2, "nodes": {"index": 2, "snapshot": true, "endpoints": endpoints}});
    fixture.channel.events.send(format!("id: 2\ndata: {event}\n\n")).expect("channel");
    fixture.await_known("w0");
    let mut client = fixture.client();
    let deadline = deadline_ms();
    for number in 0..CALLS {
        let (id, body) = (format!("{:016x}", number + 1), format!("call-{number}"));
        client.send(&dispatch(number as i32, &fields("post", &id, &deadline), body.as_bytes()));
        client.receive().expect("an answer");
    }
    workers.assert_each_call_in_one_zone(&fixture.daemon);
}

/// Guards against a keyed call that runs in two zones or cells because the entries name neither: it is sent only once, and
/// its client is told at once.
#[test]
fn a_keyed_call_is_not_sent_again_where_no_place_is_named() {
    for scope in ["zone", "cell"] {
        for is_put in [false, true] {
            let (folder, workers) = (Folder::new(), Workers::http());
            let text = deploy("n", &with_scope(CLASSES, scope));
            let entries = if is_put { String::new() } else { workers.entries(|_| String::new()) };
            let node = Daemon::serve(&folder.write("n.toml", &(text + &entries)));
            for (number, address) in workers.addresses.iter().enumerate().filter(|_| is_put) {
                put_worker(node.address, &format!("w{number}"), &json!({"address": address.to_string()}));
            }
            let start = Instant::now();
            call(&node, "key");
            assert!(start.elapsed() < DEADLINE * CALLS as u32, "clients wait for nothing");
            let calls = workers.workers_by_call();
            assert_eq!(calls.len(), CALLS, "{scope}");
            assert!(calls.values().all(|workers| workers.len() == 1), "{scope}: {calls:?}");
        }
    }
}

/// Guards against a keyed call that runs in two zones because its worker is listed in another one while the call is there.
#[test]
fn a_keyed_call_does_not_follow_its_worker_to_another_zone() {
    let folder = Folder::new();
    let node = Daemon::serve(&folder.write("n.toml", &deploy("n", &with_scope(CLASSES, "zone"))));
    let put = |name: &str, address: SocketAddr, zone: &str| {
        put_worker(node.address, name, &json!({"address": address.to_string(), "zone": zone}));
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    put("first", address, "north");
    let deadline = deadline_ms();
    let headers = [("Idempotency-Key", "key"), ("Corkbay-Deadline-Ms", deadline.as_str())];
    let mut client = start(node.address, "POST", "/v1/functions/post/invocations", &headers, b"a call");
    let (socket, _) = listener.accept().expect("the call");
    let mut reader = BufReader::new(socket);
    head(&mut reader).expect("the head of the call");
    reader.read_exact(&mut [0; "a call".len()]).expect("the call");
    let others = Fleet::new(&[Behaviour::Serve]);
    put("second", others.http("second"), "south");
    put("first", address, "south");
    drop((reader, listener));
    let answer = receive(&mut BufReader::new(&mut client));
    assert_eq!(others.sent(), [], "{}; log:\n{}", answer.status, node.errors());
    assert_eq!(answer.header("corkbay-may-have-run"), Some("true"));
}
