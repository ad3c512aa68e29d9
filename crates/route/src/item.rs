//! Names of the items that targets serve: models, adapters and plain services.

use std::sync;

/// Returns the item name of `model`, or of `adapter` on top of it.
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

/// Returns the item name of `service`; it can't be the name of a model.
#[must_use]
pub fn service(service: &ids::Service) -> sync::Arc<str> {
    format!("/svc/{service}").into()
}
