//! Values with units, as people write them: `"300ms"`, `"110/s"`, `"64KiB"`.

/// A kind of value, and how it is written.
pub trait Unit {
    /// The value in its base unit.
    type Value: Copy;
    /// How the value is written, for the report of a fault.
    const WANTED: &'static str;
    /// Stands for a value that cannot be read, so that reading can continue to the next fault.
    const STAND_IN: Self::Value;
    /// Reads a value.
    ///
    /// # Errors
    ///
    /// What is wrong with the text.
    fn read(text: &str) -> Result<Self::Value, &'static str>;
}

/// A time in microseconds.
pub struct Time;
/// A rate in events per second.
pub struct Rate;
/// A size in bytes.
pub struct Size;

/// Splits a text into the number and the unit after it.
fn split(text: &str) -> Result<(f64, &str), &'static str> {
    let at = text.find(|c: char| !c.is_ascii_digit() && c != '.' && c != '_').unwrap_or(text.len());
    let number: f64 = text[..at].replace('_', "").parse().map_err(|_| "does not begin with a number")?;
    Ok((number, text[at..].trim_start()))
}

/// The number of microseconds, bytes or events must be below this: all integers below it are exact.
const EXACT_LIMIT: f64 = 9_007_199_254_740_992.0;

/// The number of a text, multiplied by the factor of its unit.
fn scaled(text: &str, units: &[(&str, f64)]) -> Result<f64, &'static str> {
    let (number, unit) = split(text)?;
    if unit.is_empty() {
        return Err("has no unit");
    }
    let (_, factor) = units.iter().find(|(name, _)| *name == unit).ok_or("has an unknown unit")?;
    Some(number * factor).filter(|value| *value < EXACT_LIMIT).ok_or("is too large")
}

impl Unit for Time {
    type Value = u64;
    const WANTED: &'static str = "a time with its unit (us, ms, s, min, h, d), as in \"300ms\"";
    const STAND_IN: u64 = 1;
    fn read(text: &str) -> Result<u64, &'static str> {
        let units = [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("min", 60e6), ("h", 3_600e6), ("d", 86_400e6)];
        scaled(text, &units).map(|us| us.round() as u64)
    }
}

impl Unit for Rate {
    type Value = f64;
    const WANTED: &'static str = "a rate with its unit (/s, /min, /h), as in \"110/s\"";
    const STAND_IN: f64 = 1.0;
    fn read(text: &str) -> Result<f64, &'static str> {
        scaled(text, &[("/s", 1.0), ("/min", 1.0 / 60.0), ("/h", 1.0 / 3600.0)])
    }
}

impl Unit for Size {
    type Value = u64;
    const WANTED: &'static str = "a size with its unit (B, KiB, MiB, GiB), as in \"64KiB\"";
    const STAND_IN: u64 = 1;
    fn read(text: &str) -> Result<u64, &'static str> {
        let units = [("B", 1.0), ("KiB", 1024.0), ("MiB", 1_048_576.0), ("GiB", 1_073_741_824.0)];
        scaled(text, &units).map(|bytes| bytes.round() as u64)
    }
}

/// A time in microseconds as it is written in a file.
pub fn time_text(us: u64) -> String {
    match us {
        0 => "0s".to_string(),
        us if us % 60_000_000 == 0 => format!("{}min", us / 60_000_000),
        us if us % 1_000_000 == 0 => format!("{}s", us / 1_000_000),
        us if us % 1_000 == 0 => format!("{}ms", us / 1_000),
        us => format!("{us}us"),
    }
}
