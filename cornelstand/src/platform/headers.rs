//! HTTP headers of requests and responses on the platform.

use std::io::Write as _;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};

use crate::gateway::call::Refused;
use crate::gateway::catalog::EngineSpec;
use crate::gateway::endpoint_load::{LoadReport, ToldLoad};
use crate::gateway::endpoint_state::{Prompt, PromptPart};
use crate::gateway::message::{Head, reason};
use crate::gateway::notices::Notice;

/// Request ID, which the platform calls an attempt ID: a caller that retries sends a new one.
const REQUEST_ID: &str = "x-cornelstand-attempt-id";
/// The caller's time limit, in milliseconds from when it sent the request.
const DEADLINE: &str = "x-cornelstand-deadline-ms";
/// API key of the caller's account.
const CREDENTIAL: &str = "x-cornelstand-credential";
/// Account name; set by the gateway only.
const ACCOUNT: &str = "x-cornelstand-tenant";
/// Name of the endpoint that is to run the request; any other endpoint responds with 421.
const EXPECTED_ENDPOINT: &str = "x-cornelstand-expect-instance";
/// Number of prompt tokens and limit of generated tokens, separated by a comma.
const TOKEN_COUNTS: &str = "x-cornelstand-token-count";
/// The caller's estimate of the number of generated tokens; often inaccurate.
const OUTPUT_HINT: &str = "x-cornelstand-length-hint";
/// Parts of the prompt in order, as a comma-separated list of `ID:TOKENS`.
const PROMPT_PARTS: &str = "x-cornelstand-prompt-prefix";
const LAST_EVENT: &str = "last-event-id";
/// Stamp of the endpoint that produced the response.
const STAMP: &str = "x-cornelstand-server-stamp";
/// Present if the endpoint did not run the request.
const NOT_RUN: &str = "x-cornelstand-not-executed";
/// `1` if the endpoint is draining; other values are ignored.
const LEAVING: &str = "server-leaving";
/// Seconds for which the endpoint wants no requests from this instance; may be a fraction.
const RETRY_AFTER: &str = "retry-after";
/// `timeout=N`: an idle connection stays open for N seconds.
const KEEP_ALIVE: &str = "keep-alive";
/// Running and waiting requests and slots of the endpoint, separated by commas; some endpoints add
/// the time that work takes at this moment, in hundredths of the usual time.
const LOAD: &str = "x-cornelstand-replica-load";

/// Era of the store, which rises each time it is restored from a copy; older stores send none.
const STORE_ERA: &str = "store-era";

/// Limit of the back-off that an endpoint can request, in seconds.
const MAX_BACKOFF_S: f64 = 3_600.0;

/// Hop-by-hop headers.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Headers that are removed from callers' requests because only the system may set them.
const RESERVED_HEADERS: [&str; 9] = [
    ACCOUNT,
    EXPECTED_ENDPOINT,
    CREDENTIAL,
    DEADLINE,
    "x-cornelstand-hold",
    "x-cornelstand-pin-ms",
    "x-cornelstand-kv-backup",
    "kv-from",
    "kv-fetch",
];

/// End-to-end headers that are forwarded even if `Connection` lists them.
const END_TO_END_HEADERS: [&str; 8] = [
    REQUEST_ID,
    "x-cornelstand-model",
    TOKEN_COUNTS,
    PROMPT_PARTS,
    OUTPUT_HINT,
    LAST_EVENT,
    "host",
    STAMP,
];

/// Fields decoded from the headers of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallFields {
    pub(crate) request_id: Bytes,
    /// The caller's time limit.
    pub(crate) timeout: Option<Duration>,
    pub(crate) key: Option<String>,
    pub(crate) prompt: Option<CallPrompt>,
    /// Identifier of the last event that the caller received of an earlier response.
    pub(crate) last_event: Option<Bytes>,
}

/// Prompt size as stated by the caller.
#[derive(Clone, Debug)]
pub(crate) struct CallPrompt {
    input: u32,
    max_output: u32,
    hint: Option<u32>,
    parts: Vec<PromptPart>,
}

impl CallPrompt {
    /// Estimates the prompt's load on `engine`.
    pub(crate) fn for_engine(&self, engine: &EngineSpec) -> Prompt {
        let hint = self.hint.unwrap_or(self.max_output);
        Prompt {
            input: self.input,
            output: hint.min(self.max_output).max(engine.stride),
            parts: self.parts.clone(),
        }
    }
}

/// Reads the era from the headers of a store's response.
pub(crate) fn read_era(head: &Head) -> u16 {
    let era = head.get(STORE_ERA).and_then(|e| e.trim().parse().ok());
    era.unwrap_or_default()
}

/// Reads the headers of a request.
///
/// # Errors
///
/// Fails with a reason if the request ID is missing or repeated, or the deadline is malformed.
pub(crate) fn read_call(head: &Head) -> Result<CallFields, &'static str> {
    let mut ids = head.values(REQUEST_ID);
    let id = ids
        .next()
        .map(<[u8]>::trim_ascii)
        .filter(|id| !id.is_empty());
    let id = id.ok_or("the request has no identity")?;
    if ids.next().is_some() {
        return Err("the request has two identities");
    }
    let timeout = match head.get(DEADLINE) {
        Some(text) => Some(text.parse().map_err(|_| "the deadline is no number")?),
        None => None,
    };
    let tokens = head.get(TOKEN_COUNTS).and_then(|t| t.split_once(','));
    let tokens = tokens.and_then(|(i, o)| Some((i.trim().parse().ok()?, o.trim().parse().ok()?)));
    let prompt = tokens.map(|(input, max_output)| CallPrompt {
        input,
        max_output,
        hint: head.get(OUTPUT_HINT).and_then(|h| h.parse().ok()),
        parts: head.get(PROMPT_PARTS).map(parse_parts).unwrap_or_default(),
    });
    Ok(CallFields {
        request_id: Bytes::copy_from_slice(id),
        timeout: timeout.map(Duration::from_millis),
        key: head.get(CREDENTIAL).map(str::to_owned),
        prompt,
        last_event: head
            .get(LAST_EVENT)
            .map(|id| Bytes::copy_from_slice(id.as_bytes())),
    })
}

fn parse_parts(text: &str) -> Vec<PromptPart> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    text.split(',').filter_map(part).collect()
}

/// Values that the gateway adds to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forwarding<'a> {
    pub(crate) endpoint: &'a str,
    pub(crate) account: Option<&'a str>,
    /// Time left until the deadline.
    pub(crate) remaining: Duration,
    /// Identifier of the last event that the caller received, if a stream is resumed.
    pub(crate) last_event: Option<&'a [u8]>,
}

/// Writes the head of the request as forwarded to an endpoint, for a body of `length` bytes.
pub(crate) fn write_request_head(
    out: &mut BytesMut,
    head: &Head,
    length: usize,
    forwarding: &Forwarding<'_>,
) {
    out.reserve(1024);
    write_line(out, &[head.method(), " ", head.target(), " HTTP/1.1"]);
    let has_length = head.values("content-length").next().is_some();
    let has_body = has_length || head.values("transfer-encoding").next().is_some();
    for (name, value) in head.headers() {
        if is_forwarded(head, name)
            && !RESERVED_HEADERS
                .iter()
                .any(|n| n.eq_ignore_ascii_case(name))
        {
            let is_replaced =
                forwarding.last_event.is_some() && name.eq_ignore_ascii_case(LAST_EVENT);
            if !is_replaced {
                write_header(out, name, value);
            }
        }
    }
    if let Some(id) = forwarding.last_event {
        write_header(out, LAST_EVENT, id);
    }
    if let Some(account) = forwarding.account {
        write_header(out, ACCOUNT, account.as_bytes());
    }
    write_header(out, EXPECTED_ENDPOINT, forwarding.endpoint.as_bytes());
    write_number(out, DEADLINE, forwarding.remaining.as_millis());
    if has_body {
        write_number(out, "content-length", length as u128);
    }
    out.put_slice(b"\r\n");
}

/// How a response names the request that it answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestRef<'a> {
    One(&'a [u8]),
    /// Several different IDs.
    Ambiguous,
}

/// Fields decoded from the headers of an endpoint's response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseFields<'a> {
    /// ID of the request that it answers.
    pub(crate) request_id: Option<RequestRef<'a>>,
    pub(crate) has_stamp: bool,
    pub(crate) not_run: bool,
    /// Whether the response has a `Content-Encoding`: its body is then not the endpoint's own.
    pub(crate) is_encoded: bool,
    /// Time for which the endpoint keeps an idle connection open.
    pub(crate) idle: Option<Duration>,
    /// The endpoint's notice about its own state.
    pub(crate) notice: Notice,
    /// The endpoint's load.
    pub(crate) load: ToldLoad,
}

/// Decodes the headers of a response.
pub(crate) fn read_response(head: &Head) -> ResponseFields<'_> {
    let mut ids = head.values(REQUEST_ID).map(<[u8]>::trim_ascii);
    let request_id = ids.next().map(|first| {
        if ids.all(|id| id == first) {
            RequestRef::One(first)
        } else {
            RequestRef::Ambiguous
        }
    });
    let idle = head.get(KEEP_ALIVE).and_then(|text| {
        let mut parts = text
            .split(',')
            .filter_map(|p| p.trim().strip_prefix("timeout="));
        parts.next()?.trim().parse().ok()
    });
    ResponseFields {
        request_id,
        has_stamp: head.values(STAMP).next().is_some(),
        not_run: head.values(NOT_RUN).next().is_some() || head.status() == 421,
        is_encoded: head.values("content-encoding").next().is_some(),
        idle: idle.map(Duration::from_secs),
        notice: Notice {
            leaving: head.get(LEAVING) == Some("1"),
            rest: head
                .get(RETRY_AFTER)
                .filter(|_| head.status() == 503)
                .and_then(parse_backoff),
        },
        load: read_load(head),
    }
}

/// Reads the load that an endpoint tells. A response with two different loads tells none.
fn read_load(head: &Head) -> ToldLoad {
    let mut values = head.values(LOAD);
    let Some(first) = values.next() else {
        return ToldLoad::Missing;
    };
    let text = std::str::from_utf8(first).ok();
    let report = text
        .filter(|_| values.next().is_none())
        .and_then(parse_load);
    report.map_or(ToldLoad::Unreadable, ToldLoad::Report)
}

fn parse_load(text: &str) -> Option<LoadReport> {
    let mut fields = text.split(',').map(str::trim);
    let mut count = || fields.next()?.parse().ok();
    let (running, waiting, slots) = (count()?, count()?, count()?);
    let pace = match fields.next() {
        Some(percent) => Some(percent.parse::<f64>().ok()? / 100.0),
        None => None,
    };
    let report = LoadReport {
        running,
        waiting,
        slots,
        pace,
    };
    (fields.next().is_none() && report.is_sound()).then_some(report)
}

/// Parses the back-off that an endpoint requests; none if it is malformed or zero.
fn parse_backoff(text: &str) -> Option<Duration> {
    let Some(seconds) = text
        .parse()
        .ok()
        .filter(|s: &f64| s.is_finite() && *s >= 0.0)
    else {
        tracing::info!(event = "rest_unreadable", text);
        return None;
    };
    if seconds > MAX_BACKOFF_S {
        tracing::info!(event = "rest_shortened", seconds, most = MAX_BACKOFF_S);
    }
    let rest = Duration::from_secs_f64(seconds.min(MAX_BACKOFF_S));
    (!rest.is_zero()).then_some(rest)
}

/// Framing of the body of a response to a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallerFraming {
    Length(usize),
    Chunked,
    UntilClose,
    /// No body follows, and the endpoint's `Content-Length` is kept.
    AsIs,
}

/// Writes the head of an endpoint's response as forwarded to the caller.
pub(crate) fn write_response_head(
    out: &mut BytesMut,
    head: &Head,
    framing: CallerFraming,
    connection: &str,
) {
    let status = head.status();
    out.reserve(512);
    write_status_line(out, status);
    for (name, value) in head.headers() {
        let is_length = name.eq_ignore_ascii_case("content-length");
        if is_forwarded(head, name) || (is_length && matches!(framing, CallerFraming::AsIs)) {
            write_header(out, name, value);
        }
    }
    match framing {
        CallerFraming::Length(length) => write_number(out, "content-length", length as u128),
        CallerFraming::Chunked => write_header(out, "transfer-encoding", b"chunked"),
        CallerFraming::UntilClose | CallerFraming::AsIs => {}
    }
    out.put_slice(connection.as_bytes());
    out.put_slice(b"\r\n");
}

/// Writes a response generated by the gateway, or its head only. It has no endpoint's stamp.
pub(crate) fn write_own_response(
    out: &mut BytesMut,
    request_id: &[u8],
    refused: &Refused,
    connection: &str,
    is_head_only: bool,
) {
    write_status_line(out, refused.status);
    if !request_id.is_empty() {
        write_header(out, REQUEST_ID, request_id);
    }
    if let Some(time) = refused.retry_after {
        out.put_slice(b"retry-after: ");
        let mut writer = out.writer();
        // Writing to memory cannot fail.
        let _ = write!(writer, "{:.3}\r\n", time.as_secs_f64());
    }
    write_header(out, "content-type", b"text/plain");
    write_number(out, "content-length", refused.reason.len() as u128 + 1);
    out.put_slice(connection.as_bytes());
    out.put_slice(b"\r\n");
    if !is_head_only {
        out.put_slice(refused.reason.as_bytes());
        out.put_slice(b"\n");
    }
}

fn write_status_line(out: &mut BytesMut, status: u16) {
    let mut writer = out.writer();
    // Writing to memory cannot fail.
    let _ = write!(writer, "HTTP/1.1 {status} {}\r\n", reason(status));
}

/// Whether a header is forwarded; `Content-Length` is rewritten instead.
fn is_forwarded(head: &Head, name: &str) -> bool {
    let is = |n: &&str| n.eq_ignore_ascii_case(name);
    if HOP_BY_HOP_HEADERS.iter().any(is) || name.eq_ignore_ascii_case("content-length") {
        return false;
    }
    END_TO_END_HEADERS.iter().any(is) || !head.has_token("connection", name)
}

fn write_line(out: &mut BytesMut, parts: &[&str]) {
    for part in parts {
        out.put_slice(part.as_bytes());
    }
    out.put_slice(b"\r\n");
}

fn write_header(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

fn write_number(out: &mut BytesMut, name: &str, value: u128) {
    out.put_slice(name.as_bytes());
    let mut writer = out.writer();
    // Writing to memory cannot fail.
    let _ = write!(writer, ": {value}\r\n");
}
