//! Limits what a connection reads before the head of a response is complete.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that may still be read; `None` without a limit.
type BytesLeft = Rc<Cell<Option<usize>>>;

/// The limit of a [`HeadLimited`] stream.
pub(super) struct HeadLimit(BytesLeft);

impl HeadLimit {
    /// Lifts the limit once the head is complete.
    pub fn lift(&self) {
        self.0.set(None);
    }
}

/// A stream that fails once more was read than the limit, until the limit is lifted.
pub(super) struct HeadLimited {
    stream: TcpStream,
    bytes_left: BytesLeft,
}

impl HeadLimited {
    /// Limits the bytes that are read from a stream.
    pub fn new(stream: TcpStream, max_bytes: usize) -> (Self, HeadLimit) {
        let bytes_left = Rc::new(Cell::new(Some(max_bytes)));
        let limit = HeadLimit(Rc::clone(&bytes_left));
        (Self { stream, bytes_left }, limit)
    }
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bytes_left.get() == Some(0) {
            return Poll::Ready(Err(io::Error::other("head of the response is too large")));
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - filled;
        let bytes_left = self.bytes_left.get();
        self.bytes_left
            .set(bytes_left.map(|it| it.saturating_sub(read)));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadLimited {
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
