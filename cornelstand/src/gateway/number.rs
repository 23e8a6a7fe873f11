//! Conversions of counts and estimates between number types.

/// A count for a calculation.
pub(crate) fn float(count: usize) -> f64 {
    // Counts here are of requests, instances and connections.
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// A count for a gauge.
pub(crate) fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// An estimate that is not negative, as a whole number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub(crate) fn whole(estimate: f64) -> u64 {
    estimate as u64
}

/// An estimate for a message.
#[expect(
    clippy::cast_possible_truncation,
    reason = "estimates need no more digits"
)]
pub(crate) fn short(estimate: f64) -> f32 {
    estimate as f32
}
