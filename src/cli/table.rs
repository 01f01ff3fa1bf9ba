//! Plain-text tables for terminal output.

use std::fmt;

use serde_json::Value;

/// Number of spaces between columns.
const COLUMN_GAP: usize = 2;

/// A table whose columns are as wide as their widest cell; the first row is the head.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows, with the given head in upper case.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        Self {
            rows: vec![head.iter().map(|cell| cell.to_uppercase()).collect()],
        }
    }

    /// Creates a table with one row for each object of a list and one column for
    /// each of the named members.
    #[must_use]
    pub fn of_members(list: &Value, members: &[&str]) -> Self {
        let mut table = Self::new(members);
        for item in list.as_array().into_iter().flatten() {
            table.add_row(members.iter().map(|member| cell(&item[*member])).collect());
        }
        table
    }

    /// Creates a table with one row for each member of an object: its name and value.
    #[must_use]
    pub fn of_object(object: &Value) -> Self {
        let mut table = Self::new(&["field", "value"]);
        for (name, value) in object.as_object().into_iter().flatten() {
            table.add_row(vec![name.clone(), cell(value)]);
        }
        table
    }

    /// Appends a row; missing cells at its end stay empty.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

/// Formats a JSON value as the text of a cell; null becomes `-`.
#[must_use]
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(list) if list.iter().all(|item| !item.is_object()) => {
            list.iter().map(cell).collect::<Vec<_>>().join(",")
        }
        other => other.to_string(),
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |i: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(i));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let pad = width + COLUMN_GAP - cell.chars().count();
                line.push_str(cell);
                line.extend(std::iter::repeat_n(' ', pad));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
