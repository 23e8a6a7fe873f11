//! Queue order, early refusals and retry times.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::admission::{
    ATTAINED_TIME_CONSTANT, Admission, DecayingSum, Demand, Waiting, merge_demands,
};
use crate::gateway::catalog::RouteKind;
use crate::gateway::endpoint_state::Prompt;
use crate::gateway::number::to_f32;
use crate::gateway::tests::{MODELS, route};
use crate::moment::Moment;
use crate::name::{AccountName, ServiceName};

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

fn waiting(now: Moment, account: &str, input: u32) -> Waiting {
    let route = route("quote", MODELS, RouteKind::Stream);
    let prompt = Prompt {
        input,
        output: 0,
        parts: Vec::new(),
    };
    let service = ServiceName::from(MODELS);
    let left = Duration::from_secs(5);
    Waiting::new(
        now,
        AccountName::from(account),
        service,
        &route,
        Some(prompt),
        left,
    )
}

/// Demand of `tokens` at a peer by an account that has attained `attained_service`.
fn demands(attained_service: f32, tokens: f32) -> HashMap<ServiceName, Vec<Demand>> {
    HashMap::from([(
        ServiceName::from(MODELS),
        vec![Demand {
            attained_service,
            tokens,
        }],
    )])
}

#[test]
fn the_account_that_attained_least_comes_first() {
    let mut admission = Admission::default();
    admission.charge(at(0), &waiting(at(0), "ada", 9_000));
    let ada = admission.push(waiting(at(1), "ada", 100));
    let bob = admission.push(waiting(at(2), "bob", 100));
    assert_eq!(admission.order(at(3)), [bob, ada]);
}

#[test]
fn service_attained_through_peers_counts_as_well() {
    let mut admission = Admission::default();
    admission.charge(at(0), &waiting(at(0), "ada", 9_000));
    let bob = AccountName::from("bob");
    admission.set_peers(at(0), HashMap::from([(bob, 50_000.0)]));
    let ada = admission.push(waiting(at(1), "ada", 100));
    let bob = admission.push(waiting(at(2), "bob", 100));
    assert_eq!(admission.order(at(3)), [ada, bob]);
}

#[test]
fn attained_service_decays() {
    let mut admission = Admission::default();
    admission.charge(at(0), &waiting(at(0), "ada", 10_000));
    let ada = AccountName::from("ada");
    assert!(admission.attained_service(at(4_000), &ada) < 4_000.0);
    assert!(admission.attained_service(at(40_000), &ada) < 1.0);
}

#[test]
fn a_request_behind_more_work_than_fits_its_wait_exceeds_it() {
    let mut admission = Admission::default();
    for i in 0..20 {
        admission.charge(at(i * 50), &waiting(at(0), "bob", 1_000));
    }
    let now = at(1_000);
    let first = admission.push(waiting(now, "ada", 50_000));
    let second = admission.push(waiting(now, "ada", 100));
    assert!(!admission.exceeds_wait(now, second) || !admission.exceeds_wait(now, first));
    assert!(admission.exceeds_wait(now, second) || admission.exceeds_wait(now, first));
}

#[test]
fn an_account_far_above_the_others_gets_a_longer_retry_time() {
    let mut admission = Admission::default();
    for i in 0..200 {
        admission.charge(at(i), &waiting(at(i), "bob", 1_000));
    }
    for i in 200..260 {
        admission.charge(at(i), &waiting(at(i), "ada", 20_000));
    }
    let now = at(260);
    let ada = admission.retry_after(now, &AccountName::from("ada"));
    let eve = admission.retry_after(now, &AccountName::from("eve"));
    assert!(ada > eve, "{ada:?} against {eve:?}");
}

#[test]
fn an_account_yields_to_one_elsewhere_that_attained_less() {
    let mut admission = Admission::default();
    let heavy = waiting(at(0), "ada", 90_000);
    admission.charge(at(0), &heavy);
    assert!(!admission.must_yield(at(0), &heavy));
    admission.set_peer_demands(demands(1_000.0, 100.0));
    assert!(admission.must_yield(at(0), &heavy));
    assert!(!admission.must_yield(at(0), &waiting(at(0), "eve", 100)));
}

#[test]
fn only_requests_that_accept_any_engine_count_as_unserved_demand() {
    let mut admission = Admission::default();
    let request = waiting(at(0), "ada", 100);
    admission.push(request.clone());
    // It spends its whole wait on an engine that has its prefix cached.
    assert!(admission.demands(at(50)).is_empty());
    assert!(admission.demands(at(150)).is_empty());
    admission.note_refusal(at(200), &request);
    assert_eq!(admission.demands(at(200)).len(), 1);
    let mut admission = Admission::default();
    admission.push(waiting(at(0), "eve", 100).resumed());
    assert_eq!(admission.demands(at(50)).len(), 1);
}

#[test]
fn an_idle_instance_expects_its_share_of_the_throughput() {
    let mut admission = Admission::default();
    admission.set_capacity(&ServiceName::from(MODELS), 100_000.0, 1.0);
    let first = admission.push(waiting(at(0), "ada", 1_000));
    let second = admission.push(waiting(at(0), "bob", 1_000));
    assert!(!admission.exceeds_wait(at(0), first) && !admission.exceeds_wait(at(0), second));
}

#[test]
fn an_interrupted_stream_comes_first_and_does_not_yield() {
    let mut admission = Admission::default();
    admission.charge(at(0), &waiting(at(0), "ada", 90_000));
    admission.set_peer_demands(demands(1_000.0, 100.0));
    let other = admission.push(waiting(at(1), "bob", 50_000));
    let broken = waiting(at(2), "ada", 100).resumed();
    assert!(!admission.must_yield(at(2), &broken));
    let broken = admission.push(broken);
    assert_eq!(admission.order(at(3)), [broken, other]);
    assert!(!admission.exceeds_wait(at(3), broken));
}

/// One account uses idle capacity; then a second account asks for as much.
#[test]
fn usage_without_contention_counts_against_an_account_for_at_most_2_5_s() {
    let mut admission = Admission::default();
    for i in 0..400 {
        admission.charge(at(i * 10), &waiting(at(i * 10), "ada", 3_000));
    }
    let mut bob = DecayingSum::default();
    for i in 400..650 {
        bob.add(at(i * 10), 1_000.0, ATTAINED_TIME_CONSTANT);
    }
    let now = at(6_500);
    let least = bob.get(now, ATTAINED_TIME_CONSTANT);
    admission.set_peer_demands(demands(to_f32(least), 100.0));
    assert!(!admission.must_yield(now, &waiting(now, "ada", 3_000)));
}

#[test]
fn a_single_request_elsewhere_does_not_block_but_high_demand_does() {
    let mut admission = Admission::default();
    admission.set_capacity(&ServiceName::from(MODELS), 100_000.0, 2.0);
    let heavy = waiting(at(0), "ada", 90_000);
    admission.charge(at(0), &heavy);
    admission.set_peer_demands(demands(1_000.0, 1_000.0));
    assert!(!admission.must_yield(at(0), &heavy));
    admission.set_peer_demands(demands(1_000.0, 40_000.0));
    assert!(admission.must_yield(at(0), &heavy));
}

#[test]
fn refused_requests_count_as_demand_for_a_short_time() {
    let mut admission = Admission::default();
    admission.note_refusal(at(0), &waiting(at(0), "ada", 1_000));
    assert_eq!(admission.demands(at(1)).len(), 1);
    assert!(admission.demands(at(5_000)).is_empty());
}

#[test]
fn a_refund_undoes_the_charge_for_a_request_that_did_not_run() {
    let mut admission = Admission::default();
    let waiting = waiting(at(0), "ada", 1_000);
    admission.charge(at(0), &waiting);
    admission.refund(at(0), &waiting.account, waiting.cost());
    assert!(admission.attained_service(at(0), &waiting.account) < 1.0);
}

/// Thirty accounts at as many instances have demand, mostly small: the large one must not be cut.
#[test]
fn a_large_demand_is_kept_among_many_small_ones() {
    let small = (0..200_u8).map(|i| Demand {
        attained_service: 100.0 + f32::from(i),
        tokens: 5.0,
    });
    let large = Demand {
        attained_service: 400_000.0,
        tokens: 90_000.0,
    };
    let joined = merge_demands(small.chain([large]).collect());
    assert_eq!(joined.len(), 2);
    assert!((joined[0].tokens - 1_000.0).abs() < 1.0);
    assert_eq!(joined[1], large);
}
