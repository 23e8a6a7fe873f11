//! Claims of non-repeatable requests, stored in the platform's object API.
//!
//! A claim is made before the first byte of a request is sent to an endpoint. Claims of many
//! requests share one object, a *shard*, chosen by a hash of account and key. An object is
//! replaced only if its version matches, so of two writers that claim the same key one gets a
//! conflict, reads again and finds the other's claim. Each claim carries the random token of the
//! `begin` that made it; a writer whose response was lost reads the shard and looks for its token.
//!
//! Claims carry no timestamps. Each process measures their age on its own monotonic clock (see
//! `claim_shard`), so neither clock skew nor a wall-clock jump can expire a claim early.

use std::collections::BTreeMap;

use bytes::Bytes;
use derive_more::{Display, IsVariant};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::claim_segment::SegmentRef;
use crate::name::{AccountName, Fingerprint, RequestId};
use crate::store::VALUE_BYTES;

/// Maximum length of an answer body stored with a claim.
pub const MAX_BODY_BYTES: usize = 4096;

/// Maximum length of a content type stored with a claim.
pub const MAX_MEDIA_BYTES: usize = 128;

/// Hash of account and idempotency key.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
#[serde(into = "String", try_from = "String")]
pub struct ClaimId(u128);

/// Random identifier of one `begin`, unique in the fleet.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
#[serde(into = "String", try_from = "String")]
pub struct Token(pub u128);

/// Error of parsing hexadecimal text.
#[derive(Debug, Snafu)]
#[snafu(display("invalid hexadecimal digit or length"))]
pub struct HexError;

fn parse_hex(text: &str) -> Result<u128, HexError> {
    let digits = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
    ensure!(digits, HexSnafu);
    u128::from_str_radix(text, 16).map_err(|_| HexError)
}

macro_rules! hex_text {
    ($($name:ident),*) => {$(
        impl From<$name> for String {
            fn from(value: $name) -> Self {
                value.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = HexError;

            fn try_from(text: String) -> Result<Self, HexError> {
                parse_hex(&text).map($name)
            }
        }
    )*};
}

hex_text!(ClaimId, Token);

impl ClaimId {
    /// Derives the identity of `key` of `account`. Accounts never share identities.
    #[must_use]
    pub fn new(account: &AccountName, key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update((account.as_str().len() as u64).to_be_bytes());
        hash.update(account.as_str());
        hash.update(key);
        let digest = hash.finalize();
        let (head, _) = digest.split_at(16);
        Self(head.iter().fold(0, |sum, b| sum << 8 | u128::from(*b)))
    }

    /// Index of this claim's shard among `shards`.
    #[must_use]
    pub fn shard(self, shards: u16) -> u16 {
        let index = self.0 % u128::from(shards.max(1));
        u16::try_from(index).unwrap_or_default()
    }
}

/// A complete answer, stored for callers that repeat the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "RecordedText", try_from = "RecordedText")]
pub struct Recorded {
    /// Status of the answer.
    pub status: u16,
    /// Content type, empty if the answer had none or its body is not stored.
    pub media: String,
    /// The body, `None` if it exceeded [`MAX_BODY_BYTES`] and is not stored.
    pub body: Option<Bytes>,
}

impl Recorded {
    /// Records the answer, with `body` only if it is short enough.
    #[must_use]
    pub fn new(status: u16, media: &str, body: &Bytes) -> Self {
        let is_stored = body.len() <= MAX_BODY_BYTES && media.len() <= MAX_MEDIA_BYTES;
        Self {
            status,
            media: if is_stored {
                media.to_owned()
            } else {
                String::new()
            },
            body: is_stored.then(|| body.clone()),
        }
    }
}

/// Stored form of a recorded answer.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct RecordedText {
    status: u16,
    media: String,
    body: BodyText,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
enum BodyText {
    Text(String),
    /// Used if not valid UTF-8.
    Hex(String),
    Dropped,
}

impl From<Recorded> for RecordedText {
    fn from(recorded: Recorded) -> Self {
        let body = match &recorded.body {
            None => BodyText::Dropped,
            Some(bytes) => match std::str::from_utf8(bytes) {
                Ok(text) => BodyText::Text(text.to_owned()),
                Err(_) => BodyText::Hex(format!("{bytes:x}")),
            },
        };
        Self {
            status: recorded.status,
            media: recorded.media,
            body,
        }
    }
}

impl TryFrom<RecordedText> for Recorded {
    type Error = HexError;

    fn try_from(text: RecordedText) -> Result<Self, HexError> {
        let body = match text.body {
            BodyText::Dropped => None,
            BodyText::Text(body) => Some(body.into()),
            BodyText::Hex(hex) => Some(decode_hex(&hex)?),
        };
        Ok(Self {
            status: text.status,
            media: text.media,
            body,
        })
    }
}

fn decode_hex(hex: &str) -> Result<Bytes, HexError> {
    let (pairs, rest) = hex.as_bytes().as_chunks::<2>();
    ensure!(rest.is_empty(), HexSnafu);
    pairs.iter().map(|pair| decode_byte(*pair)).collect()
}

fn decode_byte([high, low]: [u8; 2]) -> Result<u8, HexError> {
    let digit = |b: u8| char::from(b).to_digit(16).context(HexSnafu);
    let value = digit(high)? * 16 + digit(low)?;
    u8::try_from(value).map_err(|_| HexError)
}

/// Progress of a claimed request as recorded in the store.
#[derive(Clone, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Claimed and not yet settled by its holder.
    Open,
    /// Answered.
    Recorded(Recorded),
    /// Sent, with unknown outcome.
    Unknown,
}

/// One claim in a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Token of the `begin`.
    pub token: Token,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Request identifier.
    #[serde(with = "request")]
    pub request: RequestId,
    /// Sequence number of the claim's last change, increasing over the shard's changes.
    pub change: u64,
    /// Progress.
    pub state: ClaimState,
}

/// Request identifiers as hexadecimal.
mod request {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    use crate::name::RequestId;

    pub(super) fn serialize<S: Serializer>(
        id: &RequestId,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(id)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<RequestId, D::Error> {
        let text = String::deserialize(deserializer)?;
        super::parse_hex(&text)
            .map(RequestId)
            .map_err(D::Error::custom)
    }
}

/// Stored value of a claim object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    /// Next change number.
    pub next: u64,
    /// The claims by identity.
    pub claims: BTreeMap<ClaimId, Claim>,
    /// Released tokens with the change that released them. Copies of their `begin` have no effect.
    pub released: BTreeMap<Token, u64>,
    /// Segments with the other settled claims, oldest first.
    #[serde(default)]
    pub segments: Vec<SegmentRef>,
}

/// Error of decoding a claim object.
#[derive(Debug, Snafu)]
pub enum ClaimShardError {
    /// Exceeds the store's value size.
    #[snafu(display("a claim object of {bytes} bytes is too long"))]
    Long {
        /// Length.
        bytes: usize,
    },
    /// Not valid JSON for a claim object.
    #[snafu(display("malformed claim object"))]
    Json {
        /// Parse error.
        source: serde_json::Error,
    },
    /// A released token has an invalid change number.
    #[snafu(display("a released token is newer than its shard"))]
    Newer,
    /// A claim violates an invariant of its shard.
    #[snafu(display("claim {id} {what}"))]
    Invalid {
        /// The claim.
        id: ClaimId,
        /// Violation.
        what: &'static str,
    },
}

impl ClaimShard {
    /// Decodes the value of a claim object.
    ///
    /// # Errors
    ///
    /// [`ClaimShardError`] if [`ClaimShard::encode`] cannot have written `text`.
    pub fn decode(text: &str) -> Result<Self, ClaimShardError> {
        let bytes = text.len();
        ensure!(bytes <= VALUE_BYTES, LongSnafu { bytes });
        let shard: Self = serde_json::from_str(text).context(JsonSnafu)?;
        for (id, claim) in &shard.claims {
            let id = *id;
            let is_older = claim.change < shard.next;
            let what = "is newer than its shard";
            ensure!(is_older, InvalidSnafu { id, what });
            let what = "has a longer answer than is kept";
            ensure!(is_within_limits(&claim.state), InvalidSnafu { id, what });
        }
        ensure!(
            shard.released.values().all(|change| *change < shard.next),
            NewerSnafu
        );
        Ok(shard)
    }

    /// Encodes the value of the claim object.
    ///
    /// # Panics
    ///
    /// Never: every shard can be serialized.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a shard serializes to JSON")
    }

    /// Claims `id` unless it is claimed, and returns the claim.
    pub(crate) fn claim(&mut self, id: ClaimId, wish: ClaimRequest) -> &Claim {
        let next = &mut self.next;
        self.claims.entry(id).or_insert_with(|| Claim {
            token: wish.token,
            fingerprint: wish.fingerprint,
            request: wish.request,
            change: next_change(next),
            state: ClaimState::Open,
        })
    }

    /// Settles the open claim made by `token`. Returns whether the claim exists.
    pub(crate) fn settle(&mut self, id: ClaimId, token: Token, state: &ClaimState) -> bool {
        let Some(claim) = self.claims.get_mut(&id).filter(|c| c.token == token) else {
            return false;
        };
        if claim.state.is_open() {
            claim.state = state.clone();
            claim.change = next_change(&mut self.next);
        }
        true
    }

    /// Removes the open claim made by `token` and bars `token` from making one.
    pub(crate) fn release(&mut self, id: ClaimId, token: Token) {
        if self.released.contains_key(&token) {
            return;
        }
        let own = |c: &Claim| c.token == token && c.state.is_open();
        if self.claims.get(&id).is_some_and(own) {
            self.claims.remove(&id);
        }
        self.released.insert(token, next_change(&mut self.next));
    }

    /// Moves those of `claims` that are still present to `segment`.
    pub(crate) fn replace(&mut self, claims: &BTreeMap<ClaimId, Claim>, segment: SegmentRef) {
        let before = self.claims.len();
        self.claims
            .retain(|id, claim| claims.get(id) != Some(claim));
        if self.claims.len() < before {
            self.segments.push(segment);
            next_change(&mut self.next);
        }
    }

    /// Removes entries last changed before the limits.
    pub(crate) fn expire(&mut self, limits: Expiry) {
        self.claims.retain(|_, claim| {
            let open = claim.state.is_open();
            claim.change >= if open { limits.open } else { limits.settled }
        });
        self.released.retain(|_, change| *change >= limits.released);
        self.segments.retain(|s| s.next > limits.settled);
    }
}

/// Change numbers below which each kind of entry has expired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Expiry {
    pub(crate) settled: u64,
    pub(crate) open: u64,
    pub(crate) released: u64,
}

/// Arguments of a `begin`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// Token of the `begin`.
    pub token: Token,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Request identifier.
    pub request: RequestId,
}

/// Operation on a shard. It may arrive late and more than once.
#[derive(Clone, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
pub enum ClaimOp {
    /// Claim.
    Begin(ClaimRequest),
    /// Record the outcome of the request claimed by the token.
    Settle(Token, ClaimState),
    /// Release what the token has claimed or may still claim.
    Release(Token),
}

impl ClaimOp {
    /// Token of its `begin`.
    pub(crate) fn token(&self) -> Token {
        match self {
            Self::Begin(wish) => wish.token,
            Self::Settle(token, _) | Self::Release(token) => *token,
        }
    }
}

/// Operation on a claim, as sent between instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimCall {
    /// The claim.
    pub claim: ClaimId,
    /// The operation.
    pub op: ClaimOp,
}

/// Answer to an operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimAnswer {
    /// The token holds the claim.
    Fresh,
    /// The request was answered before.
    Answered(Recorded),
    /// Another token holds the claim.
    Running,
    /// The outcome of the request is unknown.
    Unknown,
    /// The claim has another fingerprint.
    Mismatch,
    /// Settled or released.
    Done,
    /// The token holds no claim.
    Lost,
    /// The shard is full.
    Full,
    /// Too many operations are queued.
    Busy,
    /// The store gave no definite answer in time.
    Unavailable,
}

fn next_change(next: &mut u64) -> u64 {
    let change = *next;
    *next = next.saturating_add(1);
    change
}

fn is_within_limits(state: &ClaimState) -> bool {
    match state {
        ClaimState::Open | ClaimState::Unknown => true,
        ClaimState::Recorded(r) => {
            r.media.len() <= MAX_MEDIA_BYTES
                && r.body.as_ref().is_none_or(|b| b.len() <= MAX_BODY_BYTES)
        }
    }
}
