//! Ratings that entries send to the lease holder.

use std::sync::Arc;

use quetzalworks::estimate::{Collector, RequestClass};
use quetzalworks::ids::Incarnation;
use quetzalworks::units::Quality;

/// Guards against ratings that are counted twice or lost between records, and against
/// records without anything new.
#[test]
fn ratings_are_collected_once() {
    struct Case {
        name: &'static str,
        ratings: &'static [(&'static str, f64)],
        spent: u64,
        /// Sequence number of the record and sum of its ratings; `None` for no record.
        record: Option<(u64, f64)>,
    }
    let cases = [
        Case {
            name: "nothing",
            ratings: &[],
            spent: 0,
            record: None,
        },
        Case {
            name: "two of one version",
            ratings: &[("a", 0.5), ("a", 0.25)],
            spent: 0,
            record: Some((0, 0.75)),
        },
        Case {
            name: "nothing new since the last record",
            ratings: &[],
            spent: 0,
            record: None,
        },
        Case {
            name: "only answers drawn from a rollout",
            ratings: &[],
            spent: 3,
            record: Some((1, 0.0)),
        },
        Case {
            name: "a failure",
            ratings: &[("b", 0.0)],
            spent: 3,
            record: Some((2, 0.0)),
        },
    ];
    let mut collector = Collector::new("entry-0".parse().unwrap(), Incarnation(1));
    for case in cases {
        for (version, quality) in case.ratings {
            let quality = Quality::clamped(*quality);
            collector.add(version.parse().unwrap(), RequestClass(1), quality);
        }
        let spent = (case.spent > 0).then(|| (Arc::from("rollout"), case.spent));
        let evidence = collector.take(spent.into_iter().collect());
        let found = evidence.as_ref().map(|evidence| {
            let sums = evidence.cells.iter().map(|(_, _, estimate)| estimate.sum);
            (evidence.sequence, sums.sum::<f64>())
        });
        assert_eq!(found, case.record, "{}", case.name);
        let cells = evidence.map_or(0, |evidence| evidence.cells.len());
        assert_eq!(
            cells,
            usize::from(!case.ratings.is_empty()),
            "{}",
            case.name
        );
    }
}
