//! What gateways do when the store comes back from an older copy.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use stand_ins::PlatformStore;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::gateway::admin::{Role, accept};
use crate::gateway::follow::{Followed, follow, follow_instances, follow_peers};
use crate::gateway::gate::Gate;
use crate::gateway::tests::gate;
use crate::name::CentreName;
use crate::platform::objects::{EVACUATION_KIND, INSTANCE_KIND};
use crate::platform::tests::path::run_local;
use crate::platform::tests::scripted::own_loopback;

/// Time within which the platform wants a change in force at instances in touch.
const CHANGE_TIME: Duration = Duration::from_secs(5);
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(40);
/// Instances of a fleet in which two watch the store and the others fetch from them.
const LARGE: usize = 13;

/// Gateways of one data centre that follow the store, and each other.
struct Fleet {
    store: PlatformStore,
    gates: Vec<Rc<Gate>>,
}

impl Fleet {
    async fn start(count: usize) -> Self {
        let store = PlatformStore::start().expect("the store starts");
        store.put("others", "one", &json!({}));
        let mut gates = Vec::new();
        for index in 0..count {
            let listener = TcpListener::bind((own_loopback(), 0)).await;
            let listener = listener.expect("loopback");
            let gate = gate(&format!("i-{index:02}"), Vec::new());
            {
                let mut settings = gate.settings.borrow_mut();
                settings.store = store.address();
                settings.control = Some(listener.local_addr().expect("bound"));
            }
            gate.discovery_done.set(true);
            spawn_local(accept(gate.clone(), listener, Role::Control));
            gates.push(gate);
        }
        spawn_local(exchange_heartbeats(gates.clone()));
        sleep(HEARTBEAT_PERIOD * 3).await;
        for gate in &gates {
            spawn_local(follow(gate.clone(), Followed::Evacuations));
            spawn_local(follow(gate.clone(), Followed::Endpoints));
            spawn_local(follow_peers(gate.clone()));
        }
        Self { store, gates }
    }

    fn evacuate(&self, centre: &str) {
        self.store.put(EVACUATION_KIND, centre, &json!({}));
    }

    /// Number of instances that take a data centre for evacuated, once it is `count`, or when the
    /// time for a change is over.
    async fn evacuated(&self, centre: &str, count: usize) -> usize {
        let centre = CentreName::from(centre);
        let is_out = |gate: &&Rc<Gate>| gate.state.borrow().directory.is_evacuated(&centre);
        let known = || self.gates.iter().filter(is_out).count();
        let wait = async {
            while known() != count {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = timeout(CHANGE_TIME, wait).await;
        known()
    }
}

async fn exchange_heartbeats(gates: Vec<Rc<Gate>>) {
    loop {
        for (index, sender) in (0_u16..).zip(&gates) {
            let heartbeat = sender.heartbeat();
            for receiver in gates.iter().filter(|g| !Rc::ptr_eq(g, sender)) {
                let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + index));
                receiver.receive_heartbeat(address, heartbeat.clone());
            }
        }
        sleep(HEARTBEAT_PERIOD).await;
    }
}

/// Guards against views of an earlier era that look newer by their revision.
#[rstest]
#[case::all_watch(2)]
#[case::most_fetch_from_others(LARGE)]
#[tokio::test]
async fn an_evacuation_that_gets_a_lower_revision_than_the_last_one_is_followed(
    #[case] count: usize,
) {
    run_local(async {
        let fleet = Fleet::start(count).await;
        fleet.evacuate("east");
        assert_eq!(fleet.evacuated("east", count).await, count);
        let copy = fleet.store.copy();
        for _ in 0..5 {
            fleet.evacuate("south");
            fleet.store.delete(EVACUATION_KIND, "south");
        }
        fleet.store.delete(EVACUATION_KIND, "east");
        assert_eq!(fleet.evacuated("east", 0).await, 0);
        fleet.store.restore(&copy);
        fleet.store.delete(EVACUATION_KIND, "east");
        fleet.evacuate("south");
        assert_eq!(fleet.evacuated("south", count).await, count);
        assert_eq!(fleet.evacuated("east", 0).await, 0);
    })
    .await;
}

/// Guards against a watch from a revision that the restored store has given out again.
#[rstest]
#[case::all_watch(1)]
#[case::most_fetch_from_others(LARGE)]
#[tokio::test]
async fn what_was_written_again_below_the_revision_of_a_watch_is_not_missed(#[case] count: usize) {
    run_local(async {
        let fleet = Fleet::start(count).await;
        fleet.evacuate("east");
        assert_eq!(fleet.evacuated("east", count).await, count);
        let copy = fleet.store.copy();
        fleet.store.delete(EVACUATION_KIND, "east");
        assert_eq!(fleet.evacuated("east", 0).await, 0);
        fleet.store.restore(&copy);
        fleet.evacuate("south");
        fleet.store.delete(EVACUATION_KIND, "east");
        for number in 0..5 {
            fleet.store.put("others", "one", &json!(number));
        }
        assert_eq!(fleet.evacuated("south", count).await, count);
        assert_eq!(fleet.evacuated("east", 0).await, 0);
    })
    .await;
}

/// Guards against entries that are written only once.
#[rstest]
#[case::all_watch(1)]
#[case::most_fetch_from_others(LARGE)]
#[tokio::test]
async fn instances_whose_entries_are_gone_register_again(#[case] count: usize) {
    run_local(async {
        let fleet = Fleet::start(count).await;
        let copy = fleet.store.copy();
        for gate in &fleet.gates {
            spawn_local(follow_instances(gate.clone()));
        }
        let are_registered = async || {
            let is_gone = |i| {
                fleet
                    .store
                    .object(INSTANCE_KIND, &format!("i-{i:02}"))
                    .is_none()
            };
            let wait = async {
                while (0..count).any(is_gone) {
                    sleep(Duration::from_millis(10)).await;
                }
            };
            timeout(CHANGE_TIME, wait).await.is_ok()
        };
        assert!(are_registered().await);
        // Each has read the listing, and waits for the next one.
        sleep(HEARTBEAT_PERIOD * 3).await;
        fleet.store.restore(&copy);
        assert!(are_registered().await);
    })
    .await;
}
