//! The inputs of property tests.

use std::cell::{Cell, RefCell};

use cassiashunt_property::{check, seeds};

#[test]
fn each_run_plays_the_same_inputs() {
    let inputs = || {
        let seen = RefCell::new(Vec::new());
        check(|u| {
            seen.borrow_mut().push((u.len(), u.bytes(8)?.to_vec()));
            Ok(())
        });
        // A search, where one is asked for, comes after them.
        let mut seen = seen.into_inner();
        seen.truncate(seeds().count());
        seen
    };
    let seen = inputs();
    assert!(seen.len() > 1_000, "{} inputs", seen.len());
    assert_eq!(seen, inputs());
    let distinct: std::collections::BTreeSet<_> = seen.iter().collect();
    assert_eq!(distinct.len(), seen.len());
}

#[test]
#[should_panic(expected = "too large")]
fn a_property_that_fails_for_rare_inputs_is_found() {
    check(|u| {
        assert!(u.int_in_range(0..=99)? < 98, "too large");
        Ok(())
    });
}

#[test]
#[should_panic(expected = "no input was enough")]
fn a_property_that_no_input_is_enough_for_is_told() {
    check(|u| u.bytes(1 << 20).map(|_| ()));
}

#[test]
fn an_input_that_is_not_enough_is_passed_over() {
    let played = Cell::new(0);
    check(|u| {
        u.bytes(1_000)?;
        played.set(played.get() + 1);
        Ok(())
    });
    assert!(played.get() > 500);
}
