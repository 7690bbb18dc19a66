//! State machine of a node's lifecycle.

use statig::prelude::*;

use super::{Event, Phase};

#[derive(Debug, Default)]
pub(super) struct Machine;

#[state_machine(initial = "State::starting()", state(derive(Clone, Debug, PartialEq, Eq)))]
impl Machine {
    #[state]
    fn starting(event: &Event) -> Outcome<State> {
        match event {
            Event::Configured => Transition(State::ready()),
            Event::Terminate => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn ready(event: &Event) -> Outcome<State> {
        match event {
            Event::Terminate => Transition(State::leaving()),
            _ => Handled,
        }
    }

    #[state]
    fn leaving(event: &Event) -> Outcome<State> {
        match event {
            Event::DrainDelayElapsed => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn draining(event: &Event) -> Outcome<State> {
        match event {
            Event::Idle => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn stopped() -> Outcome<State> {
        Handled
    }
}

impl From<&State> for Phase {
    fn from(state: &State) -> Self {
        match state {
            State::Starting {} => Self::Starting,
            State::Ready {} => Self::Ready,
            State::Leaving {} => Self::Leaving,
            State::Draining {} => Self::Draining,
            State::Stopped {} => Self::Stopped,
        }
    }
}
