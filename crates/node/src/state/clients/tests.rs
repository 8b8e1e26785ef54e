use super::*;

/// Guards regular clients against those that connect and send nothing, or send one request and stay connected: these are
/// evicted first, and connections with unanswered requests never are.
#[test]
fn silent_connections_are_evicted_first_then_the_longest_idle_and_busy_ones_never() {
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
    let evicted: Vec<_> = std::iter::from_fn(|| clients.evict_idle(|_| false).ok()).collect();
    assert_eq!(evicted, ["silent longer", "silent", "idle", "fresh"]);
    clients.closed(busy, 9.0);
    assert_eq!(
        clients.state(busy),
        (ClientState::NeverAnswered, 9.0),
        "its cancelled request was never answered"
    );
    assert_eq!(clients.evict_idle(|_| false), Ok("busy"));
    clients.remove(busy);
    assert_eq!(clients.evict_idle(|_| false), Err(EvictionError::Busy));
}

/// Guards a drain: it covers all connections, new ones too; each is shut down once, and only without unanswered requests.
#[test]
fn all_connections_are_drained_and_shut_once_answered() {
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

/// Guards the handover of a connection to a successor: it is either handed over or closed, and only once.
#[test]
fn a_busy_connection_is_either_handed_over_or_closed() {
    let mut clients = ClientTable::default();
    let [idle, busy, late] = ["idle", "busy", "late"].map(|name| clients.insert(name, 1.0));
    [busy, late].into_iter().for_each(|number| clients.opened(number));
    assert!(!clients.hand_over(busy), "not draining yet");
    assert_eq!(clients.drain(|_| false), ["idle"]);
    assert!(!clients.hand_over(idle) && clients.hand_over(busy) && !clients.hand_over(busy));
    clients.closed(busy, 2.0);
    assert_eq!((clients.drain(|_| false), clients.evict_idle(|_| false)), (vec![], Ok("idle")));
    clients.closed(late, 3.0);
    assert_eq!(clients.drain(|_| false), ["late"], "all its requests are answered");
    assert!(!clients.hand_over(late));
}

/// Guards against losing an unread request by eviction: another connection is evicted, and this one is closed once it is
/// answered.
#[test]
fn a_connection_with_unread_data_is_evicted_after_its_answer() {
    let mut clients = ClientTable::default();
    let [asking, other] = ["asking", "other"].map(|name| clients.insert(name, 1.0));
    assert_eq!(clients.evict_idle(|name| *name == "asking"), Ok("other"));
    clients.remove(other);
    clients.opened(asking);
    assert!(
        !clients.leave(asking) && !clients.is_shut(asking),
        "a disconnect of its client is still noticed"
    );
    clients.closed(asking, 2.0);
    assert!(clients.leave(asking) && clients.is_shut(asking) && !clients.leave(asking));
    assert_eq!(clients.evict_idle(|_| false), Ok("asking"), "if its reader does not end");
}

/// Guards regular clients against a flood of new connections whose requests were not read yet.
#[test]
fn no_answered_connection_is_evicted_before_silent_ones_are_read() {
    let mut clients = ClientTable::default();
    let usual = clients.insert("usual", 1.0);
    clients.answered(usual, 2.0);
    clients.insert("flood", 3.0);
    assert_eq!(clients.evict_idle(|name| *name == "flood"), Err(EvictionError::Unread));
    clients.insert("silent", 4.0);
    assert_eq!(clients.evict_idle(|name| *name == "flood"), Ok("silent"));
    assert_eq!(clients.evict_idle(|_| false), Ok("flood"));
    assert_eq!(clients.evict_idle(|_| false), Ok("usual"));
}

/// Guards new connections against a stalled reader: its unread data defers an eviction a few times only.
#[test]
fn a_stalled_reader_defers_an_eviction_a_few_times_only() {
    let mut clients = ClientTable::default();
    clients.insert("held up", 1.0);
    let attempts: Vec<_> = (0..9).map(|_| clients.evict_idle(|_| true)).collect();
    let (unread, busy) = attempts.split_at(MAX_UNREAD_ATTEMPTS as usize - 1);
    assert!(unread.iter().all(|end| *end == Err(EvictionError::Unread)), "{attempts:?}");
    assert!(busy.iter().all(|end| *end == Err(EvictionError::Busy)), "{attempts:?}");
}

/// Guards against losing an unread request by a drain, and against missing the disconnect of its client.
#[test]
fn a_drain_does_not_shut_connections_with_unread_data() {
    let mut clients = ClientTable::default();
    let [asking, idle] = ["asking", "idle"].map(|name| clients.insert(name, 1.0));
    assert_eq!(clients.drain(|name| *name == "asking"), ["idle"]);
    assert!(clients.is_draining(asking) && !clients.is_shut(asking) && clients.is_shut(idle));
    clients.opened(asking);
    assert!(clients.drain(|_| false).is_empty(), "it has an unanswered request");
    clients.closed(asking, 2.0);
    assert_eq!(clients.drain(|_| false), ["asking"]);
}
