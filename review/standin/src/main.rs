//! The cases of the review: `review-case N FOLDER ROOT TEMP`. Ends with 1 if the rule was
//! broken, 0 if it held, 2 if the case couldn't run.

mod fleet;
mod http;
mod json;
mod record;
mod site;
mod state;

mod case1;
mod case2;
mod case3;

use record::Record;
use std::path::PathBuf;
use std::sync::Arc;

/// Everything that a case needs to begin.
pub struct Start {
    pub record: Arc<Record>,
    pub root: PathBuf,
    pub temp: PathBuf,
    /// The disruption happens.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, root, temp] = &arguments[..] else {
        eprintln!("review-case N FOLDER ROOT TEMP");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let start = Start {
        record: Arc::new(Record::new(&format!("{folder}/record.txt"))),
        root: root.into(),
        temp: temp.into(),
        trouble,
    };
    let record = start.record.clone();
    record.note(&format!("case   {case}, with the disruption: {trouble}"));
    let broken: Vec<String> = match case.as_str() {
        "1" => case1::run(start),
        "2" => case2::run(start),
        "3" => case3::run(start),
        _ => std::process::exit(2),
    };
    for line in &broken {
        record.note(&format!("rule   broken: {line}"));
        println!("broken: {line}");
    }
    if broken.is_empty() {
        record.note("rule   held");
        println!("held");
    }
    std::process::exit(!broken.is_empty() as i32)
}
