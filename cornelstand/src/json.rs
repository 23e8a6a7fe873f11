//! JSON with comments, with the place of an error.

use derive_more::Display;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Place in a text, counted from 1.
#[derive(Clone, Copy, Debug, Display, Deserialize, Eq, PartialEq, Serialize)]
#[display("line {line}, column {column}")]
pub struct Place {
    /// Line.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

/// Error in a text.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{}{message}", at(*place)))]
pub struct JsonError {
    /// Where, if known.
    pub place: Option<Place>,
    /// What is wrong.
    pub message: String,
}

fn at(place: Option<Place>) -> String {
    place.map_or_else(String::new, |p| format!("{p}: "))
}

/// Reads `text` as JSON with comments.
///
/// # Errors
///
/// [`JsonError`] for a wrong form, an unknown or missing key or a wrong type.
pub(crate) fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, JsonError> {
    json5::from_str(text).map_err(|error| JsonError {
        place: error.position().map(|p| Place {
            line: p.line + 1,
            column: p.column + 1,
        }),
        message: without_place(&error.to_string()),
    })
}

/// Cuts the parser's own place off its message.
fn without_place(message: &str) -> String {
    message
        .rsplit_once(" at line ")
        .map_or(message, |(head, _)| head)
        .to_owned()
}
