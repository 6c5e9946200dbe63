//! The page `docs/operating.md` tells of every line that the programs write to their logs, but for the finest level.

#[path = "common/sources.rs"]
mod sources;

use std::fs;

use sources::{Sources, root};

const PAGE: &str = "docs/operating.md";
/// Where the programs' sources are.
const FOLDERS: [&str; 4] =
    ["controlplane/controller/src", "dataplane/agent/src", "dataplane/proxy/src", "programs"];
/// The beginnings of the lines that are written, and how the page marks their level.
const LEVELS: [(&str, &str); 3] = [("error!(", "E `"), ("warn!(", "W `"), ("info!(", "`")];

/// A line of the log as the sources write it: its level's mark on the page, and its text with places for values.
struct LogLine<'a> {
    mark: &'static str,
    text: &'a str,
}

impl LogLine<'_> {
    /// The longest part of the text between places for values.
    fn fixed_part(&self) -> &str {
        let parts = self.text.split('{').map(|part| part.split_once('}').map_or(part, |(_, rest)| rest));
        parts.map(str::trim).max_by_key(|part| part.len()).unwrap_or_default()
    }

    /// Whether the first cell of a row of the page's table has the line, at its level.
    fn is_told(&self, page: &str) -> bool {
        let rows = page.lines().filter_map(|row| row.strip_prefix("| "));
        let cells = rows.map(|row| row.split(" | ").next().unwrap_or_default());
        let mut lines = cells.flat_map(|cell| cell.split("`, "));
        lines.any(|line| line.starts_with(self.mark) && line.contains(self.fixed_part()))
    }
}

fn log_lines(source: &str) -> Vec<LogLine<'_>> {
    let of_level = |(start, mark): (&str, &'static str)| {
        let pieces = source.split(start).skip(1);
        let texts = pieces.filter_map(|piece| piece.trim_start().strip_prefix('"')?.split_once('"'));
        texts.map(|(text, _)| LogLine { mark, text }).collect::<Vec<_>>()
    };
    LEVELS.into_iter().flat_map(of_level).collect()
}

#[test]
fn every_line_of_the_log_is_on_the_page() {
    let page = fs::read_to_string(root().join(PAGE)).unwrap();
    let sources = Sources::read(&FOLDERS);
    let mut count = 0;
    for (file, source) in &sources.0 {
        for line in log_lines(source).iter().filter(|line| !line.fixed_part().is_empty()) {
            assert!(line.is_told(&page), "{file}: `{}` is not on the page", line.text);
            count += 1;
        }
    }
    assert!(count > 30, "{count} lines were found");
}

#[test]
fn a_line_that_is_missing_or_of_another_level_is_found() {
    let page =
        "| line | from |\n| `it listens`, W `the disk of ... failed: ...` | all |\n| E `it ends` | all |\n";
    for (source, is_told) in [
        ("info!(\"it listens\")", true),
        ("warn!(\"it listens\")", false),
        ("warn!(\"the disk of {} failed: {failure}\", name)", true),
        ("info!(\"the disk of {} failed: {failure}\", name)", false),
        ("error!(\"it ends\")", true),
        ("warn!(\"it stays\")", false),
    ] {
        let lines = log_lines(source);
        assert_eq!((lines.len(), lines[0].is_told(page)), (1, is_told), "{source}");
    }
}
