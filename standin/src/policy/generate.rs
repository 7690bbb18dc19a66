//! Generates traces from seeds.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::trace::{Arrival, Deployment, Engine, Event, Kind, Trace};

/// Names of the generated traces.
pub const NAMES: [&str; 6] = ["quiet", "overload", "flood", "domain-lost", "reclaim", "shift"];
/// Memory of each engine, in tokens.
const MEMORY_TOKENS: u64 = 80_000;
/// Number of failure domains.
const DOMAINS: u8 = 3;
/// Time per token assumed for the offered load, in milliseconds.
const TOKEN_MS: f64 = 20.0;
/// Duration of a trace, in milliseconds.
const DURATION_MS: f64 = 300_000.0;
/// Longest output, in tokens.
pub const MAX_OUTPUT_TOKENS: u32 = 8_192;
/// Possible values of `max_tokens` in requests that set a limit.
const MAX_TOKENS_CHOICES: [u32; 3] = [2_048, 4_096, 8_192];
/// Relative request rate of each organisation.
const ORGANISATION_WEIGHTS: [f64; 10] = [3.0, 6.0, 4.0, 3.0, 1.0, 1.0, 0.7, 0.6, 0.4, 0.3];
/// Index of the organisation whose rebuilds are the most urgent work in the Rumbo deployment.
const PREFERRED_ORGANISATION: usize = 0;
/// Index of the organisation that sends the extra load of the `flood` trace.
const FLOODING_ORGANISATION: usize = 1;
/// Number of sampled requests from which the mean occupancy of a request is estimated.
const OCCUPANCY_SAMPLES: usize = 20_000;

/// Distribution of one workload's requests: log-normal lengths, with a fraction of much longer outputs.
struct Shape {
    /// Fraction of all requests.
    fraction: f64,
    priority: u8,
    /// Priority of the preferred organisation's requests.
    preferred_priority: u8,
    prompt_median: f64,
    output_median: f64,
    output_sigma: f64,
    /// Fraction of outputs that are four times as long.
    tail_fraction: f64,
}

fn shapes(deployment: Deployment) -> [Shape; 3] {
    let shape = |fraction,
                 priority,
                 preferred_priority,
                 prompt_median,
                 output_median,
                 output_sigma,
                 tail_fraction| {
        Shape {
            fraction,
            priority,
            preferred_priority,
            prompt_median,
            output_median,
            output_sigma,
            tail_fraction,
        }
    };
    match deployment {
        Deployment::Rumbo => [
            shape(0.25, 2, 0, 1_000.0, 800.0, 0.8, 0.06),
            shape(0.45, 1, 1, 300.0, 50.0, 0.6, 0.0),
            shape(0.30, 4, 4, 600.0, 200.0, 1.1, 0.04),
        ],
        Deployment::Fortovsraad => [
            shape(0.35, 2, 2, 900.0, 900.0, 0.7, 0.05),
            shape(0.45, 3, 3, 350.0, 24.0, 0.5, 0.0),
            shape(0.20, 5, 5, 500.0, 250.0, 1.0, 0.04),
        ],
    }
}

/// Offered load at one point in time, as fractions of the fleet's memory.
struct Load {
    /// Load of all organisations, without `flood`.
    regular: f64,
    /// Additional load of the flooding organisation.
    flood: f64,
    /// Factor on the lengths of outputs.
    output_factor: f64,
}

fn load(name: &str, at_ms: f64) -> Load {
    let elapsed = at_ms / DURATION_MS;
    let middle = (0.2..0.8).contains(&elapsed);
    let (regular, flood, output_factor) = match name {
        "quiet" => (0.35, 0.0, 1.0),
        "overload" => (if middle { 1.3 } else { 0.6 }, 0.0, 1.0),
        "flood" => (0.55, if middle { 0.9 } else { 0.0 }, 1.0),
        "domain-lost" => (0.8, 0.0, 1.0),
        "reclaim" => (0.85, 0.0, 1.0),
        _ => (0.6, 0.0, if elapsed > 0.4 { 1.6 } else { 1.0 }),
    };
    Load { regular, flood, output_factor }
}

/// Generates the trace `name` for a fleet of `engines` engines.
///
/// ```
/// use standin::policy::{generate, trace};
/// let trace = generate::trace(1, trace::Deployment::Rumbo, "quiet", 3);
/// assert_eq!(trace, generate::trace(1, trace::Deployment::Rumbo, "quiet", 3));
/// ```
pub fn trace(seed: u64, deployment: Deployment, name: &str, engines: u8) -> Trace {
    let mut random = StdRng::seed_from_u64(seed ^ (deployment as u64) << 32);
    let engine = |index| Engine { memory_tokens: MEMORY_TOKENS, domain: index % DOMAINS };
    let fleet: Vec<Engine> = (0..engines).map(engine).collect();
    let memory = fleet.iter().map(|engine| engine.memory_tokens as f64).sum::<f64>();
    let mut events = arrivals(&mut random, deployment, name, memory);
    let failure = match name {
        "domain-lost" => Some(Kind::DomainLost { domain: (seed % u64::from(DOMAINS)) as u8 }),
        "reclaim" => {
            Some(Kind::Reclaim { engine: (seed % u64::from(engines)) as u8, notice_ms: 2_000 })
        }
        _ => None,
    };
    events.extend(failure.map(|kind| Event { at_ms: (DURATION_MS * 0.4) as u64, kind }));
    events.sort_by_key(|event| event.at_ms);
    Trace { deployment, name: name.to_owned(), engines: fleet, events }
}

fn arrivals(random: &mut StdRng, deployment: Deployment, name: &str, memory: f64) -> Vec<Event> {
    let shapes = shapes(deployment);
    let sample = |random: &mut StdRng| occupancy(&arrival(random, &shapes, None, 1.0));
    let per_request =
        (0..OCCUPANCY_SAMPLES).map(|_| sample(random)).sum::<f64>() / OCCUPANCY_SAMPLES as f64;
    let mut events = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < DURATION_MS {
        let load = load(name, at_ms);
        let rate_per_ms = (load.regular + load.flood) * memory / per_request;
        at_ms += -(1.0 - random.random::<f64>()).ln() / rate_per_ms;
        let floods = random.random::<f64>() * (load.regular + load.flood) < load.flood;
        let arrival =
            arrival(random, &shapes, floods.then_some(FLOODING_ORGANISATION), load.output_factor);
        events.push(Event { at_ms: at_ms as u64, kind: Kind::Arrive(arrival) });
    }
    events
}

fn arrival(
    random: &mut StdRng,
    shapes: &[Shape; 3],
    organisation: Option<usize>,
    output_factor: f64,
) -> Arrival {
    let workload = weighted_index(random, shapes.iter().map(|shape| shape.fraction));
    let organisation =
        organisation.unwrap_or_else(|| weighted_index(random, ORGANISATION_WEIGHTS.into_iter()));
    let shape = &shapes[workload];
    let tail = if random.random::<f64>() < shape.tail_fraction { 4.0 } else { 1.0 };
    let output =
        shape.output_median * output_factor * tail * log_normal(random, shape.output_sigma);
    let prompt_tokens = ((shape.prompt_median * log_normal(random, 0.4)) as u32).clamp(50, 6_000);
    let limit = MAX_TOKENS_CHOICES[random.random_range(0..MAX_TOKENS_CHOICES.len())];
    let limited = random.random::<f64>() < 0.3;
    let max_tokens = if limited { limit } else { 0 };
    let longest = if limited { limit } else { MAX_OUTPUT_TOKENS };
    let variant = random.random_range(0..2);
    Arrival {
        organisation: organisation as u8,
        workload: workload as u8,
        priority: if organisation == PREFERRED_ORGANISATION {
            shape.preferred_priority
        } else {
            shape.priority
        },
        prompt_tokens,
        output_tokens: (output as u32).clamp(1, longest),
        max_tokens,
        prefix: (1 + organisation * 6 + workload * 2 + variant) as u32,
        prefix_tokens: (shape.prompt_median * 0.4) as u32,
    }
}

/// Memory use of a request integrated over its duration, in token-milliseconds.
fn occupancy(arrival: &Arrival) -> f64 {
    let output = f64::from(arrival.output_tokens);
    let own_prompt = f64::from(arrival.prompt_tokens.saturating_sub(arrival.prefix_tokens));
    (own_prompt + output / 2.0) * output * TOKEN_MS
}

/// A random index, drawn with probabilities proportional to `weights`.
fn weighted_index(random: &mut StdRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut remaining = random.random::<f64>() * weights.clone().sum::<f64>();
    for (index, weight) in weights.enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    0
}

/// A log-normal factor with median 1.
fn log_normal(random: &mut StdRng, sigma: f64) -> f64 {
    let (u, v): (f64, f64) = (1.0 - random.random::<f64>(), random.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (sigma * normal).exp()
}
