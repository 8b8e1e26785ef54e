//! Runs the program end to end: batches on its standard input, replies on its standard output.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = r#"{"balancers":1,"classes":[{"name":"look","aimMs":1000.0,"giveUpMs":5000.0,"idempotency":"pure","worth":1.0,"later":"unknown key"}],"ceilings":{"attemptsCap":3,"cancel":true},"specifics":{"keepMs":8000.0,"notLoaded":"load","placementCalls":true,"ramMbByKind":[1000.0]},"models":["std"],"zones":["a"],"myZone":"a","periodMs":2.0,"safety":{"coldFrom":0.2,"coldMs":5000.0,"fallMultiple":2.0,"fallMs":1500.0,"drainGraceMs":1000.0}}"#;

/// Codes of outcomes in a `FINISHED` line.
const CONNECT_FAILED: u32 = 4;
const RESET: u32 = 5;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_corkbay-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // The write fails if the program has already exited on an invalid line, which some tests expect.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the program exits")
}

fn launch_batch(who: u32) -> String {
    format!(
        "TURN timeMs=100.0\nTARGET_INSTANCE who={who}\nLAUNCH salt=9 setup={SETUP}\nCATALOG bank=0 nodesList=1\n\
         ENTRY worker=worker-a dc=a flavor=std cell=0 phase=active size=1\n\
         ANNOUNCE kind=remembered gen=1 bank=0\nEND\n"
    )
}

const QUERY: &str = "QUERY id=00000000000000aa stateBits=0 width=2 kind=look memoryMb=100 expiresMs=4000.0 \
                     function=5 novelty=1";

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

#[test]
fn an_empty_batch_and_a_clean_end() {
    let output = run("TURN timeMs=1.0\nEND\n");
    assert!(output.status.success());
    assert_eq!(stdout(&output), "EOR\n");
    assert!(output.stderr.is_empty());
}

#[test]
fn a_call_triggers_a_load_and_is_dispatched_once_it_is_loaded() {
    let input = launch_batch(3)
        + &format!("TURN timeMs=110.0\nTARGET_INSTANCE who=3\n{QUERY}\nEND\n")
        + "TURN timeMs=112.0\nTARGET_INSTANCE who=3\n\
           LOAD_RESULT number=0 worker=worker-a rc=1 function=5 timeTakenMs=1.0\nEND\n\
           TURN timeMs=900.0\nTARGET_INSTANCE who=3\n\
           LOAD_RESULT number=1 worker=worker-a rc=1 function=5 timeTakenMs=700.0\nEND\n\
           TURN timeMs=990.0\nTARGET_INSTANCE who=3\n\
           FINISHED id=00000000000000aa worker=worker-a doneFlag=1 rc=1 hop=0 timeTakenMs=90.0 detail=9\nEND\n";
    let output = run(&input);
    assert!(output.status.success());
    let reply_text = stdout(&output);
    let replies: Vec<&str> = reply_text.split("EOR\n").collect();
    assert!(replies[1].contains("AT who=3\n"));
    assert!(replies[1].contains("ENSURE worker=worker-a function=5 number=0\n"));
    assert!(replies[2].contains("ENSURE worker=worker-a function=5 number=1\n"));
    assert!(replies[3].contains("DISPATCH id=00000000000000aa withinMs=0.000 worker=worker-a\n"));
    assert!(!replies[4].contains("SAY_NO") && !replies[4].contains("ERROR"));
}

#[test]
fn instances_do_not_learn_from_each_other() {
    let query_batch = |who: u32| format!("TURN timeMs=110.0\nTARGET_INSTANCE who={who}\n{QUERY}\nEND\n");
    let alone = stdout(&run(&(launch_batch(4) + &query_batch(4))));
    let both = stdout(&run(&(launch_batch(3)
        + &query_batch(3)
        + &launch_batch(4).replace("100.0\nT", "110.0\nT")
        + &query_batch(4))));
    let last_reply = |replies: &str| replies.trim_end().rsplit("EOR\n").next().map(str::to_string);
    assert!(last_reply(&alone).is_some_and(|reply| reply.contains("ENSURE")));
    assert_eq!(
        last_reply(&alone).map(|r| r.matches("ENSURE").count()),
        last_reply(&both).map(|r| r.matches("ENSURE").count())
    );
}

#[test]
fn a_stopped_instance_starts_afresh() {
    let input =
        launch_batch(3) + "TURN timeMs=200.0\nTARGET_INSTANCE who=3\nSHUTDOWN\n" + &launch_batch(3)[18..];
    let output = run(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn malformed_input_gets_one_error_line_and_a_failure_exit() {
    let invalid = [
        "HELLO\n",
        "TURN timeMs=abc\n",
        "TURN timeMs=1.0\nTURN timeMs=2.0\n",
        "TURN timeMs=1.0\nTARGET_INSTANCE who=1\nDANCE a=1\n",
        "TURN timeMs=1.0\nTARGET_INSTANCE who=1\nWAKE handle=1\n",
        "TURN timeMs=1.0\nTARGET_INSTANCE who=1\nLAUNCH salt=1 setup={oops\n",
        "TURN timeMs=1.0\nCATALOG bank=0 nodesList=2\nEND\n",
        "TURN timeMs=1.0\nWAKE handle\n",
        "TURN timeMs=1.0\n",
    ];
    let launched = launch_batch(1);
    let with_instance =
        ["QUERY id=zz kind=look expiresMs=1\n", "FINISHED id=00000000000000aa worker=w rc=99\n"]
            .map(|line| format!("{launched}TURN timeMs=110.0\nTARGET_INSTANCE who=1\n{line}"));
    for input in invalid.iter().map(|input| input.to_string()).chain(with_instance) {
        let output = run(&input);
        assert!(!output.status.success(), "{input}");
        let errors = String::from_utf8(output.stderr).expect("UTF-8");
        assert_eq!(errors.lines().count(), 1, "{errors}");
        assert!(errors.starts_with("corkbay-drill: line "), "{errors}");
    }
}

/// Guards against a keyed call that is dispatched to a second zone because the settings name neither zone.
#[test]
fn a_keyed_call_is_not_dispatched_to_a_second_zone_that_the_settings_do_not_name() {
    let keyed = r#""idempotency":"token","dedupScope":"zone","dedupWindowMs":4000.0"#;
    let setup = SETUP
        .replace(r#""idempotency":"pure""#, keyed)
        .replace(r#""placementCalls":true"#, r#""placementCalls":false"#);
    let start = format!(
        "TURN timeMs=100.0\nTARGET_INSTANCE who=3\nLAUNCH salt=9 setup={setup}\nCATALOG bank=0 nodesList=2\n\
         ENTRY worker=worker-b dc=b flavor=std cell=1 phase=active size=1\n\
         ENTRY worker=worker-c dc=c flavor=std cell=2 phase=active size=1\n\
         ANNOUNCE kind=remembered gen=1 bank=0\nEND\nTURN timeMs=110.0\nTARGET_INSTANCE who=3\n{QUERY}\nEND\n"
    );
    let first = stdout(&run(&start));
    let worker =
        ["worker-b", "worker-c"].into_iter().find(|worker| first.contains(worker)).expect("dispatched");
    let end = |outcome: u32| {
        format!(
            "TURN timeMs=150.0\nTARGET_INSTANCE who=3\nFINISHED id=00000000000000aa worker={worker} doneFlag=0 \
             rc={outcome} hop=0 timeTakenMs=40.0 detail=0\nEND\n"
        )
    };
    let other = if worker == "worker-b" { "worker-c" } else { "worker-b" };
    let not_run = stdout(&run(&(start.clone() + &end(CONNECT_FAILED))));
    assert!(not_run.contains(&format!("worker={other}")), "it has not run: {not_run}");
    let may_have_run = stdout(&run(&(start + &end(RESET))));
    assert!(!may_have_run.contains(&format!("worker={other}")), "it may have run: {may_have_run}");
}
