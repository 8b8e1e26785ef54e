//! The accounts of one process.
use crate::account::{Account, CapExceeded, Reservation};
use crate::alarm::{Alarm, Warning};
use crate::budget::Budget;
use crate::purpose::Purpose;
use crate::tenancy::{Tenancy, TenantShare};
use crate::Ms;

/// All accounts of a process: one for each purpose and, for purposes split between tenants, theirs below it.
#[derive(Debug)]
pub struct Ledger {
    root: Account,
    purposes: [Account; Purpose::COUNT],
    tenancies: [Option<Tenancy>; Purpose::COUNT],
}

/// The state of one account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountStatus {
    /// Name of the purpose.
    pub purpose: &'static str,
    /// The tenant that the account belongs to; `None` for the account of the whole purpose.
    pub tenant: Option<String>,
    /// Cap in bytes.
    pub cap: usize,
    /// Bytes held.
    pub used: usize,
    /// The highest use ever, in bytes.
    pub peak: usize,
    /// Number of reservations refused at its cap.
    pub refused: u64,
}

impl Ledger {
    /// Creates accounts with the caps of a budget; those of purposes that tenants share are split between
    /// these tenants.
    pub fn new(budget: &Budget, tenants: &[TenantShare]) -> Self {
        let root = Account::root("all", budget.room());
        let mut tenancies = [const { None }; Purpose::COUNT];
        let purposes = std::array::from_fn(|index| {
            let purpose = Purpose::all().nth(index).unwrap_or(Purpose::Calls);
            let account = root.child(purpose.name(), budget.cap(purpose));
            tenancies[index] = purpose.settings().by_tenant.then(|| Tenancy::new(&account, tenants));
            account
        });
        Ledger { root, purposes, tenancies }
    }

    /// The account of a purpose.
    pub fn account(&self, purpose: Purpose) -> &Account {
        &self.purposes[purpose as usize]
    }

    /// Reserves bytes for a purpose and, if it is split between tenants, for a tenant.
    pub fn reserve(
        &self,
        purpose: Purpose,
        tenant: Option<usize>,
        bytes: usize,
    ) -> Result<Reservation, CapExceeded> {
        match &self.tenancies[purpose as usize] {
            Some(tenancy) => tenancy.reserve(tenant, bytes),
            None => self.account(purpose).reserve(bytes),
        }
    }

    /// Adds bytes that must be held in any case, over the cap if necessary; see [`Account::reserve_over_cap`].
    pub fn reserve_over_cap(&self, purpose: Purpose, bytes: usize) -> Reservation {
        match &self.tenancies[purpose as usize] {
            Some(tenancy) => tenancy.reserve_over_cap(bytes),
            None => self.account(purpose).reserve_over_cap(bytes),
        }
    }

    /// Applies the caps of another budget. Bytes held above a lower cap stay, and new reservations fail until
    /// there is room again.
    pub fn apply_budget(&self, budget: &Budget) {
        self.root.set_cap(budget.room());
        for purpose in Purpose::all() {
            self.account(purpose).set_cap(budget.cap(purpose));
            if let Some(tenancy) = &self.tenancies[purpose as usize] {
                tenancy.set_cap(budget.cap(purpose));
            }
        }
    }

    /// Bytes held in all accounts.
    pub fn held(&self) -> usize {
        self.root.used()
    }

    /// Cap of all accounts together, in bytes.
    pub fn total_cap(&self) -> usize {
        self.root.cap()
    }

    fn tenants(&self, purpose: Purpose) -> impl Iterator<Item = &Account> {
        // If the common part is the whole, its account would repeat that of the purpose.
        let (parts, whole) = (self.tenancies[purpose as usize].as_ref(), self.account(purpose));
        parts.into_iter().flat_map(Tenancy::accounts).filter(move |part| part.cap() != whole.cap())
    }

    /// The state of all accounts in use, each purpose before its tenants.
    pub fn statuses(&self) -> Vec<AccountStatus> {
        let status = |purpose: Purpose, account: &Account, tenant: Option<String>| AccountStatus {
            purpose: purpose.name(),
            tenant,
            cap: account.cap(),
            used: account.used(),
            peak: account.peak(),
            refused: account.refused(),
        };
        let statuses = |purpose: Purpose| {
            let parts =
                self.tenants(purpose).map(move |part| status(purpose, part, Some(part.name().into())));
            std::iter::once(status(purpose, self.account(purpose), None)).chain(parts)
        };
        Purpose::all().flat_map(statuses).filter(|status| status.cap > 0 || status.used > 0).collect()
    }

    /// Warnings about accounts that came close to their caps since the last check; `now` is in milliseconds.
    pub fn warnings(&self, alarm: &mut Alarm, now: Ms) -> Vec<Warning> {
        let accounts = Purpose::all()
            .flat_map(|purpose| std::iter::once(self.account(purpose)).chain(self.tenants(purpose)));
        alarm.check(now, accounts)
    }
}

#[cfg(test)]
mod tests;
