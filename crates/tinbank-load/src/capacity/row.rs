//! One line of a table.

/// What a figure has to stay below.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// No limit was set; the figure is for information.
    None,
    /// At most so much.
    Most(f64),
}

/// One line: a cost at two sizes, what carries it, and where it comes from.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What costs.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// At the target.
    pub target: f64,
    /// Today.
    pub today: f64,
    /// What it has to stay below at the target.
    pub limit: Limit,
    /// The mechanism that carries it.
    pub mechanism: &'static str,
    /// The series that it comes from.
    pub series: &'static [&'static str],
}

impl Row {
    /// Whether the figure at the target is within its limit.
    pub fn holds(&self) -> bool {
        match self.limit {
            Limit::None => true,
            Limit::Most(most) => self.target <= most,
        }
    }

    /// The line in Markdown.
    pub fn line(&self) -> String {
        let Self {
            what,
            unit,
            mechanism,
            ..
        } = self;
        let target = number(self.target);
        let today = number(self.today);
        let limit = match self.limit {
            Limit::None => "".to_owned(),
            Limit::Most(most) if self.holds() => format!("≤ {}: holds", number(most)),
            Limit::Most(most) => format!("≤ {}: **fails**", number(most)),
        };
        let series: Vec<_> = self.series.iter().map(|name| format!("`{name}`")).collect();
        let series = series.join(", ");
        format!("| {what} | {unit} | {target} | {today} | {limit} | {mechanism} | {series} |")
    }
}

/// Three digits that count.
fn number(value: f64) -> String {
    if value.is_nan() {
        return String::new();
    }
    match value.abs() {
        size if size >= 99_950.0 => {
            let millions = value / 1e6;
            match millions {
                millions if millions >= 99.95 => format!("{millions:.0} million"),
                millions if millions >= 9.995 => format!("{millions:.1} million"),
                millions => format!("{millions:.2} million"),
            }
        }
        size if size >= 99.95 => format!("{value:.0}"),
        size if size >= 9.995 => format!("{value:.1}"),
        size if size >= 0.9995 => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}

/// The head of a table.
pub const HEAD: &str = "| what | unit | target | today | limit at the target | carried by | series |\n\
                        | --- | --- | --- | --- | --- | --- | --- |\n";
