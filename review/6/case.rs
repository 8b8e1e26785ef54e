//! A follower whose class drops repeats by zone (`dedup_scope = "zone"`), before workers of three other zones. One of
//! the six workers, the only one of its zone, dies under a call. The call may have run, so it may go nowhere else.
#[path = "../stand_ins_2.rs"]
mod stand_ins_2;
use stand_ins_2::*;
use std::collections::BTreeSet;
use std::sync::Arc;

const FUNCTIONS: usize = 24;

const CLASS: &str = "
[[class]]
name = \"post\"
aim_ms = 750
give_up_ms = 3000
effect = \"token\"
dedup_scope = \"zone\"
dedup_window_ms = 6000
worth = 2
late_worth = 0.3
";

fn case(record: &Arc<Record>, trouble: bool) -> i32 {
    let fleet = Fleet::new(record, 200, 6000.0);
    let folder = Folder::new("6");
    let (control_api, feed, follower_api) = (free_address(), free_address(), free_address());
    let mut control = format!(
        "node = \"control-a\"\nlisten = \"{control_api}\"\ndata_dir = \"control\"\nzone = \"hall-a\"\n\
         [feed]\nlisten = \"{feed}\"\n{CLASS}"
    );
    for number in 0..FUNCTIONS {
        control += &format!(
            "[[function]]\nname = \"grant-{number}\"\nclass = \"post\"\nmemory_mb = 512\nlanes = 1\n"
        );
    }
    for (number, zone) in ["hall-b", "hall-c", "hall-d", "hall-c", "hall-d", "hall-d"].iter().enumerate() {
        let name = format!("worker-{}", number + 1);
        let address = fleet.worker(&name, zone);
        control += &format!(
            "[[worker]]\nname = \"{name}\"\naddress = \"{address}\"\nzone = \"{zone}\"\ncell = {number}\n"
        );
    }
    let follower = format!(
        "node = \"invoker-1\"\nlisten = \"{follower_api}\"\ndata_dir = \"follower\"\nzone = \"hall-a\"\n\
         [follow]\n[[follow.control]]\naddress = \"{feed}\"\nzone = \"hall-a\"\napi = \"{control_api}\"\n{CLASS}"
    );
    let control =
        Daemon::serve(record, &folder, "control", &folder.write("control.toml", &control), control_api);
    control.wait_until_ready();
    let follower =
        Daemon::serve(record, &folder, "follower", &folder.write("follower.toml", &follower), follower_api);
    follower.wait_until_ready();
    // Each function is called once; those that the only worker of hall-b served are called there again.
    let call_of =
        |function: &str, key: &str| post_to(record, follower_api, function, "a call", key, Style::Held);
    let mut functions = Vec::new();
    for number in 0..FUNCTIONS {
        let function = format!("grant-{number}");
        call_of(&function, &format!("loan-1-{number}"));
        if fleet.runs().last().is_some_and(|run| run.worker == "worker-1") {
            functions.push(function);
        }
    }
    assert!(!functions.is_empty(), "no function is served by worker-1");
    let killer = trouble.then(|| {
        let (fleet, before) = (fleet.clone(), fleet.runs().len());
        std::thread::spawn(move || {
            wait_until("a call at the worker", 5000, || {
                fleet.runs()[before..].iter().any(|run| run.worker == "worker-1")
            });
            pause_ms(50);
            fleet.kill("worker-1");
        })
    });
    for (number, function) in functions.iter().enumerate() {
        call_of(function, &format!("loan-2-{number}"));
    }
    killer.into_iter().for_each(|killer| killer.join().expect("a worker dies"));
    let keys: BTreeSet<String> = fleet.runs().iter().map(|run| run.key.clone()).collect();
    let mut broken = 0;
    for key in &keys {
        let zones: Vec<String> =
            fleet.runs().iter().filter(|run| run.key == *key).map(|run| run.group.clone()).collect();
        if zones.iter().any(|zone| *zone != zones[0]) {
            broken += 1;
            record.line(format!("BROKEN: key {key} ran in {zones:?}"));
        }
    }
    record.line(format!("{} keys ran, {broken} of them in two zones", keys.len()));
    assert!(keys.len() >= FUNCTIONS, "{} calls reached a worker", keys.len());
    drop((follower, control));
    if broken > 0 {
        BROKEN
    } else {
        HELD
    }
}

fn main() {
    main_of(case)
}
