//! Keys are used, and used again for new calls after their window has passed. The node is restarted as planned, with its
//! disk; the new calls are repeated within their window. Each repeat gets the answer of the call that it repeats.
#[path = "../stand_ins_2.rs"]
mod stand_ins_2;
use stand_ins_2::*;
use std::sync::Arc;

const CALLS: usize = 16;
/// A key is kept for the call's deadline and the class's window, 3 s and 6 s.
const KEPT_MS: u64 = 9000;

fn case(record: &Arc<Record>, trouble: bool) -> i32 {
    let fleet = Fleet::new(record, 20, 6000.0);
    let folder = Folder::new("9");
    let api = free_address();
    let mut file = format!(
        "node = \"desk-1\"\nlisten = \"{api}\"\ndata_dir = \"desk-1\"\nzone = \"hall-a\"\n\
         [[class]]\nname = \"post\"\naim_ms = 750\ngive_up_ms = 3000\neffect = \"token\"\ndedup_scope = \"cell\"\n\
         dedup_window_ms = 6000\nworth = 2\nlate_worth = 0.3\n\
         [[function]]\nname = \"grant-meter-loan\"\nclass = \"post\"\nmemory_mb = 512\n"
    );
    for number in 0..2 {
        let name = format!("worker-{}", number + 1);
        let address = fleet.worker(&name, "cell 0");
        file += &format!("[[worker]]\nname = \"{name}\"\naddress = \"{address}\"\nzone = \"hall-a\"\ncell = 0\n");
    }
    let path = folder.write("desk-1.toml", &file);
    let mut node = Daemon::serve(record, &folder, "desk-1", &path, api);
    node.wait_until_ready();
    let keys: Vec<String> = (0..CALLS).map(|number| format!("desk-7-{number}")).collect();
    let first = answers(record, api, "the first call", &keys);
    pause_ms(KEPT_MS + 500);
    let second = answers(record, api, "the second call", &keys);
    if trouble {
        node.terminate();
        node = Daemon::serve(record, &folder, "desk-1", &path, api);
        node.wait_until_ready();
    }
    let repeats = answers(record, api, "a repeat of the second call", &keys);
    drop(node);
    let (mut compared, mut wrong) = (0, 0);
    for (index, key) in keys.iter().enumerate() {
        let (first, second, repeat) = (&first[index], &second[index], &repeats[index]);
        // Both calls were served, by runs of their own.
        if first.0 != 200 || second.0 != 200 || first == second {
            continue;
        }
        compared += 1;
        if repeat != second {
            wrong += 1;
            record.line(format!("BROKEN: key {key}: the second call was answered {second:?}, its repeat {repeat:?}"));
        }
    }
    record.line(format!("{compared} keys compared, {wrong} repeats with the answer of another call"));
    assert!(compared >= CALLS / 2, "{compared} keys can be compared");
    if wrong > 0 { BROKEN } else { HELD }
}

/// Status and body of the final answers to deferred calls with these keys.
fn answers(record: &Arc<Record>, api: std::net::SocketAddr, what: &str, keys: &[String]) -> Vec<(u16, String)> {
    let accepted = post_all(record, api, what, keys, Style::Deferred);
    let answer = |accepted: &Message| match accepted.status {
        202 => collect(record, api, accepted.header("location")),
        _ => accepted.clone(),
    };
    accepted.iter().map(answer).map(|answer| (answer.status, answer.text())).collect()
}

fn main() {
    main_of(case)
}
