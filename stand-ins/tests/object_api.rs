//! Promises of the object API's protocol.

use std::time::Duration;

use reqwest::{Client, Response};
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::{ObjectApi, ObjectFaults, ObjectSettings, Outage};

fn start() -> ObjectApi {
    ObjectApi::start(ObjectSettings::default()).expect("a free port")
}

fn url(api: &ObjectApi, rest: &str) -> String {
    format!("http://{}/objects/{rest}", api.address())
}

async fn create(api: &ObjectApi, name: &str, value: &str) -> Response {
    let request = Client::new().put(url(api, &format!("lease/{name}")));
    let request = request.header("if-none-match", "*").body(value.to_owned());
    request.send().await.expect("an answer")
}

async fn replace(api: &ObjectApi, name: &str, version: &str, value: &str) -> Response {
    let request = Client::new().put(url(api, &format!("lease/{name}")));
    let request = request.header("if-match", version).body(value.to_owned());
    request.send().await.expect("an answer")
}

async fn get_json(url: String) -> Value {
    let answer = reqwest::get(url).await.expect("an answer");
    answer.json().await.expect("JSON")
}

fn tag(answer: &Response) -> String {
    let tag = answer.headers().get("etag").expect("an ETag");
    tag.to_str().expect("text").to_owned()
}

#[tokio::test]
async fn versions_come_from_one_counter() {
    let api = start();
    assert_eq!(tag(&create(&api, "a", "1").await), "\"1\"");
    assert_eq!(tag(&create(&api, "b", "1").await), "\"2\"");
    let answer = replace(&api, "a", "\"1\"", "2").await;
    assert_eq!(
        (answer.status().as_u16(), tag(&answer)),
        (200, "\"3\"".to_owned())
    );
    let answer = reqwest::get(url(&api, "lease/a")).await.expect("an answer");
    assert_eq!(tag(&answer), "\"3\"");
    assert_eq!(answer.text().await.expect("text"), "2");
}

#[tokio::test]
async fn writes_hold_to_their_condition() {
    let api = start();
    assert_eq!(create(&api, "a", "1").await.status(), 201);
    let again = create(&api, "a", "2").await;
    assert_eq!(
        (again.status().as_u16(), tag(&again)),
        (412, "\"1\"".to_owned())
    );
    let stale = replace(&api, "a", "\"7\"", "2").await;
    assert_eq!(
        (stale.status().as_u16(), tag(&stale)),
        (412, "\"1\"".to_owned())
    );
    assert_eq!(replace(&api, "b", "\"1\"", "2").await.status(), 412);
    let bare = Client::new().put(url(&api, "lease/a")).body("2");
    assert_eq!(bare.send().await.expect("an answer").status(), 428);
    assert_eq!(api.value("lease", "a").as_deref(), Some("1"));
    assert_eq!(api.counts().conflicts, 3);
}

#[tokio::test]
async fn a_deleted_object_is_shown_to_watches_only() {
    let api = start();
    create(&api, "a", "1").await;
    let delete = Client::new().delete(url(&api, "lease/a"));
    let stale = delete
        .try_clone()
        .expect("no body")
        .header("if-match", "\"9\"");
    assert_eq!(stale.send().await.expect("an answer").status(), 412);
    let right = delete.header("if-match", "\"1\"");
    assert_eq!(right.send().await.expect("an answer").status(), 204);
    let list = get_json(url(&api, "lease")).await;
    assert_eq!(list, json!({ "version": 2, "objects": [] }));
    let watch = get_json(url(&api, "lease?after=1&wait-ms=0")).await;
    let gone = json!({ "name": "a", "version": 2, "value": null });
    assert_eq!(watch, json!({ "version": 2, "objects": [gone] }));
}

#[tokio::test]
async fn a_watch_waits_for_a_write_of_its_kind() {
    let api = start();
    create(&api, "a", "1").await;
    let watch = tokio::spawn(get_json(url(&api, "claim?after=1&wait-ms=60000")));
    while api.counts().watches == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    create(&api, "b", "2").await;
    let request = Client::new().put(url(&api, "claim/c")).body("3");
    let request = request.header("if-none-match", "*");
    request.send().await.expect("an answer");
    let shown = watch.await.expect("no panic");
    let object = json!({ "name": "c", "version": 3, "value": "3" });
    assert_eq!(shown, json!({ "version": 3, "objects": [object] }));
}

#[tokio::test]
async fn a_lost_answer_leaves_its_write_in_effect() {
    let api = start();
    api.set_faults(ObjectFaults {
        lost: 1,
        ..ObjectFaults::default()
    });
    let request = Client::new().put(url(&api, "lease/a")).body("1");
    let answer = request.header("if-none-match", "*").send().await;
    assert!(!answer.expect_err("no answer").is_connect());
    assert_eq!(api.value("lease", "a").as_deref(), Some("1"));
    assert_eq!(api.counts().lost, 1);
    assert_eq!(create(&api, "b", "1").await.status(), 201);
}

#[tokio::test]
async fn an_outage_refuses_calls_and_ends_watches() {
    let api = start();
    let watch = tokio::spawn(reqwest::get(url(&api, "lease?after=0&wait-ms=60000")));
    while api.counts().watches == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    api.set_faults(ObjectFaults {
        outage: Some(Outage::Refuse),
        ..ObjectFaults::default()
    });
    let ended = watch.await.expect("no panic").expect("an answer");
    assert_eq!(ended.status(), 503);
    assert_eq!(create(&api, "a", "1").await.status(), 503);
    assert_eq!(api.value("lease", "a"), None);
    api.set_faults(ObjectFaults::default());
    assert_eq!(create(&api, "a", "1").await.status(), 201);
}

#[tokio::test]
async fn a_hanging_store_gives_no_answer() {
    let api = start();
    api.set_faults(ObjectFaults {
        outage: Some(Outage::Hang),
        ..ObjectFaults::default()
    });
    let request = Client::new().get(url(&api, "lease/a"));
    let answer = request.timeout(Duration::from_millis(50)).send().await;
    assert!(answer.expect_err("no answer").is_timeout());
}

#[rstest]
#[case::write(ObjectFaults { writes: Some(1), ..ObjectFaults::default() }, [201, 429, 404])]
#[case::read(ObjectFaults { reads: Some(0), ..ObjectFaults::default() }, [201, 201, 429])]
#[tokio::test]
async fn calls_above_the_rate_are_refused(
    #[case] faults: ObjectFaults,
    #[case] expected: [u16; 3],
) {
    let api = start();
    api.set_faults(faults);
    let first = create(&api, "a", "1").await.status().as_u16();
    let second = create(&api, "b", "1").await.status().as_u16();
    let read = reqwest::get(url(&api, "lease/none"))
        .await
        .expect("an answer");
    assert_eq!([first, second, read.status().as_u16()], expected);
    if expected[2] == 429 {
        assert_eq!(read.headers()["retry-after"], "1");
    }
    assert_eq!(api.counts().calls(), 3);
}

#[tokio::test]
async fn values_above_a_megabyte_are_refused() {
    let api = start();
    let largest = "x".repeat(1 << 20);
    assert_eq!(create(&api, "a", &largest).await.status(), 201);
    let larger = "x".repeat((1 << 20) + 1);
    assert_eq!(create(&api, "b", &larger).await.status(), 413);
}

#[tokio::test]
async fn faults_and_counts_are_served_for_other_processes() {
    let api = start();
    let faults = format!("http://{}/stand-in/faults", api.address());
    let request = Client::new()
        .put(&faults)
        .json(&json!({ "outage": "refuse" }));
    assert_eq!(request.send().await.expect("an answer").status(), 204);
    assert_eq!(create(&api, "a", "1").await.status(), 503);
    let counts = get_json(format!("http://{}/stand-in/counts", api.address())).await;
    assert_eq!(counts["outages"], 1);
    assert_eq!(counts["kinds"], json!({ "lease": 1 }));
}
