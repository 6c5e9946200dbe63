//! Renders errors at their lines of the file, as a compiler does.

use annotate_snippets::{AnnotationKind, Group, Level, Renderer, Snippet};
use whinspindle_toml_config::ConfigError;

/// The longest line, in bytes, that is shown. Of a longer one only the position is shown.
const MAX_SHOWN_LINE_BYTES: usize = 500;

/// Renders the errors of a text as messages for a terminal. `file` is the name of the file that they show.
pub fn render_faults(file: &str, text: &str, errors: &[ConfigError]) -> String {
    let renderer = Renderer::plain();
    let mut rendered = String::new();
    for error in errors {
        let line = text.lines().nth(error.line - 1).unwrap_or_default();
        let title = match error.field.as_str() {
            "" => error.message.clone(),
            field => format!("{field}: {}", error.message),
        };
        if line.len() > MAX_SHOWN_LINE_BYTES || error.span.end > text.len() {
            rendered.push_str(&format!("error: {title}\n --> {file}:{}:{}\n", error.line, error.column));
            if !error.hint.is_empty() {
                rendered.push_str(&format!("  = help: {}\n", error.hint));
            }
            continue;
        }
        // An error of a whole table is shown at the table's first line.
        let end = text[error.span.start..].find('\n').map_or(text.len(), |offset| error.span.start + offset);
        let span = error.span.start..error.span.end.min(end).max(error.span.start);
        let snippet = Snippet::source(text).path(file).annotation(AnnotationKind::Primary.span(span));
        let mut group = Group::with_title(Level::ERROR.primary_title(title)).element(snippet);
        if !error.hint.is_empty() {
            group = group.element(Level::HELP.message(error.hint.clone()));
        }
        rendered.push_str(&renderer.render(&[group]));
        rendered.push('\n');
    }
    rendered
}
