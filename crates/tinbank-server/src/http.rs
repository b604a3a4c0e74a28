//! The HTTP server: dropshot with our limits, logs and TLS.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, ConfigDropshot, ConfigTls, HandlerTaskMode, HttpServer, ServerBuilder,
    ServerContext,
};
use tinbank_settings::common::{Common, Tls};

use crate::logs;

/// Largest body of an endpoint that doesn't set its own limit, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Where and how to listen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// The address; port 0 lets the system choose.
    pub address: SocketAddr,
    /// TLS; without it the server speaks plain HTTP.
    pub tls: Option<Tls>,
    /// Largest body of an endpoint that doesn't set its own limit, in bytes.
    pub max_body_bytes: usize,
}

impl Listen {
    /// Plain HTTP on an address.
    pub fn plain(address: SocketAddr) -> Self {
        Self {
            address,
            tls: None,
            max_body_bytes: MAX_BODY_BYTES,
        }
    }
}

impl From<&Common> for Listen {
    fn from(common: &Common) -> Self {
        Self {
            tls: common.tls.clone(),
            ..Self::plain(common.http)
        }
    }
}

/// Why a server doesn't start.
#[derive(Debug, thiserror::Error)]
#[error("the HTTP server can't listen on {address}: {reason}; {help}")]
pub struct Error {
    /// Where it should listen.
    pub address: SocketAddr,
    /// What happened.
    pub reason: String,
    /// What to do about it.
    pub help: &'static str,
}

/// A running server.
pub struct Server<C: ServerContext> {
    inner: HttpServer<C>,
}

impl<C: ServerContext> Server<C> {
    /// Binds the address and serves the interface. Call it within the traffic runtime.
    ///
    /// # Errors
    /// The address is taken, or the TLS files can't be used.
    pub fn start(listen: Listen, api: ApiDescription<C>, context: C) -> Result<Self, Error> {
        let address = listen.address;
        let config = ConfigDropshot {
            bind_address: address,
            default_request_body_max_bytes: listen.max_body_bytes,
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..ConfigDropshot::default()
        };
        let tls = listen.tls.as_ref().map(|tls| ConfigTls::AsFile {
            cert_file: tls.certificate.clone(),
            key_file: tls.key.clone(),
        });
        let started = ServerBuilder::new(api, context, logs::dropshot())
            .config(config)
            .tls(tls)
            .start();
        let inner = started.map_err(|error| refused(&listen, &error))?;
        Ok(Self { inner })
    }

    /// The address that it listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.inner.local_addr()
    }

    /// The context that handlers get.
    pub fn context(&self) -> &C {
        self.inner.app_private()
    }

    /// Takes no new connections and waits for the requests and streams that are open.
    ///
    /// # Errors
    /// The server had ended with an error before.
    pub async fn close(self) -> Result<(), String> {
        self.inner.close().await
    }

    /// Closes the server as [`Server::close`] does, at a planned stop that goes on whatever comes of it.
    pub async fn end(self) {
        if let Err(reason) = self.close().await {
            log::warn!(event = "http_close_failed", reason = reason.as_str(); "the HTTP server ended badly");
        }
    }
}

fn refused(listen: &Listen, error: &dropshot::BuildError) -> Error {
    use dropshot::BuildError;
    let cause = std::error::Error::source(error);
    let mut reason = match cause {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    };
    // Dropshot doesn't name the files of a certificate or key that it can't use.
    if let (Some(tls), false) = (&listen.tls, matches!(error, BuildError::BindError { .. })) {
        let (certificate, key) = (tls.certificate.display(), tls.key.display());
        reason = format!("{reason} (certificate {certificate}, key {key})");
    }
    let help = match error {
        BuildError::BindError { .. } => "give `http` a free port of this host",
        BuildError::NotOnePrivateKey | BuildError::PemError { .. } => {
            "give `tls` PEM files with a certificate chain and one PKCS #8 key"
        }
        _ => "check `http` and `tls` in the settings",
    };
    Error {
        address: listen.address,
        reason,
        help,
    }
}
