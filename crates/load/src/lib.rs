//! Open-loop load, experiments and their reports.
