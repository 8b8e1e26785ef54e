//! Accounts and the reservations on them.
//!
//! Counters are atomics and are read with no order between accounts: what a reader sees of two accounts may
//! be a moment apart, but no account ever counts more than its cap, because bytes are added only where the
//! sum was found to fit.
use std::collections::VecDeque;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes held for a purpose, with a cap. Clones are handles on the same account.
#[derive(Clone)]
pub struct Account(Arc<Node>);

struct Node {
    name: Box<str>,
    parent: Option<Account>,
    cap: AtomicUsize,
    used: AtomicUsize,
    peak: AtomicUsize,
    /// The most since [`Account::take_high`] last looked.
    high: AtomicUsize,
    refused: AtomicU64,
    waiters: Mutex<Waiters>,
    /// Spares the lock on the way back of nearly every reservation.
    awaited: AtomicBool,
}

/// Who waits for room, in the order of their coming.
#[derive(Default)]
struct Waiters {
    next: u64,
    queue: VecDeque<Waiter>,
}

struct Waiter {
    number: u64,
    bytes: usize,
    wake: Box<dyn FnOnce() + Send>,
}

/// An account, or one above it, has no room for what was asked.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{asked} bytes do not fit into {account}: it holds {used} of {cap}")]
pub struct Full {
    /// The account whose cap was met.
    pub account: Account,
    /// What was asked for, in bytes.
    pub asked: usize,
    /// What it held, in bytes.
    pub used: usize,
    /// What it may hold, in bytes.
    pub cap: usize,
}

impl Full {
    /// Notes that work was turned away for it.
    pub(crate) fn count(&self) {
        self.account.0.refused.fetch_add(1, Relaxed);
    }
}

impl Account {
    /// An account that belongs to no other, with its cap in bytes.
    pub fn root(name: &str, cap: usize) -> Self {
        Account::new(name, None, cap)
    }

    /// An account whose bytes count in this one as well.
    pub fn child(&self, name: &str, cap: usize) -> Self {
        Account::new(name, Some(self.clone()), cap)
    }

    fn new(name: &str, parent: Option<Account>, cap: usize) -> Self {
        Account(Arc::new(Node {
            name: name.into(),
            parent,
            cap: AtomicUsize::new(cap),
            used: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            high: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
            waiters: Mutex::default(),
            awaited: AtomicBool::new(false),
        }))
    }

    /// Takes bytes here and in every account above, or in none of them.
    pub fn reserve(&self, bytes: usize) -> Result<Reservation, Full> {
        self.try_reserve(bytes).inspect_err(Full::count)
    }

    /// The same where another account is asked next: a cap that is met does not count as a refusal yet.
    pub(crate) fn try_reserve(&self, bytes: usize) -> Result<Reservation, Full> {
        self.add(bytes)?;
        Ok(Reservation { account: self.clone(), bytes })
    }

    /// Takes bytes that are owed already, over the cap if need be: what was kept before a restart, say.
    /// Nothing new fits until the account is below its cap again.
    pub fn owe(&self, bytes: usize) -> Reservation {
        self.add_owed(bytes);
        Reservation { account: self.clone(), bytes }
    }

    fn add_owed(&self, bytes: usize) {
        self.line().for_each(|account| account.count(account.0.used.fetch_add(bytes, Relaxed) + bytes));
    }

    fn count(&self, used: usize) {
        // Marks are rarely passed, and a look costs far less than a write.
        for mark in [&self.0.peak, &self.0.high] {
            if used > mark.load(Relaxed) {
                mark.fetch_max(used, Relaxed);
            }
        }
    }

    /// An empty reservation that can be grown later; it never fails.
    pub fn nothing(&self) -> Reservation {
        Reservation { account: self.clone(), bytes: 0 }
    }

    fn line(&self) -> impl Iterator<Item = &Account> {
        std::iter::successors(Some(self), |account| account.0.parent.as_ref())
    }

    fn add(&self, bytes: usize) -> Result<(), Full> {
        for account in self.line() {
            let node = &account.0;
            let cap = node.cap.load(Relaxed);
            let fits = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= cap || bytes == 0);
            match node.used.fetch_update(Relaxed, Relaxed, fits) {
                Ok(before) => account.count(before + bytes),
                Err(used) => {
                    let below = self.line().take_while(|below| !below.is(account));
                    below.for_each(|below| _ = below.0.used.fetch_sub(bytes, Relaxed));
                    return Err(Full { account: account.clone(), asked: bytes, used, cap });
                }
            }
        }
        Ok(())
    }

    fn give_back(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        for account in self.line() {
            account.0.used.fetch_sub(bytes, Relaxed);
            if account.0.awaited.load(Relaxed) {
                account.wake();
            }
        }
    }

    /// Has `wake` called once, as soon as so many bytes may fit here; at once where they fit now. Giving up
    /// the returned value gives up the place in the queue.
    pub fn when_room(&self, bytes: usize, wake: impl FnOnce() + Send + 'static) -> Waiting {
        let number = {
            let mut waiters = self.waiters();
            waiters.next += 1;
            let number = waiters.next;
            waiters.queue.push_back(Waiter { number, bytes, wake: Box::new(wake) });
            self.0.awaited.store(true, Relaxed);
            number
        };
        // What was given back before the queue was joined has woken nobody.
        self.wake();
        Waiting { account: self.clone(), number }
    }

    /// Wakes those whose bytes fit, the first come first; a large one holds up those behind it, so that it
    /// is not passed over for ever.
    fn wake(&self) {
        loop {
            let waiter = {
                let mut waiters = self.waiters();
                let free = self.free();
                let first = waiters.queue.front().is_some_and(|waiter| waiter.bytes <= free);
                let waiter = if first { waiters.queue.pop_front() } else { None };
                self.0.awaited.store(!waiters.queue.is_empty(), Relaxed);
                waiter
            };
            match waiter {
                Some(waiter) => (waiter.wake)(),
                None => return,
            }
        }
    }

    fn waiters(&self) -> MutexGuard<'_, Waiters> {
        self.0.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether both are handles on one account.
    pub fn is(&self, other: &Account) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// Its name, without those above it.
    pub fn name(&self) -> &str {
        &self.0.name
    }

    /// Its cap, in bytes.
    pub fn cap(&self) -> usize {
        self.0.cap.load(Relaxed)
    }

    /// Raises or lowers the cap. What is held above a lower one stays; nothing new fits until it has gone.
    pub fn set_cap(&self, cap: usize) {
        self.0.cap.store(cap, Relaxed);
        self.wake();
    }

    /// What it holds, in bytes.
    pub fn used(&self) -> usize {
        self.0.used.load(Relaxed)
    }

    /// What would still fit, in bytes.
    pub fn free(&self) -> usize {
        self.cap().saturating_sub(self.used())
    }

    /// The most that it ever held, in bytes.
    pub fn peak(&self) -> usize {
        self.0.peak.load(Relaxed)
    }

    /// The most that it held since this was last asked, in bytes.
    pub fn take_high(&self) -> usize {
        self.0.high.swap(self.used(), Relaxed).max(self.used())
    }

    /// Reservations that met its cap.
    pub fn refused(&self) -> u64 {
        self.0.refused.load(Relaxed)
    }
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0.parent {
            Some(parent) if parent.0.parent.is_some() => write!(f, "{parent}/{}", self.0.name),
            _ => write!(f, "{}", self.0.name),
        }
    }
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Account({self}: {} of {})", self.used(), self.cap())
    }
}

/// A place in the queue for room; dropping it gives it up.
#[derive(Debug)]
pub struct Waiting {
    account: Account,
    number: u64,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let left = {
            let mut waiters = self.account.waiters();
            let at = waiters.queue.iter().position(|waiter| waiter.number == self.number);
            at.and_then(|at| waiters.queue.remove(at))
        };
        if left.is_some() {
            // The next in the queue may want less.
            self.account.wake();
        }
    }
}

/// Bytes that were taken from an account. They go back when this is dropped, and only then.
#[must_use = "the bytes go back at once if nobody holds the reservation"]
pub struct Reservation {
    account: Account,
    bytes: usize,
}

impl Reservation {
    /// What it holds, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The account it was taken from.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Grows or shrinks to so many bytes. Shrinking never fails; where growing does, nothing changes.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Full> {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.account.add(more).inspect_err(Full::count)?,
            None => self.account.give_back(self.bytes - bytes),
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Holds so many bytes, whatever fits: they are owed already; see [`Account::owe`].
    pub fn owe(&mut self, bytes: usize) {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.account.add_owed(more),
            None => self.account.give_back(self.bytes - bytes),
        }
        self.bytes = bytes;
    }

    /// Gives back what is above so many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.account.give_back(self.bytes - bytes);
            self.bytes = bytes;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.give_back(self.bytes);
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Reservation({} of {})", self.bytes, self.account)
    }
}

#[cfg(test)]
mod tests;
