//! Messages between the daemons of a tier and their tonic client and server.
//!
//! The code in `generated/` is produced from `proto/tier.proto` by the developer tool in
//! `codegen/`, which is not part of the build. A test compares the committed code with the
//! messages, fields and calls named in the `.proto` file.

#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/trefoiltiller.v1.rs"]
mod generated;

pub use generated::CancelReply;
pub use generated::CancelRequest;
pub use generated::Envelope;
pub use generated::GatherRequest;
pub use generated::Kind;
pub use generated::Outcome;
pub use generated::RunMode;
pub use generated::Stage;
pub use generated::Sub;
pub use generated::SubReply;
pub use generated::tier_client::TierClient;
pub use generated::tier_server::Tier;
pub use generated::tier_server::TierServer;
