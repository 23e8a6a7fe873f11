//! End-to-end test over real connections: three instances, their platform, a model engine and a
//! plain service.

use std::net::SocketAddr;
use std::time::Duration;

use cornelstand::{Instance, Settings, key_hash};
use serde_json::{Value, json};
use stand_ins::{
    Engine, EngineSettings, InstanceList, InstanceSettings, InstanceState, Listed, ObjectApi,
    ObjectSettings, PlainService, PlainSettings,
};

const OPERATOR: &str = "operators-key";
const ACCOUNT: &str = "kiosk-key";
/// Timeout for hanging tests; no assertion depends on how long a step takes.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

struct Fleet {
    objects: ObjectApi,
    list: InstanceList,
    engine: Engine,
    plain: PlainService,
    instances: Vec<Instance>,
    http: reqwest::Client,
}

fn settings(name: &str, objects: SocketAddr, list: SocketAddr) -> Settings {
    let text = json!({
        "instance": name,
        "centre": "dock-a",
        "listen": {
            "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "fleet": "127.0.0.1:0"
        },
        "platform": { "objects": objects, "instances": list },
        "keys": { "fleet": "a fleet key of some length", "operator": key_hash(OPERATOR) },
        "times": { "store": 250, "lease": 1000 },
    });
    Settings::parse(&text.to_string()).expect("valid settings")
}

impl Fleet {
    async fn start(count: usize) -> Self {
        let objects = ObjectApi::start(ObjectSettings::default()).expect("object API");
        let list = InstanceList::start(InstanceSettings::default()).expect("instance list");
        let engine = Engine::start(EngineSettings::default()).expect("engine");
        let plain = PlainService::start(PlainSettings::default()).expect("plain service");
        let mut instances = Vec::new();
        for index in 0..count {
            let name = format!("north-{index}");
            let settings = settings(&name, objects.address(), list.address());
            let instance = Instance::start(settings).await.expect("an instance");
            list.put(Listed {
                name,
                address: instance.addresses().fleet,
                state: InstanceState::Live,
            });
            instances.push(instance);
        }
        let fleet = Self {
            objects,
            list,
            engine,
            plain,
            instances,
            http: reqwest::Client::builder()
                .no_proxy()
                .timeout(TEST_TIMEOUT)
                .build()
                .expect("a client"),
        };
        fleet.declare().await;
        fleet
    }

    async fn declare(&self) {
        let note = json!({
            "title": "first configuration",
            "base": 0,
            "added": {
                "accounts": { "kiosk": { "share": 1, "keys": [key_hash(ACCOUNT)] } },
                "centres": { "dock-a": {} },
                "services": {
                    "quotes": { "kind": "model", "estimate": 60, "routes": [
                        { "prefix": "/v1", "repeat": "idempotent" }
                    ] },
                    "orders": { "kind": "plain", "estimate": 20 },
                },
                "endpoints": {
                    "quotes-1": { "service": "quotes", "centre": "dock-a",
                        "address": self.engine.address(), "cold": 2, "warm": 8, "ramp": 40 },
                    "orders-1": { "service": "orders", "centre": "dock-a",
                        "address": self.plain.address(), "cold": 4, "warm": 16, "ramp": 40 },
                },
            },
        });
        let url = format!("http://{}/notes", self.instances[0].addresses().operators);
        let answer = self.http.post(url).bearer_auth(OPERATOR);
        let answer = answer.body(note.to_string()).send().await.expect("answer");
        assert_eq!(answer.status(), 200, "{:?}", answer.text().await);
        for instance in &self.instances {
            tokio::time::timeout(TEST_TIMEOUT, instance.ready())
                .await
                .expect("the note is in force on every instance");
        }
    }

    async fn ask(&self, instance: usize, body: &Value) -> reqwest::Response {
        let callers = self.instances[instance].addresses().callers;
        let url = format!("http://{callers}/quotes/v1/chat/completions");
        let request = self.http.post(url).bearer_auth(ACCOUNT).json(body);
        request.send().await.expect("an answer")
    }

    async fn order(&self, instance: usize, key: Option<&str>) -> reqwest::Response {
        let callers = self.instances[instance].addresses().callers;
        let url = format!("http://{callers}/orders/gel-orders");
        let mut request = self.http.post(url).bearer_auth(ACCOUNT).body("24 sheets");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        request.send().await.expect("an answer")
    }

    /// Repeats an order until its answer is recorded.
    async fn order_again(&self, instance: usize, key: &str) -> reqwest::Response {
        let recorded = async {
            loop {
                let answer = self.order(instance, Some(key)).await;
                if answer.status() != 409 {
                    return answer;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, recorded)
            .await
            .expect("the answer is recorded")
    }

    async fn stop(self) {
        for instance in self.instances {
            assert_eq!(instance.drain().await, 0);
        }
        self.engine.stop();
        self.plain.stop();
        self.list.stop();
        self.objects.stop();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_instance_serves_whole_answers_and_a_call_runs_once() {
    let fleet = Fleet::start(3).await;
    for instance in 0..3 {
        let body = json!({ "model": "m", "stream": true, "max_tokens": 12,
            "messages": [{ "role": "user", "content": "a zip for a tent" }] });
        let answer = fleet.ask(instance, &body).await;
        assert_eq!(answer.status(), 200);
        assert!(answer.headers().contains_key("x-request-id"));
        let text = answer.text().await.expect("the whole answer");
        assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
    }
    let first = fleet.order(0, Some("order-7")).await;
    assert_eq!(first.status(), 200);
    let first = first.text().await.expect("the whole answer");
    let again = fleet.order_again(1, "order-7").await;
    assert_eq!(again.text().await.expect("the whole answer"), first);
    assert_eq!(fleet.plain.counts().runs, 1);
    let refused = fleet.order(2, None).await;
    assert_eq!(refused.status(), 400);
    let problem: Value = refused.json().await.expect("a problem document");
    assert_eq!(problem["outcome"], "not-run");
    fleet.stop().await;
}
