//! Where log lines go: all to standard error, decisions to standard output.

use crate::decision_log::DECISION_TARGET;
use fern::Dispatch;
use log::LevelFilter;
use std::io;

/// Starts logging; the level can be changed later with [`set_level`].
///
/// # Errors
///
/// When logging was started before.
pub fn start(level: &str) -> Result<(), log::SetLoggerError> {
    let lines = Dispatch::new()
        .filter(|metadata| metadata.target() != DECISION_TARGET)
        .format(|out, message, record| {
            out.finish(format_args!("{} {}: {message}", record.level(), record.target()));
        })
        .chain(io::stderr());
    let decisions =
        Dispatch::new().filter(|metadata| metadata.target() == DECISION_TARGET).chain(io::stdout());
    Dispatch::new().level(LevelFilter::Trace).chain(lines).chain(decisions).apply()?;
    set_level(level);
    Ok(())
}

/// Changes the level; false when there is no such level.
pub fn set_level(level: &str) -> bool {
    let Ok(level) = level.parse::<LevelFilter>() else { return false };
    log::set_max_level(level);
    true
}
