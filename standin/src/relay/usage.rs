//! Resource usage of a process, from `/proc`.

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Usage {
    /// CPU time in user mode since the start of the process, in seconds.
    pub(crate) user_s: f64,
    /// CPU time in kernel mode since the start of the process, in seconds.
    pub(crate) system_s: f64,
    /// Time for which runnable threads waited for a CPU core, in seconds; none if the kernel does not report it.
    pub(crate) waited_s: Option<f64>,
    /// Resident memory, in KiB.
    pub(crate) resident_kib: u64,
}

impl Usage {
    /// CPU time in user and kernel mode, in seconds.
    pub(crate) fn cpu_s(&self) -> f64 {
        self.user_s + self.system_s
    }

    pub(crate) fn read(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let usage = Self::parse(&stat, &status)?;
        Some(Self { waited_s: waited_s(pid), ..usage })
    }

    pub(crate) fn parse(stat: &str, status: &str) -> Option<Self> {
        // The command name is in parentheses and may contain spaces, so fields are counted from the closing one.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let seconds =
            |field: usize| Some(fields.get(field)?.parse::<u64>().ok()? as f64 / TICKS_PER_S);
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let resident_kib = resident.split_whitespace().next()?.parse().ok()?;
        Some(Self { user_s: seconds(11)?, system_s: seconds(12)?, waited_s: None, resident_kib })
    }
}

fn waited_s(pid: u32) -> Option<f64> {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    // A thread that ends between the two reads is skipped.
    let statistics = tasks
        .flatten()
        .filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok());
    statistics.map(|line| parse_waited_s(&line)).sum()
}

/// The waiting time in a thread's `schedstat`: nanoseconds run, nanoseconds waited, times scheduled.
pub(super) fn parse_waited_s(line: &str) -> Option<f64> {
    let waited_ns: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(waited_ns / 1e9)
}
