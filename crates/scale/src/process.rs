//! What a process takes, from `/proc`.

use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;

/// Clock ticks a second in `/proc`, fixed on Linux.
const TICKS: f64 = 100.0;
/// What the first thread is called here; the system names it after the program.
pub const MAIN_THREAD: &str = "main";

/// What a process has used so far, and holds now.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Usage {
    /// Processor seconds, threads that have ended counted.
    pub processor_s: f64,
    pub memory_mb: f64,
    pub most_memory_mb: f64,
    pub threads: u64,
    /// Open file descriptors; most of a controller's are sockets.
    pub descriptors: usize,
    pub sockets: usize,
    /// Processor seconds of the threads there are, by their names.
    pub by_thread: BTreeMap<String, f64>,
}

/// Name and processor seconds from the text of a `stat` file.
pub fn parse_stat(text: &str) -> Option<(String, f64)> {
    let (open, close) = (text.find('(')?, text.rfind(')')?);
    let name = text.get(open + 1..close)?.to_string();
    let fields: Vec<&str> = text.get(close + 1..)?.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i)?.parse::<f64>().ok();
    Some((name, (ticks(11)? + ticks(12)?) / TICKS))
}

/// A thread's name and processor seconds: in nanoseconds where the system tells,
/// as most threads use less than a tick.
fn read_thread(folder: &Path) -> Option<(String, f64)> {
    let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
    let (name, seconds) = parse_stat(&stat)?;
    let exact = std::fs::read_to_string(folder.join("schedstat")).ok();
    let exact = exact.and_then(|s| s.split_whitespace().next()?.parse::<f64>().ok());
    Some((name, exact.map_or(seconds, |ns| ns / 1e9)))
}

fn status_field(status: &str, name: &str) -> f64 {
    let line = status.lines().find_map(|l| l.strip_prefix(name));
    let number = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0.0)
}

impl Usage {
    /// What process `pid` uses; `threads` also reads each of its threads.
    pub fn read(pid: u32, threads: bool) -> Option<Usage> {
        let folder = format!("/proc/{pid}");
        let stat = std::fs::read_to_string(format!("{folder}/stat")).ok()?;
        let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
        let mut usage = Usage {
            processor_s: parse_stat(&stat)?.1,
            memory_mb: status_field(&status, "VmRSS:") / 1024.0,
            most_memory_mb: status_field(&status, "VmHWM:") / 1024.0,
            threads: status_field(&status, "Threads:") as u64,
            descriptors: std::fs::read_dir(format!("{folder}/fd")).map_or(0, Iterator::count),
            ..Usage::default()
        };
        if threads {
            usage.read_threads(&folder);
        }
        Some(usage)
    }

    fn read_threads(&mut self, folder: &str) {
        let tasks = std::fs::read_dir(format!("{folder}/task"));
        for task in tasks.into_iter().flatten().flatten() {
            if let Some((mut name, seconds)) = read_thread(&task.path()) {
                if Some(task.file_name().as_os_str()) == Path::new(folder).file_name() {
                    name = MAIN_THREAD.into();
                }
                *self.by_thread.entry(name).or_default() += seconds;
            }
        }
        let open = std::fs::read_dir(format!("{folder}/fd"));
        let is_socket = |p: &Path| {
            let target = std::fs::read_link(p).unwrap_or_default();
            target.to_string_lossy().starts_with("socket:")
        };
        let open = open.into_iter().flatten().flatten();
        self.sockets = open.filter(|d| is_socket(&d.path())).count();
    }
}
