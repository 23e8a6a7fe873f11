//! The quotas of all instances add up to no more than the fleet-wide limit.

use std::time::Duration;

use proptest::prelude::*;

use crate::gateway::budget::{RetryQuota, RetryRule, cold_quota};
use crate::moment::Moment;
use crate::name::ServiceName;

const RULE: RetryRule = RetryRule {
    ratio: 0.2,
    slack: 52.0,
    window: Duration::from_secs(10),
};

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

proptest! {
    #[test]
    fn cold_quotas_of_all_instances_stay_within_the_limit(limit in 0.0..200.0_f64, count in 1_usize..200) {
        let sum: u32 = (0..count).map(|rank| cold_quota(limit, count, rank)).sum();
        prop_assert!(f64::from(sum) <= limit);
    }

    #[test]
    fn retries_of_all_instances_stay_within_the_budget(
        count in 1_usize..40,
        requests in proptest::collection::vec((0_usize..40, 0_u64..10_000), 0..400),
    ) {
        let service = ServiceName::from("s");
        let mut quotas: Vec<RetryQuota> = (0..count).map(|_| RetryQuota::default()).collect();
        let mut requests = requests;
        requests.sort_by_key(|r| r.1);
        let mut retries = 0;
        let total = f64::from(u32::try_from(requests.len()).expect("few"));
        for (instance, ms) in requests {
            let quota = &mut quotas[instance % count];
            quota.count(at(ms), &service, &RULE);
            while quota.take(at(ms), &service, &RULE, count) {
                retries += 1;
            }
        }
        prop_assert!(f64::from(retries) <= RULE.ratio * total + RULE.slack);
    }
}

#[test]
fn a_limit_below_the_instance_count_is_allotted_to_some_instances() {
    let quotas: Vec<u32> = (0..30).map(|rank| cold_quota(20.0, 30, rank)).collect();
    assert_eq!(quotas.iter().sum::<u32>(), 16);
    assert_eq!(quotas.iter().max(), Some(&1));
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let service = ServiceName::from("s");
    let mut quota = RetryQuota::default();
    while quota.take(at(0), &service, &RULE, 1) {}
    assert!(!quota.take(at(9_999), &service, &RULE, 1));
    assert!(quota.take(at(10_000), &service, &RULE, 1));
}

#[test]
fn a_retry_that_was_not_used_is_left_to_another_request() {
    let service = ServiceName::from("s");
    let mut quota = RetryQuota::default();
    while quota.take(at(0), &service, &RULE, 1) {}
    quota.give_back(&service, at(0));
    assert!(quota.take(at(1), &service, &RULE, 1));
    assert!(!quota.take(at(1), &service, &RULE, 1));
    quota.give_back(&service, at(2));
    assert!(!quota.take(at(2), &service, &RULE, 1));
}
