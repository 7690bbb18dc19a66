//! Turns of the hosts that have generations at an engine of an evacuated domain, so that one generation of the engine is
//! moved at a time.
//!
//! All hosts learn of an evacuation at nearly the same time, and know from load reports which hosts have generations at
//! an engine. They derive the same turns from both without further messages. A host whose last generation was moved or
//! has ended passes its turn on.

use crate::name;

/// Duration of a turn, in milliseconds: about that of one move to another failure domain.
const TURN_MS: u64 = 700;

/// Part of a turn in which a move may start, as a divisor: a later one would extend far into the next host's turn.
const START_DIVISOR: u64 = 2;

/// Whether `own` may start to move a generation away from `engine`, `elapsed_ms` after it learnt of the evacuation.
/// `others` are the other hosts that have generations there.
///
/// ```
/// use nutmeghead::{evacuation::may_start, name};
/// let (engine, host) = (name::Server::new("e-1")?, name::Host::new("h-1")?);
/// assert!(may_start(&engine, &host, &[], 0) && !may_start(&engine, &host, &[], 690));
/// # Ok::<(), name::Error>(())
/// ```
pub fn may_start(
    engine: &name::Server,
    own: &name::Host,
    others: &[name::Host],
    elapsed_ms: u64,
) -> bool {
    let turn = elapsed_ms / TURN_MS;
    let own_rank = rank(engine, turn, own);
    elapsed_ms % TURN_MS < TURN_MS / START_DIVISOR
        && others.iter().all(|other| own_rank <= rank(engine, turn, other))
}

/// Position of a host in the order for this turn. The same in all builds of this program.
fn rank(engine: &name::Server, turn: u64, host: &name::Host) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(engine.as_str().as_bytes()).update(&[0]).update(host.as_str().as_bytes());
    hasher.update(&turn.to_be_bytes());
    let mut rank = [0; 16];
    hasher.finalize_xof().fill(&mut rank);
    rank
}
