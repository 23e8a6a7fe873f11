//! What a peer gets that lacks some revisions.

use cornelstand::{Centre, Config, ConfigUpdate, Revision, Trail};
use rstest::rstest;

/// The configuration of a revision: one data centre for each.
fn config(revision: u64) -> Config {
    let mut config = Config {
        revision: Revision(revision),
        ..Config::default()
    };
    for index in 1..=revision {
        let name = format!("c{index}").as_str().into();
        config.centres.insert(name, Centre { out: false });
    }
    config
}

fn trail(revisions: std::ops::Range<u64>) -> Trail {
    let mut trail = Trail::default();
    for revision in revisions {
        trail.step(&config(revision), &config(revision + 1));
    }
    trail
}

#[rstest]
#[case::one_behind(99, Some(1))]
#[case::some_behind(60, Some(40))]
#[case::too_far_behind(3, None)]
fn a_peer_behind_gets_notes_or_the_whole(#[case] after: u64, #[case] notes: Option<usize>) {
    let update = trail(0..100).since(Revision(after), &config(100));
    let update = update.expect("a higher revision");
    let count = match &update {
        ConfigUpdate::Notes(notes) => Some(notes.len()),
        ConfigUpdate::Whole(_) => None,
    };
    assert_eq!(count, notes);
    assert_eq!(update.follow(&config(after)), Some(config(100)));
}

#[test]
fn a_peer_that_is_ahead_or_level_gets_nothing() {
    let trail = trail(0..5);
    assert_eq!(trail.since(Revision(5), &config(5)), None);
    assert_eq!(trail.since(Revision(9), &config(5)), None);
}

#[test]
fn an_update_never_leads_back_and_never_skips() {
    let whole = ConfigUpdate::Whole(Box::new(config(4)));
    assert_eq!(whole.clone().follow(&config(4)), None);
    assert_eq!(whole.follow(&config(7)), None);
    let later = trail(0..5).since(Revision(3), &config(5)).expect("notes");
    assert_eq!(later.follow(&config(2)), None);
}

#[test]
fn a_leap_over_revisions_starts_the_trail_anew() {
    let mut trail = trail(0..5);
    trail.step(&config(5), &config(9));
    let update = trail.since(Revision(5), &config(9));
    assert_eq!(update, Some(ConfigUpdate::Whole(Box::new(config(9)))));
}
