use super::*;

fn phase_after(events: &[Event]) -> Phase {
    let control = Control::new();
    for event in events {
        control.apply(*event);
    }
    control.phase()
}

#[test]
fn passes_through_its_phases() {
    use Event::{Configured, DelayOver, Idle, Terminate};
    let cases: [(&[Event], Phase); 8] = [
        (&[], Phase::Starting),
        (&[Idle, DelayOver], Phase::Starting),
        (&[Configured], Phase::Ready),
        (&[Configured, Idle], Phase::Ready),
        (&[Terminate], Phase::Draining),
        (&[Configured, Terminate, Idle], Phase::Leaving),
        (&[Configured, Terminate, DelayOver, Configured], Phase::Draining),
        (&[Configured, Terminate, DelayOver, Idle], Phase::Stopped),
    ];
    for (events, phase) in cases {
        assert_eq!(phase_after(events), phase, "{events:?}");
    }
}

#[test]
fn takes_work_until_it_drains() {
    let control = Arc::new(Control::new());
    assert!(control.begin().is_none());

    control.apply(Event::Configured);
    let work = control.begin();
    control.apply(Event::Terminate);
    let late = control.begin();
    control.apply(Event::DelayOver);

    assert!(work.is_some() && late.is_some());
    assert!(control.begin().is_none());
    assert_eq!(control.open(), 2);
    drop((work, late));
    assert_eq!(control.open(), 0);
}
