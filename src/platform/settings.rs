//! Parser of the settings file that the platform writes for each process.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{fs, io};

use serde::Deserialize;

use crate::entry::settings::{self, Settings};
use crate::{cold, homes, name};

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "NUTMEGHEAD_SETTINGS";

/// Why the settings file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read the settings file {}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is not TOML, or a field is missing or has the wrong type. The source states the position.
    #[error("the settings file is malformed")]
    Malformed(#[from] toml::de::Error),
    /// A field contains an invalid name.
    #[error("invalid field {field} of the settings file")]
    Name {
        /// Name of the field.
        field: &'static str,
        /// Why the name is invalid.
        source: name::Error,
    },
    /// A field is outside its range.
    #[error("field {field} of the settings file must be {expected}")]
    Range {
        /// Name of the field.
        field: &'static str,
        /// The accepted range.
        expected: &'static str,
    },
}

/// Contents of the file. Unknown fields are ignored.
#[derive(Deserialize)]
struct File {
    node_name: String,
    zone: String,
    region: String,
    ip: IpAddr,
    port_range: (u16, u16),
    listen: Listen,
    limits: Limits,
    bounds: Bounds,
    platform: Platform,
    /// Region of each failure domain.
    #[serde(default)]
    zones: HashMap<String, toml::Value>,
}

#[derive(Deserialize)]
struct Listen {
    front: SocketAddr,
    ready: SocketAddr,
}

#[derive(Deserialize)]
struct Limits {
    max_fds: u64,
    memory_mb: Option<toml::Value>,
}

#[derive(Deserialize)]
struct Bounds {
    drain_ms: u64,
    grace_s: f64,
    config_max_ms: u64,
    revoke_ms: u64,
    strict_revoke: Option<toml::Value>,
    retry_ratio: f64,
    retry_window_s: f64,
    retry_slack: f64,
    /// Missing where failure domains are not evacuated.
    evac_ms: Option<u64>,
    cold_over: Option<f64>,
    cold_slack: Option<f64>,
}

#[derive(Deserialize)]
struct Platform {
    addr: SocketAddr,
}

/// Reads the settings file at `path`. The metrics endpoint uses `metrics_port` at the host's own IP address.
pub(crate) fn read(path: &Path, metrics_port: u16) -> Result<Settings, Error> {
    let text =
        fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    parse(&text, metrics_port)
}

/// Parses the text of a settings file.
pub(crate) fn parse(text: &str, metrics_port: u16) -> Result<Settings, Error> {
    let file: File = toml::from_str(text)?;
    let name_error = |field| move |source| Error::Name { field, source };
    if file.port_range.0 > file.port_range.1 {
        return Err(Error::Range { field: "port_range", expected: "in ascending order" });
    }
    Ok(Settings {
        host: name::Host::new(&file.node_name).map_err(name_error("node_name"))?,
        domain: name::Domain::new(&file.zone).map_err(name_error("zone"))?,
        region: name::Region::new(&file.region).map_err(name_error("region"))?,
        caller_address: file.listen.front,
        readiness_address: file.listen.ready,
        metrics_address: SocketAddr::new(file.ip, metrics_port),
        peer_address: SocketAddr::new(file.ip, file.port_range.0),
        store_address: file.platform.addr,
        max_descriptors: file.limits.max_fds,
        memory_bytes: file.limits.memory_mb.as_ref().and_then(memory_bytes),
        bounds: bounds(&file.bounds)?,
        regions: regions(&file.zones),
    })
}

/// The memory that the process may use, in bytes. A value that is no positive number sets no limit.
fn memory_bytes(megabytes: &toml::Value) -> Option<usize> {
    let megabytes = megabytes.as_float().or_else(|| megabytes.as_integer().map(|mb| mb as f64))?;
    (megabytes.is_finite() && megabytes > 0.0).then_some((megabytes * 1e6) as usize)
}

fn bounds(bounds: &Bounds) -> Result<settings::Bounds, Error> {
    Ok(settings::Bounds {
        leaving: Duration::from_millis(bounds.drain_ms),
        shutdown: seconds("bounds.grace_s", bounds.grace_s)?,
        configuration: Duration::from_millis(bounds.config_max_ms),
        revocation: Duration::from_millis(bounds.revoke_ms),
        // Unless it is clearly waived.
        strict_revocation: bounds.strict_revoke != Some(toml::Value::Boolean(false)),
        retry_ratio: non_negative("bounds.retry_ratio", bounds.retry_ratio)?,
        retry_window: seconds("bounds.retry_window_s", bounds.retry_window_s)?,
        retry_slack: non_negative("bounds.retry_slack", bounds.retry_slack)?,
        evacuation: bounds.evac_ms.map(Duration::from_millis),
        cold: cold(bounds)?,
    })
}

fn cold(bounds: &Bounds) -> Result<cold::Bound, Error> {
    let usual = cold::Bound::default();
    Ok(cold::Bound {
        over: non_negative("bounds.cold_over", bounds.cold_over.unwrap_or(usual.over))?,
        slack: non_negative("bounds.cold_slack", bounds.cold_slack.unwrap_or(usual.slack))?,
    })
}

/// The regions of failure domains. An entry that is not a name of a domain and one of a region is left out: the domain is
/// then outside every home.
fn regions(zones: &HashMap<String, toml::Value>) -> homes::Regions {
    let region = |(domain, region): (&String, &toml::Value)| {
        let domain = name::Domain::new(domain).ok()?;
        Some((domain, name::Region::new(region.as_str()?).ok()?))
    };
    homes::Regions::new(zones.iter().filter_map(region))
}

fn seconds(field: &'static str, value: f64) -> Result<Duration, Error> {
    Duration::try_from_secs_f64(value)
        .map_err(|_| Error::Range { field, expected: "a number of seconds, 0 or more" })
}

fn non_negative(field: &'static str, value: f64) -> Result<f64, Error> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    Err(Error::Range { field, expected: "0 or more" })
}
