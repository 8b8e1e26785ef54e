//! Parts of one account that belong to tenants, so that a flood by one pushes out no other's.
//!
//! Memory that is held can't be called back, so what is promised to a tenant is kept free for it: most of
//! the account is split by share, and the rest is common to whoever comes first. A tenant draws on its own
//! part, then on the common one. Lending out idle parts was weighed: it uses memory better in quiet times,
//! but a tenant whose part is lent out would have to wait until the borrower's calls end.
use crate::account::{Account, Full, Reservation};

/// The part of an account that is split between tenants.
const SPLIT: f64 = 0.75;

/// A tenant and its share in relation to the others'.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantShare {
    /// Its name.
    pub name: String,
    /// Its share; those without one have only what is common.
    pub weight: f64,
}

/// The parts of one account.
#[derive(Debug)]
pub struct Tenancy {
    own: Vec<Account>,
    common: Account,
    parts: Vec<f64>,
}

impl Tenancy {
    /// Splits an account between tenants, in the order of their numbers.
    pub fn new(of: &Account, tenants: &[TenantShare]) -> Self {
        let weight =
            |tenant: &TenantShare| if tenant.weight.is_finite() { tenant.weight.max(0.0) } else { 0.0 };
        let sum: f64 = tenants.iter().map(weight).sum();
        let part = |tenant: &TenantShare| if sum > 0.0 { SPLIT * weight(tenant) / sum } else { 0.0 };
        let tenancy = Tenancy {
            own: tenants.iter().map(|tenant| of.child(&tenant.name, 0)).collect(),
            common: of.child("common", 0),
            parts: tenants.iter().map(part).collect(),
        };
        tenancy.set_cap(of.cap());
        tenancy
    }

    /// Splits a new cap of the whole in the same way.
    pub fn set_cap(&self, cap: usize) {
        let mut left = cap;
        for (own, part) in self.own.iter().zip(&self.parts) {
            let bytes = (cap as f64 * part) as usize;
            left -= bytes.min(left);
            own.set_cap(bytes);
        }
        self.common.set_cap(left);
    }

    /// Takes bytes for a tenant, or for nobody known.
    pub fn reserve(&self, tenant: Option<usize>, bytes: usize) -> Result<Reservation, Full> {
        let Some(own) = tenant.and_then(|tenant| self.own.get(tenant)) else {
            return self.common.reserve(bytes);
        };
        own.try_reserve(bytes).or_else(|full| {
            self.common.try_reserve(bytes).map_err(|common| {
                full.count();
                // The larger of the two tells whether it could fit at another time.
                if common.cap > full.cap {
                    common
                } else {
                    full
                }
            })
        })
    }

    /// Takes bytes that are owed already from the common part.
    pub fn owe(&self, bytes: usize) -> Reservation {
        self.common.owe(bytes)
    }

    /// The accounts of the tenants, and the common one last.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.own.iter().chain([&self.common])
    }
}

#[cfg(test)]
mod tests;
