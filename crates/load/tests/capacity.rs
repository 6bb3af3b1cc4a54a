//! The capacity bound against graphs that can be worked out by hand.

mod common;

use cassiashunt_load::{
    Experiment,
    capacity::{Condition, PhaseBound},
    experiment::{Fault, Role},
};
use cassiashunt_types::prelude::*;

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-6 * b.abs().max(1.0)
}

/// The bound of each phase at the demand that the file plans.
fn bounds(experiment: &Experiment) -> Vec<PhaseBound> {
    let planned = experiment
        .phases
        .iter()
        .map(|phase| experiment.planned_demand(phase));
    experiment.phase_bounds(&planned.collect::<Vec<_>>())
}

fn slow(service: &str, server: Option<usize>, factor: f64) -> Fault {
    Fault::Slow {
        service: service.parse().expect("a label"),
        server,
        factor,
    }
}

/// Half the requests hold a root slot for 10 + 30 ms and a leaf slot for 30 ms, the others a root
/// slot for 10 ms. Root: 20 slots / 25 ms. Leaf: 10 slots / 15 ms.
#[test]
fn a_slot_is_held_while_a_child_call_runs_and_the_scarcest_service_decides() {
    let experiment = common::experiment();
    let capacity = experiment.capacity(&Condition::sound(&experiment));
    assert_eq!(capacity.bottleneck.as_str(), "leaf");
    assert!(close(capacity.per_second, 10.0 / 0.015));
}

#[test]
fn a_slow_child_takes_its_parents_slots_as_well() {
    let experiment = common::experiment();
    let mut condition = Condition::sound(&experiment);
    condition.apply(&slow("leaf", None, 10.0));
    let holds = experiment.holds(0, &condition);
    let service: Service = "root".parse().expect("a label");
    let root = holds[&service];
    assert!(close(root, 0.310));
    assert!(close(
        experiment.capacity(&condition).per_second,
        10.0 / 0.150
    ));
}

#[test]
fn a_crashed_server_takes_its_slots_along_and_gives_them_back() {
    let experiment = common::experiment();
    let mut condition = Condition::sound(&experiment);
    let service = "root".parse().expect("a label");
    for server in 0..2 {
        condition.apply(&Fault::KillServer { service, server });
    }
    assert!(close(experiment.capacity(&condition).per_second, 0.0));
    condition.apply(&Fault::RestartServer { service, server: 1 });
    assert!(close(
        experiment.capacity(&condition).per_second,
        10.0 / 0.025
    ));
}

#[test]
fn servers_of_several_speeds_count_by_their_mean_speed() {
    let mut experiment = common::experiment();
    experiment.requests.remove(0);
    let mut condition = Condition::sound(&experiment);
    condition.apply(&slow("root", Some(0), 2.0));
    let expected = 10.0 / 0.010 + 10.0 / 0.020;
    assert!(close(experiment.capacity(&condition).per_second, expected));
}

#[test]
fn protected_kinds_are_filled_first_and_the_rest_until_their_services_are_full() {
    let experiment = common::experiment();
    let sound = Condition::sound(&experiment);
    let served = experiment.goodput_bound(&[1_000.0, 1_000.0], &sound);
    assert!(
        close(served[1], 1_000.0),
        "sign-offs need root only, and half its slots"
    );
    assert!(
        close(served[0], 0.5 * 20.0 / 0.040),
        "reads get the root slots that are left"
    );
    let served = experiment.goodput_bound(&[1_000.0, 5_000.0], &sound);
    assert!(close(served[1], 2_000.0));
    assert!(close(served[0], 0.0));
    let served = experiment.goodput_bound(&[10.0, 10.0], &sound);
    assert!(close(served[0], 10.0) && close(served[1], 10.0));
}

#[test]
fn a_fault_in_the_middle_of_a_phase_counts_for_its_part_of_the_time() {
    let mut experiment = common::experiment();
    experiment.requests_per_second = 10_000.0;
    for workspace in &mut experiment.workspaces {
        workspace.rate = 100_000.0;
    }
    experiment.requests.remove(1);
    experiment.phases[0].role = Role::Measure;
    let sound = bounds(&experiment)[0].goodput;
    assert!(close(sound, 10.0 / 0.030));
    let faults = toml::from_str::<toml::Table>(
        "faults = [{ at-ms = 500, fault = { kind = \"slow\", service = \"leaf\", factor = 2.0 } }]",
    );
    let faults = faults.expect("the text is TOML")["faults"].clone();
    experiment.phases[0].faults = faults.try_into().expect("the faults are well-formed");
    let bounds = bounds(&experiment);
    assert!(close(bounds[0].goodput, 0.25 * sound + 0.75 * sound / 2.0));
    assert!(
        close(bounds[1].goodput, sound / 2.0),
        "it lasts until it is mended"
    );
}

#[test]
fn demand_over_a_workspaces_rate_is_no_part_of_the_bound() {
    let experiment = common::experiment();
    let bounds = bounds(&experiment);
    assert!(close(bounds[0].goodput, 100.0), "75 and 25 a second");
    assert!(
        close(bounds[1].goodput, 130.0),
        "150 and 100 a second, of which 100 and 30"
    );
}

#[test]
fn the_deployments_have_the_bounds_that_their_files_tell() {
    for (file, service, told) in [
        ("lagos", "ledger", 1_530.0),
        ("saigon", "wardrobe", 1_550.0),
    ] {
        let path = format!(
            "{}/../../experiments/{file}.toml",
            env!("CARGO_MANIFEST_DIR")
        );
        let experiment = Experiment::read(path.as_ref()).expect("the file is checked in");
        let capacity = experiment.capacity(&Condition::sound(&experiment));
        assert_eq!(capacity.bottleneck.as_str(), service);
        assert!(
            (capacity.per_second - told).abs() < 10.0,
            "{file}: {}",
            capacity.per_second
        );
    }
}
