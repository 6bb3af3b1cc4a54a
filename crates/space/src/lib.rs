//! Memory for long messages that goes back to the machine when it drops.

mod space;

pub use space::Space;
