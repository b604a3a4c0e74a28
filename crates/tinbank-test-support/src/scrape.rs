//! Reads a server's page the way a scraper does, without any of our own client code.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The body of a page, as text.
///
/// # Errors
/// When the server can't be reached or does not answer with 200.
pub async fn page(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut tcp = TcpStream::connect(address).await?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    tcp.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    tcp.read_to_string(&mut answer).await?;
    match answer.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200") => Ok(body.to_owned()),
        _ => Err(io::Error::other(answer)),
    }
}
