//! Registrations of daemons under leases that the store gives out again.

mod support;

use std::time::Duration;

use support::start_store;

use tt_adapter::HttpSettings;
use tt_adapter::MemberRecord;
use tt_adapter::Platform as Client;
use tt_adapter::PlatformError;
use tt_front::Registration;
use tt_standin::Platform;

const TTL: Duration = Duration::from_secs(10);

fn registration(store: &Platform, vm: &str) -> Registration {
    let address = "127.0.0.1:9".parse().expect("an address");
    let record = MemberRecord {
        vm: vm.to_owned(),
        front: address,
        peer: address,
        domain: "d".to_owned(),
        leaving: false,
    };
    Registration::new(Client::new(store.address(), HttpSettings::default()), record)
}

fn is_listed(store: &Platform, vm: &str) -> bool {
    store.value(&format!("members/{vm}")).is_some()
}

// Guards against a daemon that takes the lease of another one for its own, after the store has come
// back from an older copy and has given out the id again: it is not listed, or its end removes the
// other one from the list.
#[tokio::test]
async fn a_lease_that_the_store_gave_out_again_belongs_to_one_daemon() -> Result<(), PlatformError>
{
    let store = start_store().await;
    let copy = store.copy();
    let (mut first, mut second) = (registration(&store, "first"), registration(&store, "second"));
    first.renew(TTL).await?;
    store.restore(&copy);
    second.renew(TTL).await?;
    first.renew(TTL).await?;
    assert!(is_listed(&store, "first") && is_listed(&store, "second"));

    // The next one is given the id of the lease that the store has lost.
    let copy = store.copy();
    let mut third = registration(&store, "third");
    third.renew(TTL).await?;
    store.restore(&copy);
    let mut fourth = registration(&store, "fourth");
    fourth.renew(TTL).await?;
    assert_eq!(third.end().await, Err(PlatformError::Restored));
    assert!(is_listed(&store, "fourth"));
    Ok(())
}
