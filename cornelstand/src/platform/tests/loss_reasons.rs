//! What the log tells of an answer that was lost.

use std::io::Write;
use std::sync::{Arc, Mutex};

use rstest::rstest;

use crate::platform::tests::path::{fetch, request, run_local, with_two_names};
use crate::platform::tests::scripted::{Step, chunk, event, response, stream_head};

/// Log lines of a test.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("not poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A copy of another answer between two chunks has to be told from a stream that was cut short.
#[rstest]
#[case::copy_in_a_stream(stream_head("a1") + &chunk(&event(1)) + &response("a0", "500 Oops", "", ""), "malformed framing")]
#[case::cut_stream(stream_head("a1") + &chunk(&event(1)), "closed")]
#[case::no_head("who goes there\r\n\r\n".into(), "malformed head")]
#[case::endless_head(format!("HTTP/1.1 200 OK\r\nX-Flood: {}", "y".repeat(70_000)), "endless head")]
#[tokio::test]
async fn the_log_tells_how_an_answer_was_unreadable(#[case] answer: String, #[case] reason: &str) {
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt().with_writer(move || writer.clone());
    let _guard = tracing::subscriber::set_default(subscriber.finish());
    run_local(async {
        let scripts = vec![vec![Step::Read, Step::Write(answer)], vec![Step::Read]];
        let (_gate, address, _endpoint) = with_two_names(scripts).await;
        fetch(address, &request("/quote/1", "a1")).await;
    })
    .await;
    let text = String::from_utf8(lines.0.lock().expect("not poisoned").clone()).expect("text");
    let expected = format!("Lost(\"{reason}\")");
    assert!(text.contains(&expected), "{text}");
}
