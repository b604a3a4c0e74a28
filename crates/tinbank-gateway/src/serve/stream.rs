//! The connection of a caller, which ends with a reset unless its responses were completed.
//!
//! The end of the connection is the end of a response of unknown length to an HTTP/1.0 caller, so an orderly end would make a cut
//! response look whole. See `docs/design/slow-readers.md`.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// How the connection of a caller ends. Clones refer to the same connection.
#[derive(Clone, Debug, Default)]
pub(super) struct Ending(Rc<Cell<bool>>);

impl Ending {
    /// Makes the connection end with a reset from the next write on, until it is shut down after a completed response. The system
    /// does so too if the process is killed.
    pub fn reset_unless_shut_down(&self) {
        self.0.set(true);
    }
}

/// The connection of a caller.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    ending: Ending,
    is_reset_set: bool,
}

impl CallerStream {
    pub fn new(stream: TcpStream, ending: Ending) -> Self {
        Self {
            stream,
            ending,
            is_reset_set: false,
        }
    }

    fn prepare_write(&mut self) -> io::Result<()> {
        if self.ending.0.get() && !self.is_reset_set {
            self.set_reset(true)?;
        }
        Ok(())
    }

    /// Sets whether closing the socket resets the connection.
    fn set_reset(&mut self, is_reset: bool) -> io::Result<()> {
        let linger = is_reset.then_some(Duration::ZERO);
        SockRef::from(&self.stream).set_linger(linger)?;
        self.is_reset_set = is_reset;
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Called after the last response was completed, and not after one that was cut.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_reset_set {
            self.set_reset(false)?;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
