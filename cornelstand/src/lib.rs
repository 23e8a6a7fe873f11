//! A router fleet for client accounts that share model and application capacity fairly.
//!
//! Every instance of the fleet runs the same daemon between callers and endpoints. An *entry*
//! accepts a caller's request, asks the *dispatcher* of one of the service's *cells* for an
//! endpoint, streams the answer and reports the actual cost. Decisions are made by state machines
//! without I/O that map the time and an event to effects; actors and sockets drive them.
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

mod active;
mod admit;
mod answers;
mod attempt;
mod auth;
mod body;
mod call;
mod caller;
mod cell;
mod cell_message;
mod cell_status;
mod claim;
mod claim_route;
mod claim_segment;
mod claim_shard;
mod claims;
mod client;
mod closing;
mod codec;
mod command;
mod config;
mod containment;
mod deliver;
#[cfg(feature = "demo")]
mod demo;
#[cfg(feature = "demo")]
mod demo_table;
#[cfg(feature = "demo")]
mod demo_work;
#[cfg(feature = "demo")]
mod deployment;
mod dispatch;
mod dispatcher;
mod endpoint;
mod entry;
mod entry_core;
mod entry_metrics;
mod exchange;
mod fair;
#[cfg(feature = "demo")]
mod figures;
#[cfg(feature = "demo")]
mod fleet;
mod flight;
mod gateway;
mod gossip;
mod handshake;
mod head;
mod headers;
mod holdings;
mod instance;
mod instance_list;
mod json;
mod keeper;
mod lease;
mod lease_write;
mod ledger;
mod link;
mod listener;
mod load;
mod load_call;
mod load_plan;
mod load_result;
mod long_answers;
mod member;
mod member_message;
mod membership;
mod meter;
mod moment;
mod name;
mod note;
mod operator;
#[cfg(feature = "demo")]
mod outside;
mod ownership;
mod path;
mod pause;
mod peers;
mod platform;
mod probe;
mod problem;
#[cfg(feature = "demo")]
mod promise;
mod publish;
mod raw_json;
mod refusal;
mod relay;
mod response_body;
mod retry;
mod revisions;
mod route;
mod rules;
mod run;
mod settings;
mod shard;
mod sse;
mod status;
mod steward;
mod store;
mod suspect;
mod tables;
mod takeover;
mod timeline;
mod tombs;
mod trace;
mod unique;
mod upstream;

pub use attempt::{
    Answering, ConnectError, Loss, Lost, NotRun, Outcome, Ready, Resend, Sending, Sent, Unsent,
    Verdict,
};
pub use auth::{KeyIndex, key_hash};
pub use cell::Cell;
pub use cell_message::{CellInput, CellOutput};
pub use cell_status::{AccountStatus, CellStatus, Counts, EndpointStatus};
pub use claim::{
    Claim, ClaimAnswer, ClaimCall, ClaimId, ClaimOp, ClaimRequest, ClaimShard, ClaimShardError,
    ClaimState, HexError, MAX_BODY_BYTES, MAX_MEDIA_BYTES, Recorded, Token,
};
pub use claim_segment::SegmentRef;
pub use claim_shard::{ClaimLimits, WriteResult};
pub use claims::{BeginOutcome, ClaimError, ClaimObjects, ClaimRoute, ClaimStore, Ticket};
pub use client::{ClientError, OperatorClient, operator_key};
pub use command::{KEY_FILE_VARIABLE, command};
pub use config::{Account, Centre, Class, Config, Endpoint, Kind, Repeat, Route, Service};
pub use containment::SpreadCall;
#[cfg(feature = "demo")]
pub use demo::{DemoError, DemoOptions, DemoResult, LEAST_SECONDS, run_demo};
#[cfg(feature = "demo")]
pub use deployment::{
    AccountSize, BATCH_CHAT, CHAT, Deployment, LOOKUP, ORDER, PLAIN_CALL, ServiceSize,
};
pub use dispatch::{
    Census, Counter, Dispatch, Ending, EndpointState, Grant, Handover, Offer, Phase, Refusal,
    Reply, Report, Running,
};
pub use dispatcher::{
    AddCensus, Configure, Dispatcher, EntryGone, GetStatus, HandOver, MergeTotals, Recover,
    SendReports, SetLease, SetLeaving, SetTotalsChannel, SubmitOffer, Withdraw,
};
pub use endpoint::{LoadReport, State};
pub use entry::{Entry, EntryLimits, EntryParts};
pub use entry_metrics::EntryMetrics;
pub use exchange::{Total, Totals};
#[cfg(feature = "demo")]
pub use figures::{
    Span, WINDOW, fairness_gap, gain_rate, gained, service_per_share, utilisation, whole,
};
#[cfg(feature = "demo")]
pub use fleet::{FLEET_THREADS, Fleet, FleetError, OPERATOR_KEY};
pub use gateway::daemon::GatewayError;
pub use gossip::{
    CellClaim, Extension, ExtensionTopic, GOSSIP_CELLS, GOSSIP_EXTRA, GOSSIP_MEMBERS, Gossip,
    Member, MemberState, Seed,
};
pub use handshake::{HELLO_BYTES, HELLO_TIME, HandshakeError, PROTOCOL};
pub use headers::{
    ACCOUNT_KEY_BYTES, HeaderError, IDEMPOTENCY_KEY_BYTES, MAX_DEADLINE, MAX_HINT, Wishes,
    bearer_key,
};
pub use instance::{Addresses, Instance, StartError};
pub use json::{JsonError, Position};
pub use keeper::LeaseMachine;
pub use lease::{
    Borrow, BorrowReply, Holder, Lease, LeaseEffect, LeaseInput, LeaseTiming, LeaseView, Part,
    Tenure, Yield,
};
pub use load::{run_load, run_load_through};
pub use load_call::Check;
pub use load_plan::{AccountLoad, Arrival, CallKind, Source, Through, Workload};
pub use load_result::{
    AccountResult, BUCKET, LoadResult, Outcomes, Quantiles, Refused, SourceResult,
};
pub use member::{MemberTiming, Members};
pub use member_message::{MemberInput, MemberOutput};
pub use membership::{
    AddSeeds, AnswerGossip, ClaimCell, EndMembership, ExtendGossip, KnowRevision, LeaveFleet,
    Membership, MembershipParts, PutInForce, StopMembership,
};
pub use meter::Traffic;
pub use moment::{Clock, Moment, micros};
pub use name::{
    AccountName, AttemptId, BootId, CellId, CentreName, EndpointName, Epoch, Fingerprint,
    Incarnation, InstanceName, NAME_BYTES, RequestId, Revision, ServiceName, VersionName, is_name,
};
pub use note::{Action, Digest, Items, Names, Note, NoteError, NoteProblem, Reason, Row, plan};
pub use operator::{NOTE_BYTES, OperatorError};
#[cfg(feature = "demo")]
pub use outside::{Fake, Outside, Reading, Replica, SAMPLE, Sample, Sampler};
pub use path::{CallPath, PathError, split_path};
pub use problem::{PROBLEM_TYPE, Problem, ProblemKind};
#[cfg(feature = "demo")]
pub use promise::{OUT_WITHIN, Promise, answer_promises, centre_promise};
pub use publish::{Acceptance, HEAD_NAME, Known, PublishError, accept, collect, fetch};
pub use retry::{RetryBudgets, RetryPermit};
pub use revisions::{ConfigUpdate, InForce, RevisionParts, WATCHERS, keep_revisions};
pub use run::{RunError, run};
pub use settings::{
    FLEET_KEY_CHARS, Keys, Limits, Listen, Log, LogFormat, Peer, Platform, SETTINGS_BYTES,
    Settings, SettingsError, Times, is_hash,
};
pub use shard::{Accepted, Head, ShardRef};
pub use sse::{EVENT_BYTES, Scanner, SseError};
pub use status::{InstanceStatus, MemberStatus, OwnerStatus, Readiness, TrafficStatus};
pub use steward::{
    CellChange, DrainCells, HandOverDone, LeaseActor, LeaseActorParts, LendHalf, ListCells,
    StopLeaseActor, TakeOverNotice,
};
pub use store::{Condition, Listing, Object, ObjectKind, Store, StoreError, VALUE_BYTES, Version};
pub use suspect::{Crash, MAX_CRASHES, Standing, Suspects, Suspicion, Trial, TrialPhase};
pub use tables::{fleet_tables, load_table, note_table, revision_table};
pub use timeline::{Event, Stamp, Timeline, Topic, merge};
pub use trace::{trace_json, trace_page};
