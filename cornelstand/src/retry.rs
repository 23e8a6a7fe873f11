//! Budgets of retries.
//!
//! A retry spends a token, and first tries earn them: retries stay a fixed share of the first
//! tries, so that they cannot multiply the load on endpoints that fail because of load. The
//! account's bucket keeps one account from spending what the others earned, the service's bucket
//! bounds the sum.

use std::collections::HashMap;

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

impl Default for Bucket {
    fn default() -> Self {
        Self(BUCKET)
    }
}

impl Bucket {
    fn earn(&mut self) {
        self.0 = (self.0 + EARNED).min(BUCKET);
    }

    fn has_token(self) -> bool {
        self.0 >= SPENT
    }

    fn spend(&mut self) {
        self.0 -= SPENT;
    }
}

/// Retry budgets of all accounts and services at one entry.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    accounts: HashMap<(AccountName, ServiceName), Bucket>,
    services: HashMap<ServiceName, Bucket>,
}

impl RetryBudgets {
    /// Counts a first try.
    pub fn earn(&mut self, account: &AccountName, service: &ServiceName) {
        self.account(account, service).earn();
        self.services.entry(service.clone()).or_default().earn();
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
        let total = self.services.entry(service.clone()).or_default();
        let left = *total;
        let own = self.account(account, service);
        if !left.has_token() || !own.has_token() {
            return None;
        }
        own.spend();
        self.services.entry(service.clone()).or_default().spend();
        Some(RetryPermit(()))
    }

    /// Forgets accounts and services for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&AccountName, &ServiceName) -> bool) {
        self.accounts.retain(|(a, s), _| keep(a, s));
        let accounts = &self.accounts;
        self.services
            .retain(|s, _| accounts.keys().any(|(_, used)| used == s));
    }

    fn account(&mut self, account: &AccountName, service: &ServiceName) -> &mut Bucket {
        let key = (account.clone(), service.clone());
        self.accounts.entry(key).or_default()
    }
}
