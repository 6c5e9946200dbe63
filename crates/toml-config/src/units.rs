//! Values with units, such as `"300ms"`, `"110/s"` and `"64KiB"`.

/// A unit of measurement and its text format.
pub trait Unit {
    /// A value in the base unit.
    type Value: Copy;
    /// Description of the format, used as the hint of an error.
    const EXPECTED: &'static str;
    /// Replaces an invalid value, so that parsing can continue and report further errors.
    const PLACEHOLDER: Self::Value;
    /// Parses a value.
    ///
    /// # Errors
    ///
    /// A description of the problem.
    fn parse(text: &str) -> Result<Self::Value, &'static str>;
}

/// A time in microseconds.
pub struct Time;
/// A rate in events per second.
pub struct Rate;
/// A size in bytes.
pub struct Size;

/// Splits a text into its number and its unit.
fn split_unit(text: &str) -> Result<(f64, &str), &'static str> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.' && c != '_').unwrap_or(text.len());
    let number: f64 =
        text[..unit_start].replace('_', "").parse().map_err(|_| "does not begin with a number")?;
    Ok((number, text[unit_start..].trim_start()))
}

/// Upper limit (2^53) of a value in its base unit: `f64` represents all smaller integers exactly.
const EXACT_LIMIT: f64 = 9_007_199_254_740_992.0;

/// Parses a number and multiplies it by the factor of its unit.
fn parse_scaled(text: &str, units: &[(&str, f64)]) -> Result<f64, &'static str> {
    let (number, unit) = split_unit(text)?;
    if unit.is_empty() {
        return Err("has no unit");
    }
    let (_, factor) = units.iter().find(|(name, _)| *name == unit).ok_or("has an unknown unit")?;
    Some(number * factor).filter(|value| *value < EXACT_LIMIT).ok_or("is too large")
}

impl Unit for Time {
    type Value = u64;
    const EXPECTED: &'static str = "a time with its unit (us, ms, s, min, h, d), as in \"300ms\"";
    const PLACEHOLDER: u64 = 1;
    fn parse(text: &str) -> Result<u64, &'static str> {
        let units = [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("min", 60e6), ("h", 3_600e6), ("d", 86_400e6)];
        parse_scaled(text, &units).map(|us| us.round() as u64)
    }
}

impl Unit for Rate {
    type Value = f64;
    const EXPECTED: &'static str = "a rate with its unit (/s, /min, /h), as in \"110/s\"";
    const PLACEHOLDER: f64 = 1.0;
    fn parse(text: &str) -> Result<f64, &'static str> {
        parse_scaled(text, &[("/s", 1.0), ("/min", 1.0 / 60.0), ("/h", 1.0 / 3600.0)])
    }
}

impl Unit for Size {
    type Value = u64;
    const EXPECTED: &'static str = "a size with its unit (B, KiB, MiB, GiB), as in \"64KiB\"";
    const PLACEHOLDER: u64 = 1;
    fn parse(text: &str) -> Result<u64, &'static str> {
        let units = [("B", 1.0), ("KiB", 1024.0), ("MiB", 1_048_576.0), ("GiB", 1_073_741_824.0)];
        parse_scaled(text, &units).map(|bytes| bytes.round() as u64)
    }
}

/// Formats a time in microseconds in the largest unit that represents it exactly.
pub fn format_duration(us: u64) -> String {
    match us {
        0 => "0s".to_string(),
        us if us % 60_000_000 == 0 => format!("{}min", us / 60_000_000),
        us if us % 1_000_000 == 0 => format!("{}s", us / 1_000_000),
        us if us % 1_000 == 0 => format!("{}ms", us / 1_000),
        us => format!("{us}us"),
    }
}
