//! Parts of one account that belong to tenants, so that a flood of calls by one does not displace the others.
//!
//! Memory that is held cannot be reclaimed, so a tenant's part is kept free for it: most of the account is
//! split by share, and the rest is common, first come first served. A tenant uses its own part first, then
//! the common one. Idle parts are not lent to other tenants: that would use memory better at low load, but a
//! tenant whose part is lent out would have to wait until the borrower's calls end.
use crate::account::{Account, CapExceeded, Reservation};

/// Fraction of an account that is split between tenants; the rest is common.
const SPLIT_FRACTION: f64 = 0.75;

/// A tenant and its share relative to the others.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantShare {
    /// Name of the tenant.
    pub name: String,
    /// Relative share; a tenant with 0 has only the common part.
    pub weight: f64,
}

/// One account split between tenants.
#[derive(Debug)]
pub struct Tenancy {
    own: Vec<Account>,
    common: Account,
    fractions: Vec<f64>,
}

impl Tenancy {
    /// Splits an account between tenants, which are numbered in this order.
    pub fn new(of: &Account, tenants: &[TenantShare]) -> Self {
        let weight =
            |tenant: &TenantShare| if tenant.weight.is_finite() { tenant.weight.max(0.0) } else { 0.0 };
        let sum: f64 = tenants.iter().map(weight).sum();
        let fraction =
            |tenant: &TenantShare| if sum > 0.0 { SPLIT_FRACTION * weight(tenant) / sum } else { 0.0 };
        let tenancy = Tenancy {
            own: tenants.iter().map(|tenant| of.child(&tenant.name, 0)).collect(),
            common: of.child("common", 0),
            fractions: tenants.iter().map(fraction).collect(),
        };
        tenancy.set_cap(of.cap());
        tenancy
    }

    /// Splits a new cap of the whole account, in bytes, in the same proportions.
    pub fn set_cap(&self, cap: usize) {
        let mut remaining = cap;
        for (own, fraction) in self.own.iter().zip(&self.fractions) {
            let bytes = (cap as f64 * fraction) as usize;
            remaining -= bytes.min(remaining);
            own.set_cap(bytes);
        }
        self.common.set_cap(remaining);
    }

    /// Reserves bytes for a tenant; for an unknown tenant, from the common part.
    pub fn reserve(&self, tenant: Option<usize>, bytes: usize) -> Result<Reservation, CapExceeded> {
        let Some(own) = tenant.and_then(|tenant| self.own.get(tenant)) else {
            return self.common.reserve(bytes);
        };
        own.try_reserve(bytes).or_else(|full| {
            self.common.try_reserve(bytes).map_err(|common| {
                full.count_refusal();
                // The larger cap of the two shows whether the reservation could fit later.
                if common.cap > full.cap {
                    common
                } else {
                    full
                }
            })
        })
    }

    /// Adds bytes that must be held in any case to the common part; see [`Account::reserve_over_cap`].
    pub fn reserve_over_cap(&self, bytes: usize) -> Reservation {
        self.common.reserve_over_cap(bytes)
    }

    /// The accounts of the tenants, and the common one last.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.own.iter().chain([&self.common])
    }
}

#[cfg(test)]
mod tests;
