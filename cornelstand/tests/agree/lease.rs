//! No limit is exceeded under faults of the owner, its heir, the store and the links.

use cornelstand::{LeaseInput, LeaseView, Part};
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::ring::{Fate, Ring};

pub(crate) fn no_delay() -> Fate {
    Fate::Arrive(0)
}

pub(crate) fn update_views(ring: &mut Ring) {
    for index in 0..ring.nodes.len() {
        if ring.nodes[index].is_up && ring.nodes[index].paused_until <= ring.step {
            let view = ring.true_view(index);
            ring.input(index, LeaseInput::View(view), &mut no_delay);
            ring.hear_claims(index, &mut no_delay);
        }
    }
}

pub(crate) fn run(ring: &mut Ring, steps: u64) {
    for step in 0..steps {
        if step % 10 == 0 {
            update_views(ring);
        }
        ring.step(&mut no_delay);
    }
}

fn started(count: usize) -> Ring {
    let mut ring = Ring::new(count);
    run(&mut ring, 50);
    assert_eq!(ring.part(0), Some(Part::Full), "{:?}", ring.object);
    ring
}

#[test]
fn an_instance_alone_holds_the_whole() {
    started(1);
}

#[test]
fn the_owner_borrows_the_half_of_its_heir() {
    let ring = started(3);
    let (_, lease) = ring.object.as_ref().expect("a stored lease");
    assert_eq!(lease.kept.name.as_str(), "i0");
    assert_eq!(lease.spare.name.as_str(), "i1");
    assert_eq!(ring.parts(), [Some(Part::Full), None, None]);
}

#[test]
fn an_outage_of_the_store_costs_nothing_while_owner_and_heir_are_in_touch() {
    let mut ring = started(3);
    ring.is_store_up = false;
    for _ in 0..100 {
        run(&mut ring, 60);
        assert_eq!(ring.parts(), [Some(Part::Full), None, None]);
    }
}

#[test]
fn an_owner_lost_in_an_outage_is_followed_by_its_heir() {
    let mut ring = started(3);
    ring.is_store_up = false;
    ring.is_list_up = false;
    run(&mut ring, 50);
    ring.kill(0);
    run(&mut ring, 60);
    assert_eq!(ring.parts(), [None, Some(Part::Provisional), None]);
    ring.is_store_up = true;
    ring.is_list_up = true;
    run(&mut ring, 300);
    assert_eq!(ring.parts(), [None, Some(Part::Full), None]);
}

#[test]
fn a_killed_owner_is_followed_by_its_heir_and_then_in_full() {
    let mut ring = started(3);
    ring.kill(0);
    run(&mut ring, 60);
    assert_eq!(ring.parts()[1], Some(Part::Provisional));
    run(&mut ring, 100);
    assert_eq!(ring.parts(), [None, Some(Part::Full), None]);
}

#[test]
fn a_killed_heir_costs_half_until_it_is_proven_to_have_ended() {
    let mut ring = started(3);
    ring.is_list_up = false;
    ring.kill(1);
    run(&mut ring, 200);
    assert_eq!(ring.parts(), [Some(Part::Kept), None, None]);
    ring.is_list_up = true;
    run(&mut ring, 150);
    assert_eq!(ring.parts(), [Some(Part::Full), None, None]);
}

#[test]
fn a_paused_owner_and_its_heir_use_different_halves() {
    let mut ring = started(3);
    ring.nodes[0].paused_until = ring.step + 600;
    run(&mut ring, 100);
    assert_eq!(
        ring.parts(),
        [Some(Part::Kept), Some(Part::Provisional), None]
    );
    run(&mut ring, 600);
    assert_eq!(
        ring.parts().into_iter().flatten().collect::<Vec<_>>(),
        [Part::Full]
    );
}

#[test]
fn a_partition_leaves_each_side_its_half() {
    let mut ring = started(4);
    ring.cut.extend([(0, 1), (0, 3), (1, 2), (2, 3)]);
    ring.nodes[1].has_store = false;
    ring.nodes[3].has_store = false;
    run(&mut ring, 300);
    assert_eq!(
        ring.parts(),
        [Some(Part::Kept), Some(Part::Provisional), None, None]
    );
    ring.cut.clear();
    ring.nodes[1].has_store = true;
    ring.nodes[3].has_store = true;
    run(&mut ring, 300);
    assert_eq!(
        ring.parts().into_iter().flatten().collect::<Vec<_>>(),
        [Part::Full]
    );
}

#[test]
fn an_owner_cut_off_from_the_store_alone_keeps_serving() {
    let mut ring = started(3);
    ring.nodes[0].has_store = false;
    run(&mut ring, 600);
    assert_eq!(ring.parts(), [Some(Part::Full), None, None]);
}

#[rstest]
#[case::with_store(true)]
#[case::in_an_outage(false)]
fn a_draining_owner_hands_over(#[case] has_store: bool) {
    let mut ring = started(3);
    ring.is_store_up = has_store;
    run(&mut ring, 50);
    ring.nodes[0].is_draining = true;
    ring.input(0, LeaseInput::Drain, &mut no_delay);
    run(&mut ring, 50);
    assert_eq!(ring.parts(), [None, Some(Part::Full), None]);
    ring.kill(0);
    ring.is_store_up = true;
    run(&mut ring, 400);
    assert_eq!(ring.parts(), [None, Some(Part::Full), None]);
}

#[test]
fn a_restarted_owner_takes_its_cell_again_or_leaves_it_to_the_heir() {
    let mut ring = started(3);
    ring.restart(0);
    run(&mut ring, 400);
    assert_eq!(
        ring.parts().into_iter().flatten().collect::<Vec<_>>(),
        [Part::Full]
    );
}

#[test]
fn all_restarted_at_once_serve_again() {
    let mut ring = started(3);
    for index in 0..3 {
        ring.restart(index);
    }
    run(&mut ring, 400);
    assert_eq!(
        ring.parts().into_iter().flatten().collect::<Vec<_>>(),
        [Part::Full]
    );
}

/// Starts or ends a random fault.
fn toggle_fault(ring: &mut Ring, random: &mut ChaCha8Rng) {
    let count = ring.nodes.len();
    let index = random.random_range(0..count);
    let other = random.random_range(0..count);
    match random.random_range(0..11) {
        0 => ring.is_store_up = !ring.is_store_up,
        1 => ring.nodes[index].has_store = !ring.nodes[index].has_store,
        2 => ring.nodes[index].paused_until = ring.step + random.random_range(5..400),
        3 => ring.restart(index),
        4 => ring.kill(index),
        5 if index != other => {
            ring.cut.insert((index.min(other), index.max(other)));
        }
        6 => ring.cut.clear(),
        7 => ring.is_list_up = !ring.is_list_up,
        8 => ring.nodes[index].is_draining = !ring.nodes[index].is_draining,
        9 => ring.is_store_up = true,
        _ => ring.nodes[index].has_store = true,
    }
}

/// A view in which everything but the proof of ended processes may be wrong.
fn inaccurate_view(ring: &Ring, index: usize, random: &mut ChaCha8Rng) -> LeaseView {
    let mut view = ring.true_view(index);
    let mut ranked: Vec<_> = ring.nodes.iter().map(|n| n.holder.clone()).collect();
    ranked.shuffle(random);
    ranked.truncate(random.random_range(0..=ranked.len()));
    view.ranked = ranked;
    let holders = ring.holders();
    let count = random.random_range(0..=holders.len());
    view.unreachable = holders.sample(random, count).cloned().collect();
    view
}

fn run_random_faults(seed: u64, count: usize, mistakes: bool) -> Ring {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fates = ChaCha8Rng::seed_from_u64(seed + 1_000_000);
    let mut fate = || match fates.random_range(0..20) {
        0 => Fate::Lose,
        1 => Fate::LoseReply(fates.random_range(0..60)),
        2 => Fate::Arrive(fates.random_range(0..30)),
        _ => Fate::Arrive(fates.random_range(0..2)),
    };
    let mut ring = Ring::new(count);
    for node in &mut ring.nodes {
        node.rate = random.random_range(90..=110);
    }
    for step in 0..3_000 {
        if random.random_ratio(1, 25) {
            toggle_fault(&mut ring, &mut random);
        }
        for index in 0..count {
            let node = &ring.nodes[index];
            if !node.is_up || node.paused_until > ring.step || !random.random_ratio(1, 7) {
                continue;
            }
            let view = if mistakes && step % 3 == 0 {
                inaccurate_view(&ring, index, &mut random)
            } else {
                ring.true_view(index)
            };
            ring.input(index, LeaseInput::View(view), &mut fate);
            ring.hear_claims(index, &mut fate);
            if ring.nodes[index].is_draining {
                ring.input(index, LeaseInput::Drain, &mut fate);
            }
        }
        ring.step(&mut fate);
    }
    ring
}

pub(crate) fn end_faults(ring: &mut Ring) {
    ring.is_store_up = true;
    ring.is_list_up = true;
    ring.cut.clear();
    for index in 0..ring.nodes.len() {
        ring.nodes[index].has_store = true;
        ring.nodes[index].paused_until = 0;
        if !ring.nodes[index].is_up || ring.nodes[index].is_draining {
            ring.restart(index);
        }
    }
}

#[rstest]
fn limits_hold_in_any_storm_and_one_owner_is_left_after_it(
    #[values(2, 3, 5)] count: usize,
    #[values(false, true)] mistakes: bool,
) {
    for seed in 0..60 {
        let mut ring = run_random_faults(seed, count, mistakes);
        end_faults(&mut ring);
        run(&mut ring, 600);
        let parts: Vec<Part> = ring.parts().into_iter().flatten().collect();
        assert_eq!(parts, [Part::Full], "seed {seed}, {:?}", ring.object);
    }
}
