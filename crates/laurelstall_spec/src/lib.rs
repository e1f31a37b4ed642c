//! Model-checked specification of outcomes, tickets and the spreading of configuration.
