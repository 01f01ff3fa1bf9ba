//! Proofs of the control invariants with real processes behind faulty links.

mod i1_allowed;
mod i2_withdrawn;
mod i6_domain_out;
