//! The platform's key-value service: trait, HTTP adapter and in-memory double.
