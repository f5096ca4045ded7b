//! The page for whoever is on call names lines of the log and fields of the overview:
//! all of them are in the code.

use pulldown_cmark::{Event, Options, Parser, Tag, TagEnd};
use std::fs;
use std::path::Path;

/// The column that names lines and fields.
const COLUMN: &str = "log line or field";

/// The code in the column `COLUMN` of all tables of a page.
fn named(page: &str) -> Vec<String> {
    let (mut named, mut cell) = (vec![], 0);
    let (mut in_head, mut column) = (false, None);
    for event in Parser::new_ext(page, Options::ENABLE_TABLES) {
        match event {
            Event::Start(Tag::Table(_)) => column = None,
            Event::Start(Tag::TableHead) => (in_head, cell) = (true, 0),
            Event::End(TagEnd::TableHead) => in_head = false,
            Event::Start(Tag::TableRow) => cell = 0,
            Event::End(TagEnd::TableCell) => cell += 1,
            Event::Text(text) if in_head && *text == *COLUMN => column = Some(cell),
            Event::Code(code) if !in_head && column == Some(cell) => {
                named.push(code.into_string());
            }
            _ => {}
        }
    }
    named
}

/// Whether the code logs this line, or has a field of this name.
fn is_known(name: &str, code: &str) -> bool {
    if name.starts_with("hookworks ") {
        return true;
    }
    let name = name.split('=').next().unwrap_or(name);
    let literal = |text: &str| code.contains(&format!("\"{text}\""));
    let is_word = |text: &str| text.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
    let field = |text: &str| literal(text) || code.contains(&format!(" {text}: "));
    let logged = |text: &str| code.contains(&format!(" {text} = "));
    let shown = |text: &str| {
        [",", ";"]
            .iter()
            .any(|e| code.contains(&format!(" {text}{e}")))
    };
    literal(name)
        || name
            .split('.')
            .all(|part| is_word(part) && (field(part) || logged(part) || shown(part)))
}

fn source(directory: &Path, code: &mut String) {
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            source(&path, code);
        } else if path.extension().is_some_and(|e| e == "rs") {
            *code += &fs::read_to_string(path).expect("a source");
        }
    }
}

fn all_code() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut code = String::new();
    source(&root.join("src"), &mut code);
    for entry in fs::read_dir(root.join("crates")).expect("packages") {
        source(&entry.expect("an entry").path().join("src"), &mut code);
    }
    code
}

/// All lines and fields that a page names are in the code; it names so many at least.
fn holds(page: &str, at_least: usize) {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join(page);
    let named = named(&fs::read_to_string(page).expect("the page"));
    assert!(
        named.len() > at_least,
        "hardly any line is found: {named:?}"
    );
    let code = all_code();
    let unknown: Vec<_> = named.iter().filter(|n| !is_known(n, &code)).collect();
    assert!(unknown.is_empty(), "not in the code: {unknown:#?}");
}

#[test]
fn lines_and_fields_of_the_page_for_on_call_are_in_the_code() {
    holds("docs/operations.md", 50);
}

#[test]
fn lines_and_fields_of_the_page_for_a_roll_out_are_in_the_code() {
    holds("docs/roll-out.md", 10);
}

#[test]
fn a_line_that_is_not_logged_is_noticed() {
    let page = format!(
        "| symptom | {COLUMN} |\n| --- | --- |\n| `other` | `elected`, `selected` |\n| | `scheduler.prooven` |"
    );
    let code = r#"tracing::info!(%epoch, "elected"); json!({"proven": 1, "scheduler": 2})"#;
    let named = named(&page);
    let unknown: Vec<_> = named.iter().filter(|n| !is_known(n, code)).collect();
    assert_eq!(unknown, ["selected", "scheduler.prooven"]);
}
