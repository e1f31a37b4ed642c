//! Tickets: each permits one run of a call that must not be repeated, at one guard.

use quick_error::quick_error;
use std::fmt;

/// Maximum length of a ticket in a header, in bytes.
pub const TICKET_BYTES_MAX: usize = 320;

/// A ticket as a caller holds it.
///
/// Its text form is `SERVICE~TARGET~INCARNATION~NUMBER`, with the incarnation in hexadecimal. The guard that
/// issued it keeps its lifetime, by the guard's own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Full name of the service, `team/service`.
    pub service: String,
    /// Name of the only target that may run the call.
    pub target: String,
    /// Incarnation of the guard, which identifies its start.
    pub incarnation: u64,
    /// Number of the ticket at that guard.
    pub number: u64,
}

quick_error! {
    /// Error for a text that is not a ticket.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum TicketError {
        /// The text is too long.
        TooLong {
            display("a ticket has at most {TICKET_BYTES_MAX} bytes")
        }
        /// The text does not have the parts of a ticket.
        Malformed {
            display("a ticket is SERVICE~TARGET~INCARNATION~NUMBER")
        }
    }
}

impl Ticket {
    /// Parses a ticket.
    ///
    /// # Errors
    ///
    /// A [`TicketError`] when the text is not a valid ticket.
    pub fn from_text(text: &str) -> Result<Self, TicketError> {
        if text.len() > TICKET_BYTES_MAX {
            return Err(TicketError::TooLong);
        }
        let mut parts = text.split('~');
        let mut next = || parts.next().filter(|part| !part.is_empty()).ok_or(TicketError::Malformed);
        let (service, target, incarnation, number) = (next()?, next()?, next()?, next()?);
        if parts.next().is_some() {
            return Err(TicketError::Malformed);
        }
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| TicketError::Malformed)?;
        let number = number.parse().map_err(|_| TicketError::Malformed)?;
        let ticket = Self { service: service.to_owned(), target: target.to_owned(), incarnation, number };
        // Only the canonical form is accepted: `+1` or `01` would be a second name for the same number.
        if ticket.to_string() == text { Ok(ticket) } else { Err(TicketError::Malformed) }
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{:x}~{}", self.service, self.target, self.incarnation, self.number)
    }
}
