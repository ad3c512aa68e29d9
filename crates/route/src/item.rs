//! Names of what targets offer: models, adapters and plain services.

use std::sync;

/// The name under which targets offer `model`, or `adapter` beside it.
///
/// ```
/// assert_eq!(&*route::item::model(&"draft".into(), Some(&"welsh".into())), "draft:welsh");
/// ```
#[must_use]
pub fn model(model: &ids::Model, adapter: Option<&ids::Adapter>) -> sync::Arc<str> {
    match adapter {
        Some(adapter) => format!("{model}:{adapter}").into(),
        None => model.as_str().into(),
    }
}

/// The name under which targets offer `service`; no model has it.
#[must_use]
pub fn service(service: &ids::Service) -> sync::Arc<str> {
    format!("/svc/{service}").into()
}
