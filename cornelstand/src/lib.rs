//! A router fleet for client accounts that share model and application capacity fairly.
//!
//! Every instance of the fleet runs the same daemon between callers and endpoints. An *entry*
//! takes a caller's request, asks the *dispatcher* of one of the service's *cells* for an
//! endpoint, streams the answer and reports the real cost. Decisions are plain state machines
//! that take the time and an event and return effects; actors and sockets are around them.
//!
//! ```
//! use cornelstand::{Class, Config, Service};
//!
//! let service: Service = serde_json::from_str(
//!     r#"{ "kind": "plain", "estimate": 20,
//!          "routes": [{ "prefix": "/summaries", "class": "batch", "repeat": "idempotent" }] }"#,
//! )?;
//! let config = Config::default();
//! assert_eq!(config.rule(&service, "/summaries/7").0, Class::Batch);
//! # Ok::<(), serde_json::Error>(())
//! ```

mod attempt;
mod auth;
mod body;
mod call;
mod caller;
mod cell;
mod cell_status;
mod claim;
mod claim_segment;
mod claim_shard;
mod claims;
mod config;
mod containment;
mod deliver;
mod dispatch;
mod dispatcher;
mod endpoint;
mod entry;
mod entry_metrics;
mod fair;
mod flight;
mod gossip;
mod headers;
mod keeper;
mod lease;
mod ledger;
mod listener;
mod member;
mod moment;
mod name;
mod note;
mod path;
mod problem;
mod publish;
mod refusal;
mod relay;
mod retry;
mod rules;
mod shard;
mod sse;
mod store;
mod suspect;
mod timeline;
mod tombs;
mod unique;
mod upstream;

pub use attempt::{
    Answering, ConnectError, Loss, Lost, NotRun, Outcome, Ready, Resend, Sending, Sent, Unsent,
    Verdict,
};
pub use auth::{KeyIndex, key_hash};
pub use cell::{Cell, CellInput, CellOutput};
pub use cell_status::{AccountStatus, CellStatus, Counts, EndpointStatus};
pub use claim::{
    BODY_BYTES, Claim, ClaimAnswer, ClaimCall, ClaimId, ClaimOp, ClaimShard, ClaimShardError,
    ClaimState, ClaimWish, HexError, MEDIA_BYTES, Recorded, Token,
};
pub use claim_segment::SegmentRef;
pub use claim_shard::{ClaimLimits, WriteEnd};
pub use claims::{Begun, ClaimBook, ClaimError, ClaimObjects, ClaimRoute, Ticket};
pub use config::{Account, Centre, Class, Config, Endpoint, Kind, Repeat, Route, Service};
pub use containment::SpreadCall;
pub use dispatch::{
    Census, Counter, Dispatch, Ending, EndpointState, Grant, Handover, Offer, Phase, Refusal,
    Reply, Report, Running,
};
pub use dispatcher::{
    Ask, Configure, Dispatcher, EntryGone, HandOver, Inspect, Learn, Recover, SetLease, SetLeaving,
    Tell, Withdraw,
};
pub use endpoint::{Load, State};
pub use entry::{Entry, EntryLimits, EntryParts};
pub use entry_metrics::EntryMetrics;
pub use gossip::{
    CellClaim, Extension, ExtensionTopic, GOSSIP_CELLS, GOSSIP_EXTRA, GOSSIP_MEMBERS, Gossip,
    Member, MemberState, Seed,
};
pub use headers::{
    ACCOUNT_KEY_BYTES, HeaderError, IDEMPOTENCY_KEY_BYTES, MAX_DEADLINE, MAX_HINT, Wishes,
    bearer_key,
};
pub use keeper::Keeper;
pub use lease::{
    Borrow, BorrowReply, Holder, Lease, LeaseEffect, LeaseInput, LeaseTiming, LeaseView, Part,
    Tenure,
};
pub use member::{MemberInput, MemberOutput, MemberTiming, Members};
pub use moment::{Clock, Moment, micros};
pub use name::{
    AccountName, AttemptId, BootId, CellId, CentreName, EndpointName, Epoch, Fingerprint,
    Incarnation, InstanceName, NAME_BYTES, RequestId, Revision, ServiceName, is_name,
};
pub use note::{Action, Digest, Items, Names, Note, NoteError, NoteProblem, Reason, Row, plan};
pub use path::{CallPath, PathError, split_path};
pub use publish::{Acceptance, HEAD_NAME, Known, PublishError, accept, collect, fetch};
pub use retry::{RetryBudgets, RetryPermit};
pub use shard::{Accepted, Head, ShardRef};
pub use sse::{EVENT_BYTES, Scanner, SseError};
pub use store::{Condition, Listing, Object, ObjectKind, Store, StoreError, VALUE_BYTES, Version};
pub use suspect::{Crash, MAX_CRASHES, Standing, Suspects, Suspicion, Trial, TrialPhase};
pub use timeline::{Event, Stamp, Timeline, Topic, merge};
