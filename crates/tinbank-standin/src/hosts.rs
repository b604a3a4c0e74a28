//! Stand-in for the host list, which lags.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dropshot::{ApiDescription, HttpError, RequestContext, endpoint};
use http::{StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tinbank_base::platform::hosts::{List, Member, State, Upstream};
use tokio::time::Instant;

use crate::{
    fault::Faults,
    service::{
        answer::{self, Answer},
        under,
    },
};

/// How the host list behaves.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Where it listens. Default 127.0.0.1:0.
    pub address: SocketAddr,
    /// How late a change shows, in milliseconds. Default 2000.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lag_ms")]
    pub lag: Duration,
    /// Processes of ours.
    pub members: Vec<Member>,
    /// Upstreams besides the engines and plain services of the same settings.
    pub upstreams: Vec<Upstream>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: crate::settings::any_port(),
            lag: Duration::from_secs(2),
            members: Vec::new(),
            upstreams: Vec::new(),
        }
    }
}

/// The list and its late versions; clones share it.
#[derive(Clone, Debug)]
pub struct Hosts {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    lag: Duration,
    faults: Faults,
    versions: Mutex<Versions>,
}

#[derive(Debug)]
struct Versions {
    shown: List,
    coming: VecDeque<(Instant, List)>,
}

impl Versions {
    fn newest(&self) -> &List {
        self.coming.back().map_or(&self.shown, |(_, list)| list)
    }

    fn show(&mut self, now: Instant) -> List {
        while self.coming.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, list)) = self.coming.pop_front() {
                self.shown = list;
            }
        }
        self.shown.clone()
    }
}

impl Hosts {
    pub(crate) fn new(settings: &Settings, faults: Faults) -> Self {
        let shown = List {
            version: 1,
            upstreams: settings.upstreams.clone(),
            members: settings.members.clone(),
        };
        Self {
            inner: Arc::new(Inner {
                lag: settings.lag,
                faults,
                versions: Mutex::new(Versions {
                    shown,
                    coming: VecDeque::new(),
                }),
            }),
        }
    }

    /// Changes the list; the change shows after the lag.
    pub fn change(&self, change: impl FnOnce(&mut List)) {
        let mut versions = self.lock();
        let mut list = versions.newest().clone();
        change(&mut list);
        list.version += 1;
        versions
            .coming
            .push_back((Instant::now() + self.inner.lag, list));
    }

    /// Changes the list as if it had always been so, for what is known before the start.
    pub fn change_at_once(&self, change: impl FnOnce(&mut List)) {
        let mut versions = self.lock();
        let mut list = versions.newest().clone();
        change(&mut list);
        list.version += 1;
        versions.coming.clear();
        versions.shown = list;
    }

    /// Marks an upstream as live or leaving.
    pub(crate) fn mark(&self, name: &str, state: State) {
        self.change(|list| {
            let named = list
                .upstreams
                .iter_mut()
                .filter(|upstream| upstream.name == name);
            named.for_each(|upstream| upstream.state = state);
        });
    }

    fn lock(&self) -> MutexGuard<'_, Versions> {
        self.inner
            .versions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

pub(crate) fn api() -> ApiDescription<Hosts> {
    let mut api = ApiDescription::new();
    api.register(get_list).expect("there is one path");
    api
}

/// The list, some time ago.
#[endpoint { method = GET, path = "/v1/hosts" }]
async fn get_list(request: RequestContext<Hosts>) -> Result<Answer, HttpError> {
    let hosts = request.context();
    let effect = async {
        let list = hosts.lock().show(Instant::now());
        let tag = format!("\"{}\"", list.version);
        let known = request.request.headers().get(header::IF_NONE_MATCH);
        if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            return answer::bytes(StatusCode::NOT_MODIFIED, "");
        }
        answer::json(StatusCode::OK, &list)
    };
    Ok(under(&hosts.inner.faults, effect).await)
}
