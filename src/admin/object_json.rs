//! Conversion between catalog objects and JSON.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::catalog;
use crate::errors;
use crate::ids;

/// Parses the content of an object of the given kind. Fails where the body is
/// not JSON, or a field has a wrong type, name or value.
pub fn parse(kind: catalog::ObjectKind, body: &[u8]) -> Result<catalog::Object, errors::Refusal> {
    Ok(match kind {
        catalog::ObjectKind::Profiles => catalog::Object::Profile(Arc::new(decode(body)?)),
        catalog::ObjectKind::Versions => catalog::Object::Version(Arc::new(decode(body)?)),
        catalog::ObjectKind::Services => catalog::Object::Service(Arc::new(decode(body)?)),
        catalog::ObjectKind::Teams => catalog::Object::Team(Arc::new(decode(body)?)),
        catalog::ObjectKind::Domains => catalog::Object::Domain(decode(body)?),
        catalog::ObjectKind::Vms => catalog::Object::Vm(decode(body)?),
        catalog::ObjectKind::Rollouts => catalog::Object::Rollout(decode(body)?),
    })
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, errors::Refusal> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|err| {
        let inner = err.inner();
        if inner.is_data() {
            let message = format!("{}: {inner}", err.path());
            errors::Refusal::new(errors::ResultCode::InvalidObject, message)
        } else {
            malformed(inner)
        }
    })?;
    json.end().map_err(|err| malformed(&err))?;
    Ok(value)
}

fn malformed(err: &serde_json::Error) -> errors::Refusal {
    errors::Refusal::new(
        errors::ResultCode::MalformedRequest,
        format!("the body is not JSON: {err}"),
    )
}

/// Converts the content of an object to JSON, without its kind and name.
#[must_use]
pub fn content_json(object: &catalog::Object) -> Value {
    match object {
        catalog::Object::Profile(profile) => json!(profile),
        catalog::Object::Version(version) => json!(version),
        catalog::Object::Service(service) => json!(service),
        catalog::Object::Team(team) => json!(team),
        catalog::Object::Domain(state) | catalog::Object::Vm(state) => json!(state),
        catalog::Object::Rollout(plan) => json!(plan),
    }
}

/// Converts an object to an item of a list: its name, revision and content.
#[must_use]
pub fn list_item(
    id: &catalog::ObjectId,
    revision: ids::Revision,
    object: &catalog::Object,
) -> Value {
    json!({ "name": id.name, "revision": revision, "object": content_json(object) })
}
