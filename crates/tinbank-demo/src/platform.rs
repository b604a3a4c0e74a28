//! The stand-ins of a deployment.

use smallvec::smallvec;
use tinbank_standin::{Error, Settings, Standin, engine, hosts, log, plain, weights};

use crate::example::Example;

/// Number of the first plain service; engines are numbered from 1.
const FIRST_PLAIN: u32 = 10_001;

/// Starts the stand-ins on ports that the system chooses.
///
/// # Errors
/// The system gives no port.
pub async fn start(example: &Example) -> Result<Standin, Error> {
    let deployment = &example.deployment;
    let settings = Settings {
        log: Some(log::Settings {
            appends_per_second: deployment.log.appends_per_second,
            ..log::Settings::default()
        }),
        hosts: Some(hosts::Settings::default()),
        weights: Some(weights::Settings::default()),
        engines: (0..deployment.engines.count)
            .map(|index| engine(example, index))
            .collect(),
        plain: (0..deployment.plain.count)
            .map(|index| plain(example, index))
            .collect(),
        ..Settings::default()
    };
    Standin::start(settings).await
}

fn engine(example: &Example, index: u32) -> engine::Settings {
    let engines = &example.deployment.engines;
    engine::Settings {
        upstream: index + 1,
        pools: smallvec![engines.pool.clone()],
        failure_domain: domain(example, index),
        checks_fence: index.is_multiple_of(engines.checks_fence_every.max(1)),
        slots: engines.slots,
        base_step: engines.base_step,
        step_per_sequence: engines.step_per_sequence,
        prefill_tokens_per_ms: engines.prefill_tokens_per_ms,
        prefix_cache_tokens: engines.prefix_cache_tokens,
        report_lag: engines.report_lag,
        loaded: example.artifact.iter().cloned().collect(),
        ..engine::Settings::default()
    }
}

fn plain(example: &Example, index: u32) -> plain::Settings {
    plain::Settings {
        upstream: FIRST_PLAIN + index,
        pools: smallvec![example.deployment.plain.pool.clone()],
        failure_domain: domain(example, index),
        ..plain::Settings::default()
    }
}

/// Failure domains take turns.
pub fn domain(example: &Example, index: u32) -> String {
    let domains = &example.deployment.failure_domains;
    match domains.is_empty() {
        true => "local".to_owned(),
        false => domains[index as usize % domains.len()].clone(),
    }
}
