//! What a searcher has said of itself, when its registration is removed or replaced.

mod common;

use std::time::Duration;

use common::fleet;
use common::ms;
use common::record;

use tt_serve::EarlierReads;
use tt_serve::Fleet;
use tt_serve::FleetSettings;
use tt_serve::PoolRole;
use tt_serve::Registry;
use tt_serve::RegistrySettings;
use tt_serve::SearcherKey;
use tt_serve::SearcherRecord;
use tt_serve::SearcherState;
use tt_serve::StatedRate;
use tt_serve::StatedRest;
use tt_serve::Statement;
use tt_serve::Time;

/// When the listing was last read before the searcher started again.
const LISTED_UNTIL: Time = Duration::from_secs(50);

/// When a listing is read in which it has started again.
const READ_AT: Time = Duration::from_secs(51);

/// A fleet with the only searcher of a pool.
struct Setup {
    fleet: Fleet,
    registry: Registry,
    first_key: SearcherKey,
}

impl Setup {
    fn new(record: SearcherRecord) -> Setup {
        let mut fleet = fleet();
        let mut registry = Registry::new(RegistrySettings::default());
        registry.adopt(&mut fleet, vec![record], EarlierReads::default(), ms(0));
        let pool = fleet.pool("pool");
        let first = fleet.choose(pool, PoolRole::Equal, &[], ms(30), ms(0));
        let first_key = first.expect("it is used").key;
        Setup { fleet, registry, first_key }
    }

    /// Adopts a listing that is read at `now`.
    fn adopt(&mut self, listing: Vec<SearcherRecord>, now: Time) {
        let reads = EarlierReads { listed_until: Some(LISTED_UNTIL), ..EarlierReads::default() };
        self.registry.adopt(&mut self.fleet, listing, reads, now);
    }

    /// Records a statement in an answer to a request that was sent under the first key.
    fn hear(&mut self, statement: Statement, now: Time) {
        self.fleet.record_statement(self.first_key, 1, &statement, now);
    }

    fn chosen(&mut self, now: Time) -> Option<SearcherKey> {
        let pool = self.fleet.pool("pool");
        self.fleet.choose(pool, PoolRole::Equal, &[], ms(30), now).map(|choice| choice.key)
    }
}

fn rest(duration: Duration) -> Statement {
    Statement { rest: StatedRest::For(duration), ..Statement::default() }
}

fn leaving() -> Statement {
    Statement { leaving: true, ..Statement::default() }
}

/// The record of the searcher after it has started again under its id.
fn restarted() -> SearcherRecord {
    SearcherRecord { started_unix_ms: Some(2000), ..record("s", 1) }
}

// Guards against requests to a searcher that has started again and asked for none before its new
// registration was read (review/5).
#[test]
fn a_rest_that_a_new_start_asks_for_outlasts_the_old_registration() {
    let mut setup = Setup::new(record("s", 5));
    let heard_at = READ_AT - ms(900);
    setup.hear(rest(ms(7000)), heard_at);
    setup.adopt(vec![restarted()], READ_AT);
    assert_eq!(setup.chosen(READ_AT), None);
    assert_eq!(setup.chosen(heard_at + ms(6999)), None);
    let resumed = setup.chosen(heard_at + ms(7000)).expect("the rest is over");
    assert_ne!(resumed, setup.first_key);
}

// Guards against dropping what an answer says that arrives, or sending a request that is sent,
// after the registration was replaced.
#[test]
fn a_request_under_way_while_the_registration_is_replaced_counts_for_the_new_one() {
    let mut setup = Setup::new(record("s", 5));
    for (sequence, started) in [(1, 2000), (1, 3000)] {
        let record = SearcherRecord { started_unix_ms: Some(started), ..record("s", sequence) };
        setup.adopt(vec![record], READ_AT);
    }
    assert!(!setup.fleet.is_withheld(setup.first_key, READ_AT));
    setup.hear(rest(ms(7000)), READ_AT + ms(10));
    assert!(setup.fleet.is_withheld(setup.first_key, READ_AT + ms(10)));
    assert_eq!(setup.chosen(READ_AT + ms(10)), None);
}

// Guards against a searcher that gets no requests after it has started again, because of what its
// earlier start said.
#[test]
fn what_an_earlier_start_said_long_before_does_not_hold_for_a_new_one() {
    let limit = Statement { rate: StatedRate::PerSecond(0.0), ..Statement::default() };
    for statement in [rest(ms(120_000)), leaving(), limit] {
        let mut setup = Setup::new(record("s", 5));
        setup.hear(statement, ms(40_000));
        setup.adopt(vec![restarted()], READ_AT);
        assert!(setup.chosen(READ_AT).is_some(), "{statement:?}");
    }
}

// Guards against requests to a searcher that leaves just after it has started again, and against
// one that is lost for good because only its earlier start left.
#[test]
fn a_new_start_counts_as_leaving_for_a_while_if_it_may_have_said_so() {
    let doubt_period = FleetSettings::default().doubt_period;
    let mut setup = Setup::new(record("s", 5));
    let heard_at = READ_AT - ms(900);
    setup.hear(leaving(), heard_at);
    setup.adopt(vec![restarted()], READ_AT);
    assert_eq!(setup.chosen(heard_at + ms(1000)), None);
    assert_eq!(setup.chosen(heard_at + doubt_period - ms(1)), None);
    let used = setup.chosen(heard_at + doubt_period).expect("it does not leave");
    setup.fleet.record_statement(used, 2, &leaving(), heard_at + doubt_period);
    assert_eq!(setup.chosen(heard_at + 10 * doubt_period), None, "it has said so itself");
}

// Guards against a searcher that is not used after a planned restart under its id.
#[test]
fn leaving_of_a_start_that_was_registered_as_leaving_ends_with_it() {
    let mut setup = Setup::new(record("s", 5));
    setup.hear(leaving(), READ_AT - ms(900));
    let draining = SearcherRecord { state: SearcherState::Draining, ..record("s", 6) };
    setup.adopt(vec![draining], READ_AT - ms(500));
    setup.adopt(vec![restarted()], READ_AT);
    assert!(setup.chosen(READ_AT).is_some());
}

// Guards against requests to a searcher in the time for which it wants none, after its registration
// has lapsed and was written again (review/4).
#[test]
fn a_rest_outlasts_a_registration_that_lapses_and_comes_back() {
    let mut setup = Setup::new(record("s", 5));
    setup.hear(rest(ms(120_000)), ms(40_000));
    setup.adopt(Vec::new(), ms(44_000));
    // The answer to a request that was under way.
    setup.hear(rest(ms(130_000)), ms(44_100));
    assert!(setup.fleet.is_withheld(setup.first_key, ms(44_100)));
    // Longer than what has said nothing is remembered.
    setup.adopt(Vec::new(), ms(120_000));
    setup.adopt(vec![record("s", 90)], ms(121_000));
    assert_eq!(setup.chosen(ms(174_099)), None);
    assert!(setup.chosen(ms(174_100)).is_some());
}
