//! Admission: checks on a request before it is offered to a dispatcher.
//!
//! Nothing has been sent to an endpoint yet, so every refusal here is a "not run".

use std::sync::Arc;
use std::time::Duration;

use http::header::TRANSFER_ENCODING;
use http::request::Parts;
use http::{HeaderMap, Method};
use warp::hyper::body::Incoming;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::attempt::{NotRun, Verdict};
use crate::body::{BodyError, BodyLimits, CallBody, stated_length};
use crate::call::Call;
use crate::config::{Kind, Repeat};
use crate::entry_core::{Core, View};
use crate::headers::{Wishes, bearer_key, for_endpoint};
use crate::moment::Moment;
use crate::name::{AccountName, Fingerprint, RequestId, ServiceName};
use crate::path::split_path;
use crate::problem::{Problem, ProblemKind};
use crate::refusal::STOPPING;

/// `Retry-After` of refusals while the instance is stopping or has no room for a body.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Leading bytes of a body that are hashed as its prompt prefix.
const PREFIX_BYTES: usize = 1024;

/// Refusal of a request during admission.
pub(crate) struct Rejection {
    kind: ProblemKind,
    detail: String,
    retry: Option<Duration>,
}

impl Rejection {
    fn new(kind: ProblemKind, detail: &impl ToString) -> Self {
        Self {
            kind,
            detail: detail.to_string(),
            retry: None,
        }
    }

    fn unavailable(detail: &str) -> Self {
        let rejection = Self::new(ProblemKind::Unavailable, &detail);
        let retry = Some(RETRY_AFTER);
        Self { retry, ..rejection }
    }

    /// The instance stops before the request could be answered.
    pub(crate) fn stopping() -> Self {
        Self::unavailable(STOPPING)
    }

    /// Builds the error response, with the proof that nothing was sent.
    pub(crate) fn problem(self, proof: NotRun) -> Problem {
        let mut problem = Problem::new(self.kind, Verdict::NotRun(proof), self.detail);
        problem.retry = self.retry;
        problem
    }
}

/// Checks a request and reads its body, which is left where the head is refused.
pub(crate) async fn admit(
    core: &Arc<Core>,
    id: RequestId,
    parts: Parts,
    body: &mut Option<Incoming>,
) -> Result<Call, Rejection> {
    if core.is_draining() {
        return Err(Rejection::unavailable("the instance is about to stop"));
    }
    let view = core.view();
    let bad_header = |e| Rejection::new(ProblemKind::BadHeader, &e);
    let account = authenticate(&view, &parts.headers)?;
    let wishes = Wishes::parse(&parts.headers).map_err(bad_header)?;
    let path =
        split_path(parts.uri.path()).map_err(|e| Rejection::new(ProblemKind::BadPath, &e))?;
    let (name, service) = view
        .config
        .services
        .get_key_value(path.service)
        .ok_or_else(|| Rejection::new(ProblemKind::UnknownService, &"the path names no service"))?;
    let (class, repeat) = view.config.rule(service, &path.plain);
    if needs_key(&parts.method, repeat) && wishes.key.is_none() {
        let detail = "the call may not be repeated and needs an Idempotency-Key";
        return Err(Rejection::new(ProblemKind::KeyRequired, &detail));
    }
    let wait = wishes.deadline.unwrap_or(core.limits.deadline());
    let now = core.clock.now();
    let deadline = answer_deadline(repeat, wishes.key.as_deref(), now.after(wait));
    if core.send_cutoff(deadline).is_some_and(|c| now >= c) {
        return Err(Rejection::stopping());
    }
    let target = match parts.uri.query() {
        Some(query) => format!("{}?{query}", path.raw),
        None => path.raw.to_owned(),
    };
    let limits = core.limits.body();
    let room = core
        .room(ahead_bytes(&parts.headers, limits), limits.ahead)
        .await
        .ok_or_else(|| Rejection::unavailable("the instance has no room for the body"))?;
    let incoming = body
        .take()
        .ok_or_else(|| Rejection::new(ProblemKind::BodyIncomplete, &BodyError::Broken))?;
    let body = CallBody::read(&parts.headers, incoming, limits)
        .await
        .map_err(|e| Rejection::new(body_problem(e), &e))?;
    let arrived = core.clock.now();
    let fingerprint = fingerprint(&account, &parts.method, name, &target, body.ahead());
    let prefix = prefix(service.kind, body.ahead());
    Ok(Call {
        core: core.clone(),
        request: id,
        account,
        service: name.clone(),
        kind: service.kind,
        class,
        repeat,
        method: parts.method,
        target,
        headers: for_endpoint(&parts.headers, service.kind),
        length: stated_length(&parts.headers),
        body,
        _room: room,
        key: wishes.key,
        ticket: None,
        trial: None,
        hint: wishes.hint,
        prefix,
        fingerprint,
        arrived,
        deadline: arrived.after(wait),
        avoid: Vec::new(),
    })
}

fn authenticate(view: &View, headers: &HeaderMap) -> Result<AccountName, Rejection> {
    let key = bearer_key(headers).map_err(|e| Rejection::new(ProblemKind::BadKey, &e))?;
    let key = key.ok_or_else(|| Rejection::new(ProblemKind::BadKey, &"no account key is given"))?;
    view.keys
        .account(key)
        .cloned()
        .ok_or_else(|| Rejection::new(ProblemKind::BadKey, &"the key belongs to no account"))
}

/// Whether a call needs an idempotency key. Safe methods have no side effects and need none; they
/// are still sent at most once where the route is not idempotent.
fn needs_key(method: &Method, repeat: Repeat) -> bool {
    !repeat.is_idempotent() && !method.is_safe()
}

/// Deadline for the answer to begin. A claimed request that was sent has none.
pub(crate) fn answer_deadline(
    repeat: Repeat,
    key: Option<&str>,
    deadline: Moment,
) -> Option<Moment> {
    let is_claimed = repeat == Repeat::Once && key.is_some();
    (!is_claimed).then_some(deadline)
}

fn body_problem(error: BodyError) -> ProblemKind {
    match error {
        BodyError::TooLarge { .. } => ProblemKind::BodyTooLarge,
        BodyError::Broken | BodyError::Slow => ProblemKind::BodyIncomplete,
    }
}

/// Upper bound, from the headers, on the bytes of a body that are read ahead.
fn ahead_bytes(headers: &HeaderMap, limits: BodyLimits) -> usize {
    let stated = stated_length(headers).and_then(|length| usize::try_from(length).ok());
    match stated {
        Some(length) => length.min(limits.replay),
        None if headers.contains_key(TRANSFER_ENCODING) => limits.replay,
        None => 0,
    }
}

/// Hash of the prompt prefix of a model call.
fn prefix(kind: Kind, body: &[u8]) -> Option<u64> {
    let prefix = &body[..body.len().min(PREFIX_BYTES)];
    (kind == Kind::Model).then(|| xxh3_64(prefix))
}

/// Fingerprint of a request. It covers only the part of the body that was read ahead.
fn fingerprint(
    account: &AccountName,
    method: &Method,
    service: &ServiceName,
    target: &str,
    body: &[u8],
) -> Fingerprint {
    let mut hash = Xxh3::new();
    let names = [account.as_str(), method.as_str(), service.as_str(), target];
    for part in names.map(str::as_bytes).into_iter().chain([body]) {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    Fingerprint(hash.digest())
}
