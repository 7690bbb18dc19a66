//! The platform's log service.
