//! From text to settings.

use std::{fs, path::Path};

use jsonc_parser::{CollectOptions, ParseOptions, ast::Value, errors::ParseError, parse_to_ast};

use crate::{Finding, Findings, Schema, check::Check, finding::Place, ports};

/// Largest settings file that is read, in bytes.
pub const MAX_BYTES: u64 = 1 << 20;

/// Reads settings from a file.
///
/// # Errors
/// All findings together, each with its place.
pub fn load<T: Schema>(path: &Path) -> Result<T, Findings> {
    let file = path.display().to_string();
    let text = read(path).map_err(|reason| {
        let what = format!("the file can't be read: {reason}");
        let help = "name a settings file that this process may read".to_owned();
        Findings(vec![Finding {
            place: Place::at(&file, "", 0),
            what,
            help,
        }])
    })?;
    read_text(&text, &file, |check| check.open_files())
}

fn read(path: &Path) -> Result<String, String> {
    let size = fs::metadata(path).map_err(|error| error.to_string())?.len();
    if size > MAX_BYTES {
        return Err(format!("it has {size} bytes, and {MAX_BYTES} are allowed"));
    }
    let bytes = fs::read(path).map_err(|error| error.to_string())?;
    String::from_utf8(bytes).map_err(|error| error.to_string())
}

/// Reads settings from a text; `file` is the name that findings give.
///
/// # Errors
/// All findings together, each with its place. No text makes it panic.
pub fn parse<T: Schema>(text: &str, file: &str) -> Result<T, Findings> {
    read_text(text, file, |_| ())
}

fn read_text<T: Schema>(
    text: &str,
    file: &str,
    outside: impl FnOnce(&mut Check<'_>),
) -> Result<T, Findings> {
    let mut check = Check::new(text, file);
    let Some(tree) = syntax(text, &mut check) else {
        return Err(check.finish());
    };
    let value = check.top(&tree, &T::fields());
    ports::check(&mut check);
    outside(&mut check);
    if !check.clean() {
        return Err(check.finish());
    }
    let settings = fit::<T>(value, &mut check);
    match settings {
        Some(settings) if check.clean() => Ok(settings),
        _ => Err(check.finish()),
    }
}

fn fit<T: Schema>(value: serde_json::Value, check: &mut Check<'_>) -> Option<T> {
    match serde_json::from_value::<T>(value) {
        Ok(settings) => {
            let remarks = settings.review();
            remarks.into_iter().for_each(|remark| check.remark(remark));
            Some(settings)
        }
        Err(error) => {
            let what = format!("the settings don't fit together: {error}");
            check.add(0, what, "compare the file with docs/configuration.md");
            None
        }
    }
}

/// Parses strictly; after a mistake parses once more leniently, so that the rest of the file is checked as well.
fn syntax<'a>(text: &'a str, check: &mut Check<'_>) -> Option<Value<'a>> {
    match tree(text, &strict()) {
        Ok(Some(value)) => Some(value),
        Ok(None) => {
            check.add(0, "the file holds no settings", "write a JSON object");
            None
        }
        Err(error) => {
            check.add(
                error.range().start,
                format!("syntax error: {}", error.kind()),
                "write JSON; comments and trailing commas are allowed",
            );
            tree(text, &ParseOptions::default()).ok().flatten()
        }
    }
}

fn tree<'a>(text: &'a str, options: &ParseOptions) -> Result<Option<Value<'a>>, ParseError> {
    let result = parse_to_ast(text, &CollectOptions::default(), options)?;
    Ok(result.value)
}

fn strict() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
