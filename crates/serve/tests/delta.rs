//! What one listing of searchers turns into another.

mod common;

use common::fixed;
use common::sighting;
use proptest::prelude::*;

use tt_serve::ListingDelta;
use tt_serve::ListingHistory;
use tt_serve::SearcherRecord;
use tt_serve::SearcherState;
use tt_serve::listing_digest;

/// Searchers by number, some of which drain.
fn listing(numbers: &[(u8, bool)]) -> Vec<SearcherRecord> {
    let mut listing: Vec<SearcherRecord> = Vec::new();
    for &(number, drains) in numbers {
        let id = format!("s{number}");
        if listing.iter().any(|it| it.id == id) {
            continue;
        }
        let state = if drains { SearcherState::Draining } else { SearcherState::Ready };
        listing.push(SearcherRecord { state, ..sighting(&id, 1) });
    }
    listing
}

proptest! {
    #![proptest_config(fixed(128))]

    // Guards against a daemon that follows another one and ends with other searchers.
    #[test]
    fn a_daemon_that_is_behind_gets_to_the_newest_listing(
        histories in prop::collection::vec(
            prop::collection::vec((0_u8..12, any::<bool>()), 0..10),
            1..12,
        ),
    ) {
        let mut listings = ListingHistory::default();
        let mut seen = vec![Vec::new()];
        for numbers in &histories {
            let next = listing(numbers);
            listings.push(next.clone());
            seen.push(next);
        }
        let newest = listing_digest(listings.newest());
        prop_assert_eq!(newest, listings.digest());
        for old in seen {
            if let Some(delta) = listings.delta_since(listing_digest(&old)) {
                prop_assert_eq!(listing_digest(&delta.apply(&old)), newest);
            } else {
                prop_assert_eq!(listing_digest(&old), newest, "no step is forgotten so soon");
            }
        }
    }
}

// Guards against messages that grow with the searchers that have not changed.
#[test]
fn a_delta_holds_only_what_has_changed() {
    let old = listing(&[(1, false), (2, false), (3, false)]);
    let new = listing(&[(1, false), (3, true), (4, false)]);
    let ListingDelta { changed, removed } = ListingDelta::between(&old, &new);
    let ids: Vec<&str> = changed.iter().map(|it| it.id.as_str()).collect();
    assert_eq!(ids, ["s3", "s4"]);
    assert_eq!(removed, ["s2"]);
}

// Guards against a listing that is remembered for ever.
#[test]
fn a_daemon_that_is_far_behind_reads_the_whole_listing() {
    let mut listings = ListingHistory::default();
    for number in 1..=30 {
        listings.push(listing(&[(number, false)]));
    }
    assert!(listings.delta_since(listing_digest(&listing(&[(1, false)]))).is_none());
    assert!(listings.delta_since(listing_digest(&listing(&[(29, false)]))).is_some());
}
