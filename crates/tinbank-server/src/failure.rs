//! The one JSON shape of errors, as dropshot sends it. See `docs/design/errors.md`.

use std::time::{Duration, SystemTime};

use dropshot::{Body, ErrorStatusCode, HttpError, HttpResponseError};
use http::{Response, StatusCode, header};
use schemars::{
    JsonSchema,
    r#gen::{SchemaGenerator, SchemaSettings},
    schema::{Schema, SchemaObject},
};
use serde::Serialize;
use tinbank_base::outcome::{Code, Failure};

/// Error of an HTTP handler: a [`Failure`] as the caller gets it.
///
/// The answer has the code's status and the request id, which dropshot adds as `X-Request-Id`. Dropshot lets an error
/// set no headers: end a handler with [`answer`], so that `Retry-After` is there as well.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
#[error("{}", .0.message)]
#[serde(transparent)]
pub struct Reply(pub Failure);

/// No answer: why, and whether the work ran.
#[derive(JsonSchema)]
#[schemars(rename = "Failure")]
#[expect(dead_code, reason = "it only describes the body")]
struct Shape {
    /// Why, for machines.
    code: String,
    /// Whether the work ran: `no` is a promise, `unknown`, or `yes`.
    ran: String,
    /// What happened and where, for people.
    message: String,
    /// What to do about it.
    help: Option<String>,
    /// When to ask again, in milliseconds since 1970.
    retry_at: Option<i64>,
}

impl Reply {
    /// The whole answer, for handlers that build responses themselves.
    pub fn response(&self) -> Response<Body> {
        let body = serde_json::to_vec(&self.0).unwrap_or_default();
        let mut response = Response::new(Body::from(bytes::Bytes::from(body)));
        *response.status_mut() = status(self.0.code);
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/json"),
        );
        if let Some(at) = self.0.retry_at {
            headers.insert(
                header::RETRY_AFTER,
                retry_after(at, SystemTime::now()).into(),
            );
        }
        response
    }
}

/// Makes a handler's result an answer with all headers, `Retry-After` among them.
///
/// # Errors
/// None; the type is the one that dropshot's handlers have.
pub fn answer<E: Into<Reply>>(result: Result<Response<Body>, E>) -> Result<Response<Body>, Reply> {
    Ok(result.unwrap_or_else(|error| {
        let reply = error.into();
        count(&reply.0);
        reply.response()
    }))
}

fn count(failure: &Failure) {
    let (code, ran) = (word(&failure.code), word(&failure.ran));
    metrics::counter!("tinbank_failures_total", "code" => code, "ran" => ran).increment(1);
}

/// The word that stands for a code in the JSON body.
fn word<T: Serialize>(value: &T) -> String {
    let json = serde_json::to_value(value).unwrap_or_default();
    json.as_str().unwrap_or_default().to_owned()
}

/// Seconds from `now` to `at`, rounded up, so that nobody comes back too early. At least 1.
pub fn retry_after(at: SystemTime, now: SystemTime) -> u64 {
    let wait = at.duration_since(now).unwrap_or(Duration::ZERO);
    let up = u64::from(wait.subsec_nanos() > 0);
    wait.as_secs().saturating_add(up).max(1)
}

impl From<Failure> for Reply {
    fn from(failure: Failure) -> Self {
        Self(failure)
    }
}

impl From<HttpError> for Reply {
    /// Dropshot's own errors arise before a handler runs, so that the work did not run.
    fn from(error: HttpError) -> Self {
        let status = error.status_code.as_status();
        let code = code(status, &error.external_message);
        if code == Code::Internal {
            log::error!(reason = error.internal_message.as_str(); "dropshot failed");
        }
        let failure = Failure::not_run(code, error.external_message);
        count(&failure);
        Self(failure)
    }
}

/// Schema of the error body, for the OpenAPI description.
pub fn schema() -> SchemaObject {
    let generator = SchemaSettings::openapi3().into_generator();
    generator.into_root_schema_for::<Shape>().schema
}

/// Text by which dropshot tells of a body over the limit; it has no type or status of its own for that.
const DROPSHOT_TOO_LARGE: &str = "exceeded maximum size";

fn code(status: StatusCode, message: &str) -> Code {
    if message.contains(DROPSHOT_TOO_LARGE) {
        return Code::TooLarge;
    }
    match status.as_u16() {
        401 => Code::Unauthorized,
        403 => Code::Forbidden,
        404 => Code::NotFound,
        413 => Code::TooLarge,
        503 => Code::NotReady,
        400..=499 => Code::BadRequest,
        _ => Code::Internal,
    }
}

fn status(code: Code) -> StatusCode {
    StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

impl JsonSchema for Reply {
    fn schema_name() -> String {
        Shape::schema_name()
    }

    fn json_schema(generator: &mut SchemaGenerator) -> Schema {
        Shape::json_schema(generator)
    }
}

impl HttpResponseError for Reply {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_status(status(self.0.code))
            .unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}
