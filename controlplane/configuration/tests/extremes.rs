//! Tests with extreme documents: very large numbers, duplicate keys and documents of the maximum size.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use whinspindle_configuration::{Configuration, ConfigurationError, Heartbeat, Settings};

const CONFIGURATION: &str = include_str!("data/configuration.json");
const SETTINGS: &str = include_str!("data/settings.json");
const HEARTBEAT: &str = r#"{"backend":"chat","address":"10.0.0.1:8000","zone":"a","state":"ready","seq":1,
    "slots":2,"cold_ms":3,"remaining_ms":4}"#;
/// The maximum size of a document that a controller accepts, in bytes.
const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// A number in any notation that JSON allows.
#[derive(Clone, Debug)]
struct Number(String);

impl Arbitrary for Number {
    fn arbitrary(g: &mut Gen) -> Number {
        let sign = g.choose(&["", "", "-"]).expect("not empty");
        let digits = g.choose(&[0, 1, 3, 18, 19, 20, 40, 400]).expect("not empty");
        let integer: String = (0..*digits).map(|_| char::from(b'1' + u8::arbitrary(g) % 9)).collect();
        let integer = if integer.is_empty() { "0".to_owned() } else { integer };
        let fraction = g.choose(&["", "", ".0", ".5", ".000000000000000000000001"]).expect("not empty");
        let exponent =
            g.choose(&["", "", "e0", "E+2", "e-7", "e+308", "e-99999", "E99999"]).expect("not empty");
        Number(format!("{sign}{integer}{fraction}{exponent}"))
    }
}

/// Replaces one of the numbers in a document.
fn with_number(document: &str, number_index: usize, number: &Number) -> String {
    let is_number = |(index, _): &(usize, &str)| {
        document[index + 1..].trim_start().starts_with(|c: char| c.is_ascii_digit())
    };
    let starts: Vec<usize> = document
        .match_indices(": ")
        .chain(document.match_indices(':'))
        .filter(is_number)
        .map(|(index, _)| index + 1)
        .collect();
    let start = starts[number_index % starts.len()];
    let end = start + document[start..].find([',', '}', '\n']).expect("text follows each number");
    format!("{}{}{}", &document[..start], number.0, &document[end..])
}

fn parse(text: &str) -> Result<Configuration, ConfigurationError> {
    Configuration::parse(text.as_bytes())
}

#[test]
fn numbers_of_any_size_never_produce_invalid_values() {
    fn property(number: Number, number_index: usize) -> bool {
        if let Ok(configuration) = parse(&with_number(CONFIGURATION, number_index, &number)) {
            assert!(configuration.generation < u64::MAX);
            for service in &configuration.services {
                assert!(service.cold_s.is_finite() && service.cold_s >= 0.0);
                assert!(service.cold_per_s.is_finite() && service.cold_per_s >= 0.0);
            }
            for backend in configuration.routes.iter().flat_map(|route| &route.backends) {
                assert!(backend.weight.is_finite() && backend.weight >= 0.0);
            }
        }
        let _ = Heartbeat::parse(with_number(HEARTBEAT, number_index, &number).as_bytes());
        let _ = Settings::parse(with_number(SETTINGS, number_index, &number).as_bytes());
        true
    }
    QuickCheck::new().tests(5_000).quickcheck(property as fn(Number, usize) -> bool);
}

/// All notations of numbers that JSON allows are accepted, also in the values of unknown keys.
#[test]
fn every_notation_of_a_number_is_parsed() {
    for (notation, expected) in [
        ("6000", 6000),
        ("6e3", 6000),
        ("6E+3", 6000),
        ("60000e-1", 6000),
        ("0.6e+4", 6000),
        ("6000.0000", 6000),
        ("18446744073709551615", u64::MAX),
        ("18446744073709551616", u64::MAX),
        ("1e+400", u64::MAX),
    ] {
        let text = CONFIGURATION.replace("\"timeout_ms\": 6000", &format!("\"timeout_ms\": {notation}"));
        let configuration = parse(&text).unwrap_or_else(|failure| panic!("{notation}: {failure}"));
        assert_eq!(configuration.routes[0].timeout_ms, expected, "{notation}");
        let with_unknown_key =
            CONFIGURATION.replacen('{', &format!("{{\"later\": [{notation}, -{notation}],"), 1);
        assert_eq!(parse(&with_unknown_key), parse(CONFIGURATION), "{notation}");
    }
    let no_retries = CONFIGURATION.replace("\"retries\": 2", "\"retries\": -0");
    assert_eq!(parse(&no_retries).unwrap().routes[0].retries, 0);
}

#[test]
fn invalid_numbers_are_refused() {
    for (from, to, key) in [
        ("\"cold_s\": 3.5", "\"cold_s\": -3.5", "cold_s"),
        ("\"cold_s\": 3.5", "\"cold_s\": 1e999", "cold_s"),
        ("\"cold_per_s\": 9.9", "\"cold_per_s\": -0.1", "cold_per_s"),
        ("\"cold_per_s\": 9.9", "\"cold_per_s\": 1e999", "cold_per_s"),
    ] {
        let failure = parse(&CONFIGURATION.replace(from, to)).expect_err(to);
        assert!(
            matches!(failure, ConfigurationError::InvalidSlowStart { key: found, .. } if found == key),
            "{failure}"
        );
    }
    let last_generation = CONFIGURATION.replace("\"generation\": 7", "\"generation\": 18446744073709551615");
    let failure = parse(&last_generation).expect_err("no later generation is possible");
    assert_eq!(failure, ConfigurationError::GenerationTooHigh { generation: u64::MAX });
    for number in ["1e300", "18446744073709551616", "1.8446744073709551616E+19"] {
        let text = CONFIGURATION.replace("\"generation\": 7", &format!("\"generation\": {number}"));
        let failure = parse(&text).expect_err(number);
        assert!(failure.to_string().contains("`generation`"), "{failure}");
    }
}

/// JSON doesn't define which of two duplicate keys applies. All parsers of the configuration must use the
/// same one.
#[test]
fn last_of_duplicate_keys_applies() {
    let duplicate = CONFIGURATION.replace("\"generation\": 7,", "\"generation\": 5, \"generation\": 7,");
    assert_eq!(parse(&duplicate), parse(CONFIGURATION));
}

/// Builds a document with as many list elements as fit into the maximum size.
fn document_of_maximum_size(prefix: &str, element: impl Fn(usize) -> String, suffix: &str) -> String {
    let mut text = prefix.to_owned();
    for index in 0.. {
        let element = element(index);
        if text.len() + element.len() + suffix.len() >= MAX_DOCUMENT_BYTES {
            break;
        }
        text.push_str(if index == 0 { "" } else { "," });
        text.push_str(&element);
    }
    text + suffix
}

#[test]
fn documents_of_maximum_size_are_parsed() {
    let with_unknown_list = |element: &str| {
        document_of_maximum_size(
            "{\"generation\":1,\"services\":[],\"routes\":[],\"x\":[",
            |_| element.to_owned(),
            "]}",
        )
    };
    for element in ["[]", "{}", "0", "1e+1", "99999999999999999999", "\"\\u0041\"", "\n\n\n\nnull"] {
        assert!(parse(&with_unknown_list(element)).is_ok(), "{element}");
    }
    let routes = document_of_maximum_size(
        "{\"generation\":1,\"services\":[{\"name\":\"s\"}],\"routes\":[",
        |index| {
            format!(r#"{{"host":"h","path_prefix":"/{index}","kind":"safe","timeout_ms":1,"backend":"s"}}"#)
        },
        "]}",
    );
    let configuration = parse(&routes).expect("long and valid");
    assert!(configuration.routes.len() > 50_000);
    assert_eq!(configuration.find_route("h", "/50000"), Some(50_000));
}

#[test]
fn malformed_documents_of_maximum_size_are_rejected() {
    let brackets = "[".repeat(MAX_DOCUMENT_BYTES);
    for text in [
        brackets.clone(),
        brackets.replace('[', "9"),
        brackets.replace('[', "\""),
        brackets.replace('[', "{"),
        brackets.replace('[', "\n"),
        brackets.replace('[', "\u{7f}"),
        format!("{{\"generation\":\"{brackets}\",\"routes\":[],\"services\":[]}}"),
        format!("{{\"generation\":1,\"{brackets}\":1,\"routes\":[],\"services\":5}}"),
    ] {
        assert!(parse(&text).is_err());
    }
    let mut bytes = CONFIGURATION.as_bytes().to_vec();
    bytes.resize(MAX_DOCUMENT_BYTES, 0xff);
    assert!(Configuration::parse(&bytes).is_err());
}
