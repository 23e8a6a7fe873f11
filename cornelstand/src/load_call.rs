//! One call of a workload: sent, read to its end and checked.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response};
use serde::Deserialize;
use serde_json::json;

use crate::load_plan::{CallKind, Source};

/// Largest event or answer that is read, in bytes.
const ANSWER_BYTES: usize = 4 << 20;
/// Start of the data of an event.
const DATA: &[u8] = b"data: ";

/// What a caller can expect of an answer, for endpoints whose answers can be foreseen.
#[derive(Clone, Copy, Debug)]
pub struct Check {
    /// Content of an answer to a prompt with this number of tokens.
    pub chat: fn(prompt: &str, tokens: u64) -> String,
    /// Digest in the answer to a call with this method, path and body.
    pub plain: fn(method: &str, path: &str, body: &str) -> String,
}

/// One call with all that was drawn for it.
#[derive(Clone, Debug)]
pub(crate) struct Drawn {
    pub(crate) account_key: String,
    pub(crate) target: SocketAddr,
    /// Text that no other call has.
    pub(crate) text: String,
    /// Tokens to ask for, or milliseconds that the call takes.
    pub(crate) cost: u64,
    pub(crate) hint: Option<u64>,
    pub(crate) once: Option<String>,
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum End {
    Answered,
    Refused {
        outcome: Outcome,
        request: String,
        retry: Option<Duration>,
    },
    Cut,
    Wrong,
    Foreign,
}

/// Member of a refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Outcome {
    NotRun,
    Unknown,
    Failed,
}

#[derive(Deserialize)]
struct Problem {
    outcome: Outcome,
}

#[derive(Deserialize)]
struct Event {
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens: u64,
}

#[derive(Deserialize)]
struct Done {
    digest: String,
}

/// Sends a call and reads its answer; `served` hears of each piece of service received.
pub(crate) async fn call(
    http: &Client,
    source: &Source,
    drawn: &Drawn,
    check: Option<Check>,
    served: &(dyn Fn(u64) + Send + Sync),
) -> End {
    let Ok(answer) = request(http, source, drawn).send().await else {
        return End::Cut;
    };
    if !answer.status().is_success() {
        return refusal(answer).await;
    }
    match source.call {
        CallKind::Chat { .. } => stream(answer, drawn, check, served).await,
        CallKind::Plain { .. } => whole(answer, source, drawn, check, served).await,
    }
}

fn request(http: &Client, source: &Source, drawn: &Drawn) -> RequestBuilder {
    let url = format!("http://{}/{}{}", drawn.target, source.service, source.path);
    let mut request = http.post(url).bearer_auth(&drawn.account_key);
    if let Some(hint) = drawn.hint {
        request = request.header("x-cost-hint", hint);
    }
    if let Some(deadline) = source.deadline {
        request = request.header("x-deadline-ms", deadline);
    }
    if let Some(key) = &drawn.once {
        request = request.header("idempotency-key", key);
    }
    if source.call.is_plain() {
        return request.body(drawn.text.clone());
    }
    request.json(&json!({
        "model": "default",
        "messages": [{ "role": "user", "content": drawn.text }],
        "max_tokens": drawn.cost,
        "stream": true,
        "stream_options": { "include_usage": true },
    }))
}

async fn refusal(answer: Response) -> End {
    let header = |name: &str| {
        let value = answer.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let request = header("x-request-id").unwrap_or_default();
    let retry = header("retry-after").and_then(|s| s.parse().ok());
    let Ok(body) = answer.bytes().await else {
        return End::Cut;
    };
    match serde_json::from_slice::<Problem>(&body) {
        Ok(problem) => End::Refused {
            outcome: problem.outcome,
            request,
            retry: retry.map(Duration::from_secs),
        },
        Err(_) => End::Foreign,
    }
}

async fn whole(
    answer: Response,
    source: &Source,
    drawn: &Drawn,
    check: Option<Check>,
    served: &(dyn Fn(u64) + Send + Sync),
) -> End {
    let Ok(body) = answer.bytes().await else {
        return End::Cut;
    };
    served(drawn.cost);
    let Some(check) = check else {
        return End::Answered;
    };
    let expected = (check.plain)("POST", &source.path, &drawn.text);
    match serde_json::from_slice::<Done>(&body) {
        Ok(done) if done.digest == expected => End::Answered,
        _ => End::Wrong,
    }
}

/// What was read of a stream so far.
#[derive(Default)]
struct Transcript {
    rest: Vec<u8>,
    content: String,
    tokens: u64,
    usage: Option<u64>,
    /// Tokens of the prompt, which the account is charged beside those of the answer.
    prompt: u64,
    is_done: bool,
    is_malformed: bool,
}

impl Transcript {
    /// Takes in bytes and tells how many tokens they add to what the account is charged.
    fn push(&mut self, bytes: &[u8]) -> u64 {
        let before = self.tokens + self.prompt;
        self.rest.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(end) = find(&self.rest[start..], b"\n\n") {
            let event = self.rest[start..start + end].to_vec();
            self.event(&event);
            start += end + 2;
        }
        self.rest.drain(..start);
        self.is_malformed |= self.rest.len() > ANSWER_BYTES;
        self.tokens + self.prompt - before
    }

    fn event(&mut self, event: &[u8]) {
        let Some(data) = event.strip_prefix(DATA) else {
            // Lines that start with a colon are comments.
            self.is_malformed |= !event.starts_with(b":");
            return;
        };
        if data == b"[DONE]" {
            self.is_done = true;
            return;
        }
        let Ok(event) = serde_json::from_slice::<Event>(data) else {
            self.is_malformed = true;
            return;
        };
        if let Some(usage) = event.usage {
            self.usage = Some(usage.completion_tokens);
            self.prompt = usage.prompt_tokens;
        }
        for choice in event.choices {
            let Some(content) = choice.delta.content.filter(|c| !c.is_empty()) else {
                continue;
            };
            self.tokens += 1;
            self.content.push_str(&content);
        }
    }

    fn is_whole(&self, drawn: &Drawn, check: Option<Check>) -> bool {
        let is_ended = self.is_done && self.rest.is_empty() && !self.is_malformed;
        let is_counted = self.usage == Some(self.tokens);
        let is_own = check.is_none_or(|c| self.content == (c.chat)(&drawn.text, drawn.cost));
        is_ended && is_counted && is_own
    }
}

async fn stream(
    mut answer: Response,
    drawn: &Drawn,
    check: Option<Check>,
    served: &(dyn Fn(u64) + Send + Sync),
) -> End {
    let mut transcript = Transcript::default();
    loop {
        match answer.chunk().await {
            Ok(Some(bytes)) => match transcript.push(&bytes) {
                0 => {}
                tokens => served(tokens),
            },
            Ok(None) if transcript.is_whole(drawn, check) => return End::Answered,
            Ok(None) => return End::Wrong,
            Err(_) => return End::Cut,
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}
