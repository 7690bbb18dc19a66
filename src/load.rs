//! How busy each engine and backend server is, and which one a request goes to.
//!
//! Each entry host knows its own open requests exactly and those of other hosts from what they last told. Engines hold
//! few long generations, so a choice that saw its own requests only would fill some engines beyond their memory while
//! others stand half empty.

use std::collections::HashMap;
use std::sync::Arc;

use crate::directory::{Phase, Server};
use crate::name;
use crate::placement::Random;
use crate::proof::Rank;

mod pace;

pub use pace::{News, Pace, Shares, Stamp};

/// What another host told is forgotten after this time, in milliseconds: five of its messages.
pub const SHARE_LIFETIME_MS: u64 = 1_500;

/// Time in which half of the memory of a failure fades, in milliseconds. A failing server is tried again after a few.
const FAILURE_HALF_LIFE_MS: f64 = 1_500.0;

/// Servers compared for one request; more are sampled. Bounds the cost where a service has hundreds.
const MAX_COMPARED: usize = 32;

/// Part of an engine's memory up to which a long generation is let in. The rest is for the growth of those that run:
/// some hundred tokens a second, while one of about six ends every second.
const LONG_LIMIT: f64 = 0.84;

/// Part of an engine's memory up to which a short generation is let in: it is gone before others have grown.
const SHORT_LIMIT: f64 = 1.0;

/// Part of an engine's memory up to which a running generation is taken over: one that was let in goes before new ones.
const MOVE_LIMIT: f64 = 1.0;

/// Prompt tokens that an engine reads in a millisecond, as the platform states for its engines.
const PROMPT_TOKENS_PER_MS: u64 = 14;

/// Part of the time until the first event is due that may be spent on reading prompts: decoding for others goes on
/// meanwhile and doubles the time.
const READING_PART: u64 = 2;

/// Unread prompt tokens that weigh as much as a full memory: an engine that was just started is empty, and would get all
/// new prompts at once.
const UNREAD_SCALE_TOKENS: f64 = 12_000.0;

/// Weight of one recent failure against the share of a server that is in use.
const FAILURE_WEIGHT: f64 = 0.6;

/// Weight of a server that is still slow after its start.
const COLD_WEIGHT: f64 = 0.3;

/// Weight of a server in another failure domain for a new request: ties go to the own one.
pub const TIE_WEIGHT: f64 = 0.02;

/// Part of a server's capacity by which the choice for a new request is random: about half of one long generation.
pub const TIE_SPREAD: f64 = 0.08;

/// Part of an engine's capacity by which the choice for a running generation is random.
pub const MOVE_SPREAD: f64 = 0.1;

/// Engines of its failure domain that are compared for a running generation. All generations of several engines leave
/// at the same moment and would all take the emptiest one; the better of a few random ones is nearly as good.
pub const MOVE_COMPARED: usize = 3;

/// Weight of an engine in another failure domain for a running generation: its memory takes twice as long to get
/// there, and an engine that leaves has little time for all its generations.
pub const MOVE_WEIGHT: f64 = 0.4;

/// Open requests at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Open requests.
    pub requests: u32,
    /// Tokens that they hold in memory, or will once their prompts are read.
    pub tokens: u64,
    /// Tokens of prompts that are not read yet.
    pub unread: u64,
}

impl Share {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.unread += other.unread;
    }
}

/// What a generation needs of an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// It ends within a second or so.
    Short,
    /// It runs for seconds and grows.
    Long,
    /// It runs already, at an engine that leaves.
    Moving,
}

impl Demand {
    /// Whether an engine takes it that is `occupancy` full with it and has read its prompt after `reading_ms`, where the
    /// first event is due after `objective_ms`. A full engine preempts what runs there, which stalls
    /// streams for longer than callers accept; a refusal costs one request instead of another's progress.
    ///
    /// ```
    /// use nutmeghead::load::Demand;
    /// assert!(Demand::Short.fits(0.95, 200, 1_500) && !Demand::Long.fits(0.95, 200, 1_500));
    /// ```
    pub fn fits(self, occupancy: f64, reading_ms: u64, objective_ms: u64) -> bool {
        let limit = match self {
            Self::Short => SHORT_LIMIT,
            Self::Long => LONG_LIMIT,
            Self::Moving => MOVE_LIMIT,
        };
        occupancy <= limit && reading_ms <= objective_ms / READING_PART
    }
}

/// What a request needs of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Memory, in tokens; 0 for a plain service.
    pub tokens: u64,
    /// How long it takes up the memory.
    pub demand: Demand,
    /// Time until its first event or its answer is due, in milliseconds.
    pub objective_ms: u64,
}

/// What a server can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Requests at once.
    pub requests: u32,
    /// Tokens; 0 for a plain service.
    pub tokens: u64,
}

/// A server for a request, and how full it is with it.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The server.
    pub server: Arc<Server>,
    /// Part of its capacity in use, the new request included.
    pub occupancy: f64,
    /// Milliseconds until the new request's prompt is read.
    pub reading_ms: u64,
    /// Whether it has room; a plain service always has.
    pub fits: bool,
}

/// Which of servers that are about as full is taken.
#[derive(Clone, Copy, Debug)]
pub struct Preference<'a> {
    /// The failure domain that is preferred.
    pub domain: &'a name::Domain,
    /// Part of a server's capacity that the preference is worth.
    pub distance: f64,
    /// Part of a server's capacity by which the choice is random: hosts that choose at the same moment know nothing of
    /// each other's choices yet and would all take the emptiest server.
    pub spread: f64,
    /// Servers of the preferred failure domain with room that are compared, beside those met on the way.
    pub compared: usize,
    /// A random number.
    pub sample: u64,
}

struct Told {
    /// When everything was told last.
    at_ms: u64,
    stamp: Stamp,
    shares: Shares,
}

#[derive(Clone, Copy, Default)]
struct Failures {
    score: f64,
    at_ms: u64,
}

impl Failures {
    fn at(self, now_ms: u64) -> f64 {
        let elapsed = now_ms.saturating_sub(self.at_ms) as f64;
        self.score * (-elapsed / FAILURE_HALF_LIFE_MS).exp2()
    }
}

/// Open requests of this host and, as last told, of the others.
#[derive(Default)]
pub struct Ledger {
    own: Shares,
    others: HashMap<name::Host, Told>,
    failures: HashMap<name::Server, Failures>,
}

impl Ledger {
    /// No request is open.
    ///
    /// ```
    /// assert!(nutmeghead::load::Ledger::new().own().is_empty());
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// A request of `tokens` was sent to `server`, which has to read `unread` of them first.
    pub fn begin(&mut self, server: &name::Server, tokens: u64, unread: u64) {
        let share = Share { requests: 1, tokens, unread };
        self.own.entry(server.clone()).or_default().add(share);
    }

    /// `server` has read a prompt of `unread` tokens.
    pub fn read(&mut self, server: &name::Server, unread: u64) {
        if let Some(share) = self.own.get_mut(server) {
            share.unread = share.unread.saturating_sub(unread);
        }
    }

    /// A request at `server` has ended, which held `tokens` and had `unread` to read.
    pub fn end(&mut self, server: &name::Server, tokens: u64, unread: u64) {
        let Some(share) = self.own.get_mut(server) else { return };
        share.requests = share.requests.saturating_sub(1);
        share.tokens = share.tokens.saturating_sub(tokens);
        share.unread = share.unread.saturating_sub(unread);
        if share.requests == 0 {
            self.own.remove(server);
        }
    }

    /// A generation at `server` has made `tokens` more.
    pub fn grow(&mut self, server: &name::Server, tokens: u64) {
        if let Some(share) = self.own.get_mut(server) {
            share.tokens += tokens;
        }
    }

    /// This host's own open requests.
    pub fn own(&self) -> &Shares {
        &self.own
    }

    /// Takes in what another host told of its open requests. Messages that were overtaken change nothing.
    pub fn told(&mut self, host: name::Host, news: News, now_ms: u64) {
        let News { stamp, whole, shares } = news;
        match self.others.get_mut(&host) {
            Some(known) if !stamp.supersedes(known.stamp) => {}
            Some(known) if !whole && known.stamp.life == stamp.life => {
                known.stamp = stamp;
                known.shares.extend(shares);
            }
            _ => {
                self.others.insert(host, Told { at_ms: now_ms, stamp, shares });
            }
        }
    }

    /// The place of `host` among the hosts that told something lately, itself included.
    pub fn rank(&self, host: &name::Host, now_ms: u64) -> Rank {
        let heard = self.heard(host, now_ms);
        let before = heard.iter().take_while(|other| *other < host).count();
        Rank { before, count: heard.len() }
    }

    /// The hosts that told something lately, and `host` itself, by name.
    pub fn heard(&self, host: &name::Host, now_ms: u64) -> Vec<name::Host> {
        let current = self.others.iter().filter(|(_, told)| is_current(told, now_ms));
        let mut heard: Vec<_> = current.map(|(other, _)| other.clone()).collect();
        heard.retain(|other| other != host);
        heard.push(host.clone());
        heard.sort_unstable();
        heard
    }

    /// Notes that `server` failed a request.
    pub fn failed(&mut self, server: &name::Server, now_ms: u64) {
        let failures = self.failures.entry(server.clone()).or_default();
        *failures = Failures { score: failures.at(now_ms) + 1.0, at_ms: now_ms };
    }

    /// Forgets servers that were neither used nor failing for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.others.retain(|_, told| is_current(told, now_ms));
        self.failures.retain(|_, failures| failures.at(now_ms) > 0.01);
    }

    /// Tokens that each remaining engine will have to take over from those that leave, on average.
    fn arriving(&self, servers: &[Arc<Server>], now_ms: u64) -> u64 {
        let (mut leaving, mut ready) = (0, 0);
        for server in servers {
            match server.phase() {
                Phase::Ready => ready += 1,
                Phase::Leaving => leaving += self.total(&server.entry.id, now_ms).tokens,
            }
        }
        leaving / u64::max(ready, 1)
    }

    /// Open requests at `server`, of all hosts.
    pub fn total(&self, server: &name::Server, now_ms: u64) -> Share {
        let mut total = self.own.get(server).copied().unwrap_or_default();
        for told in self.others.values().filter(|told| is_current(told, now_ms)) {
            if let Some(share) = told.shares.get(server) {
                total.add(*share);
            }
        }
        total
    }

    /// The server that is least full with a further request, of those that have room if any has.
    pub fn choose(
        &self,
        servers: &[Arc<Server>],
        excluded: &[name::Server],
        capacity: impl Fn(&Server) -> Capacity,
        need: Need,
        preference: Preference<'_>,
        now_ms: u64,
    ) -> Option<Choice> {
        let Preference { domain, distance, spread, compared, sample } = preference;
        let moves = need.demand == Demand::Moving;
        let mut random = Random::new(sample);
        if servers.is_empty() {
            return None;
        }
        let arriving = if moves { 0 } else { self.arriving(servers, now_ms) };
        let start = (sample % servers.len() as u64) as usize;
        let mut best: Option<(f64, Choice)> = None;
        let is_better = |cost: f64, fits: bool, best: &Option<(f64, Choice)>| match best {
            None => true,
            Some((_, choice)) if choice.fits != fits => fits,
            Some((least, _)) => cost < *least,
        };
        let mut near = 0;
        for server in servers[start..].iter().chain(&servers[..start]).take(MAX_COMPARED) {
            if server.phase() != Phase::Ready || excluded.contains(&server.entry.id) {
                continue;
            }
            let total = self.total(&server.entry.id, now_ms);
            let capacity = capacity(server);
            let occupancy = occupancy(total, capacity, need.tokens + arriving);
            let reading_ms = (total.unread + need.tokens) / PROMPT_TOKENS_PER_MS;
            let fits =
                capacity.tokens == 0 || need.demand.fits(occupancy, reading_ms, need.objective_ms);
            let failures = self.failures.get(&server.entry.id).map_or(0.0, |f| f.at(now_ms));
            let mut cost = occupancy + FAILURE_WEIGHT * failures;
            cost += total.unread as f64 / UNREAD_SCALE_TOKENS;
            if server.is_cold(now_ms) {
                cost += COLD_WEIGHT;
            }
            if server.entry.domain == *domain {
                near += usize::from(fits);
            } else {
                cost += distance;
            }
            cost += spread * random.unit();
            if is_better(cost, fits, &best) {
                let server = Arc::clone(server);
                best = Some((cost, Choice { server, occupancy, reading_ms, fits }));
            }
            if near == compared {
                break;
            }
        }
        best.map(|(_, choice)| choice)
    }
}

/// Part of a server's capacity in use with a further request: of its memory or of its slots, whichever is more.
fn occupancy(total: Share, capacity: Capacity, need: u64) -> f64 {
    let slots = f64::from(total.requests + 1) / f64::from(capacity.requests.max(1));
    if capacity.tokens == 0 {
        return slots;
    }
    slots.max((total.tokens + need) as f64 / capacity.tokens as f64)
}

fn is_current(told: &Told, now_ms: u64) -> bool {
    now_ms.saturating_sub(told.at_ms) <= SHARE_LIFETIME_MS
}

#[cfg(test)]
mod tests;
