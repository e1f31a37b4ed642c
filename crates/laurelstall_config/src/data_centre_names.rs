//! Checks names of data centres.

use crate::problem::{Checker, is_name};

/// Reports the names in `data_centres` that are not valid.
pub(crate) fn check_data_centres(data_centres: &[String], field: &str, check: &mut Checker<'_>) {
    for name in data_centres {
        check.ensure_with(is_name(name), field, || format!("'{name}' is not 1 to 63 of a-z, 0-9 and '-'"));
    }
}
