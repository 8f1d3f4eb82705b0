//! Admission control, queueing and connection limits of the tier.
//!
//! The crate does no I/O and reads no clock: callers pass in events and the current time, and
//! carry out the returned actions.
//!
//! * [`Admission`] runs at the entry. It enforces each service's contract with a token
//!   bucket and a concurrency limit. The entry's quota of both depends on the usage that the
//!   other entries report.
//! * [`SlotQueue`] runs at the owner or successor of a searcher. It orders sub-queries by
//!   weighted fair queueing and starts no more than the [`SlotGrant`] allows, fewer after a
//!   cold start of the searcher, and none while the searcher drains.
//! * [`Connections`] runs beside each queue. It decides when to open, reuse and close
//!   connections to the searcher.
//!
//! The daemon that drives a queue calls [`SlotQueue::push`] and then
//! [`SlotQueue::next_action`] until it returns `None`; it does the latter again after every
//! event and at [`SlotQueue::wake_at`]. Each started sub-query takes a connection with
//! [`Connections::acquire`] and ends with [`SlotQueue::finish`] and
//! [`Connections::on_released`].

mod admission;
mod connections;
mod pair;
mod slots;
mod slowstart;

pub use admission::Admission;
pub use admission::AdmissionSettings;
pub use admission::Arrival;
pub use admission::EntryQuota;
pub use admission::MemberView;
pub use admission::Permit;
pub use admission::ServiceUsage;
pub use admission::UsageReport;
pub use connections::Acquired;
pub use connections::ConnectionAction;
pub use connections::ConnectionId;
pub use connections::ConnectionSettings;
pub use connections::Connections;
pub use pair::PairRole;
pub use slots::CancelOutcome;
pub use slots::Pressure;
pub use slots::QueuePolicy;
pub use slots::QueueSettings;
pub use slots::RejectReason;
pub use slots::Rejected;
pub use slots::RunOutcome;
pub use slots::SlotAction;
pub use slots::SlotGrant;
pub use slots::SlotKind;
pub use slots::SlotPolicy;
pub use slots::SlotQueue;
pub use slots::SubQuery;
pub use slots::Ticket;
pub use slowstart::SlowStart;
pub use slowstart::SlowStartSettings;
