//! What every process answers to its peers.

use tinbank_base::{
    frame::request::{Request, Response},
    outcome::{Code, Ran},
};
use tinbank_configuration::follower::Follower;

/// The answer of a process that only has the configuration to give; `refusal` is its word on anything else.
pub async fn configuration_only(
    follower: &Follower,
    request: Request,
    refusal: &str,
) -> Vec<Response> {
    match request {
        Request::Config { from } => follower.serve(from).await,
        _ => vec![Response::Failed {
            code: Code::BadRequest,
            ran: Ran::No,
            message: refusal.to_owned(),
        }],
    }
}
