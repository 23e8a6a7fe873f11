//! The chat-completions protocol, as far as the fake engine speaks it.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::answer;
use crate::batch::Answer;

/// Bytes of a prompt whose digest names its prefix.
const PREFIX_BYTES: usize = 256;

/// Body of a request.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatRequest {
    #[serde(default)]
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(alias = "max_completion_tokens")]
    pub(crate) max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Message {
    #[serde(default)]
    content: Value,
}

impl ChatRequest {
    /// The text of all messages.
    pub(crate) fn prompt(&self) -> String {
        self.messages.iter().map(|m| content(&m.content)).collect()
    }
}

/// Text of a message, given plainly or in parts.
fn content(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().filter_map(|p| p["text"].as_str()).collect(),
        _ => String::new(),
    }
}

/// Digest of the start of a prompt.
pub(crate) fn prefix(prompt: &str) -> u64 {
    let end = prompt.floor_char_boundary(PREFIX_BYTES);
    answer::digest(&prompt[..end])
}

/// Event with token `index`.
pub(crate) fn token_event(answer: &Answer, index: u64) -> String {
    let is_last = index + 1 == answer.tokens;
    let reason = if is_last { "\"stop\"" } else { "null" };
    let text = answer::token(answer.digest, index);
    let model = json!(answer.model);
    let id = id(answer);
    format!(
        "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"created\":0,\
         \"model\":{model},\"choices\":[{{\"index\":0,\"delta\":{{\"role\":\"assistant\",\
         \"content\":\"{text}\"}},\"finish_reason\":{reason}}}]}}\n\n"
    )
}

/// Event with the usage.
pub(crate) fn usage_event(answer: &Answer) -> String {
    let body = json!({
        "id": id(answer),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": answer.model,
        "choices": [],
        "usage": usage(answer),
    });
    format!("data: {body}\n\n")
}

/// Event at the end of a stream.
pub(crate) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Body of an answer that is not streamed.
pub(crate) fn whole(answer: &Answer) -> Value {
    json!({
        "id": id(answer),
        "object": "chat.completion",
        "created": 0,
        "model": answer.model,
        "choices": [{
            "index": 0,
            "message": {
                "role": "assistant",
                "content": answer::text(answer.digest, answer.tokens),
            },
            "finish_reason": "stop",
        }],
        "usage": usage(answer),
    })
}

fn id(answer: &Answer) -> String {
    format!("chatcmpl-{:016x}", answer.digest)
}

fn usage(answer: &Answer) -> Value {
    let prompt = answer.prompt.div_ceil(4);
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": answer.tokens,
        "total_tokens": prompt + answer.tokens,
    })
}
