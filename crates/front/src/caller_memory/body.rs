//! Receives bodies within an account.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;

use super::Charge;
use super::Holder;
use tt_serve::HolderPhase;

/// First reservation for a body whose length is not announced; each further one doubles it.
const FIRST_PIECE_BYTES: usize = 16 * 1024;

/// Bytes with what they are charged for.
#[derive(Debug, Default)]
pub(crate) struct HeldBytes {
    pub(crate) bytes: Vec<u8>,
    pub(crate) charges: Vec<Charge>,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBytes {
    /// Shares the bytes. They stay charged until the last copy is dropped.
    pub(crate) fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

/// Why a body is not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    TooLarge,
    Cut,
    /// There is no memory for it.
    Refused,
}

/// Receives a whole body of at most `max_bytes`.
///
/// The pieces are copied: each of them would keep a read buffer of the connection in memory, which
/// for small pieces is many times larger.
pub(crate) async fn collect(
    holder: &Holder,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<HeldBytes, BodyError> {
    let announced = body.size_hint().exact().map(usize::try_from);
    let mut body_reservation = match announced {
        Some(Ok(0)) => return Ok(HeldBytes::default()),
        Some(Ok(length)) if length <= max_bytes => Reservation { next: length, max: length },
        Some(_) => return Err(BodyError::TooLarge),
        None => Reservation { next: FIRST_PIECE_BYTES.min(max_bytes), max: max_bytes },
    };
    let mut held = HeldBytes::default();
    holder.set_phase(HolderPhase::Body);
    loop {
        if held.bytes.len() == held.bytes.capacity() {
            body_reservation.grow(holder, &mut held).await?;
        }
        let Some(frame) = body.frame().await else { break };
        let Ok(data) = frame.map_err(|_| BodyError::Cut)?.into_data() else { continue };
        if held.bytes.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        while held.bytes.len() + data.len() > held.bytes.capacity() {
            body_reservation.grow(holder, &mut held).await?;
        }
        held.bytes.extend_from_slice(&data);
    }
    holder.set_phase(HolderPhase::Running);
    Ok(held)
}

/// How much of a body is reserved next.
#[derive(Debug)]
struct Reservation {
    next: usize,
    /// Maximum size of the body.
    max: usize,
}

impl Reservation {
    async fn grow(&mut self, holder: &Holder, held: &mut HeldBytes) -> Result<(), BodyError> {
        let reserved = held.bytes.capacity();
        if reserved >= self.max {
            return Ok(());
        }
        held.charges.push(holder.reserve(self.next).await.ok_or(BodyError::Refused)?);
        held.bytes.reserve_exact(reserved + self.next - held.bytes.len());
        let reserved = held.bytes.capacity();
        self.next = reserved.min(self.max.saturating_sub(reserved));
        Ok(())
    }
}
