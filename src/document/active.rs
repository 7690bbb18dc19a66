//! The document in force, indexed for the look-ups that requests need.

use std::collections::HashMap;
use std::sync::Arc;

use sha2::{Digest, Sha256};

use super::{Document, Engine, Error, Model, Organisation, Service, Workload, parse};
use crate::name;

/// A checked document with its version, indexed by key and name.
#[derive(Clone, Debug)]
pub struct Active {
    version: u64,
    document: Document,
    text: Arc<str>,
    /// Indices of the organisations, by SHA-256 of the bearer key.
    organisations: HashMap<String, usize>,
    models: HashMap<name::Model, usize>,
    services: HashMap<name::Service, usize>,
    workloads: HashMap<name::Workload, usize>,
    engines: HashMap<name::Engine, Arc<Engine>>,
    engines_of: HashMap<name::Model, Vec<Arc<Engine>>>,
}

impl Active {
    /// Indexes a `document` that [`parse`] returned for `text`. `version` is at least 1.
    pub fn new(version: u64, document: Document, text: Arc<str>) -> Self {
        let engines: Vec<_> = document.engines.iter().cloned().map(Arc::new).collect();
        let mut engines_of: HashMap<_, Vec<_>> = HashMap::new();
        for engine in &engines {
            for model in &engine.models {
                engines_of.entry(model.clone()).or_default().push(engine.clone());
            }
        }
        Self {
            version,
            organisations: index_by_key(&document),
            models: index_by_name(&document.models, |m| &m.name),
            services: index_by_name(&document.services, |s| &s.name),
            workloads: index_by_name(&document.workloads, |w| &w.name),
            engines: engines.into_iter().map(|e| (e.name.clone(), e)).collect(),
            engines_of,
            document,
            text,
        }
    }

    /// Parses, checks and indexes `text`. `version` is at least 1.
    ///
    /// # Errors
    ///
    /// The errors of [`parse`].
    pub fn parse(version: u64, text: Arc<str>) -> Result<Self, Error> {
        Ok(Self::new(version, parse(&text)?, text))
    }

    /// The document's version, at least 1. It increases with each accepted document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The document's text as it was submitted.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// The organisation whose bearer key is `bearer`.
    pub fn organisation_by_key(&self, bearer: &str) -> Option<&Organisation> {
        let index = self.organisations.get(&key_sha256(bearer))?;
        self.document.organisations.get(*index)
    }

    /// The model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.document.models.get(*self.models.get(name)?)
    }

    /// The plain service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.document.services.get(*self.services.get(name)?)
    }

    /// The workload with this name.
    pub fn workload(&self, name: &str) -> Option<&Workload> {
        self.document.workloads.get(*self.workloads.get(name)?)
    }

    /// The engine with this name.
    pub fn engine(&self, name: &str) -> Option<&Arc<Engine>> {
        self.engines.get(name)
    }

    /// The engines that serve `model`, in the document's order.
    pub fn engines_of(&self, model: &name::Model) -> &[Arc<Engine>] {
        self.engines_of.get(model).map_or(&[], Vec::as_slice)
    }

    /// The priority of `organisation`'s requests in `workload`, 0 (most urgent) to 9.
    pub fn priority(&self, organisation: &Organisation, workload: &Workload) -> u8 {
        organisation.priorities.get(&workload.name).copied().unwrap_or(workload.priority)
    }
}

/// The SHA-256 by which a document identifies a bearer key, in lower-case hexadecimal.
///
/// ```
/// assert!(nutmeghead::document::key_sha256("secret").starts_with("2bb80d53"));
/// ```
pub fn key_sha256(bearer: &str) -> String {
    format!("{:x}", Sha256::digest(bearer))
}

fn index_by_key(document: &Document) -> HashMap<String, usize> {
    let organisations = document.organisations.iter().enumerate();
    organisations.flat_map(|(i, o)| o.key_sha256.iter().map(move |k| (k.clone(), i))).collect()
}

fn index_by_name<T, N: Clone + Eq + std::hash::Hash>(
    list: &[T],
    name: impl Fn(&T) -> &N,
) -> HashMap<N, usize> {
    list.iter().enumerate().map(|(i, item)| (name(item).clone(), i)).collect()
}
