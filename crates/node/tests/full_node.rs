//! A node by itself whose memory for functions and workers is full: what it knows still changes.
mod support;

use serde_json::json;
use std::net::SocketAddr;
use support::nodes::{classes_only, deploy, function_memory, start_node, worker_state};
use support::workers::{Behaviour, Fleet};
use support::{ask, until, Daemon, Folder};

/// Share of the account `catalog`, with room for some hundred functions, in percent.
const SHARE: &str = "[memory]\nshares = { catalog = 0.15 }\n";
const MOST_FUNCTIONS: usize = 5000;

fn function(name: &str) -> String {
    format!("[[function]]\nname = \"{name}\"\nclass = \"check\"\n")
}

fn worker(name: &str, address: SocketAddr, state: &str) -> String {
    format!("[[worker]]\nname = \"{name}\"\naddress = \"{address}\"\nstate = \"{state}\"\n")
}

/// Puts functions until one is refused.
fn fill(node: &Daemon) {
    let body = json!({"class": "check"}).to_string();
    let is_refused = |number: &usize| {
        let path = format!("/v1/functions/by-api-{number}");
        ask(node.address, "PUT", &path, &[], body.as_bytes()).status == 503
    };
    assert!((0..MOST_FUNCTIONS).any(|number| is_refused(&number)), "the node has room for all functions");
}

fn served_by(node: &Daemon) -> Vec<u8> {
    ask(node.address, "POST", "/v1/functions/once-named/invocations", &[], b"x").body
}

/// Guards against a drain in the deploy file that is lost because a new function of the same file has no room.
#[test]
fn a_drain_in_the_deploy_file_holds_although_a_new_function_has_no_room() {
    let (folder, fleet) = (Folder::new(), Fleet::new(&[Behaviour::Serve; 2]));
    let (first, second) = (fleet.http("w1"), fleet.http("w2"));
    let sections = |functions: &[String], state: &str| {
        let functions = functions.concat();
        let workers = format!("{}{}", worker("w1", first, state), worker("w2", second, "up"));
        format!("{SHARE}{}{functions}{workers}", classes_only())
    };
    let mut functions = vec![function("once-named")];
    let node = start_node(&folder, "n", &sections(&functions, "up"));
    assert_eq!(served_by(&node), b"done: x");
    fill(&node);
    functions.extend((0..40).map(|number| function(&format!("new-{number}"))));
    folder.write("n.toml", &deploy("n", &sections(&functions, "draining")));
    node.signal("HUP");
    until("the worker is drained", || worker_state(&node, "w1") == json!("draining"));
    until("the refusal is reported", || node.errors().contains("memory_mb"));
    assert_eq!(function_memory(&node, "new-39"), None);
    assert_eq!(served_by(&node), b"done: x");
}
