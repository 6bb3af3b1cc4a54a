//! State charts read from TOML, checked and interpreted.
