//! Entries of the instance list that cannot be decoded.

use rstest::rstest;

use crate::config::Config;
use crate::instance_list::InstanceList;

/// Guards against an entry that hides which endpoints are leaving and where the peers are.
#[rstest]
#[case::port_out_of_range(r#"{"name":"x","address":"10.0.0.1:99999","state":"live"}"#)]
#[case::large_number(r#"{"name":"x","address":1e999,"state":"live"}"#)]
#[case::lone_surrogate(r#"{"name":"\ud83d","address":"10.0.0.1:80","state":"live"}"#)]
#[case::unknown_state(r#"{"name":"x","address":"10.0.0.1:80","state":"dancing"}"#)]
#[case::deeply_nested(&format!("{}0{}", "[".repeat(100_000), "]".repeat(100_000)))]
#[case::no_object("7")]
fn an_unreadable_entry_hides_no_other(#[case] odd: &str) {
    let entry = |name: &str, state: &str| {
        format!(r#"{{"name":"{name}","address":"10.0.0.2:80","state":"{state}"}}"#)
    };
    let (before, after) = (entry("quotes-1", "leaving"), entry("north-1", "live"));
    let json = format!(r#"{{"instances":[{before},{odd},{after}]}}"#);
    let list = InstanceList::parse(json.as_bytes()).expect("a list");
    assert_eq!(list.unreadable, 1);
    assert_eq!(list.leaving(), ["quotes-1".into()].into());
    assert_eq!(list.seeds(&Config::default()).len(), 2);
}

#[rstest]
#[case::no_list(r#"{"entries":[]}"#)]
#[case::cut(r#"{"instances":[{"name":"x"}"#)]
#[case::text("who goes there")]
fn what_is_no_list_is_refused(#[case] text: &str) {
    assert_eq!(InstanceList::parse(text.as_bytes()), None);
}
