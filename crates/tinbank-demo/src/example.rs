//! Reads an example: its deployment, what is published, and the inputs.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use jsonc_parser::ParseOptions;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;
use serde_with::{DurationMilliSeconds, DurationMilliSecondsWithFrac, serde_as};
use tinbank_base::{id, platform::weights::Artifact};
use tinbank_configuration::{customer::Customer, template::Template};

/// Why an example can't be read.
#[derive(Debug, thiserror::Error)]
#[error("{}: {message}", path.display())]
pub struct Error {
    /// Which file.
    pub path: PathBuf,
    /// What is wrong with it.
    pub message: String,
}

/// Engines of a deployment.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// How many.
    pub count: u32,
    /// Pool that they belong to.
    pub pool: id::Pool,
    /// Sequences that each runs at once.
    pub slots: u32,
    /// Time of a step with no sequence in it.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "base_step_ms")]
    pub base_step: Duration,
    /// Time that each sequence adds.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "step_per_sequence_ms")]
    pub step_per_sequence: Duration,
    /// Speed of the prompt's uncached tokens.
    pub prefill_tokens_per_ms: f64,
    /// Size of the prefix cache.
    pub prefix_cache_tokens: usize,
    /// Least age of the load report.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "report_lag_ms")]
    pub report_lag: Duration,
    /// Every so many engines checks fencing numbers.
    pub checks_fence_every: u32,
}

/// Plain services of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// How many.
    pub count: u32,
    /// Pool that they belong to.
    pub pool: id::Pool,
}

/// The log of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Appends a second.
    pub appends_per_second: f64,
}

/// Online traffic of a deployment.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Online {
    /// Requests a second outside of bursts.
    pub requests_per_second: f64,
    /// How many times as many come in a burst.
    pub burst_factor: f64,
    /// Time from one burst to the next.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "burst_every_ms")]
    pub burst_every: Duration,
    /// How long a burst lasts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "burst_for_ms")]
    pub burst_for: Duration,
}

/// What the users weigh more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lean {
    /// Batch throughput.
    Throughput,
    /// The online tail.
    Tail,
}

/// A deployment, as `deployment.jsonc` holds it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// Its failure domains.
    pub failure_domains: Vec<id::FailureDomain>,
    /// One way, between failure domains. The demo runs on loopback and does not add it.
    pub domain_latency_ms: f64,
    /// Entry hosts in each failure domain.
    pub hosts_per_domain: u32,
    /// Its engines.
    pub engines: Engines,
    /// Its plain services.
    pub plain: Plain,
    /// Its log.
    pub log: Log,
    /// Its online traffic.
    pub online: Online,
    /// What its users weigh more.
    pub lean: Lean,
    /// Name of the template.
    pub template: String,
    /// Name of the customer.
    pub customer: id::Customer,
    /// A key of the customer's callers; an example's key is no secret.
    pub key: String,
}

/// An item of the sweep.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// The caller's name for it.
    pub custom_id: String,
    /// A chat completion.
    pub body: serde_json::Map<String, Value>,
}

/// An online request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The customer's stream that it belongs to.
    pub stream: String,
    /// A chat completion.
    pub body: serde_json::Map<String, Value>,
}

/// An example.
#[derive(Clone, Debug)]
pub struct Example {
    /// What runs.
    pub deployment: Deployment,
    /// The template as it is published, in JSON.
    pub template: Value,
    /// The customer as it is published, in JSON.
    pub customer: Value,
    /// Service that runs the items of the sweep and the online requests.
    pub service: id::Service,
    /// What its engines have loaded.
    pub artifact: Option<Artifact>,
    /// Items of the sweep.
    pub items: Vec<Item>,
    /// Online requests.
    pub requests: Vec<Request>,
}

impl Example {
    /// Reads an example by its name, from `examples/` here or in the source tree.
    ///
    /// # Errors
    /// Names the first file that can't be read, and why.
    pub fn load(name: &str) -> Result<Self, Error> {
        let directory = directory(name);
        let deployment: Deployment = parse(&directory.join("deployment.jsonc"))?;
        let template = value(&directory.join("template.jsonc"))?;
        let customer = value(&directory.join("customer.jsonc"))?;
        let _: Customer = typed(&directory.join("customer.jsonc"), &customer)?;
        let path = directory.join("template.jsonc");
        let services = typed::<Template>(&path, &template)?.services;
        let service = Arc::unwrap_or_clone(services)
            .into_iter()
            .find(|(_, service)| service.pool == deployment.engines.pool);
        let (service, kind) = service.ok_or_else(|| Error {
            path,
            message: "no service uses the engines' pool".to_owned(),
        })?;
        Ok(Self {
            items: lines(&directory.join("input.ndjson"))?,
            requests: lines(&directory.join("online.ndjson"))?,
            deployment,
            template,
            customer,
            service,
            artifact: kind.artifact.clone(),
        })
    }
}

fn directory(name: &str) -> PathBuf {
    let here = Path::new("examples").join(name);
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    if here.is_dir() {
        here
    } else {
        source.join(name)
    }
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

fn value(path: &Path) -> Result<Value, Error> {
    let text = read(path)?;
    let value = jsonc_parser::parse_to_serde_value(&text, &ParseOptions::default());
    value.map_err(|error| Error {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

fn typed<T: DeserializeOwned>(path: &Path, value: &Value) -> Result<T, Error> {
    T::deserialize(value).map_err(|error| Error {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

fn parse<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    typed(path, &value(path)?)
}

fn lines<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, Error> {
    let text = read(path)?;
    let parsed = text.lines().enumerate().map(|(index, line)| {
        serde_json::from_str(line).map_err(|error| Error {
            path: path.to_owned(),
            message: format!("line {}: {error}", index + 1),
        })
    });
    parsed.collect()
}
