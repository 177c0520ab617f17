//! The model list for callers.

use std::sync::Arc;

use amaranth_net::answer;
use amaranth_net::route::RouteRequest;
use amaranth_settings::fleet::FleetSettings;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::ModelId;
use serde_json::{Value, json};
use volo_http::response::Response;

use crate::context::{InstanceContext, Result};

/// Lists the models that the tiers serve.
pub async fn list(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    context.callers.team(&request)?;
    let fleet = &context.config.fleet;
    let models = served_models(fleet).into_iter();
    let data: Vec<_> = models.map(|model| view(fleet, &model)).collect();
    Ok(answer::json(200, &json!({"object": "list", "data": data})))
}

/// Shows one model. Fails with `UnknownTarget` if no tier serves it.
pub async fn show(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    context.callers.team(&request)?;
    let fleet = &context.config.fleet;
    let named = request.param(0);
    let mut models = served_models(fleet).into_iter();
    match models.find(|model| model.as_str() == named) {
        Some(model) => Ok(answer::json(200, &view(fleet, &model))),
        None => {
            let message = format!("no tier serves the model {named:?}");
            Err(CallError::new(ErrorKind::UnknownTarget, message))
        }
    }
}

/// The models that any tier serves, sorted and without duplicates.
fn served_models(fleet: &FleetSettings) -> Vec<ModelId> {
    let groups = fleet
        .tiers
        .iter()
        .filter_map(|tier| fleet.group(&tier.upstreams));
    let mut models: Vec<_> = groups.filter_map(|group| group.model.clone()).collect();
    models.sort();
    models.dedup();
    models
}

fn view(fleet: &FleetSettings, model: &ModelId) -> Value {
    json!({"id": model, "object": "model", "created": 0, "owned_by": fleet.fleet})
}
