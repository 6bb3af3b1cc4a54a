//! Why a chart cannot be used.

use std::fmt;

/// A fault in a chart's text.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The text is not TOML, or not a chart.
    Syntax(Box<toml::de::Error>),
    /// The chart lists more names than keys can tell apart.
    TooMany,
    /// A state is listed twice.
    DuplicateState(String),
    /// An event is listed twice.
    DuplicateEvent(String),
    /// A state is named that the chart does not list.
    UnknownState(String),
    /// An event is named that the chart does not list.
    UnknownEvent(String),
    /// Two transitions leave the same state on the same event.
    DuplicateTransition {
        /// The state that they leave.
        state: String,
        /// The event that fires them.
        event: String,
    },
    /// No path leads from the initial state to this one.
    Unreachable(String),
    /// No transition leaves this state, and it is not final.
    DeadEnd(String),
    /// A transition leaves this state although it is final.
    LeavesFinal(String),
    /// No transition is fired by this event.
    UnusedEvent(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(e) => write!(f, "not a state chart: {e}"),
            Self::TooMany => f.write_str("the chart lists too many names"),
            Self::DuplicateState(name) => write!(f, "state {name:?} is listed twice"),
            Self::DuplicateEvent(name) => write!(f, "event {name:?} is listed twice"),
            Self::UnknownState(name) => write!(f, "no state {name:?} is listed"),
            Self::UnknownEvent(name) => write!(f, "no event {name:?} is listed"),
            Self::DuplicateTransition { state, event } => {
                write!(f, "two transitions leave {state:?} on {event:?}")
            }
            Self::Unreachable(name) => write!(f, "state {name:?} cannot be reached"),
            Self::DeadEnd(name) => write!(f, "nothing leaves state {name:?}; list it as final"),
            Self::LeavesFinal(name) => write!(f, "a transition leaves the final state {name:?}"),
            Self::UnusedEvent(name) => write!(f, "no transition is fired by event {name:?}"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Syntax(e) => Some(e),
            _ => None,
        }
    }
}
