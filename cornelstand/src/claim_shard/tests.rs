//! The claim protocol against a plain model, with lost, delayed and repeated messages.
//!
//! A schedule is a list of actions on a few instances that share one shard. The model knows when
//! each request was really sent and settled, and checks every answer against that.

use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use super::*;
use crate::claim::{ClaimId, Recorded, Token};
use crate::name::{AccountName, Fingerprint, RequestId};

const NODES: usize = 3;
const KEYS: usize = 2;
const SCHEDULES: u32 = 10_000;
const SEED: [u8; 16] = *b"claims in shards";

fn limits() -> ClaimLimits {
    ClaimLimits {
        shards: 1,
        gap: Duration::from_millis(5),
        patience: Duration::from_millis(100),
        settle: Duration::from_millis(400),
        window: Duration::from_millis(50),
        run: Duration::from_millis(100),
        keep: Duration::from_millis(300),
        orphan: Duration::from_millis(600),
        queue: 16,
        spill: 200,
    }
}

/// What becomes of a call to the store.
#[derive(Clone, Copy, Debug)]
enum CallEnd {
    Answered,
    AnswerLost,
    CallLost,
    Down,
    /// The answer is lost, and a write may take effect at any later time.
    Delayed,
    /// The call takes effect, and a copy of it may again at any later time.
    Repeated,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    /// With `copies`, its messages may arrive again, so a refusal is followed by a release.
    Begin {
        node: usize,
        key: usize,
        print: u64,
        copies: bool,
    },
    /// A begin is sent again, maybe to another instance, under its token.
    BeginAgain {
        node: usize,
        begin: usize,
    },
    Call {
        call: usize,
        end: CallEnd,
    },
    Ghost {
        ghost: usize,
    },
    Send {
        ticket: usize,
    },
    Record {
        ticket: usize,
        node: usize,
    },
    Release {
        ticket: usize,
        node: usize,
    },
    Unknown {
        ticket: usize,
        node: usize,
    },
    Restart {
        node: usize,
    },
    Advance {
        millis: u64,
    },
}

fn call_end() -> impl Strategy<Value = CallEnd> {
    prop_oneof![
        6 => Just(CallEnd::Answered),
        1 => Just(CallEnd::AnswerLost),
        1 => Just(CallEnd::CallLost),
        1 => Just(CallEnd::Down),
        1 => Just(CallEnd::Delayed),
        1 => Just(CallEnd::Repeated),
    ]
}

fn action() -> impl Strategy<Value = Action> {
    let node = 0..NODES;
    let index = 0..16_usize;
    prop_oneof![
            4 => (node.clone(), 0..KEYS, prop_oneof![8 => Just(1), 1 => Just(2)], any::<bool>())
    .prop_map(|(node, key, print, copies)| Action::Begin { node, key, print, copies }),
            1 => (node.clone(), index.clone())
                .prop_map(|(node, begin)| Action::BeginAgain { node, begin }),
            12 => (index.clone(), call_end()).prop_map(|(call, end)| Action::Call { call, end }),
            2 => index.clone().prop_map(|ghost| Action::Ghost { ghost }),
            3 => index.clone().prop_map(|ticket| Action::Send { ticket }),
            2 => (index.clone(), node.clone())
                .prop_map(|(ticket, node)| Action::Record { ticket, node }),
            1 => (index.clone(), node.clone())
                .prop_map(|(ticket, node)| Action::Release { ticket, node }),
            1 => (index, node.clone()).prop_map(|(ticket, node)| Action::Unknown { ticket, node }),
            1 => node.prop_map(|node| Action::Restart { node }),
            6 => prop_oneof![12 => 1..10_u64, 1 => 10..800_u64]
                .prop_map(|millis| Action::Advance { millis }),
        ]
}

/// A call under way, or one whose copy may still arrive.
#[derive(Clone, Debug)]
struct Call {
    node: usize,
    life: u32,
    /// The segment that it is about, `None` for the shard.
    segment: Option<SegmentRef>,
    /// `None` for a read.
    write: Option<(Condition, String)>,
}

/// How a ticket's holder gave it up.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Settled {
    Recorded(Recorded),
    Released,
    Unknown,
}

/// The real history of one `begin`.
#[derive(Clone, Debug)]
struct History {
    wish: ClaimWish,
    key: usize,
    copies: bool,
    asked: Moment,
    fresh: bool,
    refused: bool,
    sent: Option<Moment>,
    settled: Option<(Moment, Settled)>,
    acknowledged: Option<Moment>,
}

struct World {
    now: Moment,
    nodes: Vec<Writer>,
    lives: Vec<u32>,
    value: Option<(Version, String)>,
    segments: HashMap<SegmentRef, String>,
    version: u64,
    calls: Vec<Call>,
    ghosts: Vec<Call>,
    begins: Vec<History>,
    ops: HashMap<OpId, (usize, usize)>,
    next: OpId,
}

fn id(key: usize) -> ClaimId {
    ClaimId::new(&AccountName::from("tailors"), &format!("key-{key}"))
}

fn recorded(begin: usize) -> Recorded {
    Recorded::new(200, "text/plain", &Bytes::from(format!("answer {begin}")))
}

fn pick<T>(items: &[T], index: usize) -> Option<usize> {
    (!items.is_empty()).then(|| index % items.len())
}

type Checked = Result<(), TestCaseError>;

impl World {
    fn new() -> Self {
        Self {
            now: Moment(1_000_000),
            nodes: (0..NODES).map(|_| Writer::new(limits())).collect(),
            lives: vec![0; NODES],
            value: None,
            segments: HashMap::new(),
            version: 0,
            calls: Vec::new(),
            ghosts: Vec::new(),
            begins: Vec::new(),
            ops: HashMap::new(),
            next: 0,
        }
    }

    /// Clocks of the instances have nothing in common but their speed.
    fn clock(&self, node: usize) -> Moment {
        Moment(self.now.0 + node as u64 * 77_000_000)
    }

    fn on(&mut self, node: usize, event: Event) -> Checked {
        let clock = self.clock(node);
        let effects = self.nodes[node].on(clock, event);
        for effect in effects {
            match effect {
                Effect::Read => self.call_store(node, None, None),
                Effect::Write(condition, value) => {
                    self.call_store(node, None, Some((condition, value)));
                }
                Effect::ReadSegment(segment) => self.call_store(node, Some(segment), None),
                Effect::WriteSegment(segment, value) => {
                    let write = Some((Condition::Absent, value));
                    self.call_store(node, Some(segment), write);
                }
                Effect::DropSegment(segment) => drop(self.segments.remove(&segment)),
                Effect::Reply(op, answer) => self.reply(op, answer)?,
                Effect::Wake(_) => {}
            }
        }
        Ok(())
    }

    fn call_store(
        &mut self,
        node: usize,
        segment: Option<SegmentRef>,
        write: Option<(Condition, String)>,
    ) {
        let life = self.lives[node];
        self.calls.push(Call {
            node,
            life,
            segment,
            write,
        });
    }

    fn ask(&mut self, node: usize, begin: usize, op: ClaimOp) -> Checked {
        let number = self.next;
        self.next += 1;
        self.ops.insert(number, (node, begin));
        let claim = id(self.begins[begin].key);
        self.on(node, Event::Asked(number, ClaimCall { claim, op }))
    }

    fn reply(&mut self, op: OpId, answer: ClaimAnswer) -> Checked {
        let (node, begin) = self.ops.remove(&op).expect("one reply to each operation");
        if answer == ClaimAnswer::Done {
            self.begins[begin].acknowledged.get_or_insert(self.now);
            return Ok(());
        }
        if self.begins[begin].settled.is_some() || self.begins[begin].refused {
            // The asker of a repeated begin takes the first answer only.
            return Ok(());
        }
        match answer {
            ClaimAnswer::Fresh => self.begins[begin].fresh = true,
            other => {
                if !self.begins[begin].fresh {
                    self.begins[begin].refused = true;
                    self.check_refusal(begin, &other)?;
                    if self.begins[begin].copies {
                        let token = self.begins[begin].wish.token;
                        return self.ask(node, begin, ClaimOp::Release(token));
                    }
                }
            }
        }
        Ok(())
    }

    /// Checks that what a refused caller hears is true.
    fn check_refusal(&self, begin: usize, answer: &ClaimAnswer) -> Checked {
        let mine = &self.begins[begin];
        let others = || {
            self.begins
                .iter()
                .enumerate()
                .filter(|(i, h)| *i != begin && h.key == mine.key)
        };
        let same = |h: &History| h.wish.fingerprint == mine.wish.fingerprint;
        let ended = |h: &History| h.acknowledged.is_some_and(|at| at < mine.asked);
        let holds = match answer {
            ClaimAnswer::Answered(found) => others().any(|(i, h)| {
                let settled = h.settled.as_ref().map(|(_, s)| s);
                same(h)
                    && *found == recorded(i)
                    && settled == Some(&Settled::Recorded(found.clone()))
            }),
            ClaimAnswer::Running => others().any(|(_, h)| same(h) && !ended(h)),
            ClaimAnswer::Unknown => others().any(|(_, h)| {
                let settled = h.settled.as_ref().map(|(_, s)| s);
                same(h) && (!ended(h) || settled == Some(&Settled::Unknown))
            }),
            ClaimAnswer::Mismatch => others().any(|(_, h)| !same(h)),
            ClaimAnswer::Unavailable | ClaimAnswer::Busy | ClaimAnswer::Full => mine.sent.is_none(),
            ClaimAnswer::Fresh | ClaimAnswer::Done | ClaimAnswer::Lost => false,
        };
        prop_assert!(
            holds,
            "untrue refusal {answer:?} of begin {begin}: {:#?}",
            self.begins
        );
        Ok(())
    }

    /// One of the begins that hold a ticket whose request was sent, or was not.
    fn holder(&self, index: usize, sent: bool) -> Option<usize> {
        let holds = |h: &History| h.fresh && h.settled.is_none() && h.sent.is_some() == sent;
        let holders: Vec<usize> = (0..self.begins.len())
            .filter(|i| holds(&self.begins[*i]))
            .collect();
        pick(&holders, index).map(|i| holders[i])
    }

    fn is_copied(&self, begin: usize) -> bool {
        let history = &self.begins[begin];
        history.copies && self.now.since(history.asked) < limits().patience
    }

    fn send(&mut self, begin: usize) -> Checked {
        let window = limits().window;
        let history = &self.begins[begin];
        if self.now.since(history.asked) >= window {
            return Ok(());
        }
        for (i, other) in self.begins.iter().enumerate() {
            if i == begin || other.key != history.key || other.sent.is_none() {
                continue;
            }
            let kept = match &other.settled {
                Some((at, _)) => self.now.since(*at) < limits().keep,
                None => self.now.since(other.asked) < limits().orphan,
            };
            prop_assert!(!kept, "begins {i} and {begin} both ran: {:#?}", self.begins);
        }
        self.begins[begin].sent = Some(self.now);
        Ok(())
    }

    fn settle(&mut self, begin: usize, node: usize, how: Settled) -> Checked {
        let history = &mut self.begins[begin];
        history.settled = Some((self.now, how.clone()));
        let token = history.wish.token;
        let op = match how {
            Settled::Recorded(recorded) => ClaimOp::Settle(token, ClaimState::Recorded(recorded)),
            Settled::Released => ClaimOp::Release(token),
            Settled::Unknown => ClaimOp::Settle(token, ClaimState::Unknown),
        };
        self.ask(node, begin, op)
    }

    fn write(
        &mut self,
        segment: Option<SegmentRef>,
        condition: Condition,
        value: &str,
    ) -> WriteEnd {
        if let Some(segment) = segment {
            if self.segments.contains_key(&segment) {
                return WriteEnd::Conflict;
            }
            self.segments.insert(segment, value.to_owned());
            return WriteEnd::Written(Version(0));
        }
        let present = self.value.as_ref().map(|(version, _)| *version);
        let holds = match condition {
            Condition::Absent => present.is_none(),
            Condition::Match(version) => present == Some(version),
        };
        if !holds {
            return WriteEnd::Conflict;
        }
        self.version += 1;
        let version = Version(self.version);
        self.value = Some((version, value.to_owned()));
        WriteEnd::Written(version)
    }

    fn read(&self) -> ReadEnd {
        match &self.value {
            None => ReadEnd::Absent,
            Some((version, value)) => {
                let shard = ClaimShard::decode(value).expect("written by a writer");
                ReadEnd::Found(*version, shard)
            }
        }
    }

    fn call(&mut self, call: &Call, end: CallEnd) -> Checked {
        let event = match &call.write {
            None => {
                let answered = matches!(end, CallEnd::Answered | CallEnd::Repeated);
                match call.segment {
                    Some(segment) => {
                        let value = self.segments.get(&segment).filter(|_| answered);
                        let claims = value.map(|v| ClaimShard::decode(v).expect("a segment"));
                        Event::Segment(segment, claims)
                    }
                    None if answered => Event::Read(self.read()),
                    None => Event::Read(ReadEnd::Failed),
                }
            }
            Some((condition, value)) => {
                let effective =
                    !matches!(end, CallEnd::CallLost | CallEnd::Down | CallEnd::Delayed);
                let written = effective.then(|| self.write(call.segment, *condition, value));
                if matches!(end, CallEnd::Delayed | CallEnd::Repeated) {
                    self.ghosts.push(call.clone());
                }
                let ended = match end {
                    CallEnd::Answered | CallEnd::Repeated => written.unwrap_or(WriteEnd::Unknown),
                    CallEnd::Down => WriteEnd::NotWritten,
                    CallEnd::AnswerLost | CallEnd::CallLost | CallEnd::Delayed => WriteEnd::Unknown,
                };
                match call.segment {
                    Some(segment) => Event::Stored(segment, ended),
                    None => Event::Written(ended),
                }
            }
        };
        if self.lives[call.node] == call.life {
            self.on(call.node, event)?;
        }
        Ok(())
    }

    fn act(&mut self, action: Action) -> Checked {
        match action {
            Action::Begin {
                node,
                key,
                print,
                copies,
            } => {
                let token = Token(self.begins.len() as u128);
                let wish = ClaimWish {
                    token,
                    fingerprint: Fingerprint(print),
                    request: RequestId(token.0),
                };
                self.begins.push(History {
                    wish,
                    key,
                    copies,
                    asked: self.now,
                    fresh: false,
                    refused: false,
                    sent: None,
                    settled: None,
                    acknowledged: None,
                });
                self.ask(node, self.begins.len() - 1, ClaimOp::Begin(wish))
            }
            Action::BeginAgain { node, begin } => match pick(&self.begins, begin) {
                Some(begin) if self.is_copied(begin) => {
                    let wish = self.begins[begin].wish;
                    self.ask(node, begin, ClaimOp::Begin(wish))
                }
                _ => Ok(()),
            },
            Action::Call { call, end } => match pick(&self.calls, call) {
                Some(index) => {
                    let call = self.calls.remove(index);
                    self.call(&call, end)
                }
                None => Ok(()),
            },
            Action::Ghost { ghost } => {
                if let Some(index) = pick(&self.ghosts, ghost)
                    && let Some((condition, value)) = self.ghosts[index].write.clone()
                {
                    self.write(self.ghosts[index].segment, condition, &value);
                }
                Ok(())
            }
            Action::Send { ticket } => match self.holder(ticket, false) {
                Some(begin) => self.send(begin),
                None => Ok(()),
            },
            Action::Record { ticket, node } => match self.holder(ticket, true) {
                Some(begin) => self.settle(begin, node, Settled::Recorded(recorded(begin))),
                None => Ok(()),
            },
            Action::Release { ticket, node } => match self.holder(ticket, false) {
                Some(begin) => self.settle(begin, node, Settled::Released),
                None => Ok(()),
            },
            Action::Unknown { ticket, node } => match self.holder(ticket, true) {
                Some(begin) => self.settle(begin, node, Settled::Unknown),
                None => Ok(()),
            },
            Action::Restart { node } => {
                self.nodes[node] = Writer::new(limits());
                self.lives[node] += 1;
                self.ops.retain(|_, (at, _)| *at != node);
                Ok(())
            }
            Action::Advance { millis } => {
                self.now = self.now.after(Duration::from_millis(millis));
                (0..NODES).try_for_each(|node| self.on(node, Event::Tick))
            }
        }
    }

    /// Lets the store answer everything until nothing is left to do.
    fn drain(&mut self) -> Checked {
        for _ in 0..400 {
            while let Some(call) = self.calls.pop() {
                self.call(&call, CallEnd::Answered)?;
            }
            if self.ops.is_empty() {
                return Ok(());
            }
            self.act(Action::Advance { millis: 5 })?;
        }
        prop_assert!(self.ops.is_empty(), "unanswered operations {:?}", self.ops);
        Ok(())
    }
}

#[test]
fn schedules_double_no_run_and_refuse_truthfully() {
    let rng = TestRng::from_seed(RngAlgorithm::XorShift, &SEED);
    let config = Config {
        cases: SCHEDULES,
        failure_persistence: None,
        ..Config::default()
    };
    let (runs, refusals, segments) = (Cell::new(0), Cell::new(0), Cell::new(0));
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&vec(action(), 1..60), |actions| {
        let mut world = World::new();
        for action in actions {
            world.act(action)?;
        }
        world.drain()?;
        let count = |f: fn(&History) -> bool| world.begins.iter().filter(|h| f(h)).count();
        runs.set(runs.get() + count(|h| h.sent.is_some()));
        refusals.set(refusals.get() + count(|h| h.refused));
        segments.set(segments.get() + world.segments.len());
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
    insta::assert_snapshot!(
            format!("{SCHEDULES} schedules, {} runs, {} refusals, {} segments",
    runs.get(),
    refusals.get(),
    segments.get()),
            @"10000 schedules, 3757 runs, 19473 refusals, 1763 segments"
        );
}

fn asked(op: OpId, what: ClaimOp) -> Event {
    let claim = id(0);
    Event::Asked(op, ClaimCall { claim, op: what })
}

const START: Moment = Moment(0);

fn wish(token: u128) -> ClaimWish {
    ClaimWish {
        token: Token(token),
        fingerprint: Fingerprint(1),
        request: RequestId(token),
    }
}

fn begin(op: OpId) -> Event {
    asked(op, ClaimOp::Begin(wish(u128::from(op))))
}

/// A writer that has claimed for operation 1, with version 1 in the store.
fn claimed() -> Writer {
    let mut writer = Writer::new(limits());
    writer.on(START, begin(1));
    writer.on(START, Event::Read(ReadEnd::Absent));
    let effects = writer.on(START, written(1));
    assert_eq!(replies(&effects), [(1, ClaimAnswer::Fresh)]);
    writer
}

fn written(version: u64) -> Event {
    Event::Written(WriteEnd::Written(Version(version)))
}

fn replies(effects: &[Effect]) -> Vec<(OpId, ClaimAnswer)> {
    effects
        .iter()
        .filter_map(|e| match e {
            Effect::Reply(op, answer) => Some((*op, answer.clone())),
            _ => None,
        })
        .collect()
}

fn at(time: Duration) -> Moment {
    START.after(time)
}

#[test]
fn a_begin_that_was_given_up_is_not_answered_again() {
    let mut writer = Writer::new(limits());
    writer.on(START, begin(1));
    writer.on(START, Event::Read(ReadEnd::Absent));
    let late = at(limits().patience);
    let effects = writer.on(late, Event::Tick);
    assert_eq!(replies(&effects), [(1, ClaimAnswer::Unavailable)]);
    let effects = writer.on(late, written(1));
    assert_eq!(replies(&effects), []);
    let effects = writer.on(late, written(2));
    assert_eq!(replies(&effects), []);
}

#[test]
fn a_copy_of_a_begin_after_its_release_claims_nothing() {
    let mut writer = claimed();
    let later = at(limits().gap);
    writer.on(later, asked(2, ClaimOp::Release(Token(1))));
    writer.on(later, written(2));
    let effects = writer.on(at(limits().gap * 2), begin_copy(3));
    assert_eq!(replies(&effects), [(3, ClaimAnswer::Lost)]);
}

fn begin_copy(op: OpId) -> Event {
    asked(op, ClaimOp::Begin(wish(1)))
}

#[test]
fn a_failed_read_does_not_pass_for_a_fresh_one() {
    let mut writer = claimed();
    let mut now = at(limits().gap);
    let effects = writer.on(now, begin(2));
    assert!(effects.contains(&Effect::Read));
    let effects = writer.on(now, Event::Read(ReadEnd::Failed));
    assert_eq!(replies(&effects), []);
    now = now.after(limits().gap);
    let effects = writer.on(now, Event::Tick);
    assert!(effects.contains(&Effect::Read), "{effects:?}");
    assert_eq!(replies(&effects), []);
}

fn just_before(time: Duration) -> Duration {
    time.saturating_sub(Duration::from_millis(1))
}

/// What a later begin hears when the claim was last changed at time zero.
fn heard(writer: &mut Writer, time: Duration) -> Vec<(OpId, ClaimAnswer)> {
    let shard = writer
        .cached
        .as_ref()
        .map(|c| c.shard.clone())
        .expect("a value");
    let mut effects = writer.on(at(time), begin(9));
    if effects.contains(&Effect::Read) {
        let found = Event::Read(ReadEnd::Found(Version(1), shard));
        effects = writer.on(at(time), found);
    }
    if replies(&effects).is_empty() {
        effects = writer.on(at(time), written(2));
    }
    replies(&effects)
}

#[rstest::rstest]
#[case::young(just_before(limits().run), ClaimAnswer::Running)]
#[case::dated(limits().run, ClaimAnswer::Unknown)]
#[case::kept(just_before(limits().orphan), ClaimAnswer::Unknown)]
#[case::expired(limits().orphan, ClaimAnswer::Fresh)]
fn an_open_claim_is_kept_for_its_time(#[case] time: Duration, #[case] answer: ClaimAnswer) {
    assert_eq!(heard(&mut claimed(), time), [(9, answer)]);
}

#[rstest::rstest]
#[case::kept(just_before(limits().gap + limits().keep), false)]
#[case::expired(limits().gap + limits().keep, true)]
fn a_settled_claim_is_kept_for_its_time(#[case] time: Duration, #[case] fresh: bool) {
    let mut writer = claimed();
    let later = at(limits().gap);
    let settle = ClaimOp::Settle(Token(1), ClaimState::Unknown);
    writer.on(later, asked(2, settle));
    writer.on(later, written(1));
    let answer = if fresh {
        ClaimAnswer::Fresh
    } else {
        ClaimAnswer::Unknown
    };
    assert_eq!(heard(&mut writer, time), [(9, answer)]);
}

#[test]
fn a_claim_in_a_segment_is_found_by_a_writer_that_did_not_make_it() {
    let segment = SegmentRef {
        token: Token(5),
        next: 2,
    };
    let held = Claim {
        token: Token(1),
        fingerprint: Fingerprint(1),
        request: RequestId(1),
        change: 1,
        state: ClaimState::Recorded(recorded(1)),
    };
    let claims = [(id(0), held)].into();
    let moved = ClaimShard {
        next: 2,
        claims,
        ..ClaimShard::default()
    };
    let shard = ClaimShard {
        next: 3,
        segments: vec![segment],
        ..ClaimShard::default()
    };
    let mut writer = Writer::new(limits());
    writer.on(START, begin(9));
    let effects = writer.on(START, Event::Read(ReadEnd::Found(Version(1), shard)));
    assert_eq!(effects[0], Effect::ReadSegment(segment));
    let effects = writer.on(START, Event::Segment(segment, Some(moved)));
    assert_eq!(replies(&effects), [(9, ClaimAnswer::Answered(recorded(1)))]);
}
