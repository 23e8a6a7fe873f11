//! Retry budgets.
//!
//! A retry spends a token and first attempts earn them, so that retries stay a fixed share of first
//! attempts and cannot multiply the load on endpoints that fail because of load. The account's
//! bucket keeps one account from spending what others earned, the service's bucket bounds the
//! sum.

use std::collections::HashMap;
use std::hash::Hash;

use crate::config::Repeat;
use crate::name::{AccountName, ServiceName};

/// Millitokens earned by a first attempt.
const EARNED_MILLITOKENS: u32 = 100;
/// Millitokens spent by a retry.
const SPENT_MILLITOKENS: u32 = 1_000;
/// Capacity of a bucket, in millitokens.
const BUCKET_MILLITOKENS: u32 = 10_000;

/// Permission to send an idempotent request once more.
#[derive(Debug)]
pub struct RetryPermit(());

#[derive(Clone, Copy, Debug)]
struct Bucket(u32);

impl Bucket {
    const FULL: Self = Self(BUCKET_MILLITOKENS);

    fn earned(self) -> Self {
        Self((self.0 + EARNED_MILLITOKENS).min(BUCKET_MILLITOKENS))
    }

    fn spent(self) -> Option<Self> {
        self.0.checked_sub(SPENT_MILLITOKENS).map(Self)
    }

    fn is_full(self) -> bool {
        self.0 == BUCKET_MILLITOKENS
    }
}

/// Retry budgets of all accounts and services at one entry.
///
/// Only buckets that are not full are stored.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    accounts: HashMap<(AccountName, ServiceName), Bucket>,
    services: HashMap<ServiceName, Bucket>,
}

impl RetryBudgets {
    /// Counts a first attempt.
    pub fn earn(&mut self, account: &AccountName, service: &ServiceName) {
        earn(&mut self.services, service);
        if !self.accounts.is_empty() {
            earn(&mut self.accounts, &(account.clone(), service.clone()));
        }
    }

    /// Spends a token on a retry of a sent request, if it is idempotent and both budgets allow it.
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

    /// Drops the account buckets for which `keep` is false.
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
