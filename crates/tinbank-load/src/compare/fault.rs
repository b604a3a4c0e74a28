//! What fails in a run, and how it is brought about.

use std::{fmt, str::FromStr, time::Duration};

use serde::Serialize;
use tinbank_demo::{balancer::Balancer, entry::Entry, example::Example, platform};
use tinbank_standin::Standin;
use tokio::time::Instant;

/// Datagrams lost in 100.
const LOSS_PERCENT: u8 = 10;

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// An entry host is lost for good.
    Host,
    /// An engine dies, and is back later.
    Engine,
    /// All hosts and engines of a failure domain; the engines are back later.
    Domain,
    /// The log refuses everything for a while.
    Log,
    /// Some datagrams between processes are lost.
    Datagrams,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "host" => Ok(Self::Host),
            "engine" => Ok(Self::Engine),
            "domain" => Ok(Self::Domain),
            "log" => Ok(Self::Log),
            "datagrams" => Ok(Self::Datagrams),
            _ => Err(format!(
                "{text:?} is no fault: they are host, engine, domain, log and datagrams"
            )),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Host => "an entry host lost",
            Self::Engine => "an engine lost",
            Self::Domain => "a failure domain lost",
            Self::Log => "log out",
            Self::Datagrams => "10% of datagrams lost",
        })
    }
}

/// The deployment that a fault is brought to.
pub(super) struct Site<'a> {
    pub(super) example: &'a Example,
    pub(super) standin: &'a Standin,
    pub(super) entry: &'a mut Entry,
    pub(super) balancers: [Balancer; 2],
}

impl Site<'_> {
    /// Breaks something at a time, and mends what can be mended later.
    pub(super) async fn suffer(&mut self, fault: Fault, from: Instant, lasting: Duration) {
        tokio::time::sleep_until(from).await;
        self.switch(fault, true);
        tokio::time::sleep_until(from + lasting).await;
        self.switch(fault, false);
    }

    fn switch(&mut self, fault: Fault, on: bool) {
        match fault {
            Fault::Host if on => self.lose_host(1),
            Fault::Host => {}
            Fault::Engine => self.kill_engine(0, on),
            Fault::Domain => self.lose_domain(on),
            Fault::Log => {
                if let Some(log) = self.standin.log() {
                    log.faults.change(|fault| fault.outage = on);
                }
            }
            Fault::Datagrams => self.entry.lose_datagrams(if on { LOSS_PERCENT } else { 0 }),
        }
    }

    fn lose_host(&mut self, host: u32) {
        for address in self.entry.kill(host) {
            self.balancers
                .iter()
                .for_each(|balancer| balancer.remove(address));
        }
        if let Some(list) = self.standin.list() {
            list.change(|list| list.members.retain(|member| member.process.host != host));
        }
    }

    fn kill_engine(&self, index: usize, on: bool) {
        if let Some(engine) = self.standin.engines().get(index) {
            engine.faults.change(|fault| fault.killed = on);
        }
    }

    fn lose_domain(&mut self, on: bool) {
        let lost = platform::domain(self.example, 0);
        let deployment = &self.example.deployment;
        for index in 0..deployment.engines.count {
            if platform::domain(self.example, index) == lost {
                self.kill_engine(index as usize, on);
            }
        }
        let hosts = deployment.hosts_per_domain * deployment.failure_domains.len() as u32;
        for index in (0..hosts).filter(|_| on) {
            if platform::domain(self.example, index) == lost {
                self.lose_host(index + 1);
            }
        }
    }
}
