//! Faults shown at their lines of the file, as a compiler shows errors.

use annotate_snippets::{AnnotationKind, Group, Level, Renderer, Snippet};
use whinspindle_toml_config::ConfigError;

/// Of longer lines (in bytes) only the position is shown.
const MAX_DRAWN_LINE: usize = 500;

/// The faults of a text as messages for a terminal; `file` is the name that they show.
pub fn draw(file: &str, text: &str, faults: &[ConfigError]) -> String {
    let renderer = Renderer::plain();
    let mut drawn = String::new();
    for fault in faults {
        let line = text.lines().nth(fault.line - 1).unwrap_or_default();
        let title = match fault.field.as_str() {
            "" => fault.message.clone(),
            field => format!("{field}: {}", fault.message),
        };
        if line.len() > MAX_DRAWN_LINE || fault.span.end > text.len() {
            drawn.push_str(&format!("error: {title}\n --> {file}:{}:{}\n", fault.line, fault.column));
            if !fault.hint.is_empty() {
                drawn.push_str(&format!("  = help: {}\n", fault.hint));
            }
            continue;
        }
        // A fault of a whole table is shown at its first line.
        let end = text[fault.span.start..].find('\n').map_or(text.len(), |at| fault.span.start + at);
        let span = fault.span.start..fault.span.end.min(end).max(fault.span.start);
        let snippet = Snippet::source(text).path(file).annotation(AnnotationKind::Primary.span(span));
        let mut group = Group::with_title(Level::ERROR.primary_title(title)).element(snippet);
        if !fault.hint.is_empty() {
            group = group.element(Level::HELP.message(fault.hint.clone()));
        }
        drawn.push_str(&renderer.render(&[group]));
        drawn.push('\n');
    }
    drawn
}
