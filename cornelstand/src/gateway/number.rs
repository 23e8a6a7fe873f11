//! Conversions of counts and estimates between number types.

/// Converts a count for floating-point arithmetic.
pub(crate) fn float(count: usize) -> f64 {
    // Counts of requests, instances and connections fit into 32 bits.
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Converts a count for a gauge.
pub(crate) fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Truncates a non-negative estimate to an integer.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub(crate) fn whole(estimate: f64) -> u64 {
    estimate as u64
}

/// Reduces an estimate to the precision used in messages.
#[expect(
    clippy::cast_possible_truncation,
    reason = "estimates need no more digits"
)]
pub(crate) fn short(estimate: f64) -> f32 {
    estimate as f32
}
