//! Client of the platform: its key-value store and its list of VMs.
//!
//! [`Store::call`] carries out one [`tt_model::StoreCall`] and classifies what happened, so
//! that decision code can tell a write that certainly had no effect
//! ([`tt_model::StoreReply::Unavailable`]) from one that may have taken effect
//! ([`tt_model::StoreReply::Lost`]). [`VmList::fetch`] reads the list of VMs, which lags.

mod http;
mod store;
mod vms;

pub use store::Store;
pub use store::StoreSettings;
pub use vms::ListedVm;
pub use vms::VmList;
pub use vms::VmState;
