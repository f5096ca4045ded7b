//! Every path of the repository that the pages name exists.

use pulldown_cmark::{Event, Parser, Tag, TagEnd};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Directories whose files are named by their whole path.
const ROOTS: [&str; 6] = [".ci", "crates", "deploy", "docs", "src", "tests"];
/// A name with one of these endings is a file of the repository, whatever stands before.
const OWN_ENDINGS: [&str; 2] = [".rs", ".md"];
/// What marks a name as a pattern instead of a file.
const PLACEHOLDERS: [&str; 7] = ["{", "}", "<", "*", "…", "...", "NAME"];

/// The files and directories of the repository, relative to its root.
struct Repository(BTreeSet<PathBuf>);

impl Repository {
    fn read() -> Repository {
        let mut paths = BTreeSet::new();
        for entry in fs::read_dir(root()).expect("the root can be read") {
            let name = PathBuf::from(entry.expect("an entry").file_name());
            if root().join(&name).is_file() {
                paths.insert(name);
            }
        }
        for directory in ROOTS {
            add_tree(Path::new(directory), &mut paths);
        }
        Repository(paths)
    }

    fn has(&self, path: &Path) -> bool {
        self.0.contains(path)
    }

    /// A short name, such as `sched/users.rs`, is the end of a path.
    fn has_ending(&self, end: &str) -> bool {
        self.0.iter().any(|path| path.ends_with(end))
    }

    /// What `text`, a page in `directory`, names and what is not there.
    fn missing(&self, directory: &Path, text: &str) -> Vec<String> {
        let missing = |name: &&Name| match name {
            Name::Link(target) => !self.has(&normal(&directory.join(target))),
            Name::Path(path) => !self.has(&normal(Path::new(path))),
            Name::Ending(end) => !self.has_ending(end),
        };
        let names = names(text);
        names.iter().filter(missing).map(Name::to_string).collect()
    }
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn add_tree(directory: &Path, paths: &mut BTreeSet<PathBuf>) {
    paths.insert(directory.to_owned());
    for entry in fs::read_dir(root().join(directory)).expect("a directory") {
        let path = directory.join(entry.expect("an entry").file_name());
        if root().join(&path).is_dir() {
            add_tree(&path, paths);
        } else {
            paths.insert(path);
        }
    }
}

/// The path without `.`, `..` and a slash at its end.
fn normal(path: &Path) -> PathBuf {
    let mut normal = PathBuf::new();
    for part in path.components() {
        match part {
            std::path::Component::CurDir => {}
            std::path::Component::ParentDir => drop(normal.pop()),
            part => normal.push(part),
        }
    }
    normal
}

/// How a page names a file.
#[derive(Debug, PartialEq)]
enum Name {
    /// The target of a link, relative to the page.
    Link(String),
    /// From the root of the repository.
    Path(String),
    /// The last parts of a path.
    Ending(String),
}

impl Name {
    /// What a word in code names, if it names a file.
    fn of_word(word: &str) -> Option<Name> {
        let word = word.trim_matches(['(', ')', ',', ';', '"', '\'']);
        let word = word.trim_end_matches(['.', ':']);
        let word = match word.rsplit_once(':') {
            Some((path, line)) if line.bytes().all(|b| b.is_ascii_digit()) => path,
            _ => word,
        };
        if PLACEHOLDERS.iter().any(|mark| word.contains(mark)) {
            return None;
        }
        let first = word.split_once('/').map(|(first, _)| first);
        if first.is_some_and(|first| ROOTS.contains(&first)) {
            return Some(Name::Path(word.to_owned()));
        }
        let is_own = OWN_ENDINGS
            .iter()
            .any(|ending| word.len() > ending.len() && word.ends_with(ending));
        let elsewhere = word.starts_with(['/', '.', '-']) || word.starts_with("journal/");
        (is_own && !elsewhere).then(|| Name::Ending(word.to_owned()))
    }

    /// What a link leads to, if that is a file of the repository.
    fn of_link(target: &str) -> Option<Name> {
        let target = target.split('#').next().unwrap_or_default();
        let elsewhere = target.is_empty() || target.contains("://") || target.contains("journal/");
        (!elsewhere).then(|| Name::Link(target.to_owned()))
    }
}

impl std::fmt::Display for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let (Name::Link(name) | Name::Path(name) | Name::Ending(name)) = self;
        f.write_str(name)
    }
}

/// All names of files in the code and the links of a page.
fn names(text: &str) -> Vec<Name> {
    let mut names = vec![];
    let mut in_code_block = false;
    let words = |code: &str| {
        let words: Vec<_> = code.split_whitespace().filter_map(Name::of_word).collect();
        words
    };
    for event in Parser::new_ext(text, pulldown_cmark::Options::ENABLE_TABLES) {
        match event {
            Event::Start(Tag::CodeBlock(_)) => in_code_block = true,
            Event::End(TagEnd::CodeBlock) => in_code_block = false,
            Event::Start(Tag::Link { dest_url, .. }) => names.extend(Name::of_link(&dest_url)),
            Event::Code(code) => names.extend(words(&code)),
            Event::Text(code) if in_code_block => names.extend(words(&code)),
            _ => {}
        }
    }
    names
}

/// The pages that are held to it, relative to the root.
fn pages() -> Vec<PathBuf> {
    let mut pages = vec![PathBuf::from("README.md"), PathBuf::from("CONTRIBUTING.md")];
    for directory in ["docs", "docs/notes"] {
        for entry in fs::read_dir(root().join(directory)).expect("a directory") {
            let path = Path::new(directory).join(entry.expect("an entry").file_name());
            if path.extension().is_some_and(|e| e == "md") {
                pages.push(path);
            }
        }
    }
    pages
}

#[test]
fn every_path_that_the_pages_name_exists() {
    let repository = Repository::read();
    let (mut missing, mut named) = (vec![], 0);
    for page in pages() {
        let text = fs::read_to_string(root().join(&page)).expect("a page");
        let directory = page.parent().expect("a page is in a directory");
        named += names(&text).len();
        for name in repository.missing(directory, &text) {
            missing.push(format!("{}: {name}", page.display()));
        }
    }
    assert!(missing.is_empty(), "not there: {missing:#?}");
    assert!(
        named > 200,
        "hardly any path is found in the pages: {named}"
    );
}

#[test]
fn a_wrong_path_is_noticed_in_code_links_tables_and_drawings() {
    let repository = Repository::read();
    let missing = |text: &str| repository.missing(Path::new("docs"), text);
    assert_eq!(missing("see `src/nowhere.rs`."), ["src/nowhere.rs"]);
    assert_eq!(missing("`src/lib.rs:3`, `nowhere.rs`"), ["nowhere.rs"]);
    assert_eq!(missing("`node/lib.rs` but `src/lib.rs`"), ["node/lib.rs"]);
    assert_eq!(missing("[page](nowhere.md#part)"), ["nowhere.md"]);
    assert_eq!(missing("[page](../docs/design.md)"), [""; 0]);
    assert_eq!(missing("[page](README.md)"), ["README.md"]);
    assert_eq!(
        missing("| a | b |\n| --- | --- |\n| x | `tests/no` |"),
        ["tests/no"]
    );
    assert_eq!(
        missing("text\n\n    run docs/no.toml now\n"),
        ["docs/no.toml"]
    );
}

#[test]
fn what_is_not_a_file_of_the_repository_is_left_alone() {
    let repository = Repository::read();
    let text = "`journal/x.md`, [j](../journal/x.md), `docs/{page}.md`, `tests/NAME.rs`, \
                `GET /v2/runs`, `hookworks/live/{job}`, `settings.json`, `.rs`, \
                [out](https://example.org/a.md), [here](#part)";
    assert_eq!(repository.missing(Path::new("docs"), text), [""; 0]);
}
