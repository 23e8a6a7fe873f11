//! The users' platform: its settings file, headers, objects and store, in the product's types.
//!
//! Only translation lives here. Names on the wire are decoded once, into types whose fields say
//! what they hold; nothing outside this folder knows them.

pub(crate) mod headers;
pub(crate) mod objects;
pub(crate) mod settings;
pub(crate) mod store;

/// Environment variable that names the settings file.
pub(crate) const SETTINGS_VARIABLE: &str = "CORNELSTAND_CONFIG";

#[cfg(test)]
mod tests;
