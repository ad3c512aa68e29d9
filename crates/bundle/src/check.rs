//! Checks of a bundle before it is signed and before it is accepted.
//!
//! [`run`] tells all faults of a document at once, each with line, field and
//! what is allowed; whether everything fits into the runners' memory, with the
//! sum for each; and what the first rollout asks of the weight store.
//!
//! ```
//! let report = bundle::check::run("format: 1\ndeploymint: demo\n");
//! assert!(!report.is_ok());
//! assert!(report.faults.iter().any(|fault| fault.field == "deploymint"));
//! assert!(report.faults.iter().any(|fault| fault.field == "accounts"));
//! ```

mod decode;
mod fault;
mod rules;
mod tree;

use crate::{format, loads, packing};

pub use fault::Fault;

/// What a check has found.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Report {
    /// Everything that is wrong, in the document's order.
    pub faults: Vec<Fault>,
    /// The bundle, if nothing is wrong with it but perhaps its size.
    pub bundle: Option<format::Bundle>,
    /// Where everything goes, if nothing else is wrong.
    pub packing: Option<packing::Packing>,
    /// What a rollout onto empty runners asks of the weight store.
    pub loads: Option<loads::Loads>,
}

impl Report {
    /// Whether the bundle can be signed and accepted.
    #[must_use]
    pub fn is_ok(&self) -> bool {
        self.faults.is_empty()
    }
}

/// Checks the bundle in `text`.
#[must_use]
pub fn run(text: &str) -> Report {
    let (mut faults, bundle, models) = read(text);
    let Some(bundle) = bundle.filter(|_| faults.is_empty()) else {
        return Report { faults, bundle: None, packing: None, loads: None };
    };
    let packing = packing::Packing::new(&bundle);
    let loads = loads::Loads::from_empty(&bundle);
    let (line, column) = models;
    faults.extend(packing.fault().map(|fault| Fault { line, column, ..fault }));
    Report { faults, bundle: Some(bundle), packing: Some(packing), loads: Some(loads) }
}

/// Line and column.
type Place = (u64, u64);

/// The faults of form and of content, the bundle if it could be read, and
/// where its models are.
fn read(text: &str) -> (Vec<Fault>, Option<format::Bundle>, Place) {
    let mut tree = match serde_saphyr::from_str::<tree::Node>(text) {
        Ok(tree) => tree,
        Err(cause) => return (vec![syntax(&cause)], None, (0, 0)),
    };
    let mut defects = Vec::new();
    let bundle = match format::read(text) {
        Ok(bundle) => Some(bundle),
        Err(error) => {
            let stand_in = decode::read(&mut tree, &mut defects);
            if defects.is_empty() {
                let (problem, allowed) = (error.to_string(), String::new());
                defects.push(decode::Defect { path: Vec::new(), problem, allowed });
            }
            stand_in
        }
    };
    // Values that stand in for others have no faults of their own.
    let formal = defects.clone();
    let stands_in = |path: &[String]| formal.iter().any(|defect| path.starts_with(&defect.path));
    if let Some(bundle) = &bundle {
        let content = rules::apply(bundle);
        defects.extend(content.into_iter().filter(|defect| !stands_in(&defect.path)));
    }
    (locate(defects, &tree), bundle, place(&tree, &["models".to_owned()]))
}

/// Where the value at `path` is, or what it would be in.
fn place(tree: &tree::Node, path: &[String]) -> Place {
    let known = (0..=path.len()).rev().find_map(|len| tree.at(&path[..len]));
    known.map_or((0, 0), |node| (node.line, node.column))
}

fn syntax(cause: &serde_saphyr::Error) -> Fault {
    let place = cause.location();
    Fault {
        line: place.map_or(0, |place| place.line()),
        column: place.map_or(0, |place| place.column()),
        field: String::new(),
        problem: format!("not a YAML document: {}", cause.without_snippet()),
        allowed: String::new(),
    }
}

/// Gives each defect its place, in the document's order.
fn locate(defects: Vec<decode::Defect>, tree: &tree::Node) -> Vec<Fault> {
    let fault = |defect: decode::Defect| {
        let (line, column) = place(tree, &defect.path);
        let field = fault::shown(&defect.path);
        Fault { line, column, field, problem: defect.problem, allowed: defect.allowed }
    };
    let mut faults: Vec<_> = defects.into_iter().map(fault).collect();
    faults.sort();
    faults.dedup();
    faults
}
