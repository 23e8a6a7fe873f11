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

mod active;
mod cell;
mod cell_message;
mod cell_status;
mod config;
mod dispatch;
mod dispatcher;
mod endpoint;
mod fair;
mod moment;
mod name;
mod probe;
mod store;
mod takeover;
mod timeline;
mod tombs;

pub use cell::Cell;
pub use cell_message::{CellInput, CellOutput, Part};
pub use cell_status::{AccountStatus, CellStatus, Counts, EndpointStatus};
pub use config::{Account, Centre, Class, Config, Endpoint, Kind, Repeat, Route, Service};
pub use dispatch::{
    Census, Counter, Dispatch, Ending, EndpointState, Grant, Handover, Offer, Phase, Refusal,
    Reply, Report, Running,
};
pub use dispatcher::{
    Ask, Configure, Dispatcher, EntryGone, HandOver, Inspect, Learn, Recover, SetLease, SetLeaving,
    Tell, Withdraw,
};
pub use endpoint::{Load, State};
pub use moment::{Clock, Moment, micros};
pub use name::{
    AccountName, AttemptId, BootId, CellId, CentreName, EndpointName, Epoch, Fingerprint,
    Incarnation, InstanceName, NAME_BYTES, RequestId, Revision, ServiceName, is_name,
};
pub use store::{Condition, Listing, Object, ObjectKind, Store, StoreError, VALUE_BYTES, Version};
pub use timeline::{Event, Stamp, Timeline, Topic, merge};
