//! Sums of reports with extreme numbers.

use cassiashunt_mesh::{Origin, Sum, SumReport, Sums};
use cassiashunt_types::prelude::*;

#[test]
fn counts_of_nodes_at_the_end_of_their_range_add_up_to_the_largest_count() {
    let mut sums = Sums::default();
    sums.set_own(Sum {
        nodes: 1,
        ..Sum::default()
    });
    for name in ["a", "b"] {
        let sum = Sum {
            nodes: u32::MAX,
            ..Sum::default()
        };
        let report = SumReport { sum, uses: None };
        let (name, age) = (name.to_owned(), Duration::ZERO);
        sums.on_child(Time::from_millis(1), Origin { name, age, report });
    }
    assert_eq!(sums.subtree(false).sum.nodes, u32::MAX);
    assert_eq!(sums.total().nodes, u32::MAX);
}
