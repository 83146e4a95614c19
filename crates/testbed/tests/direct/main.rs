//! Direct pools behind the real program: every sample of the importer runs; shares, sessions, drains, failures and bodies
//! are seen from the workers' side.

mod failures;
mod lifecycle;
mod messages;
mod rig;
mod sessions;
mod shares;
