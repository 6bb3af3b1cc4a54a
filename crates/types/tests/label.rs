//! Labels of names that are too long or have other characters.

use cassiashunt_types::{Label, Service};

const LONG: &str = "lagos-railings-maintenance-agency";

#[test]
fn a_name_that_is_a_label_stays_as_it_is() {
    for name in ["a", "pulo780", "thirty-one-bytes-are-the-maximum"] {
        let name = &name[..name.len().min(31)];
        assert_eq!(Label::of_name(name).as_str(), name);
    }
}

#[test]
fn any_other_name_gets_a_label_that_is_the_same_each_time() {
    for name in [
        LONG,
        "",
        "hoa sen",
        "đền Hoa Sen",
        "a,b",
        "\0\r\n",
        "\u{1f5ff}",
    ] {
        let label = Label::of_name(name);
        assert_eq!(label, Label::of_name(name));
        assert_eq!(label.as_str().parse(), Ok(label), "{name:?}");
    }
    assert!(Label::of_name(LONG).as_str().starts_with("lagos-railings"));
    assert_eq!(
        Service::of_name(LONG).as_str(),
        Label::of_name(LONG).as_str()
    );
}

#[test]
fn names_that_begin_alike_get_different_labels() {
    let other = format!("{LONG}-2");
    assert_ne!(Label::of_name(LONG), Label::of_name(&other));
    assert_ne!(Label::of_name("hoa sen"), Label::of_name("hoa_sen"));
    assert_ne!(Label::of_name("hoa sen"), Label::of_name("hoa,sen"));
}
