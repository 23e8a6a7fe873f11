//! Plays of requests with shared prompt parts at engines of uneven speed: what callers get where the
//! engines tell their pace, and where they do not. Time is simulated; instances exchange their
//! loads, kept parts and paces every 100 ms.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;

use crate::gateway::endpoint_load::{LoadReport, ToldLoad};
use crate::gateway::endpoint_state::{Load, Prompt, PromptPart};
use crate::gateway::number::to_f64;
use crate::gateway::placement::{Endpoints, Place, PlaceEnd, PlacementRules};
use crate::gateway::tests::{MODELS, record};
use crate::moment::Moment;
use crate::name::ServiceName;

/// Prompt tokens that an engine of usual speed reads in a millisecond.
const READ_PER_MS: f64 = 80.0;
/// Milliseconds of a generated token.
const TOKEN_MS: f64 = 4.0;
const EXCHANGE_MS: u64 = 100;
const WAIT_MS: u64 = 180;
const PLAY_MS: u64 = 8_000;

/// How requests are placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Thresholds,
    /// Thresholds with paces that the endpoints tell.
    Paces,
    /// The same with figures that cannot be read.
    Absurd,
}

/// An engine: requests wait to be read in order of arrival, run, and leave their parts behind.
#[derive(Debug)]
struct Engine {
    pace: f64,
    /// Pace in every second interval of this length, if it changes.
    flips: Option<(u64, f64)>,
    slots: usize,
    memory: u32,
    kept: VecDeque<(u64, u32)>,
    queue: VecDeque<(usize, f64)>,
    /// Requests and when they end.
    running: Vec<(usize, f64)>,
    served: usize,
}

impl Engine {
    fn new(pace: f64) -> Self {
        Self {
            pace,
            flips: None,
            slots: 24,
            memory: 500_000,
            kept: VecDeque::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            served: 0,
        }
    }

    fn pace(&self, now: u64) -> f64 {
        let flipped = self.flips.filter(|(every, _)| now / every % 2 == 1);
        flipped.map_or(self.pace, |(_, pace)| pace)
    }

    /// Queues a request. Returns the shared tokens that it has to read.
    fn admit(&mut self, job: usize, prompt: &Prompt) -> u32 {
        let mut unread = 0;
        let mut is_kept = true;
        for part in &prompt.parts {
            let position = self.kept.iter().position(|(id, _)| *id == part.id);
            is_kept &= position.is_some();
            if let Some(position) = position {
                self.kept.remove(position);
            }
            if !is_kept {
                unread += part.tokens;
            }
            self.kept.push_back((part.id, part.tokens));
        }
        while self.kept.iter().map(|(_, t)| t).sum::<u32>() > self.memory {
            self.kept.pop_front();
        }
        self.queue.push_back((job, f64::from(unread)));
        let own = prompt.parts.last().map_or(0, |p| p.tokens);
        unread.saturating_sub(own)
    }

    /// Runs for a millisecond. Returns the requests that begin and end.
    fn step(&mut self, now: u64, output: impl Fn(usize) -> u32) -> (Vec<usize>, Vec<usize>) {
        let pace = self.pace(now);
        let time = Duration::from_millis(now).as_secs_f64() * 1e3;
        let mut room = READ_PER_MS / pace;
        let mut begun = Vec::new();
        while self.running.len() < self.slots
            && let Some((job, left)) = self.queue.front_mut()
        {
            let read = left.min(room);
            *left -= read;
            room -= read;
            if *left > 0.0 {
                break;
            }
            begun.push(*job);
            self.running
                .push((*job, time + f64::from(output(*job)) * TOKEN_MS * pace));
            self.queue.pop_front();
        }
        let is_over = |r: &&(usize, f64)| r.1 <= time;
        let ended: Vec<usize> = self.running.iter().filter(is_over).map(|r| r.0).collect();
        self.running.retain(|r| r.1 > time);
        self.served += begun.len();
        (begun, ended)
    }
}

#[derive(Clone, Debug)]
struct Job {
    at: u64,
    instance: usize,
    prompt: Prompt,
}

/// A request for `subject` with `shared` tokens and `own` of its own.
fn job(at: u64, instance: usize, subject: u64, shared: u32, own: u32) -> Job {
    let part = |id, tokens| PromptPart { id, tokens };
    let own_id = 1_000_000 + at * 1_000 + u64::try_from(instance).unwrap_or_default();
    Job {
        at,
        instance,
        prompt: Prompt {
            input: shared + own,
            output: 60,
            parts: vec![part(subject, shared), part(own_id, own)],
        },
    }
}

/// What callers got.
#[derive(Debug, Default)]
struct Outcome {
    /// Mean time to the first token; a refused request counts with a second.
    first_ms: f64,
    refused: usize,
    /// Shared tokens read, the first time included.
    shared_read: u32,
    /// Requests served by each engine.
    served: Vec<usize>,
}

fn play(policy: Policy, mut engines: Vec<Engine>, instances: usize, jobs: &[Job]) -> Outcome {
    let at = |ms: u64| Moment(ms * 1_000);
    let mut fleet: Vec<Endpoints> = (0..instances).map(|_| Endpoints::default()).collect();
    for endpoints in &mut fleet {
        for index in 0..engines.len() {
            let mut entry = record(&format!("e{index}"), MODELS, ([10, 0, 0, 1], 80).into());
            entry.slots = 24;
            endpoints.put(at(0), Rc::new(entry));
        }
    }
    let service = ServiceName::from(MODELS);
    let mut waiting: VecDeque<usize> = VecDeque::new();
    let mut places: HashMap<usize, Place> = HashMap::new();
    let mut outcome = Outcome::default();
    let mut next = 0;
    let mut total = 0;
    for now in 0..PLAY_MS {
        while next < jobs.len() && jobs[next].at <= now {
            waiting.push_back(next);
            next += 1;
        }
        waiting.retain(|index| {
            let job = &jobs[*index];
            let waited = now - job.at;
            if waited > WAIT_MS {
                outcome.refused += 1;
                total += 1_000;
                return false;
            }
            let endpoints = &mut fleet[job.instance];
            let rules = rules(job.instance, WAIT_MS - waited);
            let chosen = endpoints.choose(
                at(now),
                &service,
                Some(&job.prompt),
                &rules,
                |_| true,
                |_, _| true,
            );
            let Ok(chosen) = chosen else { return true };
            let place = endpoints.take(at(now), chosen, Some(&job.prompt));
            places.insert(*index, place.expect("listed"));
            outcome.shared_read += engines[chosen].admit(*index, &job.prompt);
            false
        });
        for engine in &mut engines {
            let (begun, ended) = engine.step(now, |job| jobs[job].prompt.output);
            let report = LoadReport {
                running: u32::try_from(engine.running.len()).unwrap_or(0),
                waiting: u32::try_from(engine.queue.len()).unwrap_or(0),
                slots: 24,
                pace: Some(engine.pace(now)),
            };
            let told = match policy {
                Policy::Paces => ToldLoad::Report(report),
                Policy::Absurd => ToldLoad::Unreadable,
                Policy::Thresholds => ToldLoad::Missing,
            };
            for index in begun {
                total += now - jobs[index].at;
                let place = places.get_mut(&index).expect("placed");
                fleet[jobs[index].instance].note_load(at(now), place, told);
                fleet[jobs[index].instance].begin(at(now), place);
            }
            for index in ended {
                let place = places.remove(&index).expect("placed");
                fleet[jobs[index].instance].end(at(now), &place, PlaceEnd::Good);
            }
        }
        if now % EXCHANGE_MS == 0 {
            exchange(at(now), &mut fleet);
        }
    }
    outcome.first_ms = Duration::from_millis(total).as_secs_f64() * 1e3 / to_f64(jobs.len());
    outcome.served = engines.iter().map(|e| e.served).collect();
    outcome
}

fn rules(instance: usize, wait_left: u64) -> PlacementRules {
    PlacementRules {
        memory: Some(500_000.0),
        objective: Duration::from_millis(400),
        token_time: 12.0,
        left: Duration::from_secs(5),
        cold_quota: None,
        centre: "north".into(),
        cached_only: wait_left > 0,
        seed: xxhash_rust::xxh3::xxh3_64(&instance.to_le_bytes()),
    }
}

fn exchange(now: Moment, fleet: &mut [Endpoints]) {
    let loads: Vec<HashMap<u32, Load>> = fleet.iter().map(|e| e.own_loads().collect()).collect();
    let residents: Vec<_> = fleet.iter().map(|e| e.residents(now)).collect();
    let news: Vec<_> = fleet.iter_mut().map(|e| e.take_pace_news(now)).collect();
    for (i, endpoints) in fleet.iter_mut().enumerate() {
        let others = || (0..loads.len()).filter(move |k| *k != i);
        endpoints.set_peers(|key| {
            let mut sum = Load::default();
            let own = others().filter_map(|k| loads[k].get(&key));
            own.for_each(|load| sum += *load);
            sum
        });
        for k in others() {
            endpoints.record_peer_residents(now, &residents[k]);
            endpoints.record_pace_news(now, &news[k]);
        }
    }
}

fn engines(paces: &[f64]) -> Vec<Engine> {
    paces.iter().copied().map(Engine::new).collect()
}

/// Requests every `gap` milliseconds at all instances in turn, for `subjects` subjects.
fn stream(gap: u64, instances: usize, subjects: u64, shared: u32, own: u32) -> Vec<Job> {
    let times = (0..PLAY_MS - 2_000).step_by(usize::try_from(gap).unwrap_or(1));
    let jobs = times.enumerate().map(|(i, at)| {
        let draw = xxhash_rust::xxh3::xxh3_64(&i.to_le_bytes());
        job(at, i % instances, draw % subjects, shared, own)
    });
    jobs.collect()
}

#[test]
fn a_part_that_nobody_keeps_is_read_once_although_all_ask_at_once() {
    let jobs: Vec<Job> = (0..6).map(|i| job(10, i, 1, 6_000, 50)).collect();
    let after = play(Policy::Paces, engines(&[1.0; 6]), 6, &jobs);
    assert_eq!((after.shared_read, after.refused), (6_000, 0), "{after:?}");
}

#[test]
fn requests_leave_a_slow_home_for_fast_engines() {
    let jobs = stream(60, 2, 1, 3_000, 600);
    let uneven = || engines(&[6.0, 6.0, 6.0, 0.7]);
    let (before, after) = (
        play(Policy::Thresholds, uneven(), 2, &jobs),
        play(Policy::Paces, uneven(), 2, &jobs),
    );
    assert!(
        after.first_ms < 0.6 * before.first_ms,
        "{before:?} {after:?}"
    );
}

#[test]
fn uneven_engines_get_work_by_their_speed_from_many_instances_with_old_reports() {
    let uneven = || {
        let paces: Vec<f64> = [0.7, 1.0, 1.7].into_iter().cycle().take(27).collect();
        engines(&paces)
    };
    let jobs = stream(1, 62, 400, 200, 1_500);
    let run = |policy| play(policy, uneven(), 62, &jobs);
    let (before, told) = (run(Policy::Thresholds), run(Policy::Paces));
    assert!(told.first_ms < 0.6 * before.first_ms, "{before:?} {told:?}");
    let group = |first: usize| told.served.iter().skip(first).step_by(3).sum::<usize>();
    assert!(
        group(0) > group(2) && told.served.iter().all(|s| *s > 0),
        "{told:?}"
    );
}

#[rstest]
#[case::twice_a_second(500)]
#[case::often(40)]
fn a_pace_that_flips_misleads_nobody(#[case] every: u64) {
    let flipping = || {
        let mut engines = engines(&[1.0; 6]);
        for engine in engines.iter_mut().take(3) {
            engine.flips = Some((every, 2.5));
        }
        engines
    };
    let jobs = stream(5, 12, 400, 200, 1_200);
    let told = play(Policy::Paces, flipping(), 12, &jobs);
    let untold = play(Policy::Thresholds, flipping(), 12, &jobs);
    assert!(
        told.first_ms <= 1.1 * untold.first_ms,
        "{untold:?} {told:?}"
    );
}

#[test]
fn figures_that_cannot_be_read_count_as_none() {
    let uneven = || engines(&[0.7, 1.0, 1.7]);
    let jobs = stream(12, 3, 40, 1_000, 600);
    let absurd = play(Policy::Absurd, uneven(), 3, &jobs);
    let none = play(Policy::Thresholds, uneven(), 3, &jobs);
    assert_eq!(absurd.served, none.served);
}
