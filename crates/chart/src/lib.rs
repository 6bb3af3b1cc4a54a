//! State charts read from TOML, checked and interpreted.
//!
//! A chart lists its states, events and transitions. [`Chart::parse`] reads and checks it;
//! [`Machine`] walks it. Programs embed a chart with `include_str!`, so a chart that does not hold
//! together is found by the first test that reads it.
//!
//! ```
//! use cassiashunt_chart::{Chart, Machine};
//!
//! let chart = Chart::parse(
//!     r#"
//!     states = ["closed", "open"]
//!     events = ["push"]
//!     initial = "closed"
//!     final = ["open"]
//!
//!     [[transitions]]
//!     from = ["closed"]
//!     event = "push"
//!     to = "open"
//!     "#,
//! )?;
//! let mut door = Machine::new(&chart);
//! door.fire(chart.event("push").expect("the chart lists this event"))?;
//! assert_eq!(chart.state_name(door.state()), "open");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod check;
mod error;
mod file;
mod key;
mod machine;
mod model;

pub use error::Error;
pub use key::{Action, Event, State};
pub use machine::{Machine, NotAllowed};
pub use model::{Chart, Transition};

/// The state chart of a backend server's health as its owning node sees it.
pub const SERVER_CHART: &str = include_str!("../charts/server.toml");
