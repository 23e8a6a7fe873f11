//! Problem documents.

use std::fmt::Write;
use std::time::Duration;

use cornelstand::{Problem, ProblemKind, RequestId, Unsent, Verdict};

const KINDS: [ProblemKind; 18] = [
    ProblemKind::BadHeader,
    ProblemKind::BadKey,
    ProblemKind::UnknownService,
    ProblemKind::BadPath,
    ProblemKind::BodyTooLarge,
    ProblemKind::BodyIncomplete,
    ProblemKind::KeyRequired,
    ProblemKind::KeyReused,
    ProblemKind::StillRunning,
    ProblemKind::OutcomeUnknown,
    ProblemKind::StoreUnavailable,
    ProblemKind::QueueFull,
    ProblemKind::DeadlinePassed,
    ProblemKind::NoEndpoint,
    ProblemKind::Unavailable,
    ProblemKind::EndpointLost,
    ProblemKind::EndpointSilent,
    ProblemKind::Suspect,
];

#[test]
fn each_kind_has_its_status_and_type() {
    let mut table = String::new();
    for kind in KINDS {
        let answer = Problem::new(kind, Verdict::Unknown, "").answer(RequestId(1));
        let document: serde_json::Value = serde_json::from_slice(answer.body()).unwrap();
        let name = document["type"].as_str().unwrap();
        writeln!(table, "{} {name}", answer.status().as_u16()).unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn a_document_has_the_outcome_the_request_and_when_to_retry() {
    let proof = Unsent::new(RequestId(0xbeef)).refuse();
    let problem = Problem::new(ProblemKind::QueueFull, Verdict::NotRun(proof), "full");
    let problem = problem.retry_after(Duration::from_millis(1_200));
    let answer = problem.answer(RequestId(0xbeef));
    let document = String::from_utf8(answer.body().clone()).unwrap();
    insta::assert_snapshot!(format!("{:?}\n{document}", answer.headers()));
}
