//! Receives the bodies of requests within an account of memory.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use xitca_web::body::BodyExt;
use xitca_web::body::RequestBody;

use tt_front::Account;
use tt_front::Charge;
use tt_front::Holder;
use tt_model::ResultCode;
use tt_serve::CallerMemorySettings;
use tt_serve::HolderPhase;
use tt_serve::MemoryLimits;

/// Maximum size of a head, in bytes, and of what is read ahead of a body. The default of `xitca-web`
/// is 1 MiB for each connection.
pub(crate) const HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of bodies that are being received at a time at one interface.
const MAX_BODIES: usize = 1024;

/// First reservation for a body whose length is not announced; each further one doubles it.
const FIRST_PIECE_BYTES: usize = 16 * 1024;

/// A body, which is charged until this is dropped.
#[derive(Debug, Default)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Vec<u8>,
    charges: Vec<Charge>,
    holder: Option<Arc<Holder>>,
}

/// The account of one interface, in which bodies take `bytes` at most.
pub(crate) fn account(name: &'static str, bytes: usize) -> Arc<Account> {
    let limits = MemoryLimits { bytes, connection_bytes: usize::MAX, connections: MAX_BODIES };
    Account::start(name, CallerMemorySettings::default(), limits)
}

/// Receives a body of at most `limit` bytes from `caller`. `announced` is its length, if that is known.
///
/// # Errors
///
/// [`ResultCode::Overloaded`] if there is no memory for it, or if others need the memory and this
/// body is the slowest and largest.
pub(crate) async fn receive(
    account: &Arc<Account>,
    caller: SocketAddr,
    body: RequestBody,
    announced: Option<usize>,
    limit: usize,
) -> Result<HeldBody, ResultCode> {
    match announced {
        Some(length) if length > limit => return Err(ResultCode::BodyTooLarge),
        Some(0) => return Ok(HeldBody::default()),
        Some(_) | None => {}
    }
    let holder = account.try_admit(HEAD_BYTES, Some(caller)).ok_or(ResultCode::Overloaded)?;
    holder.set_phase(HolderPhase::Body);
    let mut held = tokio::select! {
        biased;
        () = holder.closed() => Err(ResultCode::Overloaded),
        held = collect(&holder, body, announced, limit) => held,
    }?;
    holder.set_phase(HolderPhase::Running);
    held.holder = Some(holder);
    Ok(held)
}

async fn collect(
    holder: &Holder,
    body: RequestBody,
    announced: Option<usize>,
    limit: usize,
) -> Result<HeldBody, ResultCode> {
    let mut body = pin!(body);
    let mut held = HeldBody::default();
    let mut reserved = 0;
    let mut next = announced.unwrap_or(FIRST_PIECE_BYTES.min(limit));
    if announced.is_some() {
        held.grow(holder, &mut reserved, next).await?;
    }
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| ResultCode::MalformedRequest)?;
        if held.bytes.len() + chunk.len() > limit {
            return Err(ResultCode::BodyTooLarge);
        }
        while held.bytes.len() + chunk.len() > reserved {
            held.grow(holder, &mut reserved, next).await?;
            next = reserved.min(limit - reserved);
        }
        held.bytes.extend_from_slice(&chunk);
    }
    Ok(held)
}

impl HeldBody {
    async fn grow(
        &mut self,
        holder: &Holder,
        reserved: &mut usize,
        bytes: usize,
    ) -> Result<(), ResultCode> {
        self.charges.push(holder.reserve(bytes).await.ok_or(ResultCode::Overloaded)?);
        *reserved += bytes;
        self.bytes.reserve_exact(*reserved - self.bytes.len());
        Ok(())
    }
}
