//! Where the command line finds the system: a small file in JSON with comments.

use std::{env, net::SocketAddr, path::PathBuf};

use serde::Deserialize;
use smallvec::SmallVec;
use tinbank_settings::{
    load,
    schema::{Field, Kind, Schema, Use},
};

use crate::{error::Error, exit::Exit};

/// Environment variable that names the settings file.
pub const VARIABLE: &str = "TINBANK_SETTINGS";

/// Settings of the command line. Commands ask only for what they need.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Settings {
    /// The platform's log service.
    #[serde(default)]
    pub log: Option<SocketAddr>,
    /// The platform's host list.
    #[serde(default)]
    pub hosts: Option<SocketAddr>,
    /// Where online requests enter: the balancer, or some hosts.
    pub online: SmallVec<[SocketAddr; 4]>,
    /// Where batch jobs enter: the balancer, or some hosts.
    pub batch: SmallVec<[SocketAddr; 4]>,
    /// The caller's key.
    #[serde(default)]
    pub key: Option<String>,
    /// Who signs changes; the user's name by default.
    #[serde(default)]
    pub author: Option<String>,
}

/// Most entry addresses that are tried.
const MAX_ENTRIES: usize = 64;

impl Schema for Settings {
    fn fields() -> Vec<Field> {
        let addresses = || Kind::List {
            of: Box::new(Kind::Address(Use::Peer)),
            min: 0,
            max: MAX_ENTRIES,
        };
        vec![
            Field::optional(
                "log",
                Kind::Address(Use::Connect),
                "The platform's log service, for commands about templates, customers and the configuration.",
            ),
            Field::optional(
                "hosts",
                Kind::Address(Use::Connect),
                "The platform's host list, for `hosts`, `upstreams`, `drain` and to find processes.",
            ),
            Field::default(
                "online",
                addresses(),
                "[]",
                "Where online requests enter: the balancer, or some hosts' online processes.",
            ),
            Field::default(
                "batch",
                addresses(),
                "[]",
                "Where batch jobs enter: the balancer, or some hosts' batch processes.",
            ),
            Field::optional("key", Kind::Text, "The caller's key."),
            Field::optional(
                "author",
                Kind::Text,
                "Who signs changes of the configuration; the user's name if absent.",
            ),
        ]
    }
}

impl Settings {
    /// Reads the file that is named by the argument or the environment.
    ///
    /// # Errors
    /// No file is named, or all findings in it.
    pub fn find(argument: Option<&PathBuf>) -> Result<Self, Error> {
        let path = argument
            .cloned()
            .or_else(|| env::var_os(VARIABLE).map(PathBuf::from));
        let Some(path) = path else {
            let what = "no settings file is named, so the system can't be found";
            let help = format!("give `--settings FILE` or set {VARIABLE}; see docs/running.md");
            return Err(Error::new(Exit::Input, what).help(help));
        };
        Ok(load(&path)?)
    }

    /// Who signs changes.
    pub fn author(&self) -> String {
        let user = || env::var("USER").ok();
        self.author
            .clone()
            .or_else(user)
            .unwrap_or_else(|| "unknown".to_owned())
    }
}
