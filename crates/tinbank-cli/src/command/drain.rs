//! `tinbank drain`.

use std::{collections::BTreeSet, time::Duration};

use argh::FromArgs;
use serde::Serialize;
use tinbank_base::{id, platform::hosts::State, record::config::Object};
use tinbank_configuration::drain::Drain as Wanted;
use tokio::time;

use crate::{
    configuration::{Base, Change, Configuration},
    context::Context,
    error::Error,
    exit::Exit,
    output::Output,
    processes::{self, Process},
    server::{Ask, Server},
};

/// Time between two looks at a host that is being drained.
const POLL: Duration = Duration::from_millis(500);

/// Drains a host or an upstream, or returns it to use.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "{command_name} host 3 --wait\n\
               {command_name} upstream 17\n\
               {command_name} upstream 17 --back",
    note = "It is published like any change of the configuration and is in force everywhere within seconds. The \
            processes of a drained host take nothing new, finish what they have and end; started again, they stay \
            unready and end until the host is returned with --back. A drained upstream gets no new work."
)]
pub struct Drain {
    /// host or upstream
    #[argh(positional, from_str_fn(kind))]
    kind: Kind,
    /// its number, as `tinbank hosts` and `tinbank upstreams` show it
    #[argh(positional)]
    number: u32,
    /// return it to use
    #[argh(switch)]
    back: bool,
    /// wait until the host's processes have ended
    #[argh(switch)]
    wait: bool,
    /// drain the host even if it is the last one
    #[argh(switch)]
    last: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Host,
    Upstream,
}

/// What was published, as JSON.
#[derive(Serialize)]
struct Published {
    object: String,
    state: State,
    revision: id::Revision,
}

impl Drain {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let processes = match self.kind {
            Kind::Host => processes::find(context).await?,
            Kind::Upstream => Vec::new(),
        };
        if self.kind == Kind::Upstream {
            self.check_upstream(context).await?;
        }
        let mut configuration = Configuration::open(context)?;
        if self.kind == Kind::Host && !self.back {
            let drained = configuration.load().await?.snapshot().leaving.hosts;
            self.check_host(&processes, &drained)?;
        }
        let published = self.publish(&mut configuration).await?;
        if output.json {
            output.value(&published)?;
        } else {
            let verb = if self.back {
                "returned to use"
            } else {
                "to be drained"
            };
            output.line(format!(
                "{}: {verb}, revision {}",
                published.object, published.revision
            ))?;
        }
        if self.wait && self.kind == Kind::Host && !self.back {
            self.wait_for_end(&processes, &context.server()).await;
            output.note(format!("{}: its processes have ended", published.object));
        }
        Ok(Exit::Done)
    }

    fn object(&self) -> Object {
        match self.kind {
            Kind::Host => Object::Host(self.number),
            Kind::Upstream => Object::Upstream(self.number),
        }
    }

    async fn publish(&self, configuration: &mut Configuration) -> Result<Published, Error> {
        let state = if self.back {
            State::Live
        } else {
            State::Leaving
        };
        let body = serde_json::to_string(&Wanted { state })
            .map_err(|error| Error::new(Exit::Failed, error.to_string()))?;
        let object = self.object();
        let change = Change {
            object: object.clone(),
            base: Base::Newest,
            body: Some(body),
            number: None,
        };
        let revision = configuration.publish(change).await?;
        Ok(Published {
            object: object.to_string(),
            state,
            revision,
        })
    }

    async fn check_upstream(&self, context: &mut Context) -> Result<(), Error> {
        let list = context.hosts()?.list().await;
        let list = list.map_err(|error| Error::new(Exit::Unreachable, error.to_string()))?;
        let known = list
            .upstreams
            .iter()
            .any(|upstream| upstream.upstream == self.number);
        if known || self.back {
            return Ok(());
        }
        Err(self.missing("tinbank upstreams"))
    }

    fn check_host(&self, processes: &[Process], drained: &BTreeSet<id::Host>) -> Result<(), Error> {
        let (of_host, others): (Vec<_>, Vec<_>) = processes
            .iter()
            .partition(|process| process.process.host == self.number);
        if of_host.is_empty() {
            return Err(self.missing("tinbank hosts"));
        }
        let lost = of_host.iter().find(|process| {
            let role = process.process.role;
            !others.iter().any(|other| {
                let in_use = other.is_in_use() && !drained.contains(&other.process.host);
                in_use && other.process.role == role
            })
        });
        match lost {
            Some(process) if !self.last => {
                let role = process.process.role;
                let what =
                    format!("no other host would have {role} processes; nothing was changed");
                Err(Error::new(Exit::Refused, what)
                    .at(self.object().to_string())
                    .help("return another host to use first, or add --last"))
            }
            _ => Ok(()),
        }
    }

    fn missing(&self, command: &str) -> Error {
        Error::new(Exit::Missing, "it is not known")
            .at(self.object().to_string())
            .help(format!("see which there are with `{command}`"))
    }

    async fn wait_for_end(&self, processes: &[Process], server: &Server) {
        for process in processes {
            if process.process.host != self.number {
                continue;
            }
            let ask = Ask::get("/healthz");
            while server.any(&[process.http], &ask).await.is_ok() {
                time::sleep(POLL).await;
            }
        }
    }
}

fn kind(text: &str) -> Result<Kind, String> {
    match text {
        "host" => Ok(Kind::Host),
        "upstream" => Ok(Kind::Upstream),
        _ => Err(format!("`{text}` is neither host nor upstream")),
    }
}
