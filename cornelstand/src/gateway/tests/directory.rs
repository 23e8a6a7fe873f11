//! Configuration versions never go back, and endpoints are kept for a while around store outages.

use std::collections::BTreeSet;

use crate::gateway::directory::{Directory, EndpointChange, EndpointRecord, EraNews};
use crate::gateway::store_revision::StoreRevision;
use crate::gateway::tests::{MODELS, catalog, record};
use crate::moment::Moment;
use crate::name::CentreName;

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

fn entry(name: &str) -> EndpointRecord {
    record(name, MODELS, ([10, 0, 0, 1], 80).into())
}

#[test]
fn a_lower_version_never_replaces_a_higher_one() {
    let mut directory = Directory::new();
    assert!(directory.set_catalog(catalog(7)));
    assert!(!directory.set_catalog(catalog(6)));
    assert!(!directory.set_catalog(catalog(7)));
    assert_eq!(directory.catalog().version, 7);
}

#[test]
fn an_endpoint_is_removed_at_once_while_the_store_is_available() {
    let mut directory = Directory::new();
    directory.mark_store_available(at(0));
    directory.list_endpoints(at(0), vec![entry("a")]);
    let change = directory.remove_endpoint(at(10_000), &"a".into());
    assert_eq!(change, Some(EndpointChange::Removed("a".into())));
}

#[test]
fn an_endpoint_whose_entry_lapsed_in_an_outage_is_kept_for_the_grace_time() {
    let mut directory = Directory::new();
    directory.mark_store_available(at(0));
    directory.list_endpoints(at(0), vec![entry("a"), entry("b")]);
    directory.mark_store_lost(at(0));
    directory.mark_store_available(at(20_000));
    let changes = directory.list_endpoints(at(20_010), vec![entry("b")]);
    assert_eq!(changes, [EndpointChange::Lapsed("a".into())]);
    assert!(directory.expire(at(21_900)).is_empty());
    assert_eq!(
        directory.expire(at(22_400)),
        [EndpointChange::Removed("a".into())]
    );
}

#[test]
fn an_entry_removed_after_the_recovery_expires_within_the_bound_for_leaving_endpoints() {
    // An endpoint whose entry was removed soon after the store's recovery was kept too long: the
    // store was back at 13.5 s and the entry removed at 13.94 s, but the endpoint was still used
    // at 16.2 s.
    let mut directory = Directory::new();
    directory.mark_store_available(at(0));
    directory.list_endpoints(at(0), vec![entry("a")]);
    directory.mark_store_lost(at(0));
    directory.mark_store_available(at(13_500));
    directory.list_endpoints(at(13_510), vec![entry("a")]);
    directory.remove_endpoint(at(13_940), &"a".into());
    // The platform's bound is 2 s, and endpoints are expired every 0.5 s.
    assert_eq!(
        directory.expire(at(13_940 + 1_450)),
        [EndpointChange::Removed("a".into())]
    );
}

#[test]
fn a_lapsed_entry_that_is_listed_again_is_kept() {
    let mut directory = Directory::new();
    directory.mark_store_available(at(0));
    directory.list_endpoints(at(0), vec![entry("a")]);
    directory.mark_store_lost(at(0));
    directory.mark_store_available(at(20_000));
    directory.list_endpoints(at(20_010), Vec::new());
    assert!(directory.put_endpoint(entry("a")).is_some());
    assert!(directory.expire(at(30_000)).is_empty());
}

#[test]
fn a_leaving_endpoint_does_not_lapse() {
    let mut directory = Directory::new();
    directory.mark_store_available(at(0));
    let mut leaving = entry("a");
    leaving.leaving = true;
    directory.list_endpoints(at(0), vec![leaving]);
    directory.mark_store_lost(at(0));
    directory.mark_store_available(at(20_000));
    let changes = directory.list_endpoints(at(20_010), Vec::new());
    assert_eq!(changes, [EndpointChange::Removed("a".into())]);
}

#[test]
fn an_entry_of_an_earlier_start_is_ignored() {
    let mut directory = Directory::new();
    let mut newer = entry("a");
    newer.started_at = 2;
    directory.put_endpoint(newer);
    assert_eq!(directory.put_endpoint(entry("a")), None);
}

#[test]
fn a_lapsed_entry_adopted_from_a_peer_keeps_its_expiry() {
    // Instances that adopted a peer's view during an endpoint's grace time at that peer never
    // removed the endpoint.
    let mut peer = Directory::new();
    peer.mark_store_available(at(0));
    peer.list_endpoints(at(0), vec![entry("a"), entry("b")]);
    peer.mark_store_lost(at(0));
    peer.mark_store_available(at(20_000));
    peer.remove_endpoint(at(20_100), &"a".into());
    peer.mark_endpoints(9.into());
    let mut directory = Directory::new();
    directory.adopt(at(5_000), peer.snapshot(at(20_200)));
    assert!(directory.expire(at(5_900)).is_empty());
    assert_eq!(
        directory.expire(at(6_200)),
        [EndpointChange::Removed("a".into())]
    );
    assert!(directory.expire(at(60_000)).is_empty());
}

#[test]
fn a_watch_from_before_an_adoption_is_not_resumed() {
    // An instance without the store for 8 s adopted its peers' view, then resumed its old watch and
    // replayed the changes of those 8 s over that view.
    let mut directory = Directory::new();
    directory.mark_store_available(at(0));
    directory.list_endpoints(at(0), vec![entry("a")]);
    let before = directory.adoptions();
    directory.mark_store_lost(at(0));
    directory.adopt(at(1_000), Directory::new().snapshot(at(1_000)));
    assert_ne!(directory.adoptions(), before);
}

#[test]
fn an_entry_removed_while_only_this_instance_lost_the_store_expires_at_once() {
    let mut directory = Directory::new();
    directory.mark_store_available(at(0));
    directory.list_endpoints(at(0), vec![entry("a")]);
    directory.mark_store_lost(at(0));
    // A peer reached the store all the time.
    directory.mark_store_available(at(20_000).before(std::time::Duration::from_secs(9)));
    let changes = directory.list_endpoints(at(20_010), Vec::new());
    assert_eq!(changes, [EndpointChange::Removed("a".into())]);
}

/// A call that began in a cut and timed out after it moved the store's recovery on, and with it the
/// removal of endpoints whose entries had gone.
#[test]
fn a_call_from_before_the_last_answer_does_not_show_a_lost_store() {
    let mut directory = Directory::new();
    assert!(!directory.has_answered_since(at(0)));
    directory.note_answer(at(5_000));
    assert!(directory.has_answered_since(at(4_000)));
    assert!(!directory.has_answered_since(at(5_000)));
    assert!(!directory.has_answered_since(at(6_000)));
}

/// At one instance the evacuation watch was 2.2 s late, but its endpoints were at the same revision
/// as elsewhere. Another instance took that view as newer and adopted nothing more for 5 s.
#[test]
fn newer_endpoints_do_not_hide_an_evacuation() {
    let watching = |evacuated: &[&str]| {
        let mut directory = Directory::new();
        directory.mark_store_available(at(0));
        directory.list_endpoints(at(0), vec![entry("a")]);
        directory.set_evacuated(BTreeSet::new());
        directory.mark_evacuations(319.into());
        directory.set_evacuated(evacuated.iter().map(|c| CentreName::from(*c)).collect());
        directory.mark_evacuations(324.into());
        directory.mark_endpoints(324.into());
        directory
    };
    let (late, informed) = (watching(&[]), watching(&["south"]));
    let mut other = Directory::new();
    other.adopt(at(10), late.snapshot(at(10)));
    assert!(informed.versions().are_newer(other.versions()));
    other.adopt(at(20), informed.snapshot(at(20)));
    assert!(other.is_evacuated(&"south".into()));
    // The late instance has nothing newer.
    assert!(!late.versions().are_newer(other.versions()));
    other.adopt(at(30), late.snapshot(at(30)));
    assert!(other.is_evacuated(&"south".into()));
}

#[test]
fn a_view_of_a_later_era_is_newer_at_a_lower_revision() {
    let seen = |era, number, evacuated: &[&str]| {
        let mut directory = Directory::new();
        directory.set_evacuated(evacuated.iter().map(|c| CentreName::from(*c)).collect());
        directory.mark_evacuations(StoreRevision { era, number });
        directory
    };
    let (before, after) = (seen(1, 149, &[]), seen(2, 142, &["south"]));
    assert!(after.versions().are_newer(before.versions()));
    assert!(!before.versions().are_newer(after.versions()));
    // The same contents are of the later era from its first listing on.
    let mut same = before;
    same.mark_evacuations(StoreRevision {
        era: 2,
        number: 140,
    });
    assert!(
        !seen(1, 150, &["east"])
            .versions()
            .are_newer(same.versions())
    );
}

#[test]
fn an_answer_from_before_a_restore_is_late() {
    let mut directory = Directory::new();
    assert_eq!(directory.note_era(at(5), at(0), 1), EraNews::Same);
    assert_eq!(directory.note_era(at(10), at(6), 2), EraNews::Restored(1));
    assert_eq!(directory.note_era(at(11), at(7), 1), EraNews::Late);
    assert_eq!(directory.note_era(at(12), at(11), 2), EraNews::Same);
    // A call that began in the new era is never answered in an earlier one but by another store.
    assert_eq!(directory.note_era(at(13), at(12), 0), EraNews::Restored(2));
}

#[test]
fn an_instance_that_starts_does_not_take_the_first_era_for_a_restore() {
    let mut directory = Directory::new();
    assert_eq!(directory.versions().era(), None);
    assert_eq!(directory.raise_era(at(0), 1), None);
    assert_eq!(directory.note_era(at(2), at(1), 1), EraNews::Same);
    directory.mark_endpoints(StoreRevision { era: 1, number: 7 });
    assert_eq!(directory.versions().era(), Some(1));
    assert_eq!(directory.raise_era(at(4), 2), Some(1));
}

#[test]
fn a_revision_without_an_era_is_sent_as_older_builds_read_it() {
    for (era, number) in [(0, 0), (0, 149), (3, 142), (u16::MAX, 1 << 40)] {
        let revision = StoreRevision { era, number };
        let bytes = postcard::to_stdvec(&revision).expect("written");
        let packed: u64 = postcard::from_bytes(&bytes).expect("a number");
        assert_eq!(StoreRevision::from(packed), revision);
        assert!(era > 0 || packed == number);
    }
}

/// A directory that has met the next era at 10 s, with the endpoints that it knew then.
fn restored(known: Vec<EndpointRecord>) -> Directory {
    let mut directory = Directory::new();
    directory.note_era(at(0), at(0), 1);
    directory.mark_store_available(at(0));
    directory.list_endpoints(at(0), known);
    directory.note_era(at(10_000), at(9_990), 2);
    directory
}

#[test]
fn an_endpoint_that_the_restored_store_lacks_is_kept_for_the_grace_time() {
    let mut directory = restored(vec![entry("a")]);
    let changes = directory.list_endpoints(at(10_000), Vec::new());
    assert_eq!(changes, [EndpointChange::Lapsed("a".into())]);
    assert!(directory.expire(at(12_200)).is_empty());
    let changes = directory.expire(at(12_300));
    assert_eq!(changes, [EndpointChange::Removed("a".into())]);
}

#[test]
fn a_leaving_endpoint_is_not_ready_again_because_the_store_was_restored() {
    let mut leaving = entry("a");
    leaving.leaving = true;
    let mut directory = restored(vec![leaving]);
    assert!(
        directory
            .list_endpoints(at(10_000), vec![entry("a")])
            .is_empty()
    );
    // Another lifetime of the endpoint does not leave.
    let mut next = entry("a");
    next.started_at += 1;
    assert_eq!(directory.list_endpoints(at(10_000), vec![next]).len(), 1);
}
