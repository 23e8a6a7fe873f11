//! Beliefs about the load and speed that endpoints tell, and what callers of plain services get.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::endpoint_load::{
    LoadReport, NewsRelay, SpeedBelief, ToldLoad, record_news, record_report, take_news,
};
use crate::gateway::endpoint_state::Load;
use crate::gateway::number::{to_f64, to_u64};
use crate::gateway::placement::{Endpoints, Place, PlaceEnd, PlacementRules};
use crate::gateway::tests::{ORDERS, record};
use crate::moment::Moment;
use crate::name::ServiceName;

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

fn report(running: u32, pace: Option<f64>) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slots: 6,
        pace,
    }
}

/// Belief after reports with `paces`, one every 100 ms.
fn belief(paces: &[f64]) -> SpeedBelief {
    let mut belief = None;
    for (ms, pace) in (0..).step_by(100).zip(paces) {
        record_report(&mut belief, at(ms), report(3, Some(*pace)), 2);
    }
    belief.expect("told")
}

#[test]
fn a_report_fades_into_the_usual_pace() {
    let mut paces = vec![1.0; 20];
    paces.push(2.5);
    let belief = belief(&paces);
    let fades = [0, 300, 600].map(|age| belief.pace(at(2_000 + age)));
    assert!(fades[0] > 1.5 && fades[0] > fades[1], "{fades:?}");
    assert!(fades[1] > fades[2] && fades[2] < 1.1, "{fades:?}");
}

#[test]
fn reports_that_foretell_nothing_count_little() {
    let paces: Vec<f64> = [1.0, 2.5].into_iter().cycle().take(40).collect();
    let belief = belief(&paces);
    let now = belief.pace(at(3_900));
    assert!((now - belief.usual()).abs() < 0.2, "{belief:?}");
}

#[test]
fn requests_sent_since_a_report_are_counted_in() {
    let belief = belief(&[1.0]);
    let counts = [(0, 2), (0, 5), (600, 5)].map(|(age, known)| belief.requests(at(age), known));
    // Three were told where two were known.
    assert_eq!(counts.map(to_u64), [3, 6, 5]);
}

#[test]
fn counts_without_a_pace_are_not_used() {
    let mut belief = None;
    record_report(&mut belief, at(0), report(3, None), 0);
    assert_eq!(belief, None);
}

#[test]
fn peers_are_told_of_changes_only_and_tell_nothing_on() {
    let mut own = Some(belief(&[1.7, 1.7]));
    let news = take_news(7, own.as_mut().expect("told"), at(150)).expect("new");
    let mut peer = None;
    record_news(&mut peer, at(160), &news);
    let peer_belief = peer.as_mut().expect("known");
    assert!((peer_belief.usual() - 1.7).abs() < 1e-6);
    assert_eq!(take_news(7, peer_belief, at(170)), None);
    record_report(&mut own, at(200), report(3, Some(1.7)), 2);
    let own = own.as_mut().expect("told");
    assert_eq!(take_news(7, own, at(250)), None);
    assert!(take_news(7, own, at(2_200)).is_some());
    // The leader of a data centre adds up what its instances told, once.
    let mut relay = NewsRelay::default();
    relay.collect(at(160), &[news, news]);
    assert_eq!(
        (relay.take(at(200)).len(), relay.take(at(200)).len()),
        (1, 0)
    );
}

/// Mean time of calls that take 60 ms at usual pace, at endpoints with six slots and these paces.
fn mean_time(is_told: bool, paces: &[f64]) -> (f64, Vec<usize>) {
    const INSTANCES: usize = 40;
    let mut fleet: Vec<Endpoints> = (0..INSTANCES).map(|_| Endpoints::default()).collect();
    for endpoints in &mut fleet {
        for index in 0..paces.len() {
            let entry = record(&format!("o{index}"), ORDERS, ([10, 0, 0, 1], 80).into());
            endpoints.put(at(0), Rc::new(entry));
        }
    }
    // Calls by endpoint: instance, arrival, work left in milliseconds.
    let mut calls: Vec<Vec<(usize, u64, f64, Place)>> = paces.iter().map(|_| Vec::new()).collect();
    let (mut sum, mut counts) = (0, vec![0; paces.len()]);
    for now in 0..8_000_u64 {
        if now % 5 == 0 {
            let draw = xxhash_rust::xxh3::xxh3_64(&now.to_le_bytes());
            let instance = usize::try_from(draw % 40).unwrap_or(0);
            let endpoints = &mut fleet[instance];
            let rules = rules(draw);
            let service = ServiceName::from(ORDERS);
            let chosen = endpoints.choose(at(now), &service, None, &rules, |_| true, |_, _| true);
            let chosen = chosen.expect("room");
            let place = endpoints.take(at(now), chosen, None).expect("listed");
            calls[chosen].push((instance, now, 60.0, place));
        }
        for (index, calls) in calls.iter_mut().enumerate() {
            calls
                .iter_mut()
                .take(6)
                .for_each(|c| c.2 -= 1.0 / paces[index]);
            let running = u32::try_from(calls.len()).unwrap_or(0);
            for (instance, arrived, _, mut place) in calls.extract_if(.., |c| c.2 <= 0.0) {
                sum += now - arrived;
                counts[index] += 1;
                if is_told {
                    let told = ToldLoad::Report(report(running, Some(paces[index])));
                    fleet[instance].note_load(at(now), &place, told);
                }
                fleet[instance].begin(at(now), &mut place);
                fleet[instance].end(at(now), &place, PlaceEnd::Good);
            }
        }
        if now % 150 == 0 {
            exchange(at(now), &mut fleet);
        }
    }
    let all: usize = counts.iter().sum();
    let sum = Duration::from_millis(sum).as_secs_f64() * 1e3;
    (sum / to_f64(all), counts)
}

fn rules(seed: u64) -> PlacementRules {
    PlacementRules {
        memory: None,
        objective: Duration::from_millis(300),
        token_time: 40.0,
        left: Duration::from_secs(3),
        cold_quota: None,
        centre: "north".into(),
        cached_only: false,
        seed,
    }
}

fn exchange(now: Moment, fleet: &mut [Endpoints]) {
    let loads: Vec<HashMap<u32, Load>> = fleet.iter().map(|e| e.own_loads().collect()).collect();
    let news: Vec<_> = fleet.iter_mut().map(|e| e.take_pace_news(now)).collect();
    for (i, endpoints) in fleet.iter_mut().enumerate() {
        endpoints.set_peers(|key| {
            let others = loads.iter().enumerate().filter(|(k, _)| *k != i);
            let mut sum = Load::default();
            for load in others.filter_map(|(_, l)| l.get(&key)) {
                sum += *load;
            }
            sum
        });
        for news in news.iter().enumerate().filter(|(k, _)| *k != i) {
            endpoints.record_pace_news(now, news.1);
        }
    }
}

#[test]
fn calls_end_sooner_where_endpoints_tell_their_pace() {
    let paces = [1.0, 1.0, 1.0, 0.7, 2.5];
    let ((untold, _), (told, counts)) = (mean_time(false, &paces), mean_time(true, &paces));
    assert!(
        told < 0.85 * untold,
        "{told} against {untold} ms, {counts:?}"
    );
    assert!(counts[4] > 0 && counts[4] < counts[0], "{counts:?}");
}
