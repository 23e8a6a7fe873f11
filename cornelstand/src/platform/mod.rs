//! Adapters to the platform: its settings file, HTTP headers, store objects and store client.
//!
//! The modules only translate: names on the wire are decoded into the gateway's types here and do
//! not occur in other modules.

pub(crate) mod headers;
pub(crate) mod objects;
pub(crate) mod settings;
pub(crate) mod store;

/// Environment variable with the path of the settings file.
pub(crate) const SETTINGS_VARIABLE: &str = "CORNELSTAND_CONFIG";

#[cfg(test)]
mod tests;
