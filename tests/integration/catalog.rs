//! The catalog as a replicated state machine.

use quetzalworks::catalog::{Availability, Body, Catalog, Change, Object, Record};
use quetzalworks::ids::{ChangeId, Offset, Revision};

fn change(id: u128, base: u64, out: Option<bool>) -> Body {
    Body::Change(Change {
        id: ChangeId(id),
        object: "domains/north".parse().unwrap(),
        base: Revision(base),
        content: out.map(|out| Object::Domain(Availability { out })),
        author: "test".into(),
    })
}

fn applied(records: &[Record]) -> Catalog {
    let mut catalog = Catalog::default();
    for record in records {
        catalog.apply(record);
    }
    catalog
}

/// Guards against processes that disagree on which of two concurrent changes was
/// accepted, and against a duplicate or an old checkpoint that reverts a newer change.
#[test]
fn records_lead_to_one_state() {
    struct Case {
        name: &'static str,
        bodies: Vec<Body>,
        revision: u64,
        out: Option<bool>,
    }
    let late_checkpoint = || {
        let first = [Record {
            offset: Offset(0),
            body: Some(change(1, 0, Some(true))),
        }];
        Body::Checkpoint(applied(&first).checkpoint().unwrap())
    };
    let cases = [
        Case {
            name: "first of two concurrent changes is accepted",
            bodies: vec![change(1, 0, Some(true)), change(2, 0, Some(false))],
            revision: 1,
            out: Some(true),
        },
        Case {
            name: "change on the new revision",
            bodies: vec![change(1, 0, Some(true)), change(2, 1, Some(false))],
            revision: 2,
            out: Some(false),
        },
        Case {
            name: "duplicate append",
            bodies: vec![
                change(1, 0, Some(true)),
                change(2, 1, Some(false)),
                change(1, 0, Some(true)),
            ],
            revision: 2,
            out: Some(false),
        },
        Case {
            name: "duplicate of a creation after the deletion",
            bodies: vec![
                change(1, 0, Some(true)),
                change(2, 1, None),
                change(1, 0, Some(true)),
            ],
            revision: 2,
            out: None,
        },
        Case {
            name: "checkpoint appended late",
            bodies: vec![
                change(1, 0, Some(true)),
                change(2, 1, Some(false)),
                late_checkpoint(),
            ],
            revision: 2,
            out: Some(false),
        },
    ];
    for case in cases {
        let records: Vec<Record> = case
            .bodies
            .into_iter()
            .zip(0..)
            .map(|(body, offset)| Record {
                offset: Offset(offset),
                body: Some(body),
            })
            .collect();
        let id = "domains/north".parse().unwrap();
        let catalog = applied(&records);
        assert_eq!(
            catalog.revision(&id),
            Revision(case.revision),
            "{}",
            case.name
        );
        let out = catalog
            .get(&id)
            .map(|(_, object)| *object == Object::Domain(Availability { out: true }));
        assert_eq!(out, case.out, "{}", case.name);
        // A process that starts from a checkpoint at any point reaches the same state.
        for cut in 1..=records.len() {
            let mut late = Catalog::default();
            late.apply_checkpoint(&applied(&records[..cut]).checkpoint().unwrap());
            for record in &records[cut..] {
                late.apply(record);
            }
            assert_eq!(
                late.checkpoint(),
                catalog.checkpoint(),
                "{} from {cut}",
                case.name
            );
        }
    }
}
