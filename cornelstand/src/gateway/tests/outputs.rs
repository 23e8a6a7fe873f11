//! The token time limit follows the longest responses of a service.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::outputs::Outputs;
use crate::name::ServiceName;

#[test]
fn long_responses_lower_the_limit() {
    let service = ServiceName::from("s");
    let mut outputs = Outputs::default();
    let initial = outputs.token_time(&service);
    let timeout = Duration::from_secs(12);
    for i in 0..2_000_u32 {
        let tokens = if i % 20 == 0 { 950 } else { 200 };
        outputs.note(&service, "quote", timeout, tokens);
    }
    let bound = outputs.token_time(&service);
    assert!(bound < initial);
    // The longest responses have to end within their timeout of 12 s.
    assert!(bound * 950.0 < 12_000.0, "{bound} ms a token");
    assert!(bound * 950.0 > 4_000.0, "{bound} ms a token");
}

#[test]
fn a_limit_is_averaged_with_those_of_the_peers() {
    // An instance with a limit of 11.8 ms found no endpoint, since the others, with limits of 20 to
    // 40 ms, kept all endpoints above 12 ms.
    let service = ServiceName::from("s");
    let mut outputs = Outputs::default();
    outputs.note(&service, "quote", Duration::from_secs(12), 900);
    let alone = outputs.token_time(&service);
    outputs.set_peers(HashMap::from([(service.clone(), (30.0, 9))]));
    assert!((alone - 6.0).abs() < 0.1, "{alone}");
    assert!((outputs.token_time(&service) - 27.6).abs() < 0.1);
    assert_eq!(outputs.own_times().count(), 1);
}
