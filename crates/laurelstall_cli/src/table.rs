//! Formats JSON answers as human-readable tables.

use serde_json::Value;

/// Formats an array of objects as rows, and an object as lines of names and values.
pub fn format_value(value: &Value) -> String {
    match value {
        Value::Array(rows) => format_rows(rows),
        Value::Object(fields) => {
            let width = fields.keys().map(String::len).max().unwrap_or(0);
            let line = |(name, value): (&String, &Value)| match value {
                Value::Object(_) | Value::Array(_) => format!("{name}:\n{}", indent(&format_value(value))),
                _ => format!("{name:width$}  {}", format_cell(value)),
            };
            fields.iter().map(line).collect::<Vec<_>>().join("\n")
        }
        _ => format_cell(value),
    }
}

fn format_rows(rows: &[Value]) -> String {
    let Some(Value::Object(first)) = rows.first() else {
        return rows.iter().map(format_cell).collect::<Vec<_>>().join("\n");
    };
    let names = first.keys().collect::<Vec<_>>();
    let cells = |row: &Value| names.iter().map(|name| format_cell(&row[name.as_str()])).collect::<Vec<_>>();
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

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Number(number) if number.is_f64() => format!("{:.3}", number.as_f64().unwrap_or(0.0)),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| format!("{name}={}", format_cell(value)))
            .collect::<Vec<_>>()
            .join(" "),
        _ => value.to_string(),
    }
}

fn indent(text: &str) -> String {
    text.lines().map(|line| format!("  {line}")).collect::<Vec<_>>().join("\n")
}
