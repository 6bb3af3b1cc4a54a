//! Admission at the owning node: concurrency limit, queue and shedding.
