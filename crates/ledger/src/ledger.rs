//! The accounts of one process.
use crate::account::{Account, Full, Reservation};
use crate::alarm::{Alarm, Warning};
use crate::budget::Budget;
use crate::purpose::Purpose;
use crate::tenancy::{Tenancy, TenantShare};
use crate::Ms;

/// All accounts of a process: one for each purpose, and where tenants have parts, theirs below it.
#[derive(Debug)]
pub struct Ledger {
    root: Account,
    purposes: [Account; Purpose::COUNT],
    tenancies: [Option<Tenancy>; Purpose::COUNT],
}

/// What is seen of one account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Its purpose.
    pub purpose: &'static str,
    /// The tenant whose part it is; `None` for the whole.
    pub tenant: Option<String>,
    /// What it may hold, in bytes.
    pub cap: usize,
    /// What it holds, in bytes.
    pub used: usize,
    /// The most it ever held, in bytes.
    pub peak: usize,
    /// Reservations that met its cap.
    pub refused: u64,
}

impl Ledger {
    /// Accounts with the caps of a budget, split between these tenants where a purpose is.
    pub fn new(budget: &Budget, tenants: &[TenantShare]) -> Self {
        let root = Account::root("all", budget.room());
        let mut tenancies = [const { None }; Purpose::COUNT];
        let purposes = std::array::from_fn(|place| {
            let purpose = Purpose::all().nth(place).unwrap_or(Purpose::Calls);
            let account = root.child(purpose.name(), budget.cap(purpose));
            tenancies[place] = purpose.terms().by_tenant.then(|| Tenancy::new(&account, tenants));
            account
        });
        Ledger { root, purposes, tenancies }
    }

    /// The account of a purpose.
    pub fn account(&self, purpose: Purpose) -> &Account {
        &self.purposes[purpose as usize]
    }

    /// Takes bytes for a purpose and, where tenants have parts of it, a tenant.
    pub fn reserve(
        &self,
        purpose: Purpose,
        tenant: Option<usize>,
        bytes: usize,
    ) -> Result<Reservation, Full> {
        match &self.tenancies[purpose as usize] {
            Some(tenancy) => tenancy.reserve(tenant, bytes),
            None => self.account(purpose).reserve(bytes),
        }
    }

    /// Takes bytes that are owed already, over the cap if need be; see [`Account::owe`].
    pub fn owe(&self, purpose: Purpose, bytes: usize) -> Reservation {
        match &self.tenancies[purpose as usize] {
            Some(tenancy) => tenancy.owe(bytes),
            None => self.account(purpose).owe(bytes),
        }
    }

    /// Takes other caps. What is held above a lower one stays, and nothing new fits until it has gone.
    pub fn adopt(&self, budget: &Budget) {
        self.root.set_cap(budget.room());
        for purpose in Purpose::all() {
            self.account(purpose).set_cap(budget.cap(purpose));
            if let Some(tenancy) = &self.tenancies[purpose as usize] {
                tenancy.set_cap(budget.cap(purpose));
            }
        }
    }

    /// The sum of all accounts, in bytes.
    pub fn held(&self) -> usize {
        self.root.used()
    }

    /// What may be held in all, in bytes.
    pub fn room(&self) -> usize {
        self.root.cap()
    }

    fn tenants(&self, purpose: Purpose) -> impl Iterator<Item = &Account> {
        // With nobody but the common part there is nothing to tell apart.
        let (parts, whole) = (self.tenancies[purpose as usize].as_ref(), self.account(purpose));
        parts.into_iter().flat_map(Tenancy::accounts).filter(move |part| part.cap() != whole.cap())
    }

    /// What is seen of the accounts that are in use, each purpose before its tenants.
    pub fn lines(&self) -> Vec<Line> {
        let line = |purpose: Purpose, account: &Account, tenant: Option<String>| Line {
            purpose: purpose.name(),
            tenant,
            cap: account.cap(),
            used: account.used(),
            peak: account.peak(),
            refused: account.refused(),
        };
        let lines = |purpose: Purpose| {
            let parts = self.tenants(purpose).map(move |part| line(purpose, part, Some(part.name().into())));
            std::iter::once(line(purpose, self.account(purpose), None)).chain(parts)
        };
        Purpose::all().flat_map(lines).filter(|line| line.cap > 0 || line.used > 0).collect()
    }

    /// The accounts that came close to their caps since the last look and are due for a warning.
    pub fn warnings(&self, alarm: &mut Alarm, now: Ms) -> Vec<Warning> {
        let accounts = Purpose::all()
            .flat_map(|purpose| std::iter::once(self.account(purpose)).chain(self.tenants(purpose)));
        alarm.look(now, accounts)
    }
}

#[cfg(test)]
mod tests;
