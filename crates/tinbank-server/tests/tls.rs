//! TLS of the callers' side, from the settings' files to an answer.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::Arc,
};

use dropshot::{ApiDescription, Body, RequestContext, endpoint};
use http::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rcgen::{CertifiedKey, generate_simple_self_signed};
use tinbank_server::{
    client,
    failure::Reply,
    http::{Listen, Server},
    operator,
};
use tinbank_settings::common::Tls;
use tokio::net::TcpStream;
use tokio_rustls::{
    TlsConnector,
    rustls::{ClientConfig, RootCertStore, pki_types::ServerName},
};

const NAME: &str = "entry.test";

#[endpoint { method = GET, path = "/hello" }]
async fn hello(_: RequestContext<()>) -> Result<Response<Body>, Reply> {
    operator::json(StatusCode::OK, &"hello")
}

fn api() -> ApiDescription<()> {
    let mut api = ApiDescription::new();
    api.register(hello).expect("a free path");
    api
}

fn write(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the target directory is writable");
    path
}

fn connector(root: rcgen::Certificate) -> TlsConnector {
    let mut roots = RootCertStore::empty();
    roots.add(root.der().clone()).expect("a certificate");
    let config = ClientConfig::builder().with_root_certificates(roots);
    TlsConnector::from(Arc::new(config.with_no_client_auth()))
}

async fn get(address: SocketAddr, connector: TlsConnector) -> Response<hyper::body::Incoming> {
    let tcp = TcpStream::connect(address).await.expect("a connection");
    let name = ServerName::try_from(NAME).expect("a name");
    let tls = connector.connect(name, tcp).await.expect("a handshake");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(tls))
        .await
        .expect("HTTP");
    tokio::spawn(connection);
    let request = Request::get("/hello").header("host", NAME);
    let request = request.body(client::empty()).expect("a request");
    sender.send_request(request).await.expect("an answer")
}

#[tokio::test]
async fn callers_are_served_over_tls() {
    let CertifiedKey { cert, signing_key } =
        generate_simple_self_signed([NAME.to_owned()]).expect("a certificate");
    let tls = Tls {
        certificate: write("chain.pem", &cert.pem()),
        key: write("key.pem", &signing_key.serialize_pem()),
    };
    let listen = Listen {
        tls: Some(tls),
        ..Listen::plain(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    };
    let server = Server::start(listen, api(), ()).expect("loopback is free");

    let answer = get(server.local_addr(), connector(cert)).await;

    assert_eq!(answer.status(), StatusCode::OK);
    server.close().await.expect("a clean close");
}

#[tokio::test]
async fn files_that_hold_something_else_are_named() {
    let garbage = write("garbage.pem", "no certificate");
    let listen = Listen {
        tls: Some(Tls {
            certificate: garbage.clone(),
            key: garbage,
        }),
        ..Listen::plain(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    };

    let refused = Server::start(listen, api(), ()).err();

    let refused = refused.expect("there is no key in it").to_string();
    assert!(refused.contains("PEM files"), "{refused}");
    assert!(refused.contains("garbage.pem"), "{refused}");
}
