//! Path patterns of routes: `/orders` (that path alone), `/orders/{id}/items` (any one segment for `{id}`),
//! `/orders/*` (that path and all below it).

use std::fmt;

/// The most segments of a pattern.
pub const MAX_SEGMENTS: usize = 32;

/// A segment of a pattern. The variants are ordered from the most specific on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    /// This very segment.
    Literal(String),
    /// Any segment; with the parameter's name.
    Parameter(String),
}

/// The paths that a route is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern {
    /// Its segments, without a star at the end.
    pub segments: Vec<Segment>,
    /// Whether all paths below match too: the star at the end.
    pub is_prefix: bool,
}

/// Why a text is no pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PatternError {
    /// It doesn't begin with a slash.
    NoSlash,
    /// It has an empty segment.
    EmptySegment,
    /// It has a segment `.` or `..`.
    DotSegment,
    /// It has a query, a fragment, an escape, a blank, or another character that is not plain in a path.
    Character(char),
    /// It has braces that don't enclose a whole segment's name.
    Braces,
    /// It has a star before its end.
    MisplacedStar,
    /// It has more than `MAX_SEGMENTS` segments.
    TooLong,
}

impl fmt::Display for PatternError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PatternError::NoSlash => write!(to, "does not begin with a slash"),
            PatternError::EmptySegment => write!(to, "has an empty segment"),
            PatternError::DotSegment => write!(to, "has a segment of dots, which no query's path keeps"),
            PatternError::Character(c) => write!(to, "has {c:?}, which is no plain character of a path"),
            PatternError::Braces => write!(to, "has braces that do not hold a whole segment's name"),
            PatternError::MisplacedStar => write!(to, "has a star that is not its last segment"),
            PatternError::TooLong => write!(to, "has over {MAX_SEGMENTS} segments"),
        }
    }
}

fn plain(c: char) -> bool {
    c.is_ascii_alphanumeric() || "-._~!$&'()+,;=:@".contains(c)
}

impl Pattern {
    /// Parses a pattern.
    pub fn parse(text: &str) -> Result<Pattern, PatternError> {
        let rest = text.strip_prefix('/').ok_or(PatternError::NoSlash)?;
        let mut pattern = Pattern { segments: Vec::new(), is_prefix: false };
        if rest.is_empty() {
            return Ok(pattern);
        }
        let parts: Vec<&str> = rest.split('/').collect();
        if parts.len() > MAX_SEGMENTS {
            return Err(PatternError::TooLong);
        }
        for (n, part) in parts.iter().enumerate() {
            if *part == "*" {
                if n + 1 < parts.len() {
                    return Err(PatternError::MisplacedStar);
                }
                pattern.is_prefix = true;
                continue;
            }
            pattern.segments.push(segment(part)?);
        }
        Ok(pattern)
    }

    /// Whether the path of a request target matches. Segments with an escape never match a literal: servers and
    /// balancers may decode them differently.
    pub fn matches(&self, path: &str) -> bool {
        let Some(parts) = split_target(path) else { return false };
        let enough = if self.is_prefix {
            parts.len() >= self.segments.len()
        } else {
            parts.len() == self.segments.len()
        };
        enough
            && self.segments.iter().zip(&parts).all(|(segment, part)| match segment {
                Segment::Literal(literal) => literal == part,
                Segment::Parameter(_) => true,
            })
    }

    /// Whether both match the same paths: they are equal but for the names of parameters.
    pub fn has_same_paths(&self, other: &Pattern) -> bool {
        let alike = |a: &Segment, b: &Segment| match (a, b) {
            (Segment::Literal(a), Segment::Literal(b)) => a == b,
            (Segment::Parameter(_), Segment::Parameter(_)) => true,
            _ => false,
        };
        self.is_prefix == other.is_prefix
            && self.segments.len() == other.segments.len()
            && self.segments.iter().zip(&other.segments).all(|(a, b)| alike(a, b))
    }
}

fn segment(part: &str) -> Result<Segment, PatternError> {
    if part.is_empty() {
        return Err(PatternError::EmptySegment);
    }
    if part == "." || part == ".." {
        return Err(PatternError::DotSegment);
    }
    if let Some(name) = part.strip_prefix('{').and_then(|part| part.strip_suffix('}')) {
        let named =
            !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_' || c == '-');
        return if named { Ok(Segment::Parameter(name.to_string())) } else { Err(PatternError::Braces) };
    }
    if part.contains(['{', '}']) {
        return Err(PatternError::Braces);
    }
    if part.contains('*') {
        return Err(PatternError::MisplacedStar);
    }
    match part.chars().find(|c| !plain(*c)) {
        Some(c) => Err(PatternError::Character(c)),
        None => Ok(Segment::Literal(part.to_string())),
    }
}

/// The segments of a request target's path, without its query; none for a path that others may resolve to another
/// one: with segments of dots, plain or escaped.
pub fn split_target(target: &str) -> Option<Vec<&str>> {
    let path = target.split(['?', '#']).next().unwrap_or_default();
    let rest = path.strip_prefix('/')?;
    if rest.is_empty() {
        return Some(Vec::new());
    }
    let parts: Vec<&str> = rest.split('/').collect();
    let dots = |part: &&str| {
        let plain = part.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".."
    };
    if parts.iter().any(dots) { None } else { Some(parts) }
}

impl fmt::Display for Pattern {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        for segment in &self.segments {
            match segment {
                Segment::Literal(literal) => write!(to, "/{literal}")?,
                Segment::Parameter(name) => write!(to, "/{{{name}}}")?,
            }
        }
        match (self.is_prefix, self.segments.is_empty()) {
            (true, _) => write!(to, "/*"),
            (false, true) => write!(to, "/"),
            (false, false) => Ok(()),
        }
    }
}
