//! Model test of the claim protocol with lost, delayed and repeated messages.
//!
//! A schedule is a list of actions on a few instances that share one shard. The model records when
//! each request was actually sent and settled, and checks every answer against that.

use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use super::super::*;
use super::{id, limits, recorded};
use crate::claim::{Recorded, Token};
use crate::name::{Fingerprint, RequestId};

const NODES: usize = 3;
const KEYS: usize = 2;
const SCHEDULES: u32 = 10_000;
const SEED: [u8; 16] = *b"claims in shards";

/// Outcome of a store call.
#[derive(Clone, Copy, Debug)]
enum CallEnd {
    Answered,
    AnswerLost,
    CallLost,
    Down,
    /// The response is lost; a write may take effect at any later time.
    Delayed,
    /// The call takes effect; a copy may take effect again at any later time.
    Repeated,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    /// With `copies`, messages may be duplicated, so a refusal is followed by a release.
    Begin {
        node: usize,
        key: usize,
        fingerprint: u64,
        copies: bool,
    },
    /// Resends a `begin` with its token, possibly to another instance.
    BeginAgain {
        node: usize,
        begin: usize,
    },
    Call {
        call: usize,
        end: CallEnd,
    },
    ApplyCopy {
        copy: usize,
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
    .prop_map(|(node, key, fingerprint, copies)| Action::Begin { node, key, fingerprint, copies }),
            1 => (node.clone(), index.clone())
                .prop_map(|(node, begin)| Action::BeginAgain { node, begin }),
            12 => (index.clone(), call_end()).prop_map(|(call, end)| Action::Call { call, end }),
            2 => index.clone().prop_map(|copy| Action::ApplyCopy { copy }),
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

/// A call in flight, or one whose copy may still take effect.
#[derive(Clone, Debug)]
struct Call {
    node: usize,
    incarnation: u32,
    /// Target segment, `None` for the shard.
    segment: Option<SegmentRef>,
    /// `None` for a read.
    write: Option<(Condition, String)>,
}

/// How a ticket was settled.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Settled {
    Recorded(Recorded),
    Released,
    Unknown,
}

/// Actual history of one `begin`.
#[derive(Clone, Debug)]
struct History {
    wish: ClaimRequest,
    key: usize,
    copies: bool,
    requested_at: Moment,
    is_fresh: bool,
    is_refused: bool,
    sent_at: Option<Moment>,
    settled: Option<(Moment, Settled)>,
    acknowledged_at: Option<Moment>,
}

struct Model {
    now: Moment,
    nodes: Vec<Writer>,
    incarnations: Vec<u32>,
    value: Option<(Version, String)>,
    segments: HashMap<SegmentRef, String>,
    version: u64,
    calls: Vec<Call>,
    late_writes: Vec<Call>,
    begins: Vec<History>,
    operations: HashMap<OpId, (usize, usize)>,
    next: OpId,
}

fn pick_index<T>(items: &[T], index: usize) -> Option<usize> {
    (!items.is_empty()).then(|| index % items.len())
}

type Checked = Result<(), TestCaseError>;

impl Model {
    fn new() -> Self {
        Self {
            now: Moment(1_000_000),
            nodes: (0..NODES).map(|_| Writer::new(limits())).collect(),
            incarnations: vec![0; NODES],
            value: None,
            segments: HashMap::new(),
            version: 0,
            calls: Vec::new(),
            late_writes: Vec::new(),
            begins: Vec::new(),
            operations: HashMap::new(),
            next: 0,
        }
    }

    /// Instance clocks run at the same rate with different offsets.
    fn clock(&self, node: usize) -> Moment {
        Moment(self.now.0 + node as u64 * 77_000_000)
    }

    fn handle(&mut self, node: usize, event: Event) -> Checked {
        let clock = self.clock(node);
        let effects = self.nodes[node].handle(clock, event);
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
        let incarnation = self.incarnations[node];
        self.calls.push(Call {
            node,
            incarnation,
            segment,
            write,
        });
    }

    fn request(&mut self, node: usize, begin: usize, op: ClaimOp) -> Checked {
        let number = self.next;
        self.next += 1;
        self.operations.insert(number, (node, begin));
        let claim = id(self.begins[begin].key);
        self.handle(node, Event::Requested(number, ClaimCall { claim, op }))
    }

    fn reply(&mut self, op: OpId, answer: ClaimAnswer) -> Checked {
        let (node, begin) = self
            .operations
            .remove(&op)
            .expect("one reply per operation");
        if answer == ClaimAnswer::Done {
            self.begins[begin].acknowledged_at.get_or_insert(self.now);
            return Ok(());
        }
        if self.begins[begin].settled.is_some() || self.begins[begin].is_refused {
            // The sender of a repeated `begin` uses only the first answer.
            return Ok(());
        }
        match answer {
            ClaimAnswer::Fresh => self.begins[begin].is_fresh = true,
            other => {
                if !self.begins[begin].is_fresh {
                    self.begins[begin].is_refused = true;
                    self.check_refusal(begin, &other)?;
                    if self.begins[begin].copies {
                        let token = self.begins[begin].wish.token;
                        return self.request(node, begin, ClaimOp::Release(token));
                    }
                }
            }
        }
        Ok(())
    }

    /// Checks that a refusal is correct.
    fn check_refusal(&self, begin: usize, answer: &ClaimAnswer) -> Checked {
        let mine = &self.begins[begin];
        let others = || {
            self.begins
                .iter()
                .enumerate()
                .filter(|(i, h)| *i != begin && h.key == mine.key)
        };
        let same = |h: &History| h.wish.fingerprint == mine.wish.fingerprint;
        let ended = |h: &History| h.acknowledged_at.is_some_and(|at| at < mine.requested_at);
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
            ClaimAnswer::Unavailable | ClaimAnswer::Busy | ClaimAnswer::Full => {
                mine.sent_at.is_none()
            }
            ClaimAnswer::Fresh | ClaimAnswer::Done | ClaimAnswer::Lost => false,
        };
        prop_assert!(
            holds,
            "incorrect refusal {answer:?} of begin {begin}: {:#?}",
            self.begins
        );
        Ok(())
    }

    /// Picks a `begin` with an open ticket whose request was `sent` or not.
    fn holder(&self, index: usize, sent: bool) -> Option<usize> {
        let holds = |h: &History| h.is_fresh && h.settled.is_none() && h.sent_at.is_some() == sent;
        let holders: Vec<usize> = (0..self.begins.len())
            .filter(|i| holds(&self.begins[*i]))
            .collect();
        pick_index(&holders, index).map(|i| holders[i])
    }

    fn is_copied(&self, begin: usize) -> bool {
        let history = &self.begins[begin];
        history.copies && self.now.since(history.requested_at) < limits().begin_timeout
    }

    fn send(&mut self, begin: usize) -> Checked {
        let window = limits().send_window;
        let history = &self.begins[begin];
        if self.now.since(history.requested_at) >= window {
            return Ok(());
        }
        for (i, other) in self.begins.iter().enumerate() {
            if i == begin || other.key != history.key || other.sent_at.is_none() {
                continue;
            }
            let is_retained = match &other.settled {
                Some((at, _)) => self.now.since(*at) < limits().settled_retention,
                None => self.now.since(other.requested_at) < limits().open_retention,
            };
            prop_assert!(
                !is_retained,
                "begins {i} and {begin} both ran: {:#?}",
                self.begins
            );
        }
        self.begins[begin].sent_at = Some(self.now);
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
        self.request(node, begin, op)
    }

    fn write(
        &mut self,
        segment: Option<SegmentRef>,
        condition: Condition,
        value: &str,
    ) -> WriteResult {
        if let Some(segment) = segment {
            if self.segments.contains_key(&segment) {
                return WriteResult::Conflict;
            }
            self.segments.insert(segment, value.to_owned());
            return WriteResult::Written(Version(0));
        }
        let present = self.value.as_ref().map(|(version, _)| *version);
        let holds = match condition {
            Condition::Absent => present.is_none(),
            Condition::Match(version) => present == Some(version),
        };
        if !holds {
            return WriteResult::Conflict;
        }
        self.version += 1;
        let version = Version(self.version);
        self.value = Some((version, value.to_owned()));
        WriteResult::Written(version)
    }

    fn read(&self) -> ReadResult {
        match &self.value {
            None => ReadResult::Absent,
            Some((version, value)) => {
                let shard = ClaimShard::decode(value).expect("a valid shard");
                ReadResult::Found(*version, shard)
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
                        let claims = value.map(|v| ClaimShard::decode(v).expect("a valid segment"));
                        Event::Segment(segment, claims)
                    }
                    None if answered => Event::Read(self.read()),
                    None => Event::Read(ReadResult::Failed),
                }
            }
            Some((condition, value)) => {
                let effective =
                    !matches!(end, CallEnd::CallLost | CallEnd::Down | CallEnd::Delayed);
                let written = effective.then(|| self.write(call.segment, *condition, value));
                if matches!(end, CallEnd::Delayed | CallEnd::Repeated) {
                    self.late_writes.push(call.clone());
                }
                let ended = match end {
                    CallEnd::Answered | CallEnd::Repeated => {
                        written.unwrap_or(WriteResult::Unknown)
                    }
                    CallEnd::Down => WriteResult::NotWritten,
                    CallEnd::AnswerLost | CallEnd::CallLost | CallEnd::Delayed => {
                        WriteResult::Unknown
                    }
                };
                match call.segment {
                    Some(segment) => Event::Stored(segment, ended),
                    None => Event::Written(ended),
                }
            }
        };
        if self.incarnations[call.node] == call.incarnation {
            self.handle(call.node, event)?;
        }
        Ok(())
    }

    fn act(&mut self, action: Action) -> Checked {
        match action {
            Action::Begin {
                node,
                key,
                fingerprint,
                copies,
            } => {
                let token = Token(self.begins.len() as u128);
                let wish = ClaimRequest {
                    token,
                    fingerprint: Fingerprint(fingerprint),
                    request: RequestId(token.0),
                };
                self.begins.push(History {
                    wish,
                    key,
                    copies,
                    requested_at: self.now,
                    is_fresh: false,
                    is_refused: false,
                    sent_at: None,
                    settled: None,
                    acknowledged_at: None,
                });
                self.request(node, self.begins.len() - 1, ClaimOp::Begin(wish))
            }
            Action::BeginAgain { node, begin } => match pick_index(&self.begins, begin) {
                Some(begin) if self.is_copied(begin) => {
                    let wish = self.begins[begin].wish;
                    self.request(node, begin, ClaimOp::Begin(wish))
                }
                _ => Ok(()),
            },
            Action::Call { call, end } => match pick_index(&self.calls, call) {
                Some(index) => {
                    let call = self.calls.remove(index);
                    self.call(&call, end)
                }
                None => Ok(()),
            },
            Action::ApplyCopy { copy } => {
                if let Some(index) = pick_index(&self.late_writes, copy)
                    && let Some((condition, value)) = self.late_writes[index].write.clone()
                {
                    self.write(self.late_writes[index].segment, condition, &value);
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
                self.incarnations[node] += 1;
                self.operations.retain(|_, (at, _)| *at != node);
                Ok(())
            }
            Action::Advance { millis } => {
                self.now = self.now.after(Duration::from_millis(millis));
                (0..NODES).try_for_each(|node| self.handle(node, Event::Tick))
            }
        }
    }

    /// Answers all store calls until every operation has completed.
    fn drain(&mut self) -> Checked {
        for _ in 0..400 {
            while let Some(call) = self.calls.pop() {
                self.call(&call, CallEnd::Answered)?;
            }
            if self.operations.is_empty() {
                return Ok(());
            }
            self.act(Action::Advance { millis: 5 })?;
        }
        prop_assert!(
            self.operations.is_empty(),
            "unanswered operations {:?}",
            self.operations
        );
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
        let mut model = Model::new();
        for action in actions {
            model.act(action)?;
        }
        model.drain()?;
        let count = |f: fn(&History) -> bool| model.begins.iter().filter(|h| f(h)).count();
        runs.set(runs.get() + count(|h| h.sent_at.is_some()));
        refusals.set(refusals.get() + count(|h| h.is_refused));
        segments.set(segments.get() + model.segments.len());
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
