//! Ever more functions are put at a control node, until its follower has no room for another. Then a worker is drained at
//! the control node. The follower may send nothing to that worker from 9 s after the answer on.
#[path = "../stand_ins_2.rs"]
mod stand_ins_2;
use stand_ins_2::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// Functions that are called, and calls of each.
const FUNCTIONS: usize = 8;
const CALLS_EACH: usize = 5;
/// Functions that are put between two looks at the follower, by so many callers at once, and the most in all.
const PUT_AT_A_TIME: usize = 400;
const PUTTERS: usize = 8;
const MOST_PUT: usize = 10_000;
/// A change counts as told 7 s later at the latest, and the rule on drains holds 2 s after that.
const TOLD_MS: u64 = 7000 + 2000;

const CLASS: &str = "
[[class]]
name = \"post\"
aim_ms = 750
give_up_ms = 3000
effect = \"token\"
dedup_scope = \"cell\"
dedup_window_ms = 6000
worth = 2
late_worth = 0.3
";

fn case(record: &Arc<Record>, trouble: bool) -> i32 {
    let fleet = Fleet::new(record, 20, 6000.0);
    let folder = Folder::new("9");
    let (control_api, feed, follower_api) = (free_address(), free_address(), free_address());
    let workers = ["worker-1", "worker-2"].map(|name| (name, fleet.worker(name, name)));
    let mut control = format!(
        "node = \"control-a\"\nlisten = \"{control_api}\"\ndata_dir = \"control\"\nzone = \"hall-a\"\nmemory_mb = 128\n\
         [feed]\nlisten = \"{feed}\"\n{CLASS}"
    );
    for number in 0..FUNCTIONS {
        control += &format!("[[function]]\nname = \"grant-{number}\"\nclass = \"post\"\nmemory_mb = 512\n");
    }
    for (cell, (name, address)) in workers.iter().enumerate() {
        control += &format!(
            "[[worker]]\nname = \"{name}\"\naddress = \"{address}\"\nzone = \"hall-a\"\ncell = {cell}\n"
        );
    }
    let follower = format!(
        "node = \"invoker-1\"\nlisten = \"{follower_api}\"\ndata_dir = \"follower\"\nzone = \"hall-a\"\nmemory_mb = 32\n\
         [follow]\n[[follow.control]]\naddress = \"{feed}\"\nzone = \"hall-a\"\napi = \"{control_api}\"\n{CLASS}"
    );
    let control =
        Daemon::serve(record, &folder, "control", &folder.write("control.toml", &control), control_api);
    control.wait_until_ready();
    let follower =
        Daemon::serve(record, &folder, "follower", &folder.write("follower.toml", &follower), follower_api);
    follower.wait_until_ready();
    if trouble {
        let mut put = 0;
        while is_keeping_up(follower_api) {
            assert!(put < MOST_PUT, "the follower has room for {put} functions");
            put_functions(control_api, put);
            put += PUT_AT_A_TIME;
            pause_ms(50);
        }
        record.line(format!(
            "{put} functions were put, and each answered 204; the follower has no room for the last"
        ));
    }
    let (name, address) = workers[0];
    let drained =
        format!("{{\"address\":\"{address}\",\"zone\":\"hall-a\",\"cell\":0,\"state\":\"draining\"}}");
    let answer = call(control_api, "PUT", &format!("/v1/workers/{name}"), &[], drained.as_bytes(), 5000);
    assert_eq!(answer.expect("an answer").status, 204);
    record.line(format!("the control node has answered 204 to the drain of {name}"));
    pause_ms(TOLD_MS);
    record.line(format!("the follower says {}", status_of(follower_api)));
    let begun = record.now_ms();
    for number in 0..FUNCTIONS * CALLS_EACH {
        let function = format!("grant-{}", number % FUNCTIONS);
        post_to(record, follower_api, &function, "a call", &format!("loan-{number}"), Style::Held);
    }
    drop((follower, control));
    let runs: Vec<Run> = fleet.runs().into_iter().filter(|run| run.at_ms >= begun).collect();
    let stale = runs.iter().filter(|run| run.worker == name).count();
    record.line(format!(
        "{} calls ran, {stale} of them at {name}, {TOLD_MS} ms after the answer to its drain",
        runs.len()
    ));
    assert!(runs.len() >= FUNCTIONS, "the follower serves");
    if stale > 0 {
        BROKEN
    } else {
        HELD
    }
}

fn status_of(api: SocketAddr) -> String {
    call(api, "GET", "/v1/status", &[], b"", 5000).expect("a status").text()
}

fn is_keeping_up(follower: SocketAddr) -> bool {
    status_of(follower).contains("\"failed_writes\":0")
}

fn put_functions(control: SocketAddr, first: usize) {
    let putters = (0..PUTTERS).map(|putter| {
        std::thread::spawn(move || {
            for number in (first + putter..first + PUT_AT_A_TIME).step_by(PUTTERS) {
                let path = format!("/v1/functions/function-of-a-partner-with-a-long-name-{number:06}");
                let answer =
                    call(control, "PUT", &path, &[], b"{\"class\":\"post\",\"memory_mb\":512}", 5000);
                assert_eq!(answer.expect("an answer").status, 204);
            }
        })
    });
    let putters: Vec<_> = putters.collect();
    putters.into_iter().for_each(|putter| putter.join().expect("a caller"));
}

fn main() {
    main_of(case)
}
