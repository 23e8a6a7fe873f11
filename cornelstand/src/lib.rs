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

mod config;
mod dispatch;
mod gossip;
mod keeper;
mod lease;
mod member;
mod moment;
mod name;
mod note;
mod publish;
mod rules;
mod shard;
mod store;
mod timeline;
mod unique;

pub use config::{Account, Centre, Class, Config, Endpoint, Kind, Repeat, Route, Service};
pub use dispatch::{
    Census, Counter, Dispatch, Ending, EndpointState, Grant, Handover, Offer, Phase, Refusal,
    Reply, Report, Running,
};
pub use gossip::{
    CellClaim, Extension, ExtensionTopic, GOSSIP_CELLS, GOSSIP_EXTRA, GOSSIP_MEMBERS, Gossip,
    Member, MemberState, Seed,
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
pub use note::{Action, Digest, Items, Names, Note, NoteError, Problem, Reason, Row, plan};
pub use publish::{Acceptance, HEAD_NAME, Known, PublishError, accept, collect, fetch};
pub use shard::{Accepted, Head, ShardRef};
pub use store::{Condition, Listing, Object, ObjectKind, Store, StoreError, VALUE_BYTES, Version};
pub use timeline::{Event, Stamp, Timeline, Topic, merge};
