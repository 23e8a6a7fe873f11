//! Claims of requests that may not be repeated, as they are kept in the platform's object API.
//!
//! A claim is made before the first byte of a request is sent to an endpoint. Claims of many
//! requests share one object, a *shard*, chosen by a hash of account and key. An object is only
//! ever replaced under its version, so of two writers that claim the same key one meets a conflict,
//! reads again and finds the other's claim. Each claim carries the random token of the `begin` that
//! made it; a writer whose answer was lost reads the shard back and looks for its token.
//!
//! Claims carry no time. Their age is what one process has seen on its own monotonic clock (see
//! `claim_shard`), so neither clock skew nor a wall clock that jumps can end a claim early.

use std::collections::BTreeMap;

use bytes::Bytes;
use derive_more::{Display, IsVariant};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::claim_segment::SegmentRef;
use crate::name::{AccountName, Fingerprint, RequestId};
use crate::store::VALUE_BYTES;

/// Longest answer body that is kept with a claim, in bytes.
pub const BODY_BYTES: usize = 4096;

/// Longest content type that is kept with a claim, in bytes.
pub const MEDIA_BYTES: usize = 128;

/// Hash of account and idempotency key.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
#[serde(into = "String", try_from = "String")]
pub struct ClaimId(u128);

/// Random mark of one `begin`, unique over the fleet.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
#[serde(into = "String", try_from = "String")]
pub struct Token(pub u128);

/// Error of reading hexadecimal text.
#[derive(Debug, Snafu)]
#[snafu(display("not in hexadecimal, or of the wrong length"))]
pub struct HexError;

fn from_hex(text: &str) -> Result<u128, HexError> {
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
                from_hex(&text).map($name)
            }
        }
    )*};
}

hex_text!(ClaimId, Token);

impl ClaimId {
    /// The identity of `key` of `account`. Keys of different accounts never share one.
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

    /// The shard among `shards` that holds this claim.
    #[must_use]
    pub fn shard(self, shards: u16) -> u16 {
        let place = self.0 % u128::from(shards.max(1));
        u16::try_from(place).unwrap_or_default()
    }
}

/// A whole answer as it is kept for callers that send the request again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "RecordedText", try_from = "RecordedText")]
pub struct Recorded {
    /// Status of the answer.
    pub status: u16,
    /// Content type, empty if the answer had none or its body was not kept.
    pub media: String,
    /// The body, `None` if it was longer than [`BODY_BYTES`] and not kept.
    pub body: Option<Bytes>,
}

impl Recorded {
    /// The answer with `body` if it is short enough to keep.
    #[must_use]
    pub fn new(status: u16, media: &str, body: &Bytes) -> Self {
        let kept = body.len() <= BODY_BYTES && media.len() <= MEDIA_BYTES;
        Self {
            status,
            media: if kept {
                media.to_owned()
            } else {
                String::new()
            },
            body: kept.then(|| body.clone()),
        }
    }
}

/// A recorded answer as text.
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
    /// A body that is not UTF-8.
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
            BodyText::Hex(hex) => Some(bytes_of(&hex)?),
        };
        Ok(Self {
            status: text.status,
            media: text.media,
            body,
        })
    }
}

fn bytes_of(hex: &str) -> Result<Bytes, HexError> {
    let (pairs, rest) = hex.as_bytes().as_chunks::<2>();
    ensure!(rest.is_empty(), HexSnafu);
    pairs.iter().map(|pair| byte_of(*pair)).collect()
}

fn byte_of([high, low]: [u8; 2]) -> Result<u8, HexError> {
    let digit = |b: u8| char::from(b).to_digit(16).context(HexSnafu);
    let value = digit(high)? * 16 + digit(low)?;
    u8::try_from(value).map_err(|_| HexError)
}

/// How far a claimed request is, as far as the store knows.
#[derive(Clone, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Claimed and not settled by its holder.
    Open,
    /// Answered.
    Recorded(Recorded),
    /// Sent, and its end is not known.
    Unknown,
}

/// One claim in a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The `begin` that made it.
    pub token: Token,
    /// What was claimed.
    pub fingerprint: Fingerprint,
    /// The request that made it.
    #[serde(with = "request")]
    pub request: RequestId,
    /// Number of the last change of this claim, rising over the changes of a shard.
    pub change: u64,
    /// How far it is.
    pub state: ClaimState,
}

/// Request identities in hexadecimal.
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
        super::from_hex(&text)
            .map(RequestId)
            .map_err(D::Error::custom)
    }
}

/// Value of one claim object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    /// Number of the next change.
    pub next: u64,
    /// The claims by identity.
    pub claims: BTreeMap<ClaimId, Claim>,
    /// Tokens given up, with the change that did so. A copy of their `begin` claims nothing.
    pub released: BTreeMap<Token, u64>,
    /// Objects that hold the other settled claims, oldest first.
    #[serde(default)]
    pub segments: Vec<SegmentRef>,
}

/// Error of reading a claim object.
#[derive(Debug, Snafu)]
pub enum ClaimShardError {
    /// Longer than the store holds.
    #[snafu(display("a claim object of {bytes} bytes is too long"))]
    Long {
        /// Its length.
        bytes: usize,
    },
    /// Not in the form of a claim object.
    #[snafu(display("malformed claim object"))]
    Json {
        /// Where and why.
        source: serde_json::Error,
    },
    /// A released token is newer than its shard.
    #[snafu(display("a released token is newer than its shard"))]
    Newer,
    /// A claim breaks a rule of its shard.
    #[snafu(display("claim {id} {what}"))]
    Invalid {
        /// The claim.
        id: ClaimId,
        /// The rule.
        what: &'static str,
    },
}

impl ClaimShard {
    /// Reads the value of a claim object.
    ///
    /// # Errors
    ///
    /// [`ClaimShardError`] for anything that [`ClaimShard::encode`] cannot have written.
    pub fn decode(text: &str) -> Result<Self, ClaimShardError> {
        let bytes = text.len();
        ensure!(bytes <= VALUE_BYTES, LongSnafu { bytes });
        let shard: Self = serde_json::from_str(text).context(JsonSnafu)?;
        for (id, claim) in &shard.claims {
            let id = *id;
            let known = claim.change < shard.next;
            let what = "is newer than its shard";
            ensure!(known, InvalidSnafu { id, what });
            let what = "has a longer answer than is kept";
            ensure!(is_kept(&claim.state), InvalidSnafu { id, what });
        }
        ensure!(
            shard.released.values().all(|change| *change < shard.next),
            NewerSnafu
        );
        Ok(shard)
    }

    /// The value of the claim object.
    ///
    /// # Panics
    ///
    /// Never: every shard has a form in JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("names and numbers have a form in JSON")
    }

    /// Claims `id` unless it is claimed, and tells who holds it.
    pub(crate) fn claim(&mut self, id: ClaimId, wish: ClaimWish) -> &Claim {
        let next = &mut self.next;
        self.claims.entry(id).or_insert_with(|| Claim {
            token: wish.token,
            fingerprint: wish.fingerprint,
            request: wish.request,
            change: take(next),
            state: ClaimState::Open,
        })
    }

    /// Settles the open claim that `token` made. Tells whether that claim exists.
    pub(crate) fn settle(&mut self, id: ClaimId, token: Token, state: &ClaimState) -> bool {
        let Some(claim) = self.claims.get_mut(&id).filter(|c| c.token == token) else {
            return false;
        };
        if claim.state.is_open() {
            claim.state = state.clone();
            claim.change = take(&mut self.next);
        }
        true
    }

    /// Removes the open claim that `token` made, and keeps `token` from making one.
    pub(crate) fn release(&mut self, id: ClaimId, token: Token) {
        if self.released.contains_key(&token) {
            return;
        }
        let own = |c: &Claim| c.token == token && c.state.is_open();
        if self.claims.get(&id).is_some_and(own) {
            self.claims.remove(&id);
        }
        self.released.insert(token, take(&mut self.next));
    }

    /// Replaces `claims` by `segment`, as far as they are still here.
    pub(crate) fn replace(&mut self, claims: &BTreeMap<ClaimId, Claim>, segment: SegmentRef) {
        let before = self.claims.len();
        self.claims
            .retain(|id, claim| claims.get(id) != Some(claim));
        if self.claims.len() < before {
            self.segments.push(segment);
            take(&mut self.next);
        }
    }

    /// Removes what was not changed since the changes of `limits`.
    pub(crate) fn expire(&mut self, limits: Expiry) {
        self.claims.retain(|_, claim| {
            let open = claim.state.is_open();
            claim.change >= if open { limits.open } else { limits.settled }
        });
        self.released.retain(|_, change| *change >= limits.released);
        self.segments.retain(|s| s.next > limits.settled);
    }
}

/// Changes of a shard before which each kind of entry has expired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Expiry {
    pub(crate) settled: u64,
    pub(crate) open: u64,
    pub(crate) released: u64,
}

/// What a `begin` asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimWish {
    /// Mark of the `begin`.
    pub token: Token,
    /// What is claimed.
    pub fingerprint: Fingerprint,
    /// The request.
    pub request: RequestId,
}

/// What is asked of a shard. Each operation may arrive more than once and late.
#[derive(Clone, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
pub enum ClaimOp {
    /// Claim.
    Begin(ClaimWish),
    /// Keep the end of the request that the token claimed.
    Settle(Token, ClaimState),
    /// Give up what the token claimed or may yet claim.
    Release(Token),
}

impl ClaimOp {
    /// The `begin` that it belongs to.
    pub(crate) fn token(&self) -> Token {
        match self {
            Self::Begin(wish) => wish.token,
            Self::Settle(token, _) | Self::Release(token) => *token,
        }
    }
}

/// One operation on one claim, as instances send it to one another.
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
    /// The end of the request is not known.
    Unknown,
    /// The claim is for another fingerprint.
    Mismatch,
    /// Settled or released.
    Done,
    /// The token holds no claim.
    Lost,
    /// The shard has no room.
    Full,
    /// Too many operations wait.
    Busy,
    /// The store gave no clear answer in time.
    Unavailable,
}

fn take(next: &mut u64) -> u64 {
    let change = *next;
    *next = next.saturating_add(1);
    change
}

fn is_kept(state: &ClaimState) -> bool {
    match state {
        ClaimState::Open | ClaimState::Unknown => true,
        ClaimState::Recorded(r) => {
            r.media.len() <= MEDIA_BYTES && r.body.as_ref().is_none_or(|b| b.len() <= BODY_BYTES)
        }
    }
}
