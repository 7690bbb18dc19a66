//! What a process uses, from `/proc`.

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Usage {
    /// Processor time in the process since its start, in seconds.
    pub(crate) user_s: f64,
    /// Processor time in the kernel since its start, in seconds.
    pub(crate) system_s: f64,
    /// Resident memory, in KiB.
    pub(crate) resident_kib: u64,
}

impl Usage {
    /// Processor time in the process and the kernel, in seconds.
    pub(crate) fn cpu_s(&self) -> f64 {
        self.user_s + self.system_s
    }

    pub(crate) fn read(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        Self::parse(&stat, &status)
    }

    pub(crate) fn parse(stat: &str, status: &str) -> Option<Self> {
        // The command's name is in parentheses and may hold spaces, so fields are counted from behind it.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let seconds =
            |field: usize| Some(fields.get(field)?.parse::<u64>().ok()? as f64 / TICKS_PER_S);
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let resident_kib = resident.split_whitespace().next()?.parse().ok()?;
        Some(Self { user_s: seconds(11)?, system_s: seconds(12)?, resident_kib })
    }
}

/// Time for which some process waited for a core since the machine's start, in seconds; none if the kernel does not
/// tell.
pub(super) fn waited_s() -> Option<f64> {
    parse_pressure(&std::fs::read_to_string("/proc/pressure/cpu").ok()?)
}

pub(super) fn parse_pressure(text: &str) -> Option<f64> {
    let some = text.lines().find(|line| line.starts_with("some "))?;
    let total_us: f64 = some.rsplit_once("total=")?.1.trim().parse().ok()?;
    Some(total_us / 1e6)
}
