//! Changes to the text of a scenario: single values for sweeps, fewer and smaller ones for the shrinking of a
//! find. The text stays a file that a person can read.

use toml::{Table, Value};

/// The tables of a file, for changing; faults of its form are told by `Scenario::read`.
pub fn parse(text: &str) -> Result<Table, String> {
    text.parse::<Table>().map_err(|fault| fault.to_string())
}

pub fn write(table: &Table) -> String {
    toml::to_string(table).unwrap_or_default()
}

/// What a word on the command line means as a value: a number or a flag if it reads as one, else a text.
pub fn value(word: &str) -> Value {
    if let Ok(whole) = word.parse::<i64>() {
        return Value::Integer(whole);
    }
    if let Some(number) = word.parse::<f64>().ok().filter(|number| number.is_finite()) {
        return Value::Float(number);
    }
    match word {
        "true" => Value::Boolean(true),
        "false" => Value::Boolean(false),
        _ => Value::String(word.to_string()),
    }
}

/// Sets the value at a path such as `load.0.rate` or `tier.0.servers.1.count`. The last key may be new, what
/// leads to it may not.
pub fn set(table: &mut Table, path: &str, new: Value) -> Result<(), String> {
    let mut parts: Vec<&str> = path.split('.').collect();
    let last = parts.pop().unwrap_or_default();
    let mut at: Option<&mut Value> = None;
    for part in parts {
        let next = match at {
            None => table.get_mut(part),
            Some(Value::Table(inner)) => inner.get_mut(part),
            Some(Value::Array(items)) => part.parse::<usize>().ok().and_then(|n| items.get_mut(n)),
            Some(_) => None,
        };
        at = Some(next.ok_or_else(|| format!("{path}: there is no {part:?}"))?);
    }
    match at {
        None => {
            table.insert(last.to_string(), new);
        }
        Some(Value::Table(inner)) => {
            inner.insert(last.to_string(), new);
        }
        Some(Value::Array(items)) => {
            let place = last.parse::<usize>().ok().and_then(|n| items.get_mut(n));
            *place.ok_or_else(|| format!("{path}: there is no {last:?}"))? = new;
        }
        Some(_) => return Err(format!("{path}: {last:?} is inside a plain value")),
    }
    Ok(())
}

/// A value between two that are written with the same unit, a part of the way from one to the other.
pub fn between(low: &str, high: &str, part: f64) -> Result<Value, String> {
    let split = |text: &str| {
        let at = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
        let number = text[..at].parse::<f64>().map_err(|_| format!("{text:?} does not begin with a number"));
        number.map(|number| (number, text[at..].to_string()))
    };
    let ((a, unit), (b, other)) = (split(low)?, split(high)?);
    if unit != other {
        return Err(format!("{low:?} and {high:?} have different units"));
    }
    let number = a + (b - a) * part;
    let whole = low.find('.').is_none() && high.find('.').is_none();
    Ok(match (unit.is_empty(), whole) {
        (true, true) => Value::Integer(number.round() as i64),
        (true, false) => Value::Float(number),
        (false, true) => Value::String(format!("{}{unit}", number.round())),
        (false, false) => Value::String(format!("{number:.3}{unit}")),
    })
}

/// Every smaller file next to this one, the boldest first: without a trouble, a load, a range; with half the
/// servers, balancers, rate or time.
pub fn smaller(table: &Table) -> Vec<Table> {
    let mut all = Vec::new();
    let lengths: Vec<(&str, usize)> = ["trouble", "load", "tenant"]
        .into_iter()
        .filter_map(|key| Some((key, table.get(key)?.as_array()?.len())))
        .collect();
    for (key, length) in lengths {
        for n in (0..length).rev() {
            let mut less = table.clone();
            if let Some(Value::Array(items)) = less.get_mut(key) {
                items.remove(n);
                if items.is_empty() {
                    less.remove(key);
                }
            }
            all.push(less);
        }
    }
    let mut numbers = Vec::new();
    paths(&Value::Table(table.clone()), String::new(), &mut numbers);
    for (path, value) in numbers {
        let last = path.rsplit('.').next().unwrap_or_default();
        let halved = match (last, &value) {
            ("count" | "balancers" | "executions" | "retries", Value::Integer(n)) if *n > 1 => {
                Value::Integer(n / 2)
            }
            ("lasts" | "rate" | "peak", Value::String(text)) => {
                let Ok(Value::String(half)) = between(text, text, 0.0).and_then(|_| halve(text)) else {
                    continue;
                };
                Value::String(half)
            }
            _ => continue,
        };
        let mut less = table.clone();
        if set(&mut less, &path, halved).is_ok() {
            all.push(less);
        }
    }
    if table.contains_key("ranges") {
        let mut less = table.clone();
        less.remove("ranges");
        all.push(less);
    }
    all
}

fn halve(text: &str) -> Result<Value, String> {
    let at = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let number: f64 = text[..at].parse().map_err(|_| "no number".to_string())?;
    if number < 2.0 {
        return Err("too small to halve".to_string());
    }
    Ok(Value::String(format!("{}{}", (number / 2.0).ceil(), &text[at..])))
}

fn paths(value: &Value, path: String, into: &mut Vec<(String, Value)>) {
    let under = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Table(table) => table.iter().for_each(|(key, inner)| paths(inner, under(key), into)),
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(n, inner)| paths(inner, under(&n.to_string()), into))
        }
        plain => into.push((path, plain.clone())),
    }
}
