//! Accounts and the reservations on them.
//!
//! Counters are relaxed atomics with no order between accounts: values read from two accounts may belong to
//! slightly different moments. A reservation is added only where the sum fits, so it never takes an account
//! over its cap.
use std::collections::VecDeque;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes held for a purpose, with a cap. Clones refer to the same account.
#[derive(Clone)]
pub struct Account(Arc<Node>);

struct Node {
    name: Box<str>,
    parent: Option<Account>,
    cap: AtomicUsize,
    used: AtomicUsize,
    peak: AtomicUsize,
    /// The highest use since [`Account::take_recent_peak`] was last called.
    recent_peak: AtomicUsize,
    refused: AtomicU64,
    waiters: Mutex<Waiters>,
    /// Whether the queue is not empty; spares nearly every release the lock on it.
    has_waiters: AtomicBool,
    /// The owners of memory in this account that can be released while nothing needs it.
    reclaimers: Mutex<Vec<Reclaim>>,
}

/// Starts to release at least this many bytes that nothing needs. They may become free some time after the call.
type Reclaim = Arc<dyn Fn(usize) + Send + Sync>;

/// Callers that wait for room, in order of arrival.
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

/// An account or one of its ancestors has no room for a reservation.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{asked} bytes do not fit into {account}: it holds {used} of {cap}")]
pub struct CapExceeded {
    /// The account whose cap was reached.
    pub account: Account,
    /// Bytes asked for.
    pub asked: usize,
    /// Bytes that the account held.
    pub used: usize,
    /// Cap of the account, in bytes.
    pub cap: usize,
}

impl CapExceeded {
    /// Counts a refusal on the account.
    pub(crate) fn count_refusal(&self) {
        self.account.0.refused.fetch_add(1, Relaxed);
    }
}

impl Account {
    /// Creates an account without a parent; `cap` is in bytes.
    pub fn root(name: &str, cap: usize) -> Self {
        Account::new(name, None, cap)
    }

    /// Creates an account whose bytes also count in this one; `cap` is in bytes.
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
            recent_peak: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
            waiters: Mutex::default(),
            has_waiters: AtomicBool::new(false),
            reclaimers: Mutex::default(),
        }))
    }

    /// Reserves bytes in this account and all its ancestors, or in none of them.
    pub fn reserve(&self, bytes: usize) -> Result<Reservation, CapExceeded> {
        self.try_reserve(bytes).inspect_err(CapExceeded::count_refusal)
    }

    /// Like [`Account::reserve`], but a failure is not counted as a refusal, as the caller tries another
    /// account next.
    pub(crate) fn try_reserve(&self, bytes: usize) -> Result<Reservation, CapExceeded> {
        self.try_add(bytes)?;
        Ok(Reservation { account: self.clone(), bytes })
    }

    /// Adds bytes that must be held in any case, over the cap if necessary, such as data kept from before a
    /// restart. New reservations fail until the account is below its cap again.
    pub fn reserve_over_cap(&self, bytes: usize) -> Reservation {
        self.add_over_cap(bytes);
        Reservation { account: self.clone(), bytes }
    }

    fn add_over_cap(&self, bytes: usize) {
        self.with_ancestors()
            .for_each(|account| account.update_peaks(account.0.used.fetch_add(bytes, Relaxed) + bytes));
    }

    fn update_peaks(&self, used: usize) {
        // The high-water marks rarely rise, and a load costs far less than a write.
        for peak in [&self.0.peak, &self.0.recent_peak] {
            if used > peak.load(Relaxed) {
                peak.fetch_max(used, Relaxed);
            }
        }
    }

    /// An empty reservation that can be grown later; never fails.
    pub fn empty_reservation(&self) -> Reservation {
        Reservation { account: self.clone(), bytes: 0 }
    }

    fn with_ancestors(&self) -> impl Iterator<Item = &Account> {
        std::iter::successors(Some(self), |account| account.0.parent.as_ref())
    }

    fn try_add(&self, bytes: usize) -> Result<(), CapExceeded> {
        for account in self.with_ancestors() {
            let node = &account.0;
            let cap = node.cap.load(Relaxed);
            let fits = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= cap || bytes == 0);
            match node.used.fetch_update(Relaxed, Relaxed, fits) {
                Ok(before) => account.update_peaks(before + bytes),
                Err(used) => {
                    let below = self.with_ancestors().take_while(|below| !below.is(account));
                    below.for_each(|below| _ = below.0.used.fetch_sub(bytes, Relaxed));
                    return Err(CapExceeded { account: account.clone(), asked: bytes, used, cap });
                }
            }
        }
        Ok(())
    }

    fn release(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        for account in self.with_ancestors() {
            account.0.used.fetch_sub(bytes, Relaxed);
            if account.0.has_waiters.load(Relaxed) {
                account.wake();
            }
        }
    }

    /// Has `wake` called once, as soon as this many bytes may fit in this account; immediately if they fit
    /// now. Dropping the returned value leaves the queue.
    pub fn notify_when_free(&self, bytes: usize, wake: impl FnOnce() + Send + 'static) -> WaitHandle {
        let number = {
            let mut waiters = self.waiters();
            waiters.next += 1;
            let number = waiters.next;
            waiters.queue.push_back(Waiter { number, bytes, wake: Box::new(wake) });
            self.0.has_waiters.store(true, Relaxed);
            number
        };
        // Bytes returned before this caller joined the queue have woken nobody.
        self.wake();
        WaitHandle { account: self.clone(), number }
    }

    /// Adds an owner of idle memory, which is called when a task has to wait for memory of this account. It must not
    /// wait, nor reserve memory of this account.
    pub fn add_reclaimer(&self, reclaim: impl Fn(usize) + Send + Sync + 'static) {
        self.reclaimers().push(Arc::new(reclaim));
    }

    /// Has the owners of idle memory in this account release at least `bytes`, if they hold as much.
    pub fn reclaim(&self, bytes: usize) {
        // Called without the lock, since a reclaimer may suspend its task.
        let reclaimers = self.reclaimers().clone();
        reclaimers.iter().for_each(|reclaim| reclaim(bytes));
    }

    fn reclaimers(&self) -> MutexGuard<'_, Vec<Reclaim>> {
        self.0.reclaimers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes waiters whose bytes fit, in order of arrival. A large waiter holds up those behind it, so that
    /// it cannot be passed over forever.
    fn wake(&self) {
        loop {
            let waiter = {
                let mut waiters = self.waiters();
                let free = self.free();
                let first = waiters.queue.front().is_some_and(|waiter| waiter.bytes <= free);
                let waiter = if first { waiters.queue.pop_front() } else { None };
                self.0.has_waiters.store(!waiters.queue.is_empty(), Relaxed);
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

    /// Whether both refer to the same account.
    pub fn is(&self, other: &Account) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// Name of the account, without its ancestors.
    pub fn name(&self) -> &str {
        &self.0.name
    }

    /// Cap in bytes.
    pub fn cap(&self) -> usize {
        self.0.cap.load(Relaxed)
    }

    /// Changes the cap, in bytes. Bytes held above a lower cap stay; new reservations fail until there is
    /// room again.
    pub fn set_cap(&self, cap: usize) {
        self.0.cap.store(cap, Relaxed);
        self.wake();
    }

    /// Bytes held.
    pub fn used(&self) -> usize {
        self.0.used.load(Relaxed)
    }

    /// Bytes that still fit below the cap.
    pub fn free(&self) -> usize {
        self.cap().saturating_sub(self.used())
    }

    /// The highest use ever, in bytes.
    pub fn peak(&self) -> usize {
        self.0.peak.load(Relaxed)
    }

    /// The highest use since the last call, in bytes.
    pub fn take_recent_peak(&self) -> usize {
        self.0.recent_peak.swap(self.used(), Relaxed).max(self.used())
    }

    /// Number of reservations refused at this account's cap.
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

/// A place in the queue for room; dropping it leaves the queue.
#[derive(Debug)]
pub struct WaitHandle {
    account: Account,
    number: u64,
}

impl Drop for WaitHandle {
    fn drop(&mut self) {
        let left = {
            let mut waiters = self.account.waiters();
            let at = waiters.queue.iter().position(|waiter| waiter.number == self.number);
            at.and_then(|at| waiters.queue.remove(at))
        };
        if left.is_some() {
            // The next waiter may need fewer bytes.
            self.account.wake();
        }
    }
}

/// Bytes taken from an account. They are returned when this is dropped, and only then.
#[must_use = "the bytes go back at once if nobody holds the reservation"]
pub struct Reservation {
    account: Account,
    bytes: usize,
}

impl Reservation {
    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The account that the bytes were taken from.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Grows or shrinks the reservation to `bytes`. Shrinking never fails; a failed growth changes nothing.
    pub fn resize(&mut self, bytes: usize) -> Result<(), CapExceeded> {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.account.try_add(more).inspect_err(CapExceeded::count_refusal)?,
            None => self.account.release(self.bytes - bytes),
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Sets the reservation to `bytes` regardless of the cap; see [`Account::reserve_over_cap`].
    pub fn reserve_over_cap(&mut self, bytes: usize) {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.account.add_over_cap(more),
            None => self.account.release(self.bytes - bytes),
        }
        self.bytes = bytes;
    }

    /// Returns the bytes above `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.account.release(self.bytes - bytes);
            self.bytes = bytes;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.release(self.bytes);
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Reservation({} of {})", self.bytes, self.account)
    }
}

#[cfg(test)]
mod tests;
