//! Budgets of retries.
//!
//! A retry spends a token, and first tries earn them: retries stay a fixed share of the first
//! tries, so that they cannot multiply the load on endpoints that fail because of load. The
//! account's bucket keeps one account from spending what the others earned, the service's bucket
//! bounds the sum.

use std::collections::HashMap;
use std::hash::Hash;

use crate::config::Repeat;
use crate::name::{AccountName, ServiceName};

/// Thousandths of a token that a first try earns.
const EARNED: u32 = 100;
/// Thousandths of a token that a retry spends.
const SPENT: u32 = 1_000;
/// Most thousandths of a token in a bucket.
const BUCKET: u32 = 10_000;

/// Permission to send an idempotent request once more.
#[derive(Debug)]
pub struct RetryPermit(());

#[derive(Clone, Copy, Debug)]
struct Bucket(u32);

impl Bucket {
    const FULL: Self = Self(BUCKET);

    fn earned(self) -> Self {
        Self((self.0 + EARNED).min(BUCKET))
    }

    fn spent(self) -> Option<Self> {
        self.0.checked_sub(SPENT).map(Self)
    }

    fn is_full(self) -> bool {
        self.0 == BUCKET
    }
}

/// Retry budgets of all accounts and services at one entry.
///
/// A bucket that is not kept is full.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    accounts: HashMap<(AccountName, ServiceName), Bucket>,
    services: HashMap<ServiceName, Bucket>,
}

impl RetryBudgets {
    /// Counts a first try.
    pub fn earn(&mut self, account: &AccountName, service: &ServiceName) {
        earn(&mut self.services, service);
        if !self.accounts.is_empty() {
            earn(&mut self.accounts, &(account.clone(), service.clone()));
        }
    }

    /// Spends a retry of a sent request, if it is idempotent and both budgets allow it.
    pub fn spend(
        &mut self,
        repeat: Repeat,
        account: &AccountName,
        service: &ServiceName,
    ) -> Option<RetryPermit> {
        if !repeat.is_idempotent() {
            return None;
        }
        let pair = (account.clone(), service.clone());
        let own = self.accounts.get(&pair).unwrap_or(&Bucket::FULL).spent()?;
        let total = self
            .services
            .get(service)
            .unwrap_or(&Bucket::FULL)
            .spent()?;
        self.accounts.insert(pair, own);
        self.services.insert(service.clone(), total);
        Some(RetryPermit(()))
    }

    /// Forgets accounts and services for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&AccountName, &ServiceName) -> bool) {
        self.accounts.retain(|(a, s), _| keep(a, s));
    }
}

fn earn<K: Eq + Hash>(buckets: &mut HashMap<K, Bucket>, key: &K) {
    if let Some(bucket) = buckets.get_mut(key) {
        *bucket = bucket.earned();
        if bucket.is_full() {
            buckets.remove(key);
        }
    }
}
