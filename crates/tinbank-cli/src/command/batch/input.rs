//! The items of a job, as they are sent.

use bytes::Bytes;
use futures::TryStreamExt as _;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use indicatif::ProgressBar;
use tinbank_server::client::{self, Body};
use tokio::{
    fs::File,
    io::{self, AsyncReadExt as _},
};
use tokio_util::io::ReaderStream;

use crate::{error::Error, exit::Exit};

/// Bytes that are read from a file at once.
const PIECE: usize = 64 << 10;

/// Where the items come from. Both can be sent more than once.
pub(super) enum Input {
    File { path: String, length: u64 },
    Memory(Bytes),
}

impl Input {
    pub(super) async fn open(file: &str) -> Result<Self, Error> {
        if file != "-" {
            let opened = open(file).await?;
            let metadata = opened.metadata().await;
            let metadata = metadata.map_err(|error| unread(file, &error))?;
            return Ok(Self::File {
                path: file.to_owned(),
                length: metadata.len(),
            });
        }
        let mut bytes = Vec::new();
        let read = io::stdin().read_to_end(&mut bytes).await;
        read.map_err(|error| unread("stdin", &error))?;
        Ok(Self::Memory(bytes.into()))
    }

    /// A body with all items, from the beginning.
    pub(super) async fn body(&self, bar: &ProgressBar) -> Result<Body, Error> {
        bar.set_position(0);
        let (path, length) = match self {
            Self::Memory(bytes) => return Ok(client::whole(bytes.clone())),
            Self::File { path, length } => (path, length),
        };
        bar.set_length(*length);
        let bar = bar.clone();
        let pieces = ReaderStream::with_capacity(open(path).await?, PIECE)
            .inspect_ok(move |piece| bar.inc(piece.len() as u64))
            .map_ok(Frame::data)
            .map_err(|error| -> Box<dyn std::error::Error + Send + Sync> { error.into() });
        Ok(StreamBody::new(pieces).boxed())
    }
}

async fn open(path: &str) -> Result<File, Error> {
    File::open(path).await.map_err(|error| unread(path, &error))
}

fn unread(file: &str, error: &io::Error) -> Error {
    Error::new(Exit::Input, format!("can't be read: {error}"))
        .at(file)
        .help("name a file with a line of JSON for each item, or - for stdin")
}
