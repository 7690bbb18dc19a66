//! The parts of a document, read one by one.

use std::time::Duration;

use serde::de::DeserializeOwned;

use super::{Backend, Document, Error, Kind, Limits, Route, Service, Tenant};
use crate::check::Holder;
use crate::homes;
use crate::lenient::Field;
use crate::name;
use crate::rate;
use crate::route::{self, Organisation, Pool, Target};

/// What of a document can be used.
pub(super) struct Parts {
    pub(super) version: u64,
    pub(super) limits: route::Limits,
    pub(super) rules: Vec<Rule>,
    pub(super) services: Vec<ServicePart>,
    pub(super) holders: Vec<Holder>,
}

/// The host and the path prefix that select a route, and the route if it can be used.
pub(super) struct Rule {
    pub(super) host: String,
    pub(super) prefix: String,
    pub(super) route: Option<route::Route>,
}

/// What a document says of a service.
pub(super) struct ServicePart {
    pub(super) name: name::Service,
    pub(super) pool: Option<Pool>,
    pub(super) cold: Option<route::Cold>,
}

/// Reads the parts of a document and remembers why some are left out.
#[derive(Default)]
pub(super) struct Reader {
    pub(super) left_out: Vec<Error>,
}

impl Reader {
    /// The value of a part; `None` if it is missing or left out.
    fn optional<T: DeserializeOwned>(&mut self, place: &str, field: Field<T>) -> Option<T> {
        field.0.unwrap_or_else(|source| {
            let column = source.column();
            self.left_out.push(Error::Part { place: place.to_owned(), column });
            None
        })
    }

    /// Like [`Self::optional`], for a part that must not be missing.
    fn required<T: DeserializeOwned>(&mut self, place: &str, field: Field<T>) -> Option<T> {
        let is_missing = matches!(field.0, Ok(None));
        let value = self.optional(place, field);
        if is_missing {
            self.left_out.push(Error::Missing(place.to_owned()));
        }
        value
    }

    /// The elements of a list that can be read, with their places.
    fn elements<T: DeserializeOwned>(
        &mut self,
        place: &str,
        list: Vec<Field<T>>,
    ) -> Vec<(String, T)> {
        let mut elements = Vec::new();
        for (index, element) in list.into_iter().enumerate() {
            let place = format!("{place}[{index}]");
            if let Some(element) = self.required(&place, element) {
                elements.push((place, element));
            }
        }
        elements
    }

    fn name<N>(&mut self, place: &str, name: Result<N, name::Error>) -> Option<N> {
        name.map_err(|source| {
            self.left_out.push(Error::Name { place: place.to_owned(), source });
        })
        .ok()
    }

    pub(super) fn document(&mut self, document: Document) -> Parts {
        let limits = self.required("limits", document.limits).unwrap_or_default();
        let routes = self.elements("routes", document.routes);
        let services = self.required("services", document.services).unwrap_or_default();
        let services = self.elements("services", services);
        let tenants = self.optional("tenants", document.tenants).unwrap_or_default();
        let tenants = self.elements("tenants", tenants);
        Parts {
            version: document.version,
            limits: self.limits(limits),
            rules: routes
                .into_iter()
                .filter_map(|(place, route)| self.rule(&place, route))
                .collect(),
            services: services
                .into_iter()
                .filter_map(|(place, service)| self.service(&place, service))
                .collect(),
            holders: tenants
                .into_iter()
                .filter_map(|(place, tenant)| self.holder(&place, tenant))
                .collect(),
        }
    }

    fn limits(&mut self, limits: Limits) -> route::Limits {
        let usual = route::Limits::default();
        let idle_timeout = self.required("limits.idle_timeout_ms", limits.idle_timeout_ms);
        let idle_timeout = idle_timeout.map_or(usual.idle_timeout, Duration::from_millis);
        let head_timeout = self.optional("limits.header_timeout_ms", limits.header_timeout_ms);
        let header_bytes = self.required("limits.max_header_bytes", limits.max_header_bytes);
        let body_bytes = self.required("limits.max_body_bytes", limits.max_body_bytes);
        route::Limits {
            header_bytes: header_bytes.unwrap_or(usual.header_bytes),
            body_bytes: body_bytes.unwrap_or(usual.body_bytes),
            idle_timeout,
            head_timeout: head_timeout.map_or(idle_timeout, Duration::from_millis),
        }
    }

    /// A rule; `None` if it is not known which requests it concerns.
    fn rule(&mut self, place: &str, mut route: Route) -> Option<Rule> {
        let host = self.required(&format!("{place}.host"), std::mem::take(&mut route.host));
        let prefix = std::mem::take(&mut route.path_prefix);
        let prefix = self.required(&format!("{place}.path_prefix"), prefix);
        let route = self.route(place, route);
        Some(Rule { host: host?.to_ascii_lowercase(), prefix: prefix?, route })
    }

    /// A route; `None` if a part is missing without which its requests could be handled in a way that it does not allow.
    fn route(&mut self, place: &str, route: Route) -> Option<route::Route> {
        let at = |field: &str| format!("{place}.{field}");
        let name = self.required(&at("name"), route.name);
        let kind = self.required(&at("kind"), route.kind);
        let timeout = self.required(&at("timeout_ms"), route.timeout_ms);
        let objective = self.optional(&at("target_latency_ms"), route.target_latency_ms);
        let max_pause = self.optional(&at("gap_aim_ms"), route.gap_aim_ms);
        let priority = self.optional(&at("priority"), route.priority);
        let max_runs = self.required(&at("max_attempts"), route.max_attempts);
        let public = self.optional(&at("public"), route.public);
        let generates = self.optional(&at("sticky"), route.sticky);
        let resumable = self.optional(&at("can_resume"), route.can_resume).unwrap_or_default();
        let homes = self.homes(&at("allowed_regions"), route.allowed_regions);
        let targets = self.targets(place, route.backends, route.service)?;
        Some(route::Route {
            name: name.unwrap_or_else(|| place.to_owned()).into(),
            kind: match kind? {
                Kind::Idempotent => route::Kind::Idempotent,
                Kind::NonIdempotent => route::Kind::NonIdempotent,
                Kind::Stream => route::Kind::Stream { resumable },
            },
            timeout: Duration::from_millis(timeout?),
            objective: Duration::from_millis(objective.unwrap_or_default()),
            max_pause: max_pause.map(Duration::from_millis),
            priority: priority.unwrap_or_default(),
            targets,
            max_runs: max_runs.unwrap_or_default().max(1),
            public: public.unwrap_or_default(),
            generates: generates.unwrap_or_default(),
            homes,
        })
    }

    /// The services of a route; `None` if there is none that can be used.
    fn targets(
        &mut self,
        place: &str,
        backends: Field<Vec<Field<Backend>>>,
        service: Field<String>,
    ) -> Option<Vec<Target>> {
        let is_odd = backends.0.is_err();
        let backends = self.optional(&format!("{place}.backends"), backends).unwrap_or_default();
        let is_split = is_odd || !backends.is_empty();
        let place_of_service = format!("{place}.service");
        let service = self.optional(&place_of_service, service);
        let mut targets = Vec::new();
        for (place, Backend { service, weight }) in
            self.elements(&format!("{place}.backends"), backends)
        {
            if let Some(service) = self.name(&place, name::Service::new(service)) {
                targets.push(Target { service, weight });
            }
        }
        if let (false, Some(service)) = (is_split, service) {
            let service = self.name(&place_of_service, name::Service::new(service));
            targets.extend(service.map(|service| Target { service, weight: 1 }));
        }
        if targets.is_empty() {
            self.left_out.push(Error::NoService(place.to_owned()));
            return None;
        }
        Some(targets)
    }

    /// A service. One whose engines cannot be read is handled like a plain one.
    fn service(&mut self, place: &str, service: Service) -> Option<ServicePart> {
        let at = |field: &str| format!("{place}.{field}");
        let engine = self.optional(&at("engine"), service.engine);
        let cold_start_s = self.optional(&at("cold_start_s"), service.cold_start_s);
        let cold_per_s = self.optional(&at("cold_per_s"), service.cold_per_s);
        let name = self.required(&at("name"), service.name)?;
        Some(ServicePart {
            name: self.name(&at("name"), name::Service::new(name))?,
            pool: engine.as_ref().map(Pool::from),
            cold: cold(cold_start_s, cold_per_s),
        })
    }

    /// An organisation with its keys. Without a name that servers can be told, its requests cannot be served.
    fn holder(&mut self, place: &str, tenant: Tenant) -> Option<Holder> {
        let at = |field: &str| format!("{place}.{field}");
        let priority = self.optional(&at("priority"), tenant.priority);
        let homes = self.homes(&at("allowed_regions"), tenant.allowed_regions);
        let keys = self.required(&at("api_keys"), tenant.api_keys).unwrap_or_default();
        let keys = self.elements(&at("api_keys"), keys);
        let keys = keys.into_iter().map(|(_, key)| key).collect();
        let name = self.required(&at("name"), tenant.name)?;
        let name = self.name(&at("name"), name::Customer::new(name))?;
        Some(Holder { organisation: Organisation { name, priority, homes }, keys })
    }

    /// The homes that a list of regions states; without a region in it, there is no restriction. An invalid name is that of
    /// no region, so it is left out, and the restriction stays. So it does if the list cannot be read.
    fn homes(&mut self, place: &str, regions: Field<Vec<Field<String>>>) -> homes::Set {
        let is_odd = regions.0.is_err();
        let regions = self.optional(place, regions).unwrap_or_default();
        if regions.is_empty() && !is_odd {
            return homes::Set::any();
        }
        let regions = self.elements(place, regions);
        homes::Set::new(regions.iter().filter_map(|(_, region)| name::Region::new(region).ok()))
    }
}

/// What the document says of cold servers. Negative numbers count as missing.
fn cold(start_s: Option<f64>, per_s: Option<f64>) -> Option<route::Cold> {
    let start = start_s.and_then(|s| Duration::try_from_secs_f64(s).ok());
    let limit = per_s.filter(|per_s| *per_s > 0.0).and_then(rate::Limit::new);
    (start.is_some() || limit.is_some())
        .then(|| route::Cold { start: start.unwrap_or_default(), limit })
}
