//! Figures computed from known series and samples.
#![cfg(feature = "demo")]

use std::time::Duration;

use cornelstand::{
    AccountName, AccountResult, LoadResult, Outcomes, Quantiles, Reading, Sample, SourceResult,
    Span, fairness_gap, gain_rate, gained, utilisation, whole,
};
use rstest::rstest;

/// Buckets of one second.
const SECOND: usize = 4;

fn account(name: &str, share: u32, series: Vec<u64>) -> AccountResult {
    AccountResult {
        account: name.into(),
        share,
        sources: vec![SourceResult {
            label: "all".to_owned(),
            counts: Outcomes::default(),
            wait: Quantiles::default(),
            whole: Quantiles::default(),
            series,
        }],
    }
}

fn gap(accounts: Vec<AccountResult>, from: u64, to: u64) -> Option<f64> {
    let names: Vec<AccountName> = accounts.iter().map(|a| a.account.clone()).collect();
    let result = LoadResult {
        seed: 1,
        length: 1,
        accounts,
        not_run: Vec::new(),
    };
    fairness_gap(&result, &names, Span::seconds(from, to))
}

#[test]
fn service_in_proportion_to_shares_has_no_gap() {
    let accounts = vec![
        account("a", 3, vec![30; 20 * SECOND]),
        account("b", 1, vec![10; 20 * SECOND]),
    ];
    assert_eq!(gap(accounts, 0, 20), Some(1.0));
}

#[test]
fn the_worst_window_counts() {
    // One account receives nothing in the seconds 12 and 13.
    let mut series = vec![10; 30 * SECOND];
    series[12 * SECOND..14 * SECOND].fill(0);
    let accounts = || {
        vec![
            account("a", 1, series.clone()),
            account("b", 1, vec![10; 30 * SECOND]),
        ]
    };
    assert_eq!(gap(accounts(), 0, 30), Some(1.25));
    assert_eq!(gap(accounts(), 0, 12), Some(1.0));
    assert_eq!(gap(accounts(), 14, 30), Some(1.0));
}

#[test]
fn a_starved_account_has_an_infinite_gap() {
    let accounts = vec![
        account("a", 1, vec![10; 10 * SECOND]),
        account("b", 1, Vec::new()),
    ];
    assert_eq!(gap(accounts, 0, 10), Some(f64::INFINITY));
}

#[rstest]
#[case::short_span(2, 9)]
#[case::one_account(1, 20)]
fn there_is_no_gap_to_measure(#[case] accounts: u32, #[case] seconds: u64) {
    let accounts = (0..accounts).map(|i| account(&format!("a{i}"), 1, vec![1; 100]));
    assert_eq!(gap(accounts.collect(), 0, seconds), None);
}

#[test]
fn utilisation_counts_the_span_and_the_chosen_endpoints() {
    let reading = |busy, borne| Reading {
        busy,
        borne,
        ..Reading::default()
    };
    let samples: Vec<Sample> = (0..=4)
        .map(|second| Sample {
            at: Duration::from_secs(second),
            readings: vec![reading(second * 8, second * 10), reading(0, second * 10)],
        })
        .collect();
    let span = Span::seconds(1, 3);
    assert_eq!(utilisation(&samples, span, |_| true), Some(0.4));
    assert_eq!(utilisation(&samples, span, |place| place == 0), Some(0.8));
    assert_eq!(gained(&samples, span, |_| true, |r| r.busy), 16);
    assert_eq!(utilisation(&[], span, |_| true), None);
}

#[test]
fn counts_become_exact_floats() {
    assert_eq!(whole(0).to_bits(), 0.0_f64.to_bits());
    assert_eq!(whole(1 << 40).to_bits(), 1_099_511_627_776.0_f64.to_bits());
}

#[test]
fn a_rate_counts_the_time_between_its_samples() {
    // Samples lie at 0.4, 1.4, 2.4 and 3.4 s, so that the span holds two seconds of them.
    let samples: Vec<Sample> = (0..4)
        .map(|second| Sample {
            at: Duration::from_millis(400 + second * 1_000),
            readings: vec![Reading {
                service: second * 50,
                ..Reading::default()
            }],
        })
        .collect();
    let span = Span::seconds(1, 4);
    let rate = gain_rate(&samples, span, |_| true, |r| r.service);
    assert_eq!(rate, Some(50.0));
    assert_eq!(
        gain_rate(&samples[..1], span, |_| true, |r| r.service),
        None
    );
}
