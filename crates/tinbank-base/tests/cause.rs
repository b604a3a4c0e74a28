//! Tests error messages with their causes.

use std::{error::Error, fmt};

use tinbank_base::cause::chain;

#[derive(Debug)]
struct Failed {
    text: &'static str,
    cause: Option<Box<Failed>>,
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.text)
    }
}

impl Error for Failed {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        let cause = self.cause.as_deref()?;
        Some(cause)
    }
}

#[test]
fn the_message_includes_all_causes() {
    let root = Failed {
        text: "refused",
        cause: None,
    };
    let middle = Failed {
        text: "no connection",
        cause: Some(Box::new(root)),
    };
    let error = Failed {
        text: "not sent",
        cause: Some(Box::new(middle)),
    };

    assert_eq!(chain(&error), "not sent: no connection: refused");
}
