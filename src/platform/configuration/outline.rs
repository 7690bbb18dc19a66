//! A document as its operator wrote it, for the check before it is sent.

use super::{Document, Error, Route, name_error};
use crate::check::{self, Holder, Rule, Service};
use crate::name;
use crate::route::{self, Organisation, Pool};

/// Parses a document without dropping entries that replace each other. Hosts refuse a document for the same errors.
pub(crate) fn outline(bytes: &[u8]) -> Result<check::Document, Error> {
    check::Document::try_from(serde_json::from_slice::<Document>(bytes)?)
}

impl TryFrom<Document> for check::Document {
    type Error = Error;

    fn try_from(document: Document) -> Result<Self, Error> {
        let rules = document.routes.into_iter().map(Rule::try_from).collect::<Result<_, _>>()?;
        let mut services = Vec::new();
        for service in document.services {
            let name = name::Service::new(&service.name).map_err(name_error("services.name"))?;
            services.push(Service { name, pool: service.engine.as_ref().map(Pool::from) });
        }
        let mut holders = Vec::new();
        for tenant in document.tenants {
            let keys = tenant.api_keys.clone();
            holders.push(Holder { organisation: Organisation::try_from(&tenant)?, keys });
        }
        Ok(Self { version: document.version, rules, services, holders })
    }
}

impl TryFrom<Route> for Rule {
    type Error = Error;

    fn try_from(route: Route) -> Result<Self, Error> {
        let (host, prefix) = (route.host.to_ascii_lowercase(), route.path_prefix.clone());
        Ok(Self { host, prefix, route: route::Route::try_from(route)? })
    }
}
