//! JSON answers as tables that a person reads.

use serde_json::Value;

/// Lays out an answer: an array of objects as rows, an object as names and values.
pub fn lay_out(value: &Value) -> String {
    match value {
        Value::Array(rows) => lay_out_rows(rows),
        Value::Object(fields) => {
            let width = fields.keys().map(String::len).max().unwrap_or(0);
            let line = |(name, value): (&String, &Value)| match value {
                Value::Object(_) | Value::Array(_) => format!("{name}:\n{}", indent(&lay_out(value))),
                _ => format!("{name:width$}  {}", cell(value)),
            };
            fields.iter().map(line).collect::<Vec<_>>().join("\n")
        }
        _ => cell(value),
    }
}

fn lay_out_rows(rows: &[Value]) -> String {
    let Some(Value::Object(first)) = rows.first() else {
        return rows.iter().map(cell).collect::<Vec<_>>().join("\n");
    };
    let names = first.keys().collect::<Vec<_>>();
    let cells = |row: &Value| names.iter().map(|name| cell(&row[name.as_str()])).collect::<Vec<_>>();
    let mut lines = vec![names.iter().map(|name| (*name).clone()).collect::<Vec<_>>()];
    lines.extend(rows.iter().map(cells));
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max().unwrap_or(0);
    let widths = (0..names.len()).map(width).collect::<Vec<_>>();
    let pad = |line: &Vec<String>| {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    lines.iter().map(pad).collect::<Vec<_>>().join("\n")
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Number(number) if number.is_f64() => format!("{:.3}", number.as_f64().unwrap_or(0.0)),
        Value::Object(fields) => {
            fields.iter().map(|(name, value)| format!("{name}={}", cell(value))).collect::<Vec<_>>().join(" ")
        }
        _ => value.to_string(),
    }
}

fn indent(text: &str) -> String {
    text.lines().map(|line| format!("  {line}")).collect::<Vec<_>>().join("\n")
}
