//! Reading and checking of charts.

use cassiashunt_chart::{Chart, Error, Machine, SERVER_CHART};
use cassiashunt_property::check;

const DOOR: &str = r#"
states = ["closed", "open", "removed"]
events = ["push", "pull", "unhinge"]
initial = "closed"
final = ["removed"]
"#;

const STEPS: &str = r#"
transitions = [
    { from = ["closed"], event = "push", to = "open", action = "creak" },
    { from = ["open"], event = "pull", to = "closed", action = "creak" },
    { from = ["closed", "open"], event = "unhinge", to = "removed" },
]
"#;

fn door() -> Chart {
    Chart::parse(&format!("{DOOR}{STEPS}")).expect("the chart holds together")
}

fn fault(from: &str, to: &str) -> Error {
    let text = format!("{DOOR}{STEPS}");
    let changed = text.replacen(from, to, 1);
    assert_ne!(text, changed, "the replacement applies");
    Chart::parse(&changed).expect_err("the chart has a fault")
}

#[test]
fn a_machine_follows_the_transitions() {
    let chart = door();
    let mut machine = Machine::new(&chart);
    let push = chart.event("push").expect("listed");
    let step = machine.fire(push).expect("a closed door opens");
    assert_eq!(step.from, chart.initial());
    assert_eq!(step.action, chart.action("creak"));
    assert_eq!(chart.state_name(machine.state()), "open");
    assert!(!machine.is_final());
    machine
        .fire(chart.event("unhinge").expect("listed"))
        .expect("an open door comes off");
    assert!(machine.is_final());
}

#[test]
fn an_event_that_is_not_allowed_changes_nothing() {
    let chart = door();
    let mut machine = Machine::new(&chart);
    let pull = chart.event("pull").expect("listed");
    let refused = machine.fire(pull).expect_err("a closed door is not pulled");
    assert_eq!(
        refused.to_string(),
        r#""pull" is not allowed in state "closed""#
    );
    assert_eq!(machine.state(), chart.initial());
}

#[test]
fn names_and_keys_agree() {
    let chart = door();
    for state in chart.states() {
        assert_eq!(chart.state(chart.state_name(state)), Some(state));
    }
    for event in chart.events() {
        assert_eq!(chart.event(chart.event_name(event)), Some(event));
    }
    for action in chart.actions() {
        assert_eq!(chart.action(chart.action_name(action)), Some(action));
    }
    assert_eq!(chart.state("ajar"), None);
}

#[test]
fn faults_are_named() {
    assert!(matches!(fault("initial =", "start ="), Error::Syntax(_)));
    assert!(matches!(fault("action =", "acton ="), Error::Syntax(_)));
    assert_eq!(
        fault(r#"initial = "closed""#, r#"initial = "ajar""#),
        Error::UnknownState("ajar".into())
    );
    assert_eq!(
        fault(r#"final = ["removed"]"#, r#"final = ["lost"]"#),
        Error::UnknownState("lost".into())
    );
    assert_eq!(
        fault(r#"event = "push""#, r#"event = "kick""#),
        Error::UnknownEvent("kick".into())
    );
    assert_eq!(
        fault(r#""open", "removed"]"#, r#""open", "open", "removed"]"#),
        Error::DuplicateState("open".into())
    );
    assert_eq!(
        fault(r#""pull", "unhinge"]"#, r#""pull", "pull", "unhinge"]"#),
        Error::DuplicateEvent("pull".into())
    );
    assert_eq!(
        fault(r#"event = "pull""#, r#"event = "unhinge""#),
        Error::DuplicateTransition {
            state: "open".into(),
            event: "unhinge".into()
        }
    );
    assert_eq!(
        fault(r#""removed"]"#, r#""removed", "ajar"]"#),
        Error::Unreachable("ajar".into())
    );
    assert_eq!(
        fault(r#""unhinge"]"#, r#""unhinge", "kick"]"#),
        Error::UnusedEvent("kick".into())
    );
    assert_eq!(
        fault(r#"final = ["removed"]"#, ""),
        Error::DeadEnd("removed".into())
    );
    assert_eq!(
        fault(
            r#"["closed", "open"], event"#,
            r#"["closed", "open", "removed"], event"#
        ),
        Error::LeavesFinal("removed".into())
    );
}

#[test]
fn a_chart_with_too_many_names_is_refused() {
    let names: Vec<String> = (0..300).map(|n| format!("\"s{n}\"")).collect();
    let text = format!(
        "states = [{}]\nevents = []\ninitial = \"s0\"",
        names.join(", ")
    );
    assert_eq!(Chart::parse(&text), Err(Error::TooMany));
}

#[test]
fn the_server_chart_holds_together() {
    let chart = Chart::parse(SERVER_CHART).expect("the chart holds together");
    let names: Vec<_> = chart.states().map(|s| chart.state_name(s)).collect();
    let expected = "cold warming healthy suspect ejected draining gone";
    assert_eq!(names.join(" "), expected);
}

#[test]
fn a_server_is_ejected_only_after_it_was_suspect() {
    let chart = Chart::parse(SERVER_CHART).expect("the chart holds together");
    let ejected = chart.state("ejected").expect("listed");
    let suspect = chart.state("suspect");
    let mut ways = chart.transitions().filter(|step| step.to == ejected);
    assert!(ways.all(|step| Some(step.from) == suspect));
}

#[test]
fn any_walk_through_the_server_chart_stays_in_it_and_ends_only_when_gone() {
    let chart = Chart::parse(SERVER_CHART).expect("the chart holds together");
    let events: Vec<_> = chart.events().collect();
    check(|u| {
        let mut machine = Machine::new(&chart);
        for _ in 0..20 {
            let before = machine.state();
            let event = *u.choose(&events)?;
            match machine.fire(event) {
                Ok(step) => assert_eq!(chart.transition(before, event), Some(step)),
                Err(_) => assert_eq!(machine.state(), before),
            }
        }
        let gone = chart.state_name(machine.state()) == "gone";
        assert_eq!(machine.is_final(), gone);
        Ok(())
    });
}
