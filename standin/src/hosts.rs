//! The platform's list of hosts.
