//! Tests of the design page's invariants, on real processes with injected faults.
//! `docs/PROOFS.md` names the test of each invariant.

mod at_most_once;
mod billed_once;
mod caller;
mod cold_start;
mod complete_answer;
mod leaving;
mod not_run;
mod planned_stop;
mod poison;
mod scenario;
mod site;
