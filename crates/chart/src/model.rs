//! A chart that was read and checked.

use std::str::FromStr;

use crate::{
    Action, Error, Event, State, check,
    file::{File, Row},
};

/// The most states, events or actions of a chart.
const NAMES: usize = 256;

/// One step from a state to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Transition {
    /// The state that is left.
    pub from: State,
    /// The event that fires the transition.
    pub event: Event,
    /// The state that is entered; may be the same.
    pub to: State,
    /// What the caller has to do on the way.
    pub action: Option<Action>,
}

/// A state chart that holds together: each state can be reached, and only final ones end it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chart {
    states: Vec<String>,
    events: Vec<String>,
    actions: Vec<String>,
    initial: State,
    last: Vec<State>,
    /// One place for each state and event, states first.
    transitions: Vec<Option<Transition>>,
}

impl Chart {
    /// Reads and checks a chart in TOML.
    ///
    /// # Errors
    ///
    /// Gives the first fault found in the text.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let file: File = toml::from_str(text).map_err(|e| Error::Syntax(Box::new(e)))?;
        let chart = Self::from_file(file)?;
        check::check(&chart)?;
        Ok(chart)
    }

    fn from_file(file: File) -> Result<Self, Error> {
        let rows = file.transitions.len();
        if file.states.len() > NAMES || file.events.len() > NAMES || rows > NAMES {
            return Err(Error::TooMany);
        }
        check::no_duplicate(&file.states).map_err(Error::DuplicateState)?;
        check::no_duplicate(&file.events).map_err(Error::DuplicateEvent)?;
        let mut chart = Self {
            transitions: vec![None; file.states.len() * file.events.len()],
            states: file.states,
            events: file.events,
            actions: Vec::new(),
            initial: State(0),
            last: Vec::new(),
        };
        chart.initial = chart.known_state(&file.initial)?;
        chart.last = file
            .last
            .iter()
            .map(|name| chart.known_state(name))
            .collect::<Result<_, _>>()?;
        for row in &file.transitions {
            chart.add(row)?;
        }
        Ok(chart)
    }

    fn add(&mut self, row: &Row) -> Result<(), Error> {
        let event = self.known_event(&row.event)?;
        let to = self.known_state(&row.to)?;
        let action = row.action.as_deref().map(|name| self.intern(name));
        for name in &row.from {
            let from = self.known_state(name)?;
            let index = self.index(from, event);
            if self.transitions[index].is_some() {
                return Err(Error::DuplicateTransition {
                    state: name.clone(),
                    event: row.event.clone(),
                });
            }
            self.transitions[index] = Some(Transition {
                from,
                event,
                to,
                action,
            });
        }
        Ok(())
    }

    fn intern(&mut self, name: &str) -> Action {
        self.action(name).unwrap_or_else(|| {
            self.actions.push(name.into());
            Action::nth(self.actions.len() - 1)
        })
    }

    fn known_state(&self, name: &str) -> Result<State, Error> {
        self.state(name)
            .ok_or_else(|| Error::UnknownState(name.into()))
    }

    fn known_event(&self, name: &str) -> Result<Event, Error> {
        self.event(name)
            .ok_or_else(|| Error::UnknownEvent(name.into()))
    }

    fn index(&self, from: State, event: Event) -> usize {
        from.index() * self.events.len() + event.index()
    }

    /// The state that a machine starts in.
    #[must_use]
    pub fn initial(&self) -> State {
        self.initial
    }

    /// Whether a machine ends in this state.
    #[must_use]
    pub fn is_final(&self, state: State) -> bool {
        self.last.contains(&state)
    }

    /// The transition that `event` fires in state `from`.
    #[must_use]
    pub fn transition(&self, from: State, event: Event) -> Option<Transition> {
        self.transitions[self.index(from, event)]
    }

    /// Every transition.
    pub fn transitions(&self) -> impl Iterator<Item = Transition> + '_ {
        self.transitions.iter().copied().flatten()
    }

    /// Every state, in the order of the file.
    pub fn states(&self) -> impl Iterator<Item = State> + use<> {
        (0..self.states.len()).map(State::nth)
    }

    /// Every event, in the order of the file.
    pub fn events(&self) -> impl Iterator<Item = Event> + use<> {
        (0..self.events.len()).map(Event::nth)
    }

    /// Every action, in the order of its first use.
    pub fn actions(&self) -> impl Iterator<Item = Action> + use<> {
        (0..self.actions.len()).map(Action::nth)
    }

    /// The state with this name.
    #[must_use]
    pub fn state(&self, name: &str) -> Option<State> {
        position(&self.states, name).map(State::nth)
    }

    /// The event with this name.
    #[must_use]
    pub fn event(&self, name: &str) -> Option<Event> {
        position(&self.events, name).map(Event::nth)
    }

    /// The action with this name.
    #[must_use]
    pub fn action(&self, name: &str) -> Option<Action> {
        position(&self.actions, name).map(Action::nth)
    }

    /// The name of a state.
    #[must_use]
    pub fn state_name(&self, state: State) -> &str {
        &self.states[state.index()]
    }

    /// The name of an event.
    #[must_use]
    pub fn event_name(&self, event: Event) -> &str {
        &self.events[event.index()]
    }

    /// The name of an action.
    #[must_use]
    pub fn action_name(&self, action: Action) -> &str {
        &self.actions[action.index()]
    }
}

impl FromStr for Chart {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::parse(text)
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
