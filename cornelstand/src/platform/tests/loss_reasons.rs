//! What the log tells of an answer that was lost.

use std::cell::RefCell;
use std::io::Write;
use std::sync::Once;

use rstest::rstest;
use tracing_subscriber::filter::dynamic_filter_fn;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::{fmt, registry};

use crate::platform::tests::path::{fetch, request, run_local, with_two_names};
use crate::platform::tests::scripted::{Step, chunk, event, response, stream_head};

thread_local! {
    /// Log lines of the thread's test, if they are kept.
    static LINES: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
}

struct Lines;

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        LINES.with_borrow_mut(|lines| lines.get_or_insert_default().extend(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Keeps the log lines of this thread from now on. One subscriber serves all tests: with one of a
/// single thread, `tracing` caches for all that an event is disabled if another thread logs it first.
fn keep_lines() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        let is_kept = dynamic_filter_fn(|_, _| LINES.with_borrow(Option::is_some));
        let layer = fmt::layer().with_writer(|| Lines).with_filter(is_kept);
        tracing::subscriber::set_global_default(registry().with(layer)).expect("no other one");
    });
    LINES.set(Some(Vec::new()));
}

/// A copy of another answer between two chunks has to be told from a stream that was cut short.
#[rstest]
#[case::copy_in_a_stream(stream_head("a1") + &chunk(&event(1)) + &response("a0", "500 Oops", "", ""), "malformed framing")]
#[case::cut_stream(stream_head("a1") + &chunk(&event(1)), "closed")]
#[case::no_head("who goes there\r\n\r\n".into(), "malformed head")]
#[case::endless_head(format!("HTTP/1.1 200 OK\r\nX-Flood: {}", "y".repeat(70_000)), "endless head")]
#[tokio::test]
async fn the_log_tells_how_an_answer_was_unreadable(#[case] answer: String, #[case] reason: &str) {
    keep_lines();
    run_local(async {
        let scripts = vec![vec![Step::Read, Step::Write(answer)], vec![Step::Read]];
        let (_gate, address, _endpoint) = with_two_names(scripts).await;
        fetch(address, &request("/quote/1", "a1")).await;
    })
    .await;
    let text = String::from_utf8(LINES.take().expect("kept")).expect("text");
    let expected = format!("Lost(\"{reason}\")");
    assert!(text.contains(&expected), "{text}");
}
