//! What was sent, answered and run, with times in seconds since the start of the case.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<std::fs::File>,
    /// Tasks that are on a machine, as the protocol counts it: from the image to the end.
    pub on: Mutex<BTreeMap<String, Vec<String>>>,
    /// Starts: time, task, machine.
    pub starts: Mutex<Vec<(f64, String, String)>>,
    /// Tasks that completed.
    pub done: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record {
            began: Instant::now(),
            file: Mutex::new(std::fs::File::create(path).expect("record.txt")),
            on: Mutex::default(),
            starts: Mutex::default(),
            done: Mutex::default(),
        }
    }
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
    pub fn note(&self, what: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {what}", self.now());
    }
    pub fn started(&self, task: &str, host: &str) {
        self.note(&format!("run    {task} starts on {host}"));
        let mut on = self.on.lock().unwrap();
        let hosts = on.entry(task.to_string()).or_default();
        if !hosts.is_empty() {
            self.note(&format!("run    {task} is also on {hosts:?}"));
        }
        hosts.push(host.to_string());
        let mut starts = self.starts.lock().unwrap();
        starts.push((self.now(), task.to_string(), host.to_string()));
    }
    pub fn ended(&self, task: &str, host: &str, why: &str) {
        self.note(&format!("run    {task} ends on {host}: {why}"));
        if why == "done" {
            self.done
                .lock()
                .unwrap()
                .push((self.now(), task.to_string()));
        }
        if let Some(hosts) = self.on.lock().unwrap().get_mut(task) {
            hosts.retain(|h| h != host);
        }
    }
    pub fn on_machines(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        let on = self.on.lock().unwrap();
        on.iter()
            .filter(|(t, hosts)| t.starts_with(&prefix) && !hosts.is_empty())
            .count()
    }
    pub fn starts_of(&self, job: &str, after: f64) -> Vec<(f64, String, String)> {
        let prefix = format!("{job}/");
        let starts = self.starts.lock().unwrap();
        starts
            .iter()
            .filter(|(at, task, _)| *at >= after && task.starts_with(&prefix))
            .cloned()
            .collect()
    }
    pub fn done_of(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        let done = self.done.lock().unwrap();
        let mut tasks: Vec<&String> = done
            .iter()
            .map(|d| &d.1)
            .filter(|t| t.starts_with(&prefix))
            .collect();
        tasks.sort();
        tasks.dedup();
        tasks.len()
    }
}
