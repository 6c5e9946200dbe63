//! Checks that all files, tests and items that the page `docs/control-plane-safety.md` refers to exist.

#[path = "common/sources.rs"]
mod sources;

use std::fs;

use sources::{Sources, root};

const PAGE: &str = "docs/control-plane-safety.md";
/// The folders with the sources of the workspace.
const FOLDERS: [&str; 9] =
    ["balancer", "controlplane", "coordination", "crates", "dataplane", "lab", "programs", "src", "tests"];
/// Replaces the beginning of a name on the page if it was given in full just before.
const ELLIPSIS: &str = "...";
/// A lower-case name of at least this many words is that of a test or of another function.
const MIN_FUNCTION_NAME_WORDS: usize = 4;

/// A code span on the page.
struct Mention<'a> {
    line: usize,
    text: &'a str,
    /// The text between the previous mention and this one.
    before: &'a str,
}

/// The texts of all files whose path ends with the given path.
fn matching_files<'a>(sources: &'a Sources, path: &str) -> Vec<&'a str> {
    let is_match = |name: &str| name == path || name.ends_with(&format!("/{path}"));
    sources.0.iter().filter(|(name, _)| is_match(name)).map(|(_, text)| text.as_str()).collect()
}

fn has_word(sources: &Sources, word: &str) -> bool {
    sources.0.values().any(|text| contains_word(text, word))
}

fn has_function(sources: &Sources, name: &str) -> bool {
    sources.0.values().any(|text| contains_function(text, name))
}

fn has_function_that_ends_with(sources: &Sources, end: &str) -> bool {
    sources.0.values().any(|text| text.contains(&format!("{end}(")))
}

fn is_word_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '_'
}

fn is_word(text: &str) -> bool {
    !text.is_empty() && text.chars().all(is_word_character)
}

fn contains_word(text: &str, word: &str) -> bool {
    text.split(|character| !is_word_character(character)).any(|other| other == word)
}

fn contains_function(text: &str, name: &str) -> bool {
    text.contains(&format!("fn {name}(")) || text.contains(&format!("fn {name}<"))
}

/// All code spans on the page.
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

/// Whether a mention belongs to the same list as the previous one, or begins the list that follows a file.
fn continues_list(before: &str) -> bool {
    before.trim_start_matches('*').chars().all(|character| ":,( ".contains(character))
}

/// The problem with a mention, if any. `files` are the texts of the file at the head of its list.
fn find_problem(sources: &Sources, text: &str, files: &[&str]) -> Option<String> {
    if let Some((path, name)) = text.split_once(".rs::") {
        let files = matching_files(sources, &format!("{path}.rs"));
        return (!files.iter().any(|file| contains_function(file, name))).then(|| "no such test".to_owned());
    }
    if text.ends_with(".rs") {
        return matching_files(sources, text).is_empty().then(|| "no such file".to_owned());
    }
    if text.starts_with("deploy/") {
        return missing_paths(text);
    }
    if let Some(end) = text.strip_prefix(ELLIPSIS) {
        let end = end.trim_end_matches(ELLIPSIS);
        let exists = has_function_that_ends_with(sources, end) || text.ends_with(ELLIPSIS);
        return (!exists).then(|| "no function ends so".to_owned());
    }
    let words: Vec<&str> = text.split("::").collect();
    if !words.iter().all(|word| is_word(word)) {
        return None;
    }
    if !files.is_empty() {
        let exists = |word: &&str| files.iter().any(|file| contains_word(file, word));
        return (!words.iter().all(exists)).then(|| "not in the file named before".to_owned());
    }
    if words.len() > 1 {
        return (!words.iter().all(|word| has_word(sources, word))).then(|| "no such item".to_owned());
    }
    let is_function =
        text.split('_').count() >= MIN_FUNCTION_NAME_WORDS && !text.contains(char::is_uppercase);
    (is_function && !has_function(sources, text)).then(|| "no such function".to_owned())
}

/// The problem with a path that may have alternatives in braces or a star at its end.
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

fn find_problems(sources: &Sources, page: &str) -> Vec<String> {
    let mut problems = Vec::new();
    let mut files = Vec::new();
    for Mention { line, text, before } in mentions(page) {
        if !continues_list(before) {
            files.clear();
        }
        if let Some(problem) = find_problem(sources, text, &files) {
            problems.push(format!("line {line}: `{text}`: {problem}"));
        }
        if text.ends_with(".rs") {
            files = matching_files(sources, text);
        }
    }
    problems
}

#[test]
fn all_references_of_the_page_exist() {
    let page = fs::read_to_string(root().join(PAGE)).unwrap();
    assert!(mentions(&page).len() > 300, "the page is not read");
    let problems = find_problems(&Sources::read(&FOLDERS), &page);
    assert!(problems.is_empty(), "{}", problems.join("\n"));
}

/// Two source files, of which one is a test.
fn two_files() -> Sources {
    let files = [
        ("store/src/log.rs", "impl Log { fn append(&mut self) {} }"),
        ("store/tests/log_order.rs", "fn records_stay_in_their_order() { Log::append() }"),
    ];
    Sources(files.map(|(name, text)| (name.to_owned(), text.to_owned())).into())
}

#[test]
fn missing_references_are_detected() {
    for (page, exists) in [
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
        assert_eq!(find_problems(&two_files(), page).is_empty(), exists, "{page}");
    }
}
