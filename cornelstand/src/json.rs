//! JSON with comments, with error positions.

use derive_more::Display;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Position in a text, counted from 1.
#[derive(Clone, Copy, Debug, Display, Deserialize, Eq, PartialEq, Serialize)]
#[display("line {line}, column {column}")]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

/// Error in a text.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{}{message}", position_prefix(*position)))]
pub struct JsonError {
    /// Position, if known.
    pub position: Option<Position>,
    /// What is wrong.
    pub message: String,
}

fn position_prefix(position: Option<Position>) -> String {
    position.map_or_else(String::new, |p| format!("{p}: "))
}

/// Parses `text` as JSON with comments.
///
/// # Errors
///
/// [`JsonError`] for wrong syntax, an unknown or missing key or a wrong type.
pub(crate) fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, JsonError> {
    json5::from_str(text).map_err(|error| JsonError {
        position: error.position().map(|p| Position {
            line: p.line + 1,
            column: p.column + 1,
        }),
        message: strip_position(&error.to_string()),
    })
}

/// Removes the position from the end of the parser's message.
fn strip_position(message: &str) -> String {
    message
        .rsplit_once(" at line ")
        .map_or(message, |(head, _)| head)
        .to_owned()
}
