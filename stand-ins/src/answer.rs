//! Answers that a caller can check for itself.
//!
//! Everything in an answer follows from the digest of the request, so that a caller notices a
//! missing, repeated or crossed part without asking the endpoint.

use std::fmt::Write;

/// FNV-1a offset basis.
const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a prime.
const PRIME: u64 = 0x0100_0000_01b3;
/// Increment of the `SplitMix64` sequence.
const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Longest answer, in means.
const LONGEST: u64 = 8;

/// Digest of a request's body or prompt.
#[must_use]
pub fn digest(text: &str) -> u64 {
    text.bytes()
        .fold(BASIS, |hash, b| (hash ^ u64::from(b)).wrapping_mul(PRIME))
}

/// Text of token `index` of the answer to the request with this digest, with a space at its end.
#[must_use]
pub fn token(digest: u64, index: u64) -> String {
    format!("{:08x} ", mix(digest.wrapping_add(index)) >> 32)
}

/// Text of a whole answer of `tokens` tokens.
#[must_use]
pub fn text(digest: u64, tokens: u64) -> String {
    let mut text = String::new();
    for index in 0..tokens {
        write!(text, "{}", token(digest, index)).expect("writing to a string cannot fail");
    }
    text
}

/// Tokens of the answer to a request that states no limit: exponential around `mean`, at least 1
/// and at most 8 times the mean.
#[must_use]
pub fn length(digest: u64, mean: u32) -> u64 {
    let part = u32::try_from(mix(digest) >> 32).unwrap_or(u32::MAX);
    let draw = (f64::from(part) + 1.0) / (f64::from(u32::MAX) + 2.0);
    let tokens = std::time::Duration::from_secs_f64(-draw.ln() * f64::from(mean)).as_secs();
    tokens.clamp(1, u64::from(mean.max(1)) * LONGEST)
}

fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(GAMMA);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
