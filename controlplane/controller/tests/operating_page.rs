//! Checks that the page `docs/operating.md` documents every log line of the programs above the debug level.

#[path = "common/sources.rs"]
mod sources;

use std::fs;

use sources::{Sources, root};

const PAGE: &str = "docs/operating.md";
/// The folders with the sources of the programs.
const FOLDERS: [&str; 4] =
    ["controlplane/controller/src", "dataplane/agent/src", "dataplane/proxy/src", "programs"];
/// The macros that write log lines, and the marks of their levels on the page.
const LEVELS: [(&str, &str); 3] = [("error!(", "E `"), ("warn!(", "W `"), ("info!(", "`")];

/// A log line in the sources: the mark of its level on the page, and its format string.
struct LogLine<'a> {
    mark: &'static str,
    text: &'a str,
}

impl LogLine<'_> {
    /// The longest part of the format string between placeholders.
    fn fixed_part(&self) -> &str {
        let parts = self.text.split('{').map(|part| part.split_once('}').map_or(part, |(_, rest)| rest));
        parts.map(str::trim).max_by_key(|part| part.len()).unwrap_or_default()
    }

    /// Whether the first cell of a table row on the page has the line with its level.
    fn is_documented(&self, page: &str) -> bool {
        let rows = page.lines().filter_map(|row| row.strip_prefix("| "));
        let cells = rows.map(|row| row.split(" | ").next().unwrap_or_default());
        let mut lines = cells.flat_map(|cell| cell.split("`, "));
        lines.any(|line| line.starts_with(self.mark) && line.contains(self.fixed_part()))
    }
}

/// All log lines in a source file.
fn log_lines(source: &str) -> Vec<LogLine<'_>> {
    let lines_of_level = |(start, mark): (&str, &'static str)| {
        let pieces = source.split(start).skip(1);
        let texts = pieces.filter_map(|piece| piece.trim_start().strip_prefix('"')?.split_once('"'));
        texts.map(|(text, _)| LogLine { mark, text }).collect::<Vec<_>>()
    };
    LEVELS.into_iter().flat_map(lines_of_level).collect()
}

#[test]
fn every_log_line_is_documented() {
    let page = fs::read_to_string(root().join(PAGE)).unwrap();
    let sources = Sources::read(&FOLDERS);
    let mut count = 0;
    for (file, source) in &sources.0 {
        for line in log_lines(source).iter().filter(|line| !line.fixed_part().is_empty()) {
            assert!(line.is_documented(&page), "{file}: `{}` is not on the page", line.text);
            count += 1;
        }
    }
    assert!(count > 30, "{count} lines were found");
}

#[test]
fn missing_line_or_wrong_level_is_detected() {
    let page =
        "| line | from |\n| `it listens`, W `the disk of ... failed: ...` | all |\n| E `it ends` | all |\n";
    for (source, is_documented) in [
        ("info!(\"it listens\")", true),
        ("warn!(\"it listens\")", false),
        ("warn!(\"the disk of {} failed: {failure}\", name)", true),
        ("info!(\"the disk of {} failed: {failure}\", name)", false),
        ("error!(\"it ends\")", true),
        ("warn!(\"it stays\")", false),
    ] {
        let lines = log_lines(source);
        assert_eq!((lines.len(), lines[0].is_documented(page)), (1, is_documented), "{source}");
    }
}
