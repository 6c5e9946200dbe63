//! The list of mechanisms, and sets of those that are on.

use std::collections::BTreeSet;

use whinspindle_configuration::{Mechanism, Mechanisms};

#[test]
fn table_has_the_order_of_the_mechanisms() {
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
fn all_are_on_unless_named() {
    assert_eq!(Mechanisms::without("").unwrap(), Mechanisms::default());
    for mechanism in Mechanism::all() {
        let others = Mechanisms::without(mechanism.name()).unwrap();
        let off: Vec<_> = others.switched_off().collect();
        assert_eq!(off, [mechanism]);
        assert!(Mechanisms::default().has(mechanism) && !others.has(mechanism));
    }
}

#[test]
fn unknown_name_is_reported() {
    let refused = Mechanisms::without("rests, rest").unwrap_err();
    assert_eq!(refused.name, "rest");
}
