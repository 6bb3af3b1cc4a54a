//! Walks the chart of a backend server's health by the events named on the command line.

use cassiashunt_chart::{Chart, Machine, SERVER_CHART};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let chart = Chart::parse(SERVER_CHART)?;
    let mut machine = Machine::new(&chart);
    for name in std::env::args().skip(1) {
        let event = chart.event(&name).ok_or("no such event")?;
        let step = machine.fire(event)?;
        let action = step.action.map_or("nothing", |a| chart.action_name(a));
        println!("{name}: {}, do {action}", chart.state_name(step.to));
    }
    Ok(())
}
