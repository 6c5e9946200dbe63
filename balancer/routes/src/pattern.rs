//! Path patterns of routes: `/orders` matches that path alone, `/orders/{id}/items` any one segment for
//! `{id}`, and `/orders/*` that path and all below it.

use std::fmt;

/// The most segments of a pattern.
pub const MAX_SEGMENTS: usize = 32;

/// A segment of a pattern. The most specific variant comes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    /// Exactly this segment.
    Literal(String),
    /// Any segment. The value is the parameter's name.
    Parameter(String),
}

/// The paths that a route applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern {
    /// The segments, without the star at the end.
    pub segments: Vec<Segment>,
    /// Whether the pattern ends with a star, so that all paths below it match too.
    pub is_prefix: bool,
}

/// Why a text is not a valid pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PatternError {
    /// The pattern doesn't begin with a slash.
    NoSlash,
    /// The pattern has an empty segment.
    EmptySegment,
    /// The pattern has a segment `.` or `..`.
    DotSegment,
    /// The pattern has a character that is not allowed in a path, such as that of a query, a fragment, an
    /// escape or a blank.
    Character(char),
    /// The pattern has braces that don't enclose the name of a whole segment.
    Braces,
    /// The pattern has a star before its end.
    MisplacedStar,
    /// The pattern has more than `MAX_SEGMENTS` segments.
    TooLong,
}

impl fmt::Display for PatternError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PatternError::NoSlash => write!(to, "does not begin with a slash"),
            PatternError::EmptySegment => write!(to, "has an empty segment"),
            PatternError::DotSegment => write!(to, "has a segment of dots, which no request path keeps"),
            PatternError::Character(c) => write!(to, "has {c:?}, which is not allowed in a path"),
            PatternError::Braces => write!(to, "has braces that do not enclose the name of a whole segment"),
            PatternError::MisplacedStar => write!(to, "has a star that is not its last segment"),
            PatternError::TooLong => write!(to, "has more than {MAX_SEGMENTS} segments"),
        }
    }
}

fn is_path_character(c: char) -> bool {
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
        for (index, part) in parts.iter().enumerate() {
            if *part == "*" {
                if index + 1 < parts.len() {
                    return Err(PatternError::MisplacedStar);
                }
                pattern.is_prefix = true;
                continue;
            }
            pattern.segments.push(parse_segment(part)?);
        }
        Ok(pattern)
    }

    /// Whether the path of a request target matches. A segment with an escape never matches a literal, since
    /// servers and balancers may decode it differently.
    pub fn matches(&self, path: &str) -> bool {
        let Some(parts) = split_target(path) else { return false };
        let has_length = if self.is_prefix {
            parts.len() >= self.segments.len()
        } else {
            parts.len() == self.segments.len()
        };
        has_length
            && self.segments.iter().zip(&parts).all(|(segment, part)| match segment {
                Segment::Literal(literal) => literal == part,
                Segment::Parameter(_) => true,
            })
    }

    /// Whether both patterns match the same paths, which they do if they differ only in the names of
    /// parameters.
    pub fn has_same_paths(&self, other: &Pattern) -> bool {
        let is_equivalent = |a: &Segment, b: &Segment| match (a, b) {
            (Segment::Literal(a), Segment::Literal(b)) => a == b,
            (Segment::Parameter(_), Segment::Parameter(_)) => true,
            _ => false,
        };
        self.is_prefix == other.is_prefix
            && self.segments.len() == other.segments.len()
            && self.segments.iter().zip(&other.segments).all(|(a, b)| is_equivalent(a, b))
    }
}

fn parse_segment(part: &str) -> Result<Segment, PatternError> {
    if part.is_empty() {
        return Err(PatternError::EmptySegment);
    }
    if part == "." || part == ".." {
        return Err(PatternError::DotSegment);
    }
    if let Some(name) = part.strip_prefix('{').and_then(|part| part.strip_suffix('}')) {
        let is_valid_name =
            !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_' || c == '-');
        return if is_valid_name {
            Ok(Segment::Parameter(name.to_string()))
        } else {
            Err(PatternError::Braces)
        };
    }
    if part.contains(['{', '}']) {
        return Err(PatternError::Braces);
    }
    if part.contains('*') {
        return Err(PatternError::MisplacedStar);
    }
    match part.chars().find(|c| !is_path_character(*c)) {
        Some(c) => Err(PatternError::Character(c)),
        None => Ok(Segment::Literal(part.to_string())),
    }
}

/// Splits the path of a request target, without its query, into segments. Returns `None` for a path that
/// doesn't begin with a slash, and for a path with dot segments (`.` or `..`), plain or escaped, since a
/// server may resolve it to another path.
pub fn split_target(target: &str) -> Option<Vec<&str>> {
    let path = target.split(['?', '#']).next().unwrap_or_default();
    let rest = path.strip_prefix('/')?;
    if rest.is_empty() {
        return Some(Vec::new());
    }
    let parts: Vec<&str> = rest.split('/').collect();
    let is_dots = |part: &&str| {
        let decoded = part.to_ascii_lowercase().replace("%2e", ".");
        decoded == "." || decoded == ".."
    };
    if parts.iter().any(is_dots) { None } else { Some(parts) }
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
