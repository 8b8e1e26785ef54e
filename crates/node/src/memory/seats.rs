//! Who holds a client connection, and whose connection is closed when another client wants its place.
use corkbay::Ms;
use std::collections::BTreeMap;

/// The places of clients; `H` is what closes a connection.
#[derive(Debug)]
pub struct Seats<H> {
    next: u64,
    seats: BTreeMap<u64, Seat<H>>,
}

#[derive(Debug)]
struct Seat<H> {
    handle: H,
    /// Requests that are owed an answer on it.
    open: usize,
    /// It was given an answer.
    answered: bool,
    /// When it connected, or last had an answer or a request open.
    since: Ms,
    /// It was told to go.
    leaving: bool,
    /// It is closed once nothing is owed on it, or passed on before.
    let_go: bool,
    /// Its reader was told so, or passes it on.
    told: bool,
}

/// What a seat's connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stance {
    /// Something is owed on it.
    Busy,
    /// It was answered before and has nothing open.
    Idle,
    /// It never had an answer and has nothing open.
    Silent,
}

impl<H> Default for Seats<H> {
    fn default() -> Self {
        Seats { next: 0, seats: BTreeMap::new() }
    }
}

impl<H: Clone> Seats<H> {
    /// Gives a new connection a seat; tells its number.
    pub fn sit(&mut self, handle: H, now: Ms) -> u64 {
        self.next += 1;
        let seat =
            Seat { handle, open: 0, answered: false, since: now, leaving: false, let_go: false, told: false };
        self.seats.insert(self.next, seat);
        self.next
    }

    /// The connection has ended.
    pub fn leave(&mut self, number: u64) {
        self.seats.remove(&number);
    }

    /// A request was taken on it.
    pub fn opened(&mut self, number: u64) {
        self.seats.entry(number).and_modify(|seat| seat.open += 1);
    }

    /// A request on it has come to its end; tells whether it was let go.
    pub fn closed(&mut self, number: u64, now: Ms) -> bool {
        self.seats.get_mut(&number).is_some_and(|seat| {
            (seat.open, seat.since) = (seat.open.saturating_sub(1), now);
            seat.let_go
        })
    }

    /// An answer was written to it.
    pub fn answered(&mut self, number: u64, now: Ms) {
        self.seats.entry(number).and_modify(|seat| (seat.answered, seat.since) = (true, now));
    }

    /// What it is waiting for, and since when.
    pub fn stance(&self, number: u64) -> (Stance, Ms) {
        self.seats.get(&number).map_or((Stance::Silent, 0.0), |seat| {
            let stance = match (seat.open, seat.answered) {
                (1.., _) => Stance::Busy,
                (0, true) => Stance::Idle,
                (0, false) => Stance::Silent,
            };
            (stance, seat.since)
        })
    }

    /// Lets all go: each is closed once nothing is owed on it. Names those whose readers are to be told, each once; while
    /// connections pass to a successor, those on which something is owed are left to that.
    pub fn let_go(&mut self, passing: bool) -> Vec<H> {
        self.seats.values_mut().for_each(|seat| seat.let_go = true);
        let untold = self.seats.values_mut().filter(|seat| !(seat.told || passing && seat.open > 0));
        let untold = untold.map(|seat| {
            seat.told = true;
            seat.handle.clone()
        });
        untold.collect()
    }

    /// Whether the connection may be passed on; from then on it is nobody else's to close.
    pub fn pass(&mut self, number: u64) -> bool {
        let seat = self.seats.get_mut(&number).filter(|seat| seat.let_go && !seat.told && !seat.leaving);
        seat.map(|seat| (seat.told, seat.leaving) = (true, true)).is_some()
    }

    /// Whether it was let go.
    pub fn is_let_go(&self, number: u64) -> bool {
        self.seats.get(&number).is_some_and(|seat| seat.let_go)
    }

    /// Whose place is given to another: of those with nothing open one that never had an answer, else
    /// the one idle longest. Each is named once.
    pub fn give_way(&mut self) -> Option<H> {
        let idle = self.seats.values_mut().filter(|seat| seat.open == 0 && !seat.leaving);
        let seat = idle.min_by(|a, b| a.answered.cmp(&b.answered).then(a.since.total_cmp(&b.since)))?;
        seat.leaving = true;
        Some(seat.handle.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the usual clients against those that connect and say nothing, or ask once and stay: these
    /// give way first, and nobody who is owed an answer does.
    #[test]
    fn the_silent_give_way_first_then_the_longest_idle_and_the_busy_never() {
        let mut seats = Seats::default();
        let idle = seats.sit("idle", 1.0);
        let fresh = seats.sit("fresh", 2.0);
        let busy = seats.sit("busy", 0.0);
        seats.sit("silent", 5.0);
        seats.sit("silent longer", 4.0);
        for (number, now) in [(idle, 3.0), (fresh, 6.0)] {
            seats.opened(number);
            assert_eq!(seats.stance(number).0, Stance::Busy);
            seats.answered(number, now);
            seats.closed(number, now);
            assert_eq!(seats.stance(number), (Stance::Idle, now));
        }
        seats.opened(busy);
        let ways: Vec<_> = std::iter::from_fn(|| seats.give_way()).collect();
        assert_eq!(ways, ["silent longer", "silent", "idle", "fresh"]);
        seats.closed(busy, 9.0);
        assert_eq!(seats.stance(busy), (Stance::Silent, 9.0), "what it took back was never answered");
        assert_eq!(seats.give_way(), Some("busy"));
        seats.leave(busy);
        assert_eq!(seats.give_way(), None);
    }

    /// Guards a drain: all are let go, newcomers too, and each is told once.
    #[test]
    fn all_are_let_go_once() {
        let mut seats = Seats::default();
        let first = seats.sit("first", 1.0);
        assert!(!seats.is_let_go(first));
        assert_eq!((seats.let_go(false), seats.is_let_go(first)), (vec!["first"], true));
        seats.opened(first);
        let second = seats.sit("second", 2.0);
        assert_eq!((seats.let_go(false), seats.is_let_go(second)), (vec!["second"], true));
        assert!(seats.let_go(false).is_empty());
    }

    /// Guards a connection that passes to a successor: it is passed or closed, never both, and by one alone.
    #[test]
    fn what_is_busy_is_passed_on_or_told_to_go() {
        let mut seats = Seats::default();
        let [idle, busy, late] = ["idle", "busy", "late"].map(|name| seats.sit(name, 1.0));
        [busy, late].into_iter().for_each(|number| seats.opened(number));
        assert!(!seats.pass(busy), "nobody leaves yet");
        assert_eq!(seats.let_go(true), ["idle"]);
        assert!(!seats.pass(idle) && seats.pass(busy) && !seats.pass(busy));
        seats.closed(busy, 2.0);
        assert_eq!((seats.let_go(true), seats.give_way()), (vec![], Some("idle")));
        assert_eq!(seats.let_go(false), ["late"], "the time is over");
        assert!(!seats.pass(late));
    }
}
