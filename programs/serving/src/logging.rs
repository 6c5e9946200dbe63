//! Logging of a daemon: lines on standard error, each flushed at once.

use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

use crate::command_line::LogLevel;

/// Sets the default logger of the process, which writes lines of at least this severity.
pub fn start(level: LogLevel) -> Result<(), spdlog::Error> {
    let line = PatternFormatter::new(pattern!("{level} {payload}{eol}"));
    let sink = StdStreamSink::builder().std_stream(StdStream::Stderr).formatter(line).build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(severity(level)))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn severity(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
