//! Promises of the instance list's protocol.

use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::{InstanceList, InstanceSettings, InstanceState, Listed};

fn listed(name: &str, state: InstanceState) -> Listed {
    Listed {
        name: name.to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        state,
    }
}

async fn shown(list: &InstanceList) -> Value {
    let url = format!("http://{}/instances", list.address());
    let answer = reqwest::get(url).await.expect("an answer");
    answer.json().await.expect("JSON")
}

#[tokio::test]
async fn changes_show_only_after_the_lag() {
    let list = InstanceList::start(InstanceSettings {
        lag: 3_600_000,
        instances: vec![listed("i1", InstanceState::Live)],
        ..InstanceSettings::default()
    })
    .expect("a free port");
    let before = json!({ "instances": [
        { "name": "i1", "address": "127.0.0.1:9", "state": "live" }
    ] });
    assert_eq!(shown(&list).await, before);
    list.put(listed("i1", InstanceState::Leaving));
    list.put(listed("i2", InstanceState::Live));
    assert_eq!(shown(&list).await, before);
    list.set_lag(Duration::ZERO);
    let after = json!({ "instances": [
        { "name": "i1", "address": "127.0.0.1:9", "state": "leaving" },
        { "name": "i2", "address": "127.0.0.1:9", "state": "live" }
    ] });
    assert_eq!(shown(&list).await, after);
    list.remove("i1");
    assert_eq!(shown(&list).await["instances"][0]["name"], "i2");
    assert_eq!(list.reads(), 4);
}
