//! Choice of a backend server, outlier ejection and retry allowances.
