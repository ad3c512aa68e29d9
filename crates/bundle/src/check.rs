//! Validation of a bundle before it is signed and before it is accepted.
//!
//! [`run`] reports all faults of a document at once, each with its line, its
//! field and what is allowed. It also reports how the models fit into the
//! runners' memory and how many loads the first rollout needs.
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

/// Result of a check.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Report {
    /// All faults, in the order of the document.
    pub faults: Vec<Fault>,
    /// The bundle, unless it has faults other than its memory.
    pub bundle: Option<format::Bundle>,
    /// Placement of the models; `None` if there is no bundle.
    pub packing: Option<packing::Packing>,
    /// Loads of a rollout onto empty runners; `None` if there is no bundle.
    pub loads: Option<loads::Loads>,
}

impl Report {
    /// Returns whether the bundle can be signed and accepted.
    #[must_use]
    pub fn is_ok(&self) -> bool {
        self.faults.is_empty()
    }
}

/// Checks the bundle in the YAML `text`.
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

/// Line and column, from 1; 0 if unknown.
type Position = (u64, u64);

/// Reads the bundle and collects the faults of its syntax, types and values.
///
/// Returns the bundle too, if it could be read, and the position of `models`.
fn read(text: &str) -> (Vec<Fault>, Option<format::Bundle>, Position) {
    let mut tree = match serde_saphyr::from_str::<tree::Node>(text) {
        Ok(tree) => tree,
        Err(cause) => return (vec![syntax_fault(&cause)], None, (0, 0)),
    };
    let mut defects = Vec::new();
    let bundle = match format::read(text) {
        Ok(bundle) => Some(bundle),
        Err(error) => {
            let partial = decode::read(&mut tree, &mut defects);
            if defects.is_empty() {
                let (problem, allowed) = (error.to_string(), String::new());
                defects.push(decode::Defect { path: Vec::new(), problem, allowed });
            }
            partial
        }
    };
    // A placeholder's value is not the author's, so its faults are not reported.
    let type_defects = defects.clone();
    let is_placeholder =
        |path: &[String]| type_defects.iter().any(|defect| path.starts_with(&defect.path));
    if let Some(bundle) = &bundle {
        let value_defects = rules::apply(bundle);
        defects.extend(value_defects.into_iter().filter(|defect| !is_placeholder(&defect.path)));
    }
    (locate(defects, &tree), bundle, position(&tree, &["models".to_owned()]))
}

/// Position of the value at `path`, or of its nearest parent that exists.
fn position(tree: &tree::Node, path: &[String]) -> Position {
    let nearest = (0..=path.len()).rev().find_map(|len| tree.at(&path[..len]));
    nearest.map_or((0, 0), |node| (node.line, node.column))
}

/// The fault of a text that is not YAML.
fn syntax_fault(cause: &serde_saphyr::Error) -> Fault {
    let location = cause.location();
    Fault {
        line: location.map_or(0, |location| location.line()),
        column: location.map_or(0, |location| location.column()),
        field: String::new(),
        problem: format!("not a YAML document: {}", cause.without_snippet()),
        allowed: String::new(),
    }
}

/// Turns defects into faults with positions, in the order of the document.
fn locate(defects: Vec<decode::Defect>, tree: &tree::Node) -> Vec<Fault> {
    let fault = |defect: decode::Defect| {
        let (line, column) = position(tree, &defect.path);
        let field = fault::format_path(&defect.path);
        Fault { line, column, field, problem: defect.problem, allowed: defect.allowed }
    };
    let mut faults: Vec<_> = defects.into_iter().map(fault).collect();
    faults.sort();
    faults.dedup();
    faults
}
