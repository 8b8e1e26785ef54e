//! Nodes that replicate to each other as peers: idle traffic and convergence.
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::nodes::{
    classes_only, delete_function, frame, function_memory, put_function, replication, start_node, status,
    until_ended, Relay,
};
use support::{ask, free_address, until, Daemon, Folder, TEST_TIMEOUT};

/// Traffic limit of an idle pair: sixteen nodes, which are 120 pairs, may send 4 KB per second in total.
const IDLE_BYTES_PER_S_PER_PAIR: f64 = 4096.0 / 120.0;

fn mesh(folder: &Folder, nodes: usize, interval_ms: u64) -> Vec<Daemon> {
    let addresses: Vec<SocketAddr> = (0..nodes).map(|_| free_address()).collect();
    let node = |own: usize| {
        let peers: Vec<SocketAddr> =
            addresses.iter().copied().filter(|peer| *peer != addresses[own]).collect();
        let sections = format!("{}{}", replication(addresses[own], &peers, interval_ms), classes_only());
        start_node(folder, &format!("n{own}"), &sections)
    };
    (0..nodes).map(node).collect()
}

fn sent_bytes(nodes: &[Daemon]) -> u64 {
    nodes.iter().map(|node| status(node)["replication"]["sent_bytes"].as_u64().expect("a count")).sum()
}

/// Idle traffic depends on the number of pairs, not on the number of records or intervals.
#[test]
fn nodes_with_equal_records_cause_little_traffic() {
    let folder = Folder::new();
    let nodes = mesh(&folder, 5, 100);
    for number in 0..100 {
        put_function(&nodes[number % nodes.len()], &format!("f{number}"), 1);
    }
    until("all nodes have all functions", || {
        nodes.iter().all(|node| (0..100).all(|number| function_memory(node, &format!("f{number}")).is_some()))
    });
    let pairs = (nodes.len() * (nodes.len() - 1) / 2) as f64;
    let window = Duration::from_secs(5);
    let began = Instant::now();
    loop {
        let (before, start) = (sent_bytes(&nodes), Instant::now());
        std::thread::sleep(window);
        let rate = (sent_bytes(&nodes) - before) as f64 / start.elapsed().as_secs_f64();
        if rate <= pairs * IDLE_BYTES_PER_S_PER_PAIR {
            return;
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "{rate} bytes a second between {pairs} pairs");
    }
}

/// A write is sent at once and does not wait for the next comparison.
#[test]
fn a_write_is_pushed_at_once() {
    let folder = Folder::new();
    let nodes = mesh(&folder, 2, 60_000);
    // The second node found the first one listening. The first tried before the second listened, and compares again only
    // after a minute.
    until("the nodes are connected", || sent_bytes(&nodes[1..]) > 0);
    for (here, there) in [(&nodes[1], &nodes[0]), (&nodes[0], &nodes[1])] {
        put_function(here, "fresh", 5);
        until("the change has arrived", || function_memory(there, "fresh") == Some(5.0));
        delete_function(here, "fresh");
        until("the function is deleted", || function_memory(there, "fresh").is_none());
    }
}

/// Writes on either side of a network partition reach both sides after it, and the newer version of a record wins.
#[test]
fn partitioned_nodes_converge() {
    let folder = Folder::new();
    let addresses = [free_address(), free_address()];
    let relays = [Relay::to(addresses[0]), Relay::to(addresses[1])];
    let node = |own: usize| {
        let peers = [relays[1 - own].address];
        let sections = format!("{}{}", replication(addresses[own], &peers, 200), classes_only());
        start_node(&folder, &format!("n{own}"), &sections)
    };
    let nodes = [node(0), node(1)];
    put_function(&nodes[0], "shared", 1);
    until("both nodes are connected", || function_memory(&nodes[1], "shared") == Some(1.0));
    relays.iter().for_each(Relay::cut);
    put_function(&nodes[0], "left", 10);
    put_function(&nodes[1], "right", 20);
    put_function(&nodes[1], "shared", 2);
    put_function(&nodes[1], "shared", 3);
    put_function(&nodes[0], "shared", 4);
    delete_function(&nodes[0], "left");
    put_function(&nodes[0], "left", 11);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(function_memory(&nodes[1], "left"), None, "the nodes are partitioned");
    relays.iter().for_each(Relay::mend);
    for node in &nodes {
        until("both nodes have all writes", || {
            function_memory(node, "left") == Some(11.0)
                && function_memory(node, "right") == Some(20.0)
                && function_memory(node, "shared") == Some(3.0)
        });
    }
}

/// With little memory for messages a large catalog is sent in several of them.
#[test]
fn a_large_catalog_is_sent_in_several_messages() {
    const FUNCTIONS: usize = 1500;
    let folder = Folder::new();
    let addresses = [free_address(), free_address()];
    let node = |own: usize, functions: &str| {
        let memory = "[memory]\nshares = { replication = 0.4, catalog = 10 }\n";
        let replication = replication(addresses[own], &[addresses[1 - own]], 100);
        start_node(
            &folder,
            &format!("n{own}"),
            &format!("{memory}{replication}{}{functions}", classes_only()),
        )
    };
    let entry = |number: usize| format!("[[function]]\nname = \"f{number}\"\nclass = \"check\"\n");
    let functions: String = (0..FUNCTIONS).map(entry).collect();
    let full = node(0, &functions);
    let account = |node: &Daemon| {
        let accounts = status(node)["memory"]["accounts"].as_array().expect("a list").clone();
        accounts
            .into_iter()
            .find(|account| account["purpose"] == "replication")
            .expect("a replication account")
    };
    let records_bytes = FUNCTIONS as u64 * 200;
    assert!(
        account(&full)["cap_bytes"].as_u64().expect("bytes") / 8 < records_bytes,
        "more than one message"
    );
    let empty = node(1, "");
    until("all functions have arrived", || {
        ask(empty.address, "GET", "/v1/functions", &[], b"").json().as_object().map(|all| all.len())
            == Some(FUNCTIONS)
    });
    for node in [&full, &empty] {
        let account = account(node);
        assert!(account["peak_bytes"].as_u64() <= account["cap_bytes"].as_u64(), "{account}");
    }
}

/// During a rolling upgrade a peer of an earlier version is logged as an error and has no other effect.
#[test]
fn an_earlier_version_gets_a_clear_error() {
    let folder = Folder::new();
    let (ours, older) = (free_address(), free_address());
    let listener = TcpListener::bind(older).expect("free");
    std::thread::spawn(move || {
        // An older node reads a message that it doesn't know and closes the connection.
        for mut socket in listener.incoming().map_while(Result::ok) {
            let _ = socket.read(&mut [0; 4096]);
        }
    });
    let sections = format!("{}{}", replication(ours, &[older], 200), classes_only());
    let node = start_node(&folder, "n", &sections);
    until("the peer is logged", || {
        let errors = node.errors();
        errors.lines().any(|line| line.contains(&older.to_string()) && line.contains("earlier version"))
    });
    let mut caller = TcpStream::connect(ours).expect("listens");
    caller.write_all(&frame(r#"{"digest":{"stamps":{}}}"#)).expect("written");
    until_ended(caller);
    until("the caller is logged", || {
        node.errors().contains("a caller") && node.errors().contains("brought up")
    });
    put_function(&node, "f", 1);
    assert_eq!(function_memory(&node, "f"), Some(1.0));
}

/// A frame that is corrupt, too long or out of order ends only its own connection.
#[test]
fn an_invalid_frame_ends_only_its_connection() {
    let folder = Folder::new();
    let addresses = [free_address(), free_address()];
    let node = |own: usize| {
        let sections =
            format!("{}{}", replication(addresses[own], &[addresses[1 - own]], 200), classes_only());
        start_node(&folder, &format!("n{own}"), &sections)
    };
    let nodes = [node(0), node(1)];
    let mut damaged = frame(r#"{"hello":{"version":2,"node":"x"}}"#);
    damaged[9] ^= 1;
    for bytes in [damaged, vec![0xff; 64], frame(r#"{"compare":7}"#), frame("[1,2]"), frame("{")] {
        let mut caller = TcpStream::connect(addresses[0]).expect("listens");
        caller.write_all(&bytes).expect("written");
        until_ended(caller);
    }
    put_function(&nodes[1], "fresh", 5);
    until("the peers still replicate", || function_memory(&nodes[0], "fresh") == Some(5.0));
}
