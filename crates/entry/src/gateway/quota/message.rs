//! Messages between entries about customers' limits.

use chestnutvalve_model::id::Customer;
use serde::{Deserialize, Serialize};

/// Path of [`Take`].
pub const TAKE_PATH: &str = "quota/take";
/// Path of [`Borrow`].
pub const BORROW_PATH: &str = "quota/borrow";

/// Request of an entry for permits.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Take {
    /// Number of permits for each customer.
    pub wanted: Vec<(Customer, u32)>,
    /// Permits that were not used, each with the stamp of its [`Grant`].
    pub unused: Vec<(Customer, u64)>,
    /// Whether the requests were told that more tokens may come, and wait for them. Others are answered at once, so that
    /// a customer at its limit doesn't delay those that share the message.
    pub patient: bool,
}

/// Answer to [`Take`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Taken {
    /// Permits in the order of the request.
    Permits(Vec<Grant>),
    /// The entry doesn't grant permits at present.
    Inactive,
}

/// Permits for one customer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Grant {
    /// Number of permits granted.
    pub granted: u32,
    /// Number with which the accountant knows how full the bucket has been since, if a permit comes back.
    pub stamp: u64,
    /// Whether the others may get permits if they ask again and wait.
    pub more: bool,
    /// How long the first request without a permit waits, in milliseconds.
    pub first_ms: u32,
    /// How much longer each further one waits, in milliseconds.
    pub step_ms: u32,
}

/// Request of an accountant for tokens of a customer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Borrow {
    /// Customer whose tokens are asked for.
    pub customer: Customer,
    /// Number of tokens.
    pub tokens: f64,
    /// Whether a request waits for them.
    pub urgent: bool,
}

/// Answer to [`Borrow`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Lent {
    /// Tokens that are handed over.
    pub tokens: f64,
    /// Tokens that an urgent request could get in addition.
    pub spare: f64,
}
