//! Conversions of counts and estimates between number types.

/// Converts a count for arithmetic.
pub(crate) fn to_f64(count: usize) -> f64 {
    // Counts of requests, instances and connections fit.
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Converts a count for a gauge.
pub(crate) fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Truncates a non-negative estimate.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub(crate) fn to_u64(estimate: f64) -> u64 {
    estimate as u64
}

/// Reduces an estimate to message precision.
#[expect(
    clippy::cast_possible_truncation,
    reason = "estimates need no more digits"
)]
pub(crate) fn to_f32(estimate: f64) -> f32 {
    estimate as f32
}
