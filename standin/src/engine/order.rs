//! Orders to an engine.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// An order, as on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Order {
    pub(super) order_id: Uuid,
    pub(super) fence: u64,
    #[serde(flatten)]
    pub(super) kind: Kind,
}

/// The kind of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(super) enum Kind {
    LoadModel { model: String },
    LoadAdapter { model: String, adapter: String },
    UnloadAdapter { model: String, adapter: String },
    SetVersion { version: String },
    SetRole { role: String },
}

/// An order that the engine received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the order.
    pub order_id: Uuid,
    /// Fencing number of the order.
    pub fence: u64,
    /// Kind of the order, as on the wire.
    pub kind: String,
    /// Whether the engine accepted the order.
    pub applied: bool,
}

/// The models and adapters that an engine has loaded, with its version, its role and the last accepted fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Loaded {
    pub(super) models: Vec<String>,
    pub(super) adapters: Vec<String>,
    pub(super) version: String,
    pub(super) role: String,
    pub(super) fence: u64,
}

impl Loaded {
    /// Whether an engine that checks fencing numbers accepts this one.
    pub(super) fn accepts(&self, fence: u64) -> bool {
        fence >= self.fence
    }

    pub(super) fn apply(&mut self, kind: &Kind) {
        match kind.clone() {
            Kind::LoadModel { model } => insert(&mut self.models, model),
            Kind::LoadAdapter { adapter, .. } => insert(&mut self.adapters, adapter),
            Kind::UnloadAdapter { adapter, .. } => {
                self.adapters.retain(|loaded| *loaded != adapter)
            }
            Kind::SetVersion { version } => self.version = version,
            Kind::SetRole { role } => self.role = role,
        }
    }
}

fn insert(names: &mut Vec<String>, name: String) {
    if !names.contains(&name) {
        names.push(name);
    }
}

impl Kind {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::LoadModel { .. } => "load_model",
            Self::LoadAdapter { .. } => "load_adapter",
            Self::UnloadAdapter { .. } => "unload_adapter",
            Self::SetVersion { .. } => "set_version",
            Self::SetRole { .. } => "set_role",
        }
    }
}
