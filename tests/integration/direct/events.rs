//! Splitting of streams into complete events.

use quetzalworks::http::EventSplitter;

/// Guards against incomplete events that reach a caller, and against altered bytes.
#[test]
fn events_are_split_unchanged() {
    struct Case {
        name: &'static str,
        text: &'static str,
        ids: &'static [Option<u64>],
        rest: usize,
    }
    let cases = [
        Case {
            name: "one event",
            text: "id: 1\ndata: a\n\n",
            ids: &[Some(1)],
            rest: 0,
        },
        Case {
            name: "event without an id",
            text: "data: a\n\n",
            ids: &[None],
            rest: 0,
        },
        Case {
            name: "CR LF line ends",
            text: "id: 4\r\ndata: a\r\n\r\n",
            ids: &[Some(4)],
            rest: 0,
        },
        Case {
            name: "two events and an incomplete one",
            text: "id:1\n\nid:2\n\nid:3\nda",
            ids: &[Some(1), Some(2)],
            rest: 7,
        },
        Case {
            name: "empty stream",
            text: "",
            ids: &[],
            rest: 0,
        },
        Case {
            name: "event without the closing blank line",
            text: "data: a\n",
            ids: &[],
            rest: 8,
        },
    ];
    for case in &cases {
        for step in 1..=case.text.len().max(1) {
            let mut splitter = EventSplitter::default();
            let mut events = Vec::new();
            for chunk in case.text.as_bytes().chunks(step) {
                splitter.push(chunk);
                while let Some(event) = splitter.next_event() {
                    events.push(event);
                }
            }
            let ids: Vec<_> = events.iter().map(|event| event.id).collect();
            assert_eq!(ids, case.ids, "{} in steps of {step}", case.name);
            assert_eq!(
                splitter.pending(),
                case.rest,
                "{} in steps of {step}",
                case.name
            );
            let complete: Vec<u8> = events
                .iter()
                .flat_map(|event| event.bytes.to_vec())
                .collect();
            let expected = &case.text.as_bytes()[..case.text.len() - case.rest];
            assert_eq!(complete, expected, "{} in steps of {step}", case.name);
        }
    }
}
