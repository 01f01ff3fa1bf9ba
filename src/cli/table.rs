//! Tables for people.

use std::fmt;

use serde_json::Value;

/// Spaces between columns.
const GAP: usize = 2;

/// Rows under a head, in columns as wide as their widest cell.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with this head.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        Self {
            rows: vec![head.iter().map(|cell| cell.to_uppercase()).collect()],
        }
    }

    /// A table of the named members of the objects in a list.
    #[must_use]
    pub fn of_members(list: &Value, members: &[&str]) -> Self {
        let mut table = Self::new(members);
        for item in list.as_array().into_iter().flatten() {
            table.row(members.iter().map(|member| cell(&item[*member])).collect());
        }
        table
    }

    /// A table of two columns with all members of an object.
    #[must_use]
    pub fn of_object(object: &Value) -> Self {
        let mut table = Self::new(&["field", "value"]);
        for (name, value) in object.as_object().into_iter().flatten() {
            table.row(vec![name.clone(), cell(value)]);
        }
        table
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

/// A value as text in a cell.
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
                let pad = width + GAP - cell.chars().count();
                line.push_str(cell);
                line.extend(std::iter::repeat_n(' ', pad));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
