//! `tinbank upstreams`.

use argh::FromArgs;
use tinbank_base::platform::hosts::{Kind, State, Upstream};

use crate::{context::Context, error::Error, exit::Exit, output::Output};

/// Lists the upstreams on the platform's host list.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "upstreams",
    example = "{command_name}\n{command_name} --pool logger-notes"
)]
pub struct Upstreams {
    /// only those of this pool
    #[argh(option)]
    pool: Option<String>,
}

impl Upstreams {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let list = context.hosts()?.list().await;
        let list = list.map_err(|error| Error::new(Exit::Unreachable, error.to_string()))?;
        let wanted = |upstream: &&Upstream| {
            let pool = self.pool.as_ref();
            pool.is_none_or(|pool| upstream.pools.contains(pool))
        };
        let upstreams: Vec<&Upstream> = list.upstreams.iter().filter(wanted).collect();
        if output.json {
            output.value(&upstreams)?;
            return Ok(Exit::Done);
        }
        let head = [
            "upstream",
            "name",
            "kind",
            "pools",
            "address",
            "failure domain",
            "fence",
            "state",
        ];
        let mut rows = vec![head.map(str::to_owned).to_vec()];
        rows.extend(upstreams.into_iter().map(row));
        output.table(&rows)?;
        Ok(Exit::Done)
    }
}

fn row(upstream: &Upstream) -> Vec<String> {
    let kind = match upstream.kind {
        Kind::Engine => "engine",
        Kind::Plain => "plain",
    };
    let fence = match (upstream.kind, upstream.checks_fence) {
        (Kind::Plain, _) => "-",
        (Kind::Engine, true) => "checked",
        (Kind::Engine, false) => "ignored",
    };
    vec![
        upstream.upstream.to_string(),
        upstream.name.clone(),
        kind.to_owned(),
        upstream.pools.join(","),
        upstream.address.to_string(),
        upstream.failure_domain.clone(),
        fence.to_owned(),
        state(upstream.state).to_owned(),
    ]
}

pub(super) fn state(state: State) -> &'static str {
    match state {
        State::Live => "live",
        State::Leaving => "leaving",
    }
}
