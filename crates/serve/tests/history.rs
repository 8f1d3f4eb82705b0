//! Deltas between listings of searchers.

mod common;

use common::fixed;
use common::record;
use proptest::prelude::*;

use tt_serve::ListingChange;
use tt_serve::ListingDelta;
use tt_serve::ListingHistory;
use tt_serve::SearcherRecord;
use tt_serve::SearcherState;
use tt_serve::listing_digest;

/// A listing of searchers with these numbers; those with `true` are draining.
fn listing(numbers: &[(u8, bool)]) -> Vec<SearcherRecord> {
    let mut listing: Vec<SearcherRecord> = Vec::new();
    for &(number, draining) in numbers {
        let id = format!("s{number}");
        if listing.iter().any(|it| it.id == id) {
            continue;
        }
        let state = if draining { SearcherState::Draining } else { SearcherState::Ready };
        listing.push(SearcherRecord { state, ..record(&id, 1) });
    }
    listing
}

proptest! {
    #![proptest_config(fixed(128))]

    // Guards against deltas that leave a daemon with other searchers than the newest listing has.
    #[test]
    fn a_delta_from_any_kept_listing_leads_to_the_newest(
        steps in prop::collection::vec(
            prop::collection::vec((0_u8..12, any::<bool>()), 0..10),
            1..12,
        ),
    ) {
        let mut history = ListingHistory::default();
        let mut listings = vec![Vec::new()];
        for numbers in &steps {
            let next = listing(numbers);
            history.push(next.clone());
            listings.push(next);
        }
        let newest = listing_digest(history.newest());
        prop_assert_eq!(newest, history.digest());
        for old in listings {
            let delta = history.delta_since(listing_digest(&old));
            prop_assert!(delta.is_some(), "no delta is dropped so soon");
            prop_assert_eq!(listing_digest(&delta.unwrap().apply(&old)), newest);
        }
    }
}

// Guards against messages whose size grows with the number of unchanged searchers.
#[test]
fn a_delta_holds_only_what_has_changed() {
    let old = listing(&[(1, false), (2, false), (3, false)]);
    let new = listing(&[(1, false), (3, true), (4, false)]);
    let ListingDelta { changed, removed } = ListingDelta::between(&old, &new);
    let ids: Vec<&str> = changed.iter().map(|it| it.id.as_str()).collect();
    assert_eq!(ids, ["s3", "s4"]);
    assert_eq!(removed, ["s2"]);
}

// Guards against a whole listing that is sent to a daemon that has it and only lacks the
// configuration.
#[test]
fn the_newest_listing_has_an_empty_delta() {
    let mut history = ListingHistory::default();
    assert!(history.delta_since(history.digest()).is_some_and(|delta| delta.is_empty()));
    history.push(listing(&[(1, false), (2, false)]));
    assert!(history.delta_since(history.digest()).is_some_and(|delta| delta.is_empty()));
}

// Guards against deltas that are kept forever.
#[test]
fn a_listing_that_is_too_old_has_no_delta() {
    let mut history = ListingHistory::default();
    for number in 1..=30 {
        history.push(listing(&[(number, false)]));
    }
    assert!(history.delta_since(listing_digest(&listing(&[(1, false)]))).is_none());
    assert!(history.delta_since(listing_digest(&listing(&[(29, false)]))).is_some());
}

// Guards against a change that undoes a later one of the same registration.
#[test]
fn of_several_changes_of_a_registration_the_last_counts() {
    let put = |id: &str, sequence| ListingChange::Put(record(id, sequence));
    let removed = |id: &str| ListingChange::Removed(id.to_owned());
    let changes =
        vec![put("a", 1), removed("b"), put("a", 2), put("b", 5), put("c", 1), removed("c")];
    let listing = ListingDelta::from_changes(changes).apply(&[record("b", 1), record("c", 0)]);
    assert_eq!(listing, [record("a", 2), record("b", 5)]);
    assert!(ListingDelta::from_changes(Vec::new()).is_empty());
}
