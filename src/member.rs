//! Membership of entry hosts.
