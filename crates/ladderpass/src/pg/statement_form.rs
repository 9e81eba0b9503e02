//! The forms of statements that the router forwards: an INSERT of a key and a value in hex, or a SELECT by key.
//!
//! A member closes the connection when it can't parse a statement, which would look like a failure of the member.

/// The tokens of a SELECT statement. Both here and in the tokens of an INSERT, an empty token matches any identifier,
/// and a quote matches any quoted text.
const SELECT: [&str; 8] = ["SELECT", "", "FROM", "", "WHERE", "", "=", "'"];
/// The tokens of an INSERT statement. An empty token matches any identifier, and a quote matches any quoted text.
const INSERT: [&str; 16] =
    ["INSERT", "INTO", "", "(", "", ",", "", ")", "VALUES", "(", "'", ",", "'", ")", "RETURNING", ""];

/// What the router needs from the form of a statement that it forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementForm<'a> {
    /// Whether the statement is an INSERT.
    pub writes: bool,
    /// The key that the statement reads or writes, without the enclosing quotes.
    pub key: &'a str,
}

/// Parses a statement. Returns `None` if the statement is neither an INSERT nor a SELECT of the accepted form.
pub fn parse_statement_form(statement: &str) -> Option<StatementForm<'_>> {
    let mut rest = statement;
    let writes = statement.trim_start().starts_with(['I', 'i']);
    let mut quoted = Vec::new();
    for &wanted in if writes { &INSERT[..] } else { &SELECT } {
        let token = take_token(&mut rest)?;
        let is_identifier = token.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_');
        match wanted {
            "" if is_identifier => {}
            "'" if token.starts_with('\'') => quoted.push(token.get(1..token.len() - 1)?),
            _ if !wanted.is_empty() && token.eq_ignore_ascii_case(wanted) => {}
            _ => return None,
        }
    }
    let value_is_hex = quoted.get(1).is_none_or(|value| {
        let digits = value.strip_prefix("\\x").unwrap_or("-");
        digits.len() % 2 == 0 && digits.bytes().all(|byte| byte.is_ascii_hexdigit())
    });
    let key = *quoted.first()?;
    (value_is_hex && rest.trim().is_empty()).then_some(StatementForm { writes, key })
}

/// Removes the first token from `rest` and returns that token, which is a word, a quoted text with its quotes, or a
/// single character.
fn take_token<'a>(rest: &mut &'a str) -> Option<&'a str> {
    let text = rest.trim_start();
    let first = text.chars().next()?;
    let end = if first == '\'' {
        end_of_quoted(text)?
    } else if first.is_ascii_alphanumeric() || first == '_' {
        text.find(|c: char| !c.is_ascii_alphanumeric() && c != '_').unwrap_or(text.len())
    } else {
        first.len_utf8()
    };
    let (token, later) = text.split_at_checked(end)?;
    *rest = later;
    Some(token)
}

/// Returns the byte position at which the quoted text at the start of `text` ends. Two consecutive quotes inside the
/// quoted text represent one quote.
fn end_of_quoted(text: &str) -> Option<usize> {
    let mut end = 1;
    loop {
        end += text.get(end..)?.find('\'')? + 1;
        if !text.get(end..)?.starts_with('\'') {
            return Some(end);
        }
        end += 1;
    }
}
