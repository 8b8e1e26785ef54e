//! Accepting connections within a budget of descriptors.
use super::socket::Socket;
use crate::core::{lock, now_ms};
use crate::life::spawn;
use crate::memory::room::wait;
use crate::memory::seats::{Seats, Stance};
use corkbay::Ms;
use corkbay_ledger::{Account, Reservation};
use may::net::TcpListener;
use may::sync::{Mutex, Semphore};
use std::ops::Deref;
use std::sync::{Arc, Weak};
use std::time::Duration;

/// Pause after an accept that failed, for want of descriptors above all.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a newcomer waits for a place before another connection is asked to give way.
const GIVE_WAY: Duration = Duration::from_millis(100);

type Table = Arc<Mutex<Seats<Weak<Guest>>>>;

/// A client's connection with its seat, which it holds until the descriptor is closed.
pub struct Guest {
    socket: Socket,
    number: u64,
    seats: Table,
    /// Given back last, after the descriptor.
    place: Place,
}

/// What a connection takes: the stack of its task as far as it is touched, a chunk, its seat. Measured.
const GUEST: usize = 14 << 10;

/// What a front gives its clients.
pub struct House {
    /// Most connections at a time.
    pub most: usize,
    /// How long a client may let an answer stand unread.
    pub stall: Duration,
    /// What connections take counts here.
    pub account: Account,
}

/// Those whose connections are held at one address.
#[derive(Clone, Default)]
pub struct Guests(Table);

impl Guests {
    /// Lets all connections go that there are: their readers close them once nothing is owed on them. What a client
    /// has sent by then is still read.
    pub fn let_go(&self) {
        let all: Vec<_> = lock(&self.0).let_go();
        all.iter().filter_map(Weak::upgrade).for_each(|guest| guest.socket.shut(std::net::Shutdown::Read));
    }
}

/// Accepts clients for as long as the process lives. When all places or the room for them are taken, a
/// newcomer gets that of a client that is owed nothing: the silent go first.
pub fn accept(
    listener: &TcpListener,
    house: &House,
    Guests(seats): &Guests,
    serve: impl Fn(Arc<Guest>) + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    let places = Arc::new(Semphore::new(house.most.max(1)));
    loop {
        let accepted = listener.accept().and_then(|(stream, _)| Socket::new(stream, house.stall));
        match accepted {
            Ok(socket) => {
                let place = make_way(&places, seats, &house.account);
                let guest = Guest::new(socket, seats, place);
                let serve = serve.clone();
                spawn(move || serve(guest));
            }
            Err(error) => {
                tracing::warn!(%error, "accept");
                may::coroutine::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

/// A place for a newcomer, taken from another where none is free.
fn make_way(places: &Arc<Semphore>, seats: &Table, account: &Account) -> Place {
    let give_way = || {
        let leaver = lock(seats).give_way().and_then(|leaver| leaver.upgrade());
        if let Some(leaver) = leaver {
            leaver.socket.shut(std::net::Shutdown::Both);
        }
    };
    let mut free = places.try_wait();
    while !free {
        give_way();
        free = places.wait_timeout(GIVE_WAY);
    }
    let held = loop {
        match account.reserve(GUEST) {
            Ok(held) => break held,
            Err(full) => {
                give_way();
                wait(&full.account, GUEST, GIVE_WAY.as_secs_f64() * 1000.0);
            }
        }
    };
    Place { places: places.clone(), held }
}

impl Guest {
    fn new(socket: Socket, seats: &Table, place: Place) -> Arc<Self> {
        Arc::new_cyclic(|guest| {
            let number = lock(seats).sit(guest.clone(), now_ms());
            Guest { socket, number, seats: seats.clone(), place }
        })
    }

    /// A request was taken on the connection: it keeps its place until [`Guest::closed`].
    pub fn opened(&self) {
        lock(&self.seats).opened(self.number);
    }

    /// A request on it has come to its end.
    pub fn closed(&self) {
        lock(&self.seats).closed(self.number, now_ms());
    }

    /// Where what is read on the connection counts.
    pub fn account(&self) -> &Account {
        self.place.held.account()
    }

    /// Writes an answer.
    pub fn answer(&self, bytes: &[u8]) -> std::io::Result<()> {
        self.socket.write(bytes)?;
        lock(&self.seats).answered(self.number, now_ms());
        Ok(())
    }

    /// Whether it is to be closed once nothing is owed on it.
    pub fn is_let_go(&self) -> bool {
        lock(&self.seats).is_let_go(self.number)
    }

    /// What the connection is waiting for, and since when.
    pub fn stance(&self) -> (Stance, Ms) {
        lock(&self.seats).stance(self.number)
    }
}

impl Deref for Guest {
    type Target = Socket;

    fn deref(&self) -> &Socket {
        &self.socket
    }
}

impl Drop for Guest {
    fn drop(&mut self) {
        lock(&self.seats).leave(self.number);
    }
}

/// A client's place, given back however its task ends.
struct Place {
    places: Arc<Semphore>,
    held: Reservation,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.post();
    }
}
