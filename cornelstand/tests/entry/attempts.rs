//! The state machine of attempts and the retry budgets, checked against a simple model.

use std::cell::Cell;

use cornelstand::{
    AccountName, ConnectError, Loss, Outcome, Ready, Repeat, RequestId, RetryBudgets, ServiceName,
    Unsent,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

use crate::fleet::refusing;
use crate::parsers::run;

/// Simulated result of one attempt.
#[derive(Clone, Copy, Debug)]
enum Event {
    Refused,
    Withdrawn,
    Unconnected,
    Lost(Loss),
    Answered,
}

/// Expected state of a request: how often an endpoint may have executed it, and whether any of
/// these executions has an unknown outcome.
#[derive(Debug, Default)]
struct Expected {
    runs: u32,
    unknown: bool,
}

/// Applies `events` to a request and returns its outcome, `None` if it was answered.
fn drive(
    events: &[Event],
    repeat: Repeat,
    proof: &ConnectError,
    expected: &mut Expected,
) -> Option<Outcome> {
    let (account, service) = (AccountName::from("a"), ServiceName::from("s"));
    let mut budgets = RetryBudgets::default();
    let mut ready = Ready::Unsent(Unsent::new(RequestId(1)));
    let mut last = None;
    for event in events {
        assert!(
            last < Some(ready.attempt().number),
            "an identity is used once"
        );
        last = Some(ready.attempt().number);
        ready = match event {
            Event::Refused => break,
            Event::Withdrawn => ready.next(),
            Event::Unconnected => ready.send().unconnected(proof),
            Event::Answered => {
                expected.runs += 1;
                let _ = ready.send().sent().answering();
                return None;
            }
            Event::Lost(loss) => {
                expected.runs += 1;
                expected.unknown |= !loss.is_failed();
                let attempt = ready.send().sent().lost(*loss);
                match budgets.spend(repeat, &account, &service) {
                    Some(permit) => attempt.retry(permit),
                    None => return Some(attempt.refuse().outcome()),
                }
            }
        };
    }
    Some(ready.refuse().outcome())
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Refused),
        Just(Event::Withdrawn),
        Just(Event::Unconnected),
        Just(Event::Lost(Loss::Broken)),
        Just(Event::Lost(Loss::Silent)),
        Just(Event::Lost(Loss::Failed)),
        Just(Event::Answered),
    ]
}

#[tokio::test]
async fn every_refusal_is_true_in_any_schedule() {
    let error = reqwest::get(format!("http://{}/", refusing())).await;
    let proof = ConnectError::prove(error.unwrap_err()).unwrap();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config {
        cases: 10_000,
        failure_persistence: None,
        ..Config::default()
    };
    let events = proptest::collection::vec(event(), 0..12);
    let schedule = (events, any::<bool>());
    let seen = Cell::new([0_u32; 3]);
    let test = |(events, once): (Vec<Event>, bool)| {
        let repeat = if once {
            Repeat::Once
        } else {
            Repeat::Idempotent
        };
        let mut expected = Expected::default();
        let outcome = drive(&events, repeat, &proof, &mut expected);
        prop_assert!(!once || expected.runs <= 1, "{expected:?}");
        match outcome {
            Some(Outcome::NotRun) => prop_assert_eq!(expected.runs, 0),
            Some(Outcome::Unknown) => prop_assert!(expected.unknown),
            Some(Outcome::Failed) => prop_assert!(expected.runs > 0 && !expected.unknown),
            None => prop_assert!(expected.runs > 0),
        }
        if let Some(outcome) = outcome {
            let mut counts = seen.get();
            counts[outcome as usize] += 1;
            seen.set(counts);
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&schedule, test)
        .unwrap();
    assert!(seen.get().iter().all(|&n| n > 100), "{:?}", seen.get());
}

#[tokio::test]
async fn an_error_after_the_connection_proves_nothing() {
    let cut = crate::fleet::raw("HTTP/1.1 200").await;
    let error = reqwest::get(format!("http://{cut}/")).await.unwrap_err();
    ConnectError::prove(error).unwrap_err();
}

#[test]
fn retries_stay_a_share_of_first_tries() {
    let tries = proptest::collection::vec((0..3_u8, any::<bool>()), 0..400);
    run(tries, |tries| {
        let service = ServiceName::from("s");
        let mut budgets = RetryBudgets::default();
        let (mut firsts, mut retries) = ([0_u32; 3], [0_u32; 3]);
        for (account, is_retry) in tries {
            let name = AccountName::from(format!("a{account}").as_str());
            let account = usize::from(account);
            if is_retry {
                let permit = budgets.spend(Repeat::Idempotent, &name, &service);
                retries[account] += u32::from(permit.is_some());
            } else {
                budgets.earn(&name, &service);
                firsts[account] += 1;
            }
            for (first, retry) in firsts.iter().zip(retries) {
                prop_assert!(retry <= 10 + first / 10);
            }
            let (first, retry) = (firsts.iter().sum::<u32>(), retries.iter().sum::<u32>());
            prop_assert!(retry <= 10 + first / 10);
        }
        Ok(())
    });
}

#[rstest]
#[case(Repeat::Once, 0)]
#[case(Repeat::Idempotent, 10)]
fn only_idempotent_requests_have_a_budget(#[case] repeat: Repeat, #[case] most: usize) {
    let (account, service) = (AccountName::from("a"), ServiceName::from("s"));
    let mut budgets = RetryBudgets::default();
    let given = (0..20).filter(|_| budgets.spend(repeat, &account, &service).is_some());
    assert_eq!(given.count(), most);
}
