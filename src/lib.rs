//! amaranthford.
