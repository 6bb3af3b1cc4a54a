//! The checks that a chart must pass.

use crate::{Chart, Error, State};

/// Gives the first name that stands twice.
pub(crate) fn no_duplicate(names: &[String]) -> Result<(), String> {
    let duplicate = names
        .iter()
        .enumerate()
        .find(|(index, name)| names[..*index].contains(name));
    match duplicate {
        Some((_, name)) => Err(name.clone()),
        None => Ok(()),
    }
}

/// Checks the graph of states.
pub(crate) fn check(chart: &Chart) -> Result<(), Error> {
    every_event_is_used(chart)?;
    every_state_is_reachable(chart)?;
    only_final_states_end(chart)
}

fn every_event_is_used(chart: &Chart) -> Result<(), Error> {
    let unused = chart
        .events()
        .find(|event| chart.transitions().all(|step| step.event != *event));
    match unused {
        Some(event) => Err(Error::UnusedEvent(chart.event_name(event).into())),
        None => Ok(()),
    }
}

fn every_state_is_reachable(chart: &Chart) -> Result<(), Error> {
    let reached = reachable(chart);
    match chart.states().find(|state| !reached.contains(state)) {
        Some(state) => Err(Error::Unreachable(chart.state_name(state).into())),
        None => Ok(()),
    }
}

fn reachable(chart: &Chart) -> Vec<State> {
    let mut reached = vec![chart.initial()];
    let mut next = 0;
    while let Some(&state) = reached.get(next) {
        for step in chart.transitions().filter(|step| step.from == state) {
            if !reached.contains(&step.to) {
                reached.push(step.to);
            }
        }
        next += 1;
    }
    reached
}

fn only_final_states_end(chart: &Chart) -> Result<(), Error> {
    for state in chart.states() {
        let name = || chart.state_name(state).into();
        let mut leaving = chart.transitions().filter(|step| step.from == state);
        if chart.is_final(state) {
            if leaving.next().is_some() {
                return Err(Error::LeavesFinal(name()));
            }
        } else if leaving.all(|step| step.to == state) {
            return Err(Error::DeadEnd(name()));
        }
    }
    Ok(())
}
