use super::*;

/// Guards the usual clients against those that connect and say nothing, or ask once and stay: these
/// give way first, and nobody who is owed an answer does.
#[test]
fn the_silent_give_way_first_then_the_longest_idle_and_the_busy_never() {
    let mut clients = ClientTable::default();
    let idle = clients.insert("idle", 1.0);
    let fresh = clients.insert("fresh", 2.0);
    let busy = clients.insert("busy", 0.0);
    clients.insert("silent", 5.0);
    clients.insert("silent longer", 4.0);
    for (number, now) in [(idle, 3.0), (fresh, 6.0)] {
        clients.opened(number);
        assert_eq!(clients.state(number).0, ClientState::Busy);
        clients.answered(number, now);
        clients.closed(number, now);
        assert_eq!(clients.state(number), (ClientState::Idle, now));
    }
    clients.opened(busy);
    let ways: Vec<_> = std::iter::from_fn(|| clients.evict_idle(|_| false).ok()).collect();
    assert_eq!(ways, ["silent longer", "silent", "idle", "fresh"]);
    clients.closed(busy, 9.0);
    assert_eq!(clients.state(busy), (ClientState::Silent, 9.0), "what it took back was never answered");
    assert_eq!(clients.evict_idle(|_| false), Ok("busy"));
    clients.remove(busy);
    assert_eq!(clients.evict_idle(|_| false), Err(NoneIdle::Busy));
}

/// Guards a drain: all are drained, newcomers too; each is shut once, and while something is owed on it not at all.
#[test]
fn all_are_drained_and_shut_once_nothing_is_owed() {
    let mut clients = ClientTable::default();
    let first = clients.insert("first", 1.0);
    assert!(!clients.is_draining(first));
    assert_eq!(
        (clients.drain(|_| false), clients.is_draining(first), clients.is_shut(first)),
        (vec!["first"], true, true)
    );
    let second = clients.insert("second", 2.0);
    clients.opened(second);
    assert_eq!(
        (clients.drain(|_| false), clients.is_draining(second), clients.is_shut(second)),
        (vec![], true, false)
    );
    clients.closed(second, 3.0);
    assert_eq!(clients.drain(|_| false), ["second"]);
    assert!(clients.drain(|_| false).is_empty());
}

/// Guards a connection that passes to a successor: it is passed or closed, never both, and by one alone.
#[test]
fn what_is_busy_is_passed_on_or_told_to_go() {
    let mut clients = ClientTable::default();
    let [idle, busy, late] = ["idle", "busy", "late"].map(|name| clients.insert(name, 1.0));
    [busy, late].into_iter().for_each(|number| clients.opened(number));
    assert!(!clients.hand_over(busy), "nobody leaves yet");
    assert_eq!(clients.drain(|_| false), ["idle"]);
    assert!(!clients.hand_over(idle) && clients.hand_over(busy) && !clients.hand_over(busy));
    clients.closed(busy, 2.0);
    assert_eq!((clients.drain(|_| false), clients.evict_idle(|_| false)), (vec![], Ok("idle")));
    clients.closed(late, 3.0);
    assert_eq!(clients.drain(|_| false), ["late"], "nothing is owed on it any more");
    assert!(!clients.hand_over(late));
}

/// Guards what stands unread on a connection whose place is wanted: another gives way, and it leaves once it was answered.
#[test]
fn who_has_sent_something_gives_way_after_its_answer() {
    let mut clients = ClientTable::default();
    let [asking, other] = ["asking", "other"].map(|name| clients.insert(name, 1.0));
    assert_eq!(clients.evict_idle(|name| *name == "asking"), Ok("other"));
    clients.remove(other);
    clients.opened(asking);
    assert!(!clients.leave(asking) && !clients.is_shut(asking), "its client is still seen to leave");
    clients.closed(asking, 2.0);
    assert!(clients.leave(asking) && clients.is_shut(asking) && !clients.leave(asking));
    assert_eq!(clients.evict_idle(|_| false), Ok("asking"), "should its reader not end");
}

/// Guards usual clients against a flood that was not read yet.
#[test]
fn nobody_who_was_answered_gives_way_before_the_silent_were_read() {
    let mut clients = ClientTable::default();
    let usual = clients.insert("usual", 1.0);
    clients.answered(usual, 2.0);
    clients.insert("flood", 3.0);
    assert_eq!(clients.evict_idle(|name| *name == "flood"), Err(NoneIdle::Unread));
    clients.insert("silent", 4.0);
    assert_eq!(clients.evict_idle(|name| *name == "flood"), Ok("silent"));
    assert_eq!(clients.evict_idle(|_| false), Ok("flood"));
    assert_eq!(clients.evict_idle(|_| false), Ok("usual"));
}

/// Guards newcomers against a reader that never reads on: its turn is waited for a few times only.
#[test]
fn a_reader_that_is_held_up_makes_newcomers_wait_a_few_times_only() {
    let mut clients = ClientTable::default();
    clients.insert("held up", 1.0);
    let looks: Vec<_> = (0..9).map(|_| clients.evict_idle(|_| true)).collect();
    let (unread, busy) = looks.split_at(READERS_TURNS as usize - 1);
    assert!(unread.iter().all(|end| *end == Err(NoneIdle::Unread)), "{looks:?}");
    assert!(busy.iter().all(|end| *end == Err(NoneIdle::Busy)), "{looks:?}");
}

/// Guards a request that stands unread when its connection is drained: its client is still seen to leave.
#[test]
fn a_drain_shuts_nothing_on_which_something_stands_unread() {
    let mut clients = ClientTable::default();
    let [asking, idle] = ["asking", "idle"].map(|name| clients.insert(name, 1.0));
    assert_eq!(clients.drain(|name| *name == "asking"), ["idle"]);
    assert!(clients.is_draining(asking) && !clients.is_shut(asking) && clients.is_shut(idle));
    clients.opened(asking);
    assert!(clients.drain(|_| false).is_empty(), "something is owed on it");
    clients.closed(asking, 2.0);
    assert_eq!(clients.drain(|_| false), ["asking"]);
}
