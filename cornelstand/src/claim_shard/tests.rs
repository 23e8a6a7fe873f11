//! Tests of the claim shard writer, per event and against a model.

mod model;

use std::time::Duration;

use bytes::Bytes;

use super::*;
use crate::claim::{ClaimId, Recorded, Token};
use crate::name::{AccountName, Fingerprint, RequestId};

fn limits() -> ClaimLimits {
    ClaimLimits {
        shards: 1,
        gap: Duration::from_millis(5),
        begin_timeout: Duration::from_millis(100),
        settle_timeout: Duration::from_millis(400),
        send_window: Duration::from_millis(50),
        running_age: Duration::from_millis(100),
        settled_retention: Duration::from_millis(300),
        open_retention: Duration::from_millis(600),
        queue: 16,
        spill_bytes: 200,
    }
}

fn id(key: usize) -> ClaimId {
    ClaimId::new(&AccountName::from("tailors"), &format!("key-{key}"))
}

fn recorded(begin: usize) -> Recorded {
    Recorded::new(200, "text/plain", &Bytes::from(format!("answer {begin}")))
}

fn requested(op: OpId, what: ClaimOp) -> Event {
    let claim = id(0);
    Event::Requested(op, ClaimCall { claim, op: what })
}

const START: Moment = Moment(0);

fn wish(token: u128) -> ClaimRequest {
    ClaimRequest {
        token: Token(token),
        fingerprint: Fingerprint(1),
        request: RequestId(token),
    }
}

fn begin(op: OpId) -> Event {
    requested(op, ClaimOp::Begin(wish(u128::from(op))))
}

/// A writer whose operation 1 holds the claim, with version 1 in the store.
fn claimed() -> Writer {
    let mut writer = Writer::new(limits());
    writer.handle(START, begin(1));
    writer.handle(START, Event::Read(ReadResult::Absent));
    let effects = writer.handle(START, written(1));
    assert_eq!(replies(&effects), [(1, ClaimAnswer::Fresh)]);
    writer
}

fn written(version: u64) -> Event {
    Event::Written(WriteResult::Written(Version(version)))
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
    writer.handle(START, begin(1));
    writer.handle(START, Event::Read(ReadResult::Absent));
    let late = at(limits().begin_timeout);
    let effects = writer.handle(late, Event::Tick);
    assert_eq!(replies(&effects), [(1, ClaimAnswer::Unavailable)]);
    let effects = writer.handle(late, written(1));
    assert_eq!(replies(&effects), []);
    let effects = writer.handle(late, written(2));
    assert_eq!(replies(&effects), []);
}

#[test]
fn a_copy_of_a_begin_after_its_release_claims_nothing() {
    let mut writer = claimed();
    let later = at(limits().gap);
    writer.handle(later, requested(2, ClaimOp::Release(Token(1))));
    writer.handle(later, written(2));
    let effects = writer.handle(at(limits().gap * 2), begin_copy(3));
    assert_eq!(replies(&effects), [(3, ClaimAnswer::Lost)]);
}

fn begin_copy(op: OpId) -> Event {
    requested(op, ClaimOp::Begin(wish(1)))
}

#[test]
fn a_failed_read_does_not_pass_for_a_fresh_one() {
    let mut writer = claimed();
    let mut now = at(limits().gap);
    let effects = writer.handle(now, begin(2));
    assert!(effects.contains(&Effect::Read));
    let effects = writer.handle(now, Event::Read(ReadResult::Failed));
    assert_eq!(replies(&effects), []);
    now = now.after(limits().gap);
    let effects = writer.handle(now, Event::Tick);
    assert!(effects.contains(&Effect::Read), "{effects:?}");
    assert_eq!(replies(&effects), []);
}

fn just_before(time: Duration) -> Duration {
    time.saturating_sub(Duration::from_millis(1))
}

/// Answer to a later `begin` when the claim was last changed at time zero.
fn later_answer(writer: &mut Writer, time: Duration) -> Vec<(OpId, ClaimAnswer)> {
    let shard = writer
        .cached
        .as_ref()
        .map(|c| c.shard.clone())
        .expect("a cached value");
    let mut effects = writer.handle(at(time), begin(9));
    if effects.contains(&Effect::Read) {
        let found = Event::Read(ReadResult::Found(Version(1), shard));
        effects = writer.handle(at(time), found);
    }
    if replies(&effects).is_empty() {
        effects = writer.handle(at(time), written(2));
    }
    replies(&effects)
}

#[rstest::rstest]
#[case::young(just_before(limits().running_age), ClaimAnswer::Running)]
#[case::dated(limits().running_age, ClaimAnswer::Unknown)]
#[case::kept(just_before(limits().open_retention), ClaimAnswer::Unknown)]
#[case::expired(limits().open_retention, ClaimAnswer::Fresh)]
fn an_open_claim_is_kept_for_its_time(#[case] time: Duration, #[case] answer: ClaimAnswer) {
    assert_eq!(later_answer(&mut claimed(), time), [(9, answer)]);
}

#[rstest::rstest]
#[case::kept(just_before(limits().gap + limits().settled_retention), false)]
#[case::expired(limits().gap + limits().settled_retention, true)]
fn a_settled_claim_is_kept_for_its_time(#[case] time: Duration, #[case] fresh: bool) {
    let mut writer = claimed();
    let later = at(limits().gap);
    let settle = ClaimOp::Settle(Token(1), ClaimState::Unknown);
    writer.handle(later, requested(2, settle));
    writer.handle(later, written(1));
    let answer = if fresh {
        ClaimAnswer::Fresh
    } else {
        ClaimAnswer::Unknown
    };
    assert_eq!(later_answer(&mut writer, time), [(9, answer)]);
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
    writer.handle(START, begin(9));
    let effects = writer.handle(START, Event::Read(ReadResult::Found(Version(1), shard)));
    assert_eq!(effects[0], Effect::ReadSegment(segment));
    let effects = writer.handle(START, Event::Segment(segment, Some(moved)));
    assert_eq!(replies(&effects), [(9, ClaimAnswer::Answered(recorded(1)))]);
}
