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

    /// Lets all go: each is closed once nothing is owed on it. Names those on which nothing is, whose readers are to be
    /// told, each once. One on which something is owed is read on as before, so that its client is seen to leave.
    pub fn let_go(&mut self) -> Vec<H> {
        self.seats.values_mut().for_each(|seat| seat.let_go = true);
        let untold = self.seats.values_mut().filter(|seat| !seat.told && seat.open == 0);
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

    /// Whether its reader was told so.
    pub fn is_told(&self, number: u64) -> bool {
        self.seats.get(&number).is_some_and(|seat| seat.told)
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
mod tests;
