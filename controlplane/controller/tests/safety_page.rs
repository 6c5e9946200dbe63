//! The page `docs/control-plane-safety.md` names files, tests and code by which its claims hold: all of them are there.

#[path = "common/sources.rs"]
mod sources;

use std::fs;

use sources::{Sources, root};

const PAGE: &str = "docs/control-plane-safety.md";
/// Where the sources of the workspace are.
const FOLDERS: [&str; 9] =
    ["balancer", "controlplane", "coordination", "crates", "dataplane", "lab", "programs", "src", "tests"];
/// Stands for the beginning of a name that the page has given in full just before.
const ELLIPSIS: &str = "...";
/// A name of so many words is that of a test or of another function.
const WORDS_OF_A_TEST: usize = 4;

/// What the page sets in the type of code.
struct Mention<'a> {
    line: usize,
    text: &'a str,
    /// What stands between the mention before and this one.
    before: &'a str,
}

/// The files that a page may mean by a path: those of which it is the end.
fn files_of<'a>(sources: &'a Sources, path: &str) -> Vec<&'a str> {
    let is_meant = |name: &str| name == path || name.ends_with(&format!("/{path}"));
    sources.0.iter().filter(|(name, _)| is_meant(name)).map(|(_, text)| text.as_str()).collect()
}

fn has_word(sources: &Sources, word: &str) -> bool {
    sources.0.values().any(|text| holds_word(text, word))
}

fn has_function(sources: &Sources, name: &str) -> bool {
    sources.0.values().any(|text| holds_function(text, name))
}

fn has_function_that_ends_with(sources: &Sources, end: &str) -> bool {
    sources.0.values().any(|text| text.contains(&format!("{end}(")))
}

fn is_of_a_word(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '_'
}

fn is_word(text: &str) -> bool {
    !text.is_empty() && text.chars().all(is_of_a_word)
}

fn holds_word(text: &str, word: &str) -> bool {
    text.split(|character| !is_of_a_word(character)).any(|other| other == word)
}

fn holds_function(text: &str, name: &str) -> bool {
    text.contains(&format!("fn {name}(")) || text.contains(&format!("fn {name}<"))
}

fn mentions(page: &str) -> Vec<Mention<'_>> {
    let mut mentions = Vec::new();
    let mut before = "";
    for (index, line) in page.lines().enumerate() {
        for (position, text) in line.split('`').enumerate() {
            if position.is_multiple_of(2) {
                before = if before.is_empty() { text } else { ELLIPSIS };
            } else {
                mentions.push(Mention { line: index + 1, text, before });
                before = "";
            }
        }
    }
    mentions
}

/// Whether a mention belongs to the list that the one before stands in, or begins the list behind a file.
fn goes_on_with_a_list(before: &str) -> bool {
    before.trim_start_matches('*').chars().all(|character| ":,( ".contains(character))
}

/// What is wrong with a mention; the files are those that the list which it stands in belongs to.
fn fault(sources: &Sources, text: &str, files: &[&str]) -> Option<String> {
    if let Some((path, name)) = text.split_once(".rs::") {
        let files = files_of(sources, &format!("{path}.rs"));
        return (!files.iter().any(|file| holds_function(file, name))).then(|| "no such test".to_owned());
    }
    if text.ends_with(".rs") {
        return files_of(sources, text).is_empty().then(|| "no such file".to_owned());
    }
    if text.starts_with("deploy/") {
        return missing_paths(text);
    }
    if let Some(end) = text.strip_prefix(ELLIPSIS) {
        let end = end.trim_end_matches(ELLIPSIS);
        let is_there = has_function_that_ends_with(sources, end) || text.ends_with(ELLIPSIS);
        return (!is_there).then(|| "no function ends so".to_owned());
    }
    let words: Vec<&str> = text.split("::").collect();
    if !words.iter().all(|word| is_word(word)) {
        return None;
    }
    if !files.is_empty() {
        let is_there = |word: &&str| files.iter().any(|file| holds_word(file, word));
        return (!words.iter().all(is_there)).then(|| "not in the file named before".to_owned());
    }
    if words.len() > 1 {
        return (!words.iter().all(|word| has_word(sources, word))).then(|| "no such item".to_owned());
    }
    let is_function = text.split('_').count() >= WORDS_OF_A_TEST && !text.contains(char::is_uppercase);
    (is_function && !has_function(sources, text)).then(|| "no such function".to_owned())
}

/// Of a path with alternatives in braces, or with a star at its end.
fn missing_paths(text: &str) -> Option<String> {
    let (head, rest) = text.split_once('{').unwrap_or((text, ""));
    let (alternatives, tail) = rest.split_once('}').unwrap_or(("", ""));
    let paths = alternatives.split(',').map(|alternative| format!("{head}{alternative}{tail}"));
    let is_missing = |path: &String| match path.split_once('*') {
        None => !root().join(path).exists(),
        Some((start, _)) => {
            let (folder, name) = start.rsplit_once('/').unwrap();
            let mut entries = fs::read_dir(root().join(folder)).unwrap();
            !entries.any(|entry| entry.unwrap().file_name().to_str().unwrap().starts_with(name))
        }
    };
    paths.into_iter().find(is_missing).map(|path| format!("no such path: {path}"))
}

fn faults(sources: &Sources, page: &str) -> Vec<String> {
    let mut faults = Vec::new();
    let mut files = Vec::new();
    for Mention { line, text, before } in mentions(page) {
        if !goes_on_with_a_list(before) {
            files.clear();
        }
        if let Some(fault) = fault(sources, text, &files) {
            faults.push(format!("line {line}: `{text}`: {fault}"));
        }
        if text.ends_with(".rs") {
            files = files_of(sources, text);
        }
    }
    faults
}

#[test]
fn all_that_the_page_names_is_there() {
    let page = fs::read_to_string(root().join(PAGE)).unwrap();
    assert!(mentions(&page).len() > 300, "the page is not read");
    let faults = faults(&Sources::read(&FOLDERS), &page);
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Two files, of which one is a test.
fn two_files() -> Sources {
    let files = [
        ("store/src/log.rs", "impl Log { fn append(&mut self) {} }"),
        ("store/tests/log_order.rs", "fn records_stay_in_their_order() { Log::append() }"),
    ];
    Sources(files.map(|(name, text)| (name.to_owned(), text.to_owned())).into())
}

#[test]
fn names_that_are_not_there_are_found() {
    for (page, is_there) in [
        ("`log_order.rs::records_stay_in_their_order`", true),
        ("`tests/log_order.rs::records_stay_in_their_order`", true),
        ("`src/log_order.rs::records_stay_in_their_order`", false),
        ("`log.rs::records_stay_in_their_order`", false),
        ("`log_order.rs::records_stay`", false),
        ("`log.rs`, `append`", true),
        ("`log.rs`: `append`*, `Log`, `records_stay`", false),
        ("`log.rs` (`Log::append`)", true),
        ("`log.rs` (`Log::remove`)", false),
        ("`log.rs` is not the one that has `records_stay_in_their_order`", true),
        ("`another_log.rs`", false),
        ("`records_stay_in_their_order`, `..._stay_in_their_order`", true),
        ("`records_stay_in_any_order`", false),
        ("`..._stay_in_any_order`", false),
        ("`Log::append` and then `append`", true),
        ("`Log::remove`", false),
        ("`deploy/days/answers-{garbled,broken}.toml`, `deploy/days/changes-*.toml`", true),
        ("`deploy/days/answers-{garbled,absent}.toml`", false),
        ("`deploy/days/absent-*.toml`", false),
    ] {
        assert_eq!(faults(&two_files(), page).is_empty(), is_there, "{page}");
    }
}
