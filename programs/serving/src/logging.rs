//! Logging of a daemon to standard error. Each line is flushed immediately.

use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

use crate::command_line::LogLevel;

/// Sets the default logger of the process. It writes lines of at least the given severity.
pub fn start(level: LogLevel) -> Result<(), spdlog::Error> {
    let formatter = PatternFormatter::new(pattern!("{level} {payload}{eol}"));
    let sink = StdStreamSink::builder().std_stream(StdStream::Stderr).formatter(formatter).build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(to_spdlog_level(level)))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn to_spdlog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
