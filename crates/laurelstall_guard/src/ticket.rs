//! Tickets: the right to run one call that may not be repeated, bound to one guard.

use quick_error::quick_error;
use std::fmt;

/// Longest ticket in bytes, as it travels in a header.
pub const TICKET_BYTES_MAX: usize = 320;

/// A ticket, as a caller holds it.
///
/// It travels as `SERVICE~TARGET~INCARNATION~NUMBER`, with the incarnation in hexadecimal. Its
/// lifetime is kept by the guard that gave it out, on that guard's own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Full name of the service, `team/service`.
    pub service: String,
    /// The one target that may run the call.
    pub target: String,
    /// The guard's start.
    pub incarnation: u64,
    /// The ticket's number at that guard.
    pub number: u64,
}

quick_error! {
    /// A text that is no ticket.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum TicketError {
        /// It is too long.
        TooLong {
            display("a ticket has at most {TICKET_BYTES_MAX} bytes")
        }
        /// Its parts are not those of a ticket.
        Malformed {
            display("a ticket is SERVICE~TARGET~INCARNATION~NUMBER")
        }
    }
}

impl Ticket {
    /// Reads a ticket.
    ///
    /// # Errors
    ///
    /// [`TicketError`] when the text is no ticket.
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
        // One ticket has one form: `+1` or `01` would be a second name for the same number.
        if ticket.to_string() == text { Ok(ticket) } else { Err(TicketError::Malformed) }
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{:x}~{}", self.service, self.target, self.incarnation, self.number)
    }
}
