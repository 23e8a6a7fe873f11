//! Parsing of settings and notes: examples are accepted, errors report their position.

use cornelstand::{Config, Note, Settings};
use rstest::rstest;

const VALID: &str = r#"{
  // One instance.
  instance: "north-1",
  centre: "dock-a",
  listen: { callers: "127.0.0.1:8080", operators: "127.0.0.1:8081", fleet: "127.0.0.1:8082" },
  platform: { objects: "127.0.0.1:7000", instances: "127.0.0.1:7001" },
  keys: { fleet: "a fleet key of some length",
          operator: "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08" },
}"#;

#[test]
fn accepts_comments_and_fills_in_defaults() {
    let settings = Settings::parse(VALID).expect("valid settings");
    assert_eq!(settings.times.lease, 5_000);
}

#[rstest]
#[case::unknown_key(VALID.replace("centre:", "center:"))]
#[case::missing_comma(VALID.replace("\"north-1\",", "\"north-1\""))]
#[case::host_name(VALID.replace("127.0.0.1:7000", "store.example:7000"))]
#[case::wrong_type(VALID.replace("\"dock-a\"", "7"))]
#[case::bad_name(VALID.replace("north-1", "North 1"))]
#[case::short_key(VALID.replace("a fleet key of some length", "short"))]
#[case::key_in_clear(VALID.replace("9f86d081", "password"))]
#[case::same_address(VALID.replace("8081", "8080"))]
#[case::any_address(VALID.replace("127.0.0.1:8082", "0.0.0.0:8082"))]
#[case::store_too_slow(VALID.replace("instance:", "times: { store: 4000 }, instance:"))]
#[case::no_link_time(VALID.replace("instance:", "times: { link: 0 }, instance:"))]
#[case::empty(String::new())]
fn reports_the_first_error(#[case] text: String) {
    let name = std::thread::current().name().unwrap_or_default().to_owned();
    let case = name.rsplit("::").next().unwrap_or_default().to_owned();
    let error = Settings::parse(&text).expect_err("invalid settings");
    insta::assert_snapshot!(case, error.to_string());
}

#[rstest]
#[case("examples/tessel-note.json5", 23)]
#[case("examples/ndege-note.json5", 14)]
fn accepts_the_example_notes(#[case] file: &str, #[case] endpoints: usize) {
    let path = format!("{}/../{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the example exists");
    let note = Note::parse(&text).expect("the example is valid");
    let config = note
        .apply(&Config::default())
        .expect("the note is consistent");
    assert_eq!(config.endpoints.len(), endpoints);
    assert_eq!(config.accounts.len(), 15);
}

#[rstest]
#[case("examples/tessel-north-coast.json5")]
#[case("examples/ndege-ke-nairobi.json5")]
fn accepts_the_example_settings(#[case] file: &str) {
    let path = format!("{}/../{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the example exists");
    Settings::parse(&text).expect("the example is valid");
}
