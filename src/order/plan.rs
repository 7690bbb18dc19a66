//! Plans the orders that bring an engine to the state in the document.

use serde::{Deserialize, Serialize};

use crate::document::{Document, Engine, Intent, Model, Role};

/// The actual state of an engine, as reported by the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Actual {
    /// The loaded models.
    pub models: Vec<String>,
    /// The loaded adapters.
    pub adapters: Vec<String>,
    /// The version of the models.
    pub version: String,
    /// The role.
    pub role: Role,
    /// The largest fencing number accepted; 0 if the engine does not fence.
    #[serde(default)]
    pub fence: u64,
}

/// The operation of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// Load a model.
    LoadModel {
        /// The model.
        model: String,
    },
    /// Load an adapter on top of a model.
    LoadAdapter {
        /// The model.
        model: String,
        /// The adapter.
        adapter: String,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The model.
        model: String,
        /// The adapter.
        adapter: String,
    },
    /// Switch the models to a version.
    SetVersion {
        /// The version.
        version: String,
    },
    /// Set the part of generations that the engine executes.
    SetRole {
        /// The role.
        role: Role,
    },
}

/// Weights that an engine fetches from the weight store to execute an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// The model.
    pub model: String,
    /// The version.
    pub version: String,
}

/// One order to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The operation.
    pub kind: Kind,
    /// The weights that the engine fetches, if any.
    pub weights: Option<Weights>,
}

/// Returns the steps from the `actual` state of `engine` to its state in `document`, in execution order. Models that
/// the document does not name stay loaded, because no order unloads a model.
///
/// ```
/// use nutmeghead::{document::Role, order::plan::{plan, Actual}};
/// # let text = "organisations = []\nworkloads = []\n[[engines]]\nname = \"e\"\naddress = \"127.0.0.1:1\"\ndomain = \"a\"\nmodels = [\"m\"]\nmemory_tokens = 1";
/// # let document: nutmeghead::document::Document = toml::from_str(text)?;
/// let actual = Actual { models: vec![], adapters: vec![], version: "1".into(), role: Role::Mixed, fence: 0 };
/// assert_eq!(plan(&document, &document.engines[0], &actual).len(), 1);
/// # Ok::<(), toml::de::Error>(())
/// ```
pub fn plan(document: &Document, engine: &Engine, actual: &Actual) -> Vec<Step> {
    if engine.intent == Intent::Leave {
        return Vec::new();
    }
    let models: Vec<&Model> =
        document.models.iter().filter(|model| engine.models.contains(&model.name)).collect();
    let mut steps = Vec::new();
    let version = models.iter().find_map(|model| model.version.clone());
    let version = version.unwrap_or_else(|| actual.version.clone());
    plan_models(engine, &version, actual, &mut steps);
    plan_adapters(engine, &models, &version, actual, &mut steps);
    if actual.role != engine.role {
        steps.push(Step { kind: Kind::SetRole { role: engine.role }, weights: None });
    }
    steps
}

fn weights(model: &str, version: &str) -> Option<Weights> {
    Some(Weights { model: model.to_owned(), version: version.to_owned() })
}

fn plan_models(engine: &Engine, version: &str, actual: &Actual, steps: &mut Vec<Step>) {
    if actual.version != version {
        let first_model = engine.models.first().map_or("", |model| model.as_str());
        let kind = Kind::SetVersion { version: version.to_owned() };
        steps.push(Step { kind, weights: weights(first_model, version) });
    }
    for model in engine.models.iter().map(|model| model.as_str()) {
        if !actual.models.iter().any(|loaded| loaded == model) {
            let kind = Kind::LoadModel { model: model.to_owned() };
            steps.push(Step { kind, weights: weights(model, version) });
        }
    }
}

fn plan_adapters(
    engine: &Engine,
    models: &[&Model],
    version: &str,
    actual: &Actual,
    steps: &mut Vec<Step>,
) {
    let mut desired_adapters = Vec::new();
    for model in models {
        for adapter in &model.adapters {
            desired_adapters.push(adapter.as_str());
            if actual.adapters.iter().any(|loaded| loaded == adapter.as_str()) {
                continue;
            }
            let (model, adapter) = (model.name.to_string(), adapter.to_string());
            let weights = weights(&model, version);
            steps.push(Step { kind: Kind::LoadAdapter { model, adapter }, weights });
        }
    }
    let Some(model) = engine.models.first() else { return };
    for adapter in
        actual.adapters.iter().filter(|loaded| !desired_adapters.contains(&loaded.as_str()))
    {
        let kind = Kind::UnloadAdapter { model: model.to_string(), adapter: adapter.clone() };
        steps.push(Step { kind, weights: None });
    }
}
