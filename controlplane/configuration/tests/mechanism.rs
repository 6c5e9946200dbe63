//! Tests of the list of mechanisms and of sets of enabled mechanisms.

use std::collections::BTreeSet;

use whinspindle_configuration::{Mechanism, Mechanisms};

#[test]
fn table_rows_are_in_the_order_of_the_variants() {
    for (index, mechanism) in Mechanism::all().enumerate() {
        assert_eq!(mechanism as usize, index, "{}", mechanism.name());
    }
}

#[test]
fn names_are_unique_and_without_commas() {
    let names: BTreeSet<_> = Mechanism::all().map(Mechanism::name).collect();
    assert_eq!(names.len(), Mechanism::all().count());
    assert!(names.iter().all(|name| !name.contains(',') && !name.is_empty()));
}

#[test]
fn all_mechanisms_are_enabled_unless_named() {
    assert_eq!(Mechanisms::without("").unwrap(), Mechanisms::default());
    for mechanism in Mechanism::all() {
        let mechanisms = Mechanisms::without(mechanism.name()).unwrap();
        let disabled: Vec<_> = mechanisms.switched_off().collect();
        assert_eq!(disabled, [mechanism]);
        assert!(Mechanisms::default().has(mechanism) && !mechanisms.has(mechanism));
    }
}

#[test]
fn unknown_name_is_reported() {
    let error = Mechanisms::without("rests, rest").unwrap_err();
    assert_eq!(error.name, "rest");
}
