//! Bounds on what a server may send, so that one that sends without end can't exhaust this daemon.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// How many bytes may still be received on a connection. Counts heads, interim answers and chunk
/// framing too, which no limit on bodies sees.
#[derive(Debug, Clone, Default)]
pub(crate) struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Allows `bytes` from now on, in place of what is left.
    pub(crate) fn reset(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Allows further `bytes`.
    pub(crate) fn extend(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    fn take(&self, bytes: usize) -> bool {
        let take = |left: usize| left.checked_sub(bytes);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// A TCP connection that fails when more is received than its allowance.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    allowance: Allowance,
}

impl BoundedStream {
    pub(crate) fn new(stream: TcpStream, allowance: Allowance) -> BoundedStream {
        BoundedStream { stream, allowance }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(result, Poll::Ready(Ok(())))
            && !self.allowance.take(buffer.filled().len() - before)
        {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the answer is too long");
            return Poll::Ready(Err(error));
        }
        result
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The memory for answers that are being received, shared by all requests.
#[derive(Debug)]
pub struct AnswerMemory {
    left: AtomicUsize,
}

/// Bytes of each answer that don't count against the shared memory, so that usual answers are
/// received while others exhaust it.
const FREE_ANSWER_BYTES: usize = 16 * 1024;

impl AnswerMemory {
    /// Memory of this size, besides a small part of each answer.
    pub fn new(bytes: usize) -> AnswerMemory {
        AnswerMemory { left: AtomicUsize::new(bytes) }
    }

    /// Receives a whole body. `None` if it breaks off, is longer than `max_bytes`, or exceeds the
    /// shared memory.
    pub async fn collect(&self, mut body: Incoming, max_bytes: usize) -> Option<Bytes> {
        let mut reservation = Reservation { memory: self, bytes: 0 };
        let mut received = BytesMut::new();
        let mut first = Bytes::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else { continue };
            let length = received.len() + first.len() + data.len();
            if length > max_bytes || !reservation.grow(length.saturating_sub(FREE_ANSWER_BYTES)) {
                return None;
            }
            // Most bodies arrive in one frame, which is kept as it is.
            if length == data.len() {
                first = data;
            } else {
                received.extend_from_slice(&std::mem::take(&mut first));
                received.extend_from_slice(&data);
            }
        }
        Some(if received.is_empty() { first } else { received.freeze() })
    }
}

/// Memory that one body takes while it is received.
#[derive(Debug)]
struct Reservation<'a> {
    memory: &'a AnswerMemory,
    bytes: usize,
}

impl Reservation<'_> {
    /// Grows to `bytes`. Returns whether there is room.
    fn grow(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let take = |left: usize| left.checked_sub(more);
        let room =
            self.memory.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok();
        if room {
            self.bytes += more;
        }
        room
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.memory.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
