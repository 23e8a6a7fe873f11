//! The configuration in the store: acceptance, races, lost answers and outages.

use std::time::Duration;

use cornelstand::{
    Account, Config, Known, Note, ObjectKind, PublishError, Revision, Store, accept, collect,
    fetch, plan,
};
use rstest::rstest;
use stand_ins::{ObjectApi, ObjectFaults, ObjectSettings, Outage};

pub(crate) fn api() -> (ObjectApi, Store) {
    let api = ObjectApi::start(ObjectSettings::default()).expect("a stand-in");
    let store = Store::new(api.address(), Duration::from_millis(400));
    (api, store)
}

fn account(share: u32) -> Account {
    Account {
        share,
        keys: Vec::new(),
        queue: 16,
    }
}

/// A note that adds one account.
fn note_adding(base: u64, name: &str) -> Note {
    let mut note = Note {
        title: format!("add {name}"),
        base: Revision(base),
        ..Note::default()
    };
    note.added.accounts.insert(name.into(), account(1));
    note
}

async fn stored(store: &Store) -> Config {
    let mut known = Known::default();
    fetch(store, &mut known)
        .await
        .expect("a readable configuration");
    known.config()
}

#[tokio::test]
async fn an_accepted_note_is_stored_and_the_same_note_again_changes_nothing() {
    let (_api, store) = api();
    let mut known = Known::default();
    let first = accept(&store, &note_adding(0, "kiosk"), &mut known).await;
    let again = accept(&store, &note_adding(0, "kiosk"), &mut Known::default()).await;
    let first = first.expect("accepted");
    let again = again.expect("accepted before");
    assert_eq!((first.revision, first.repeated), (Revision(1), false));
    assert_eq!((again.revision, again.repeated), (Revision(1), true));
    let config = stored(&store).await;
    assert_eq!(config, known.config());
    assert!(config.accounts.contains_key("kiosk"));
}

#[tokio::test]
async fn a_racing_note_is_refused_with_the_notes_since_its_base() {
    let (_api, store) = api();
    let mut known = Known::default();
    accept(&store, &note_adding(0, "kiosk"), &mut known)
        .await
        .expect("accepted");
    let error = accept(&store, &note_adding(0, "tailor"), &mut Known::default()).await;
    let error = error.expect_err("a race");
    insta::assert_snapshot!(error, @r#"
    the note is against revision 0, the store has 1
    1 "add kiosk": + accounts.kiosk
    "#);
}

#[tokio::test]
async fn of_many_racing_notes_one_is_accepted_per_revision() {
    let (_api, store) = api();
    let racers = (0..8).map(|index| {
        let store = store.clone();
        let note = note_adding(0, &format!("a{index}"));
        async move { accept(&store, &note, &mut Known::default()).await }
    });
    let results = futures::future::join_all(racers).await;
    let accepted = results.iter().filter(|r| r.is_ok()).count();
    let raced = results
        .iter()
        .filter(|r| matches!(r, Err(PublishError::Race { .. })))
        .count();
    assert_eq!((accepted, raced), (1, 7), "{results:?}");
    assert_eq!(stored(&store).await.accounts.len(), 1);
}

#[rstest]
#[case::of_the_shard(1)]
#[case::of_shard_and_head(2)]
#[case::of_several_tries(4)]
#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_back(#[case] lost: u32) {
    let (api, store) = api();
    api.set_faults(ObjectFaults {
        lost,
        ..ObjectFaults::default()
    });
    let mut known = Known::default();
    let accepted = accept(&store, &note_adding(0, "kiosk"), &mut known).await;
    assert_eq!(accepted.expect("accepted").revision, Revision(1));
    assert_eq!(stored(&store).await.accounts.len(), 1);
}

#[tokio::test]
async fn in_an_outage_nothing_is_accepted_and_the_refusal_says_so() {
    let (api, store) = api();
    let mut known = Known::default();
    accept(&store, &note_adding(0, "kiosk"), &mut known)
        .await
        .expect("accepted");
    api.set_faults(ObjectFaults {
        outage: Some(Outage::Refuse),
        ..ObjectFaults::default()
    });
    let error = accept(&store, &note_adding(1, "tailor"), &mut known).await;
    assert!(
        matches!(error, Err(PublishError::ReadFailed { .. })),
        "{error:?}"
    );
    api.set_faults(ObjectFaults::default());
    let again = accept(&store, &note_adding(1, "tailor"), &mut known).await;
    assert_eq!(again.expect("accepted").revision, Revision(2));
}

#[tokio::test]
async fn an_inconsistent_note_writes_nothing() {
    let (api, store) = api();
    let error = accept(&store, &note_adding(0, "No Name"), &mut Known::default()).await;
    assert!(
        matches!(error, Err(PublishError::Unfit { .. })),
        "{error:?}"
    );
    assert_eq!(api.counts().creates, 0);
}

#[tokio::test]
async fn a_large_configuration_is_divided_and_a_small_note_rewrites_one_shard() {
    let (api, store) = api();
    let mut declared = Config::default();
    for index in 0..5_000 {
        let mut item = account(1);
        item.keys.push(format!("{index:064x}"));
        declared
            .accounts
            .insert(format!("account-{index}").as_str().into(), item);
    }
    let mut known = Known::default();
    let note = plan("start", &declared, &Config::default());
    accept(&store, &note, &mut known).await.expect("accepted");
    let shards = store
        .list(ObjectKind::ConfigShard)
        .await
        .expect("a listing");
    assert!(shards.objects.len() > 4, "{} shards", shards.objects.len());
    let before = api.counts();
    accept(&store, &note_adding(1, "kiosk"), &mut known)
        .await
        .expect("accepted");
    let after = api.counts();
    let calls = (after.gets - before.gets, after.creates - before.creates);
    assert_eq!(calls, (1, 1), "one read of the head, one shard");
    assert_eq!(
        after.replaces - before.replaces,
        1,
        "one update of the head"
    );
    let mut other = Known::default();
    fetch(&store, &mut other).await.expect("read");
    assert_eq!(other.config(), known.config());
}

#[tokio::test]
async fn replaced_and_orphaned_shards_are_deleted() {
    let (_api, store) = api();
    let mut known = Known::default();
    for revision in 0..12 {
        let note = note_adding(revision, &format!("a{revision}"));
        accept(&store, &note, &mut known).await.expect("accepted");
    }
    let shards = store
        .list(ObjectKind::ConfigShard)
        .await
        .expect("a listing");
    assert!(shards.objects.len() <= 3, "{} shards", shards.objects.len());
    let text = "{}".to_owned();
    let condition = cornelstand::Condition::Absent;
    store
        .put(ObjectKind::ConfigShard, "orphan", condition, text)
        .await
        .expect("written");
    assert_eq!(
        collect(&store, 10).await.expect("collected"),
        0,
        "younger than the head"
    );
    accept(&store, &note_adding(12, "last"), &mut known)
        .await
        .expect("accepted");
    assert_eq!(collect(&store, 10).await.expect("collected"), 1);
    assert_eq!(stored(&store).await, known.config());
}
