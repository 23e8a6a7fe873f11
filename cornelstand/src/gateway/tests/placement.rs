//! Placement by cached prefixes, memory and queues, and of cold and failing endpoints.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::directory::EndpointRecord;
use crate::gateway::endpoint_state::{Load, Prompt, PromptPart};
use crate::gateway::placement::{
    EndpointIndex, Endpoints, Place, PlaceEnd, PlacementError, PlacementRules,
};
use crate::gateway::tests::{MODELS, ORDERS, record};
use crate::moment::Moment;
use crate::name::{CentreName, ServiceName};

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

fn entry(name: &str, service: &str) -> EndpointRecord {
    record(name, service, ([10, 0, 0, 1], 80).into())
}

fn endpoints(records: Vec<EndpointRecord>) -> Endpoints {
    let mut endpoints = Endpoints::default();
    for record in records {
        endpoints.put(at(0), Rc::new(record));
    }
    endpoints
}

fn engines(count: usize) -> Endpoints {
    endpoints(
        (0..count)
            .map(|i| entry(&format!("e{i}"), MODELS))
            .collect(),
    )
}

fn rules() -> PlacementRules {
    PlacementRules {
        memory: Some(530_000.0),
        objective: Duration::from_millis(400),
        token_time: 12.0,
        left: Duration::from_secs(12),
        cold_quota: Some(2),
        centre: CentreName::from("north"),
        cached_only: false,
        seed: 1,
    }
}

fn prompt(subject: u64, input: u32) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        input,
        output: 300,
        parts: vec![part(1, 500), part(subject, 4_800), part(99, input - 5_300)],
    }
}

fn choose(
    endpoints: &Endpoints,
    now: Moment,
    service: &str,
    prompt: Option<&Prompt>,
    rules: &PlacementRules,
) -> Result<EndpointIndex, PlacementError> {
    let service = ServiceName::from(service);
    endpoints.choose(now, &service, prompt, rules, |_| true, |_, _| true)
}

fn take(endpoints: &mut Endpoints, now: Moment, prompt: &Prompt) -> Place {
    let index = choose(endpoints, now, MODELS, Some(prompt), &rules()).expect("room");
    endpoints.take(now, index, Some(prompt)).expect("listed")
}

#[test]
fn requests_with_a_shared_prefix_go_to_the_same_engine() {
    let mut endpoints = engines(6);
    let mut chosen = Vec::new();
    for i in 0..4 {
        let mut place = take(&mut endpoints, at(i * 1_000), &prompt(7, 6_000));
        endpoints.begin(at(i * 1_000 + 100), &mut place);
        endpoints.end(at(i * 1_000 + 900), &place, PlaceEnd::Good);
        chosen.push(place.index);
    }
    chosen.dedup();
    assert_eq!(chosen.len(), 1);
}

#[test]
fn instances_choose_the_same_engine_without_communication() {
    let (mut one, mut other) = (engines(6), engines(6));
    for subject in 10..40 {
        let prompt = prompt(subject, 6_000);
        let (a, b) = (
            take(&mut one, at(0), &prompt),
            take(&mut other, at(0), &prompt),
        );
        assert_eq!(a.index, b.index);
        one.end(at(0), &a, PlaceEnd::Neutral);
        other.end(at(0), &b, PlaceEnd::Neutral);
    }
}

#[test]
fn a_full_engine_with_the_prefix_cached_is_waited_for_and_then_avoided() {
    let mut endpoints = engines(3);
    let prompt = prompt(7, 12_000);
    let first = take(&mut endpoints, at(0), &prompt);
    let mut waiting = rules();
    waiting.cached_only = true;
    let mut preferred = vec![first.index];
    let mut last = Ok(first.index);
    for _ in 0..8 {
        last = choose(&endpoints, at(0), MODELS, Some(&prompt), &waiting);
        let Ok(index) = last else { break };
        preferred.push(index);
        endpoints.take(at(0), index, Some(&prompt)).expect("listed");
    }
    assert_eq!(last, Err(PlacementError::Full));
    preferred.sort_unstable();
    preferred.dedup();
    assert_eq!(preferred.len(), 1);
    let other = choose(&endpoints, at(0), MODELS, Some(&prompt), &rules());
    assert!(other.is_ok_and(|index| !preferred.contains(&index)));
}

#[test]
fn the_memory_of_an_engine_is_not_overbooked() {
    let mut endpoints = engines(1);
    let mut places = 0;
    for subject in 0..100 {
        let now = at(subject * 1_000);
        let prompt = prompt(1_000 + subject, 40_000);
        let Ok(index) = choose(&endpoints, now, MODELS, Some(&prompt), &rules()) else {
            break;
        };
        let mut place = endpoints.take(now, index, Some(&prompt)).expect("listed");
        endpoints.begin(now, &mut place);
        places += 1;
    }
    assert!(
        (10..=13).contains(&places),
        "{places} requests of 40,000 tokens in 530,000"
    );
}

#[test]
fn an_engine_above_the_token_time_limit_gets_no_requests() {
    let mut endpoints = engines(1);
    let small = prompt(7, 6_000);
    let mut place = take(&mut endpoints, at(0), &small);
    endpoints.begin(at(100), &mut place);
    for i in 1..100 {
        endpoints.progress(at(100 + i * 200), &mut place, 6);
    }
    let found = choose(&endpoints, at(20_000), MODELS, Some(&small), &rules());
    assert_eq!(found, Err(PlacementError::Full));
    endpoints.end(at(20_000), &place, PlaceEnd::Good);
    assert!(choose(&endpoints, at(20_000), MODELS, Some(&small), &rules()).is_ok());
}

#[test]
fn a_response_that_cannot_end_in_time_is_not_started() {
    let mut endpoints = engines(1);
    let small = prompt(7, 6_000);
    let mut place = take(&mut endpoints, at(0), &small);
    endpoints.begin(at(100), &mut place);
    for i in 1..100 {
        endpoints.progress(at(100 + i * 60), &mut place, 6);
    }
    let mut rules = rules();
    rules.left = Duration::from_secs(2);
    let found = choose(&endpoints, at(7_000), MODELS, Some(&small), &rules);
    assert_eq!(found, Err(PlacementError::Full));
}

#[test]
fn a_cold_endpoint_gets_no_more_than_the_quota_of_this_instance() {
    let mut cold = entry("cold", MODELS);
    cold.cold = Duration::from_secs(3);
    let mut endpoints = endpoints(vec![cold]);
    let mut sent = Vec::new();
    for ms in (0..3_000).step_by(20) {
        let prompt = prompt(ms, 5_400);
        if let Ok(index) = choose(&endpoints, at(ms), MODELS, Some(&prompt), &rules()) {
            let place = endpoints
                .take(at(ms), index, Some(&prompt))
                .expect("listed");
            endpoints.end(at(ms), &place, PlaceEnd::Good);
            sent.push(ms);
        }
        endpoints.remove_expired(at(ms));
    }
    let most = sent.iter().map(|from| {
        sent.iter()
            .filter(|s| (*from..from + 1_000).contains(*s))
            .count()
    });
    assert_eq!(most.max(), Some(2));
}

#[test]
fn an_endpoint_that_refuses_connections_is_backed_off_exponentially() {
    let mut endpoints = endpoints(vec![entry("a", ORDERS)]);
    let mut now = at(0);
    for rest in [250, 500, 1_000, 2_000, 2_000] {
        let index = choose(&endpoints, now, ORDERS, None, &rules()).expect("usable");
        let place = endpoints.take(now, index, None).expect("listed");
        endpoints.end(now, &place, PlaceEnd::Unreachable);
        let before = now.after(Duration::from_millis(rest - 1));
        assert_eq!(
            choose(&endpoints, before, ORDERS, None, &rules()),
            Err(PlacementError::NoEndpoint)
        );
        now = now.after(Duration::from_millis(rest));
    }
}

#[test]
fn an_endpoint_that_fails_more_than_the_others_gets_probes_only() {
    let mut endpoints = endpoints(vec![entry("bad", ORDERS), entry("good", ORDERS)]);
    let mut counts = [0, 0];
    for i in 0..400 {
        let now = at(i * 10);
        let index = choose(&endpoints, now, ORDERS, None, &rules()).expect("usable");
        let place = endpoints.take(now, index, None).expect("listed");
        let end = if index == 0 {
            PlaceEnd::Failed
        } else {
            PlaceEnd::Good
        };
        endpoints.end(now, &place, end);
        counts[index] += 1;
    }
    assert!(counts[0] < 40, "{counts:?}");
}

#[test]
fn failures_common_to_all_endpoints_exclude_none() {
    let mut endpoints = endpoints(vec![entry("a", ORDERS), entry("b", ORDERS)]);
    for i in 0..200 {
        let now = at(i * 10);
        let index = choose(&endpoints, now, ORDERS, None, &rules()).expect("usable");
        let place = endpoints.take(now, index, None).expect("listed");
        endpoints.end(now, &place, PlaceEnd::Failed);
    }
    assert!(choose(&endpoints, at(2_000), ORDERS, None, &rules()).is_ok());
}

#[test]
fn a_restart_of_an_endpoint_resets_its_load() {
    let mut endpoints = engines(1);
    let place = take(&mut endpoints, at(0), &prompt(7, 6_000));
    let mut again = entry("e0", MODELS);
    again.started_at = 2;
    endpoints.put(at(10), Rc::new(again));
    assert_eq!(endpoints.own_loads().count(), 0);
    endpoints.end(at(20), &place, PlaceEnd::Good);
    assert_eq!(endpoints.own_loads().count(), 0);
}

#[test]
fn a_leaving_endpoint_gets_no_requests() {
    let mut leaving = entry("a", ORDERS);
    leaving.leaving = true;
    let endpoints = endpoints(vec![leaving]);
    let found = choose(&endpoints, at(0), ORDERS, None, &rules());
    assert_eq!(found, Err(PlacementError::NoEndpoint));
}

#[test]
fn a_resumed_stream_counts_generated_tokens_as_input() {
    let prompt = Prompt {
        input: 400,
        output: 900,
        parts: Vec::new(),
    };
    let rest = prompt.clone().advanced(600, 6);
    assert_eq!((rest.input, rest.output), (1_000, 300));
    assert_eq!(prompt.advanced(5_000, 6).output, 6);
}

/// All engines have prompts to read: a prefix is then read at its first preferred endpoint only.
#[test]
fn a_busy_second_preferred_endpoint_is_not_used() {
    let mut endpoints = engines(3);
    endpoints.set_peers(|_| Load {
        unread_tokens: 3_000.0,
        ..Load::default()
    });
    let prompt = prompt(7, 6_000);
    let mut waiting = rules();
    waiting.cached_only = true;
    let mut preferred = Vec::new();
    while let Ok(index) = choose(&endpoints, at(0), MODELS, Some(&prompt), &waiting) {
        preferred.push(index);
        endpoints.take(at(0), index, Some(&prompt)).expect("listed");
    }
    preferred.dedup();
    assert_eq!(preferred.len(), 1);
}

/// Seen in further/saunaforma-prod: of 5.0 million prefix tokens that engines read, 1.8 million
/// were cached at another engine, unknown to the sending instance.
#[test]
fn a_part_advertised_by_a_peer_attracts_requests() {
    let (mut one, mut other) = (engines(6), engines(6));
    let prompt = prompt(7, 12_000);
    let preferred = choose(&one, at(0), MODELS, Some(&prompt), &rules()).expect("room");
    let elsewhere = (preferred + 1) % 6;
    let mut place = one.take(at(0), elsewhere, Some(&prompt)).expect("listed");
    one.begin(at(400), &mut place);
    other.record_peer_residents(at(440), &one.residents(at(440)));
    let found = choose(&other, at(450), MODELS, Some(&prompt), &rules());
    assert_eq!(found, Ok(elsewhere));
    let cached = other
        .take(at(450), elsewhere, Some(&prompt))
        .expect("listed");
    // Its own 6,700 tokens are left to read.
    assert!(
        cached.prompt_tokens() <= 6_700.0,
        "{}",
        cached.prompt_tokens()
    );
    other.end(at(900), &cached, PlaceEnd::Good);
    // A received advertisement is not repeated, and a sent one is repeated for a limited time.
    assert!(other.residents(at(460)).is_empty());
    assert!(one.residents(at(2_000)).is_empty());
    // The retention time is over.
    let late = choose(&other, at(30_000), MODELS, Some(&prompt), &rules());
    assert_eq!(late, Ok(preferred));
}

#[test]
fn an_uncached_prefix_counts_as_prompt_tokens() {
    let mut endpoints = engines(6);
    let place = take(&mut endpoints, at(0), &prompt(7, 12_000));
    assert!(
        place.prompt_tokens() >= 12_000.0,
        "{}",
        place.prompt_tokens()
    );
}

/// One engine cannot serve all requests that share a popular prefix.
#[test]
fn a_prefix_with_many_refused_requests_is_read_by_another_engine() {
    let mut endpoints = engines(3);
    let prompt = prompt(7, 12_000);
    for refused in 1..=4 {
        assert!(
            !endpoints.should_replicate(at(refused * 100), &prompt),
            "after {}",
            refused - 1
        );
        endpoints.note_refused_prefix(at(refused * 100), &prompt);
    }
    assert!(endpoints.should_replicate(at(400), &prompt));
    // A burst in the past does not cause another engine to read the prefix.
    assert!(!endpoints.should_replicate(at(5_000), &prompt));
    endpoints.remove_expired(at(20_000));
    assert!(!endpoints.should_replicate(at(20_000), &prompt));
}
