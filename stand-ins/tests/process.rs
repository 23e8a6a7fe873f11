//! Each fake as a process of its own.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use rstest::rstest;
use serde_json::Value;

/// A process that ends with the test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        self.0.kill().expect("it still runs");
        self.0.wait().expect("it ends");
    }
}

/// Starts a fake and gives its process and the address that it prints.
fn start(args: &[&str]) -> (Process, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stand-in"))
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the binary starts");
    let output = child.stdout.take().expect("it is piped");
    let process = Process(child);
    let mut line = String::new();
    BufReader::new(output)
        .read_line(&mut line)
        .expect("a line of output");
    (process, line.trim().to_owned())
}

#[rstest]
#[case::objects(&["object-api"], "/objects/lease", "version", 0)]
#[case::list(&["instances", "--lag-ms", "0"], "/stand-in/counts", "reads", 0)]
#[case::engine(&["engine", "--cold", "3", "--warm", "9"], "/stand-in/counts", "bears", 3)]
#[case::plain(&["plain", "--cold", "5", "--ramp", "7"], "/stand-in/counts", "bears", 5)]
#[tokio::test]
async fn a_fake_serves_as_a_process(
    #[case] args: &[&str],
    #[case] path: &str,
    #[case] member: &str,
    #[case] expected: u64,
) {
    let (_process, address) = start(args);
    let answer = reqwest::get(format!("http://{address}{path}")).await;
    let body: Value = answer.expect("an answer").json().await.expect("JSON");
    assert_eq!(body[member], expected);
}

#[tokio::test]
async fn a_process_crashes_and_changes_faults_on_demand() {
    let (_process, address) = start(&["engine", "--no-fencing"]);
    let url = |path: &str| format!("http://{address}/stand-in/{path}");
    let get = async |path: &str| -> Value {
        let answer = reqwest::get(url(path)).await.expect("an answer");
        answer.json().await.expect("JSON")
    };
    assert_eq!(get("faults").await["fencing"], false);
    let faults = serde_json::json!({ "slow": 2.0 });
    let request = reqwest::Client::new().put(url("faults")).json(&faults);
    assert_eq!(request.send().await.expect("an answer").status(), 204);
    assert_eq!(get("faults").await["slow"], 2.0);
    let boot = get("counts").await["boot"].as_u64().expect("a number");
    // The answer may be cut by the crash itself.
    let crash = reqwest::Client::new().post(url("crash")).send().await;
    drop(crash);
    let counts = loop {
        // A connection made before the crash may be cut.
        if let Ok(answer) = reqwest::get(url("counts")).await
            && let Ok(counts) = answer.json::<Value>().await
            && counts["crashes"] == 1
        {
            break counts;
        }
    };
    assert_eq!(counts["boot"], boot + 1);
}
