//! The platform's host list over HTTP.

use std::{
    borrow::Cow,
    io::Read as _,
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use flate2::read::GzDecoder;
use http::{HeaderValue, Method, StatusCode, header};
use tinbank_base::platform::hosts::{Error, Hosts, List};

use crate::client::{self, Answer, Client};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_ANSWER: usize = 16 << 20;
const GZIP: &str = "gzip";

/// The host list at an address.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    client: Client,
}

impl Http {
    /// An adapter for the host list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::new(),
        }
    }
}

#[async_trait]
impl Hosts for Http {
    async fn list(&self) -> Result<List, Error> {
        let list = self.changed(None).await?;
        list.ok_or_else(|| Error("not modified, though no version was named".to_owned()))
    }

    async fn changed(&self, known: Option<u64>) -> Result<Option<List>, Error> {
        let mut request = client::request(Method::GET, self.address, "/v1/hosts", Bytes::new());
        if let Some(version) = known.and_then(tag) {
            request.headers_mut().insert(header::IF_NONE_MATCH, version);
        }
        let gzip = HeaderValue::from_static(GZIP);
        request.headers_mut().insert(header::ACCEPT_ENCODING, gzip);
        let until = Instant::now() + ANSWER_TIMEOUT;
        let answer = self.client.whole(request, until, MAX_ANSWER).await;
        let answer = answer.map_err(|error| Error(format!("{error:?}")))?;
        if answer.status == StatusCode::NOT_MODIFIED && known.is_some() {
            return Ok(None);
        }
        if answer.status != StatusCode::OK {
            return Err(Error(format!("{}: {}", answer.status, answer.message())));
        }
        let body = unpacked(&answer)?;
        let list: List = serde_json::from_slice(&body).map_err(|error| Error(error.to_string()))?;
        // A platform that knows no entity tags sends the whole list all the same.
        Ok((known != Some(list.version)).then_some(list))
    }
}

/// The body, whether the platform compressed it or not. A list of 370 hosts is some 20 times smaller so.
fn unpacked(answer: &Answer) -> Result<Cow<'_, [u8]>, Error> {
    let encoding = answer.headers.get(header::CONTENT_ENCODING);
    if encoding.is_none_or(|encoding| encoding != GZIP) {
        return Ok(Cow::Borrowed(&answer.body));
    }
    let mut body = Vec::new();
    let mut reader = GzDecoder::new(&*answer.body).take(MAX_ANSWER as u64 + 1);
    reader
        .read_to_end(&mut body)
        .map_err(|error| Error(format!("the answer can't be unpacked: {error}")))?;
    if body.len() > MAX_ANSWER {
        return Err(Error(format!(
            "the answer has more than {MAX_ANSWER} bytes"
        )));
    }
    Ok(Cow::Owned(body))
}

/// The version as an entity tag.
fn tag(version: u64) -> Option<HeaderValue> {
    HeaderValue::try_from(format!("\"{version}\"")).ok()
}
