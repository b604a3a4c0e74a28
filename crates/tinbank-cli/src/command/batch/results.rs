//! `tinbank batch results`.

use std::time::Duration;

use argh::FromArgs;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tinbank_base::cause;
use tokio::{fs::File, io::AsyncWriteExt as _, time};

use super::job_path;
use crate::{
    context::Context,
    error::Error,
    exit::Exit,
    output::Output,
    server::{Ask, escape},
};

/// Longest silence in the midst of the results.
const SILENCE: Duration = Duration::from_secs(60);

/// Reads the results of a job, a line of JSON for each item.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "results",
    example = "{command_name} 0197e0a1b2c3d4e5f60718293a4b5c6d\n\
               {command_name} --out notes.ndjson 0197e0a1b2c3d4e5f60718293a4b5c6d\n\
               {command_name} --item logger-0017 0197e0a1b2c3d4e5f60718293a4b5c6d",
    note = "Results that break off end with 8; reading them again is harmless."
)]
pub struct Results {
    /// id of the job
    #[argh(positional)]
    job: String,
    /// only the item with this `custom_id`
    #[argh(option)]
    item: Option<String>,
    /// write them to this file
    #[argh(option)]
    out: Option<String>,
}

impl Results {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let job = job_path(&self.job)?;
        let path = match &self.item {
            Some(item) => format!("{job}/items/{}", escape(item)),
            None => format!("{job}/results"),
        };
        let ask = Ask::get(path).key(&context.key()?)?;
        let response = context.server().any(&context.batch()?, &ask).await?;
        let mut sink = Sink::open(self.out.as_deref(), output).await?;
        copy(response, &mut sink).await?;
        sink.close(self.item.is_some()).await?;
        Ok(Exit::Done)
    }
}

/// Where the results go.
enum Sink<'a> {
    Output(&'a mut Output),
    File { path: &'a str, file: File },
}

impl<'a> Sink<'a> {
    async fn open(path: Option<&'a str>, output: &'a mut Output) -> Result<Self, Error> {
        let Some(path) = path else {
            return Ok(Self::Output(output));
        };
        let file = File::create(path).await;
        let file = file.map_err(|error| unwritten(path, &error))?;
        Ok(Self::File { path, file })
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), Error> {
        match self {
            Self::Output(output) => output.raw(bytes),
            Self::File { path, file } => {
                let written = file.write_all(bytes).await;
                written.map_err(|error| unwritten(path, &error))
            }
        }
    }

    async fn close(self, ends_line: bool) -> Result<(), Error> {
        match self {
            Self::Output(output) if ends_line => output.line(""),
            Self::Output(_) => Ok(()),
            Self::File { path, mut file } => {
                let flushed = file.flush().await;
                flushed.map_err(|error| unwritten(path, &error))
            }
        }
    }
}

async fn copy(response: Response<Incoming>, sink: &mut Sink<'_>) -> Result<(), Error> {
    let mut body = response.into_body();
    loop {
        match time::timeout(SILENCE, body.frame()).await {
            Ok(None) => return Ok(()),
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    sink.write(&bytes).await?;
                }
            }
            Ok(Some(Err(error))) => return Err(cut(&cause::chain(&error))),
            Err(_) => return Err(cut("no more came")),
        }
    }
}

fn cut(reason: &str) -> Error {
    Error::new(
        Exit::Partial,
        format!("the results are not whole: {reason}"),
    )
    .help("read them again; that is harmless")
}

fn unwritten(path: &str, error: &std::io::Error) -> Error {
    Error::new(Exit::Failed, format!("can't be written: {error}")).at(path)
}
