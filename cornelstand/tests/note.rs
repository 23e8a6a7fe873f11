//! Release notes: reading, applying and planning.

use cornelstand::{Config, Note, NoteError, Revision, plan};
use rstest::rstest;

const BASE: &str = r#"{
  revision: 7,
  accounts: { kiosk: { share: 2, keys: [] } },
  services: { quotes: { kind: "model", estimate: 100 } },
  centres: { a: {}, b: {} },
  endpoints: {
    e1: { service: "quotes", centre: "a", address: "127.0.0.1:1", cold: 1, warm: 4 },
  },
}"#;

fn base() -> Config {
    json5::from_str(BASE).expect("valid configuration")
}

fn note(body: &str) -> Result<Note, NoteError> {
    Note::parse(&format!("{{ title: \"t\", base: 7, {body} }}"))
}

fn refusal(body: &str) -> String {
    note(body)
        .and_then(|n| n.apply(&base()))
        .expect_err("the note has to be refused")
        .to_string()
}

#[test]
fn a_note_adds_changes_and_withdraws() {
    let body = r#"
        // The rainy season begins.
        added: { accounts: { tailor: { share: 3, keys: [] } } },
        changed: { centres: { b: { out: true } } },
        withdrawn: { endpoints: ["e1"], services: ["quotes"] }"#;
    let note = note(body).expect("a valid note");
    let next = note.apply(&base()).expect("a fitting note");
    assert_eq!(next.revision, Revision(8));
    insta::assert_json_snapshot!(next);
    let rows: Vec<String> = note.rows().iter().map(ToString::to_string).collect();
    assert_eq!(
        rows,
        [
            "- services.quotes",
            "- endpoints.e1",
            "~ centres.b",
            "+ accounts.tailor"
        ]
    );
}

#[rstest]
#[case::unknown_key("sneaky: 1")]
#[case::unknown_field("added: { accounts: { x: { share: 1, keys: [], quota: 5 } } }")]
#[case::bad_type("added: { accounts: { x: { share: -1, keys: [] } } }")]
#[case::same_key_twice("added: { centres: { c: {}, c: { out: true } } }")]
#[case::added_exists("added: { accounts: { kiosk: { share: 1, keys: [] } } }")]
#[case::changed_missing("changed: { accounts: { tailor: { share: 1, keys: [] } } }")]
#[case::withdrawn_missing("withdrawn: { centres: [\"z\"] }")]
#[case::named_twice(
    "changed: { accounts: { kiosk: { share: 1, keys: [] } } }, withdrawn: { accounts: [\"kiosk\"] }"
)]
#[case::no_share("added: { accounts: { x: { share: 0, keys: [], queue: 0 } } }")]
#[case::bad_name("added: { accounts: { \"Kiosk 2\": { share: 1, keys: [] } } }")]
#[case::bad_key("added: { accounts: { x: { share: 1, keys: [\"abc\"] } } }")]
#[case::no_service(
    "added: { endpoints: { e2: { service: \"tapes\", centre: \"z\", address: \"127.0.0.1:2\", cold: 1, warm: 1 } } }"
)]
#[case::cold_above_warm(
    "added: { endpoints: { e2: { service: \"quotes\", centre: \"a\", address: \"127.0.0.1:2\", cold: 5, warm: 4 } } }"
)]
#[case::never_cold(
    "added: { endpoints: { e2: { service: \"quotes\", centre: \"a\", address: \"127.0.0.1:2\", cold: 0, warm: 0 } } }"
)]
#[case::same_address(
    "added: { endpoints: { e2: { service: \"quotes\", centre: \"a\", address: \"127.0.0.1:1\", cold: 1, warm: 1 } } }"
)]
#[case::no_cells("changed: { services: { quotes: { kind: \"model\", cells: 0, estimate: 0 } } }")]
#[case::bad_route(
    "changed: { services: { quotes: { kind: \"model\", estimate: 1, routes: [{ prefix: \"x\" }, { prefix: \"/y\" }, { prefix: \"/y\" }] } } }"
)]
#[case::service_in_use("withdrawn: { services: [\"quotes\"] }")]
#[case::centre_in_use("withdrawn: { centres: [\"a\"] }")]
fn an_inconsistent_note_is_refused_with_reason_and_place(#[case] body: &str) {
    let name = std::thread::current().name().unwrap_or_default().to_owned();
    let case = name.rsplit("::").next().unwrap_or_default().to_owned();
    insta::assert_snapshot!(case, refusal(body));
}

#[test]
fn an_error_names_line_and_column() {
    let text = "{\n  // comment\n  title: \"t\",\n  base: 7,\n  added: { accounts: { x: { shares: 1 } } },\n}";
    let error = Note::parse(text).expect_err("unknown key");
    insta::assert_snapshot!(error, @"line 5, column 29: unknown field `shares`, expected one of `share`, `keys`, `queue`");
}

#[test]
fn a_note_against_another_revision_is_refused() {
    let note = Note::parse("{ title: \"t\", base: 6 }").expect("a valid note");
    let error = note.apply(&base()).expect_err("an old base");
    insta::assert_snapshot!(error, @"the note is against revision 6, but 7 is in force");
}

#[test]
fn a_key_belongs_to_one_account() {
    let key = "0".repeat(64);
    let body = format!(
        "added: {{ accounts: {{ x: {{ share: 1, keys: [\"{key}\"] }}, y: {{ share: 1, keys: [\"{key}\"] }} }} }}"
    );
    insta::assert_snapshot!(refusal(&body), @"accounts.y.keys[0]: account x has the same key");
}

#[test]
fn the_planned_note_leads_to_the_declared_state() {
    let present = base();
    let mut declared: Config = json5::from_str(BASE).expect("valid configuration");
    declared.accounts.clear();
    declared
        .centres
        .insert("c".into(), cornelstand::Centre { out: true });
    declared
        .services
        .get_mut("quotes")
        .expect("the service")
        .estimate = 5;
    let note = plan("grow", &declared, &present);
    declared.revision = Revision(8);
    assert_eq!(note.apply(&present).expect("a fitting note"), declared);
    assert!(plan("again", &declared, &declared).is_empty());
}

#[test]
fn the_digest_tells_notes_apart() {
    let one = note("withdrawn: { centres: [\"b\"] }").expect("a valid note");
    let two = note("withdrawn: { accounts: [\"kiosk\"] }").expect("a valid note");
    assert_ne!(one.digest(), two.digest());
    assert_eq!(one.digest(), one.clone().digest());
}

#[test]
fn a_deeply_nested_note_is_refused() {
    for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
        let text = format!("{}0{}", open.repeat(100_000), close.repeat(100_000));
        Note::parse(&text).unwrap_err();
    }
}
