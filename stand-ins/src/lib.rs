//! Small fakes of the systems around the fleet: object API, instance list, model engine and
//! plain service. Each speaks HTTP and can be told to fail in the ways the real one does.
//!
//! Every fake is started with its settings on a listener of its own (port 0 picks a free one) and
//! gives a handle with its address, its controls and its counts. It runs on a thread of its own,
//! so that a crash closes every open connection at once. The same controls and counts are served
//! under `/stand-in/` for fakes that run as separate processes:
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /stand-in/counts` | the counts as JSON |
//! | `GET /stand-in/faults` | the faults in force |
//! | `PUT /stand-in/faults` | replaces the faults in force |
//! | `POST /stand-in/crash`, `POST /stand-in/silence` | engine and plain service only |
//! | `PUT /stand-in/instances` | instance list only: replaces the list |
//!
//! ```
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! use stand_ins::{Engine, EngineSettings};
//!
//! let engine = Engine::start(EngineSettings::default())?;
//! println!("listens at {}", engine.address());
//! engine.crash();
//! assert_eq!(engine.counts().crashes, 1);
//! engine.stop();
//! # Ok::<(), stand_ins::StartError>(())
//! # }).unwrap();
//! ```

mod answer;
mod batch;
mod chat;
mod engine;
mod engine_http;
mod host;
mod instances;
mod late_copies;
mod lines;
mod load;
mod object_api;
mod objects;
mod plain;
mod platform_endpoint;
mod platform_store;
mod wire;

pub use answer::{digest, length, text, token};
pub use batch::Pace;
pub use engine::{Engine, EngineCounts, EngineFaults, EngineSettings};
pub use host::StartError;
pub use instances::{InstanceList, InstanceSettings, InstanceState, Listed};
pub use late_copies::{LateCopies, ProxyFaults};
pub use load::{Bearing, LoadReport, Overload};
pub use object_api::{ObjectApi, ObjectSettings};
pub use objects::{ObjectCounts, ObjectFaults, Outage};
pub use plain::{PlainCounts, PlainFaults, PlainService, PlainSettings, Runs, call_digest};
pub use platform_endpoint::{
    EndpointFaults, EndpointSettings, FATAL, FATAL_PART, PlatformEndpoint,
};
pub use platform_store::{PlatformStore, StoreCopy, StoreCounts, StoreFaults};
