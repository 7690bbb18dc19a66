use super::*;

fn phase_after(events: &[Event]) -> Phase {
    let control = Control::new();
    for event in events {
        control.apply(*event);
    }
    control.phase()
}

#[test]
fn events_change_the_phase() {
    use Event::{Configured, DrainDelayElapsed, Idle, Terminate};
    let cases: [(&[Event], Phase); 8] = [
        (&[], Phase::Starting),
        (&[Idle, DrainDelayElapsed], Phase::Starting),
        (&[Configured], Phase::Ready),
        (&[Configured, Idle], Phase::Ready),
        (&[Terminate], Phase::Draining),
        (&[Configured, Terminate, Idle], Phase::Leaving),
        (&[Configured, Terminate, DrainDelayElapsed, Configured], Phase::Draining),
        (&[Configured, Terminate, DrainDelayElapsed, Idle], Phase::Stopped),
    ];
    for (events, phase) in cases {
        assert_eq!(phase_after(events), phase, "{events:?}");
    }
}

#[test]
fn work_is_accepted_until_draining() {
    let control = Arc::new(Control::new());
    assert!(control.begin().is_none());

    control.apply(Event::Configured);
    let work = control.begin();
    control.apply(Event::Terminate);
    let work_while_leaving = control.begin();
    control.apply(Event::DrainDelayElapsed);

    assert!(work.is_some() && work_while_leaving.is_some());
    assert!(control.begin().is_none());
    assert_eq!(control.open(), 2);
    drop((work, work_while_leaving));
    assert_eq!(control.open(), 0);
}
