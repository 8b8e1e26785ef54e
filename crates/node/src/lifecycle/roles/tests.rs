use super::*;
use crate::lifecycle::deploy::read;

const NODE: &str = "node = \"n\"\nlisten = \"127.0.0.1:0\"\n";
const CLASS: &str = "[[class]]\nname = \"check\"\naim_ms = 100\ngive_up_ms = 1000\neffect = \"pure\"\n";
const FEED: &str = "[feed]\nlisten = \"127.0.0.1:0\"\n";
const FOLLOW: &str = "[follow]\n[[follow.control]]\naddress = \"127.0.0.1:7\"\n";
const REPLICATION: &str = "[replication]\nlisten = \"127.0.0.1:0\"\n";
const FUNCTION: &str = "[[function]]\nname = \"f\"\nclass = \"check\"\n";
const WORKER: &str = "[[worker]]\nname = \"w\"\naddress = \"127.0.0.1:9\"\n";

fn check(sections: &[&str]) -> Result<Deploy, ConfigError> {
    check_file(&format!("{NODE}{CLASS}{}", sections.concat()))
}

fn check_file(text: &str) -> Result<Deploy, ConfigError> {
    let deploy: Deploy = read(text)?;
    deploy.check().map(|()| deploy)
}

/// Guards the format of errors: one line that names the key at fault.
#[test]
fn role_errors_name_the_key_in_one_line() {
    for (sections, key) in [
        (vec!["[feed]\n"], "feed"),
        (vec![FEED, "colour = 1\n"], "feed.colour"),
        (vec![FEED, "followers = 0\n"], "feed.followers"),
        (vec![FEED, "followers = 2000\n"], "feed.followers"),
        // The connections would leave no room for messages in the replication account.
        (vec![FEED, "followers = 400\n"], "feed.followers"),
        (vec![FEED, "full_copies = 0\n"], "feed.full_copies"),
        (vec![FEED, "bytes_per_s = 10.0\n"], "feed.bytes_per_s"),
        (vec![FEED, "history = 0\n"], "feed.history"),
        (vec!["[follow]\n"], "follow.control"),
        (vec!["[follow]\n[[follow.control]]\nzone = \"z\"\n"], "follow.control[0]"),
        (vec!["[follow]\n[[follow.control]]\naddress = \"here\"\n"], "follow.control[0].address"),
        (vec!["[follow]\n[[follow.control]]\naddress = \"127.0.0.1:0\"\n"], "follow.control.address"),
        (vec![FOLLOW, "[[follow.control]]\naddress = \"127.0.0.1:7\"\n"], "follow.control.address"),
        (vec!["[follow]\ninvokers = 0\n[[follow.control]]\naddress = \"127.0.0.1:7\"\n"], "follow.invokers"),
        (vec!["[follow]\nreturn_s = 0\n[[follow.control]]\naddress = \"127.0.0.1:7\"\n"], "follow.return_s"),
        (vec![FOLLOW, FUNCTION], "function"),
        (vec![FOLLOW, WORKER], "worker"),
        (vec![FOLLOW, REPLICATION], "replication"),
        (vec![FOLLOW, FEED], "feed"),
    ] {
        let error = check(&sections).expect_err(key);
        let line = error.to_string();
        assert!(line.starts_with(&format!("configuration: {key}:")), "{key}: {line}");
        assert!(!line.contains('\n'), "{line}");
    }
    let line = check_file(&format!("{NODE}workers_file = \"w.toml\"\n{CLASS}{FOLLOW}")).expect_err("workers");
    assert!(line.to_string().starts_with("configuration: workers_file:"), "{line}");
}

#[test]
fn roles_are_off_by_default_and_their_limits_have_defaults() {
    let neither = check(&[FUNCTION, WORKER, REPLICATION]).expect("neither");
    assert!(neither.feed.is_none() && neither.follow.is_none());
    let control = check(&[FUNCTION, WORKER, REPLICATION, FEED]).expect("control node");
    let feed = control.feed.expect("feed");
    assert_eq!((feed.followers, feed.full_copies, feed.history), (100, 8, 4096));
    let zones = "[follow]\nzone = \"b\"\n[[follow.control]]\naddress = \"127.0.0.1:7\"\nzone = \"a\"\n";
    let follow = check(&[zones]).expect("follower").follow.expect("follow");
    assert_eq!(follow.zone.as_deref(), Some("b"));
    assert_eq!(follow.controls[0].zone, "a");
}

/// Guards against rejecting the many followers of a large fleet on a control node with enough memory.
#[test]
fn more_memory_makes_room_for_more_followers() {
    let text = format!("{NODE}memory_mb = 512\nsockets = 4096\n{CLASS}{FEED}followers = 440\n");
    check_file(&text).expect("room");
}
