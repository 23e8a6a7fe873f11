//! Tests of the platform adapters and of the request path, at the level of bytes.

mod abandoned;
mod crashes;
mod endless;
mod endless_store;
mod foreign_entries;
mod handover;
mod large_bodies;
mod late_answers;
mod late_copies;
mod long_answers;
mod loss_reasons;
mod notices;
mod path;
mod restored_store;
mod resumption;
mod rollouts;
mod scripted;
mod second_response;
mod silent_streams;
mod stop;
mod store_loss;
mod truncation;
mod wire;
