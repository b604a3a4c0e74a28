//! The OpenAPI description of a server, for `--openapi`.

use dropshot::{ApiDescription, ServerContext};
use serde_json::{Map, Value, json};

use crate::failure;

/// Version of the callers' interface that the description names.
const VERSION: semver::Version = semver::Version::new(1, 0, 0);

/// Describes an interface as JSON text.
///
/// Dropshot leaves errors out where a handler builds its response itself, so the one error shape is added to each
/// operation here.
///
/// # Errors
/// The interface can't be written as JSON; a fault of ours.
pub fn describe<C: ServerContext>(
    api: &ApiDescription<C>,
    title: &str,
) -> Result<String, serde_json::Error> {
    let mut description = api.openapi(title, VERSION).json()?;
    let schemas = &mut description["components"]["schemas"];
    schemas["Failure"] = serde_json::to_value(failure::schema())?;
    if let Some(paths) = description["paths"].as_object_mut() {
        paths.values_mut().for_each(add_errors);
    }
    serde_json::to_string_pretty(&description)
}

fn add_errors(path: &mut Value) {
    let Some(operations) = path.as_object_mut() else {
        return;
    };
    let responses = operations
        .values_mut()
        .filter_map(|operation| operation.get_mut("responses")?.as_object_mut());
    responses.for_each(add_error);
}

fn add_error(responses: &mut Map<String, Value>) {
    let reference = json!({ "$ref": "#/components/schemas/Failure" });
    let response = json!({
        "description": "No answer; `ran` says whether the work ran.",
        "content": { "application/json": { "schema": reference } },
    });
    for class in ["4XX", "5XX"] {
        responses.insert(class.to_owned(), response.clone());
    }
}
