//! Behaviour of the slot queue.

mod common;

use tokio::time::Instant;

use tt_limits::QueueSettings;
use tt_limits::SlotQueue;
use tt_limits::SlotRight;

use common::ms;
use common::started;
use common::sub;

fn queue(now: Instant, right: SlotRight) -> SlotQueue<u32> {
    let mut queue = SlotQueue::new(now, QueueSettings::default());
    queue.set_right(right);
    queue
}

/// Guards against more sub-queries at a searcher than its limit.
#[test]
fn starts_no_more_than_the_right_allows() {
    let now = Instant::now();
    let mut queue = queue(now, SlotRight::promised(2, now + ms(3000)));
    for item in 0..5 {
        queue.push(now, sub(now, 0, ms(400)), item).unwrap();
    }
    assert_eq!(started(&mut queue, now).len(), 2);
    assert_eq!((queue.running(), queue.queued()), (2, 3));
}
