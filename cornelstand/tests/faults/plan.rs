//! Rows and columns of the fault matrix.

use derive_more::Display;

/// A step of a request's life.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Step {
    #[display("accepted")]
    Accepted,
    #[display("authenticated")]
    Authenticated,
    #[display("queued")]
    Queued,
    #[display("claimed")]
    Claimed,
    #[display("granted")]
    Granted,
    #[display("connecting")]
    Connecting,
    #[display("headers sent")]
    HeadersSent,
    #[display("body half sent")]
    BodyHalfSent,
    #[display("sent")]
    Sent,
    #[display("first byte")]
    FirstByte,
    #[display("mid-stream")]
    MidStream,
    #[display("ended")]
    Ended,
    #[display("outcome reported")]
    Reported,
    #[display("claim recorded")]
    Recorded,
}

pub(crate) const STEPS: [Step; 14] = [
    Step::Accepted,
    Step::Authenticated,
    Step::Queued,
    Step::Claimed,
    Step::Granted,
    Step::Connecting,
    Step::HeadersSent,
    Step::BodyHalfSent,
    Step::Sent,
    Step::FirstByte,
    Step::MidStream,
    Step::Ended,
    Step::Reported,
    Step::Recorded,
];

/// The connection that a step happens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Link {
    Caller,
    Dispatcher,
    Store,
    Endpoint,
}

impl Step {
    pub(crate) fn link(self) -> Link {
        match self {
            Self::Accepted | Self::Authenticated => Link::Caller,
            Self::Queued | Self::Granted | Self::Reported => Link::Dispatcher,
            Self::Claimed | Self::Recorded => Link::Store,
            _ => Link::Endpoint,
        }
    }
}

/// A fault of the matrix.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Fault {
    #[display("instance killed")]
    InstanceKilled,
    #[display("instance paused")]
    InstancePaused,
    #[display("link cut")]
    LinkCut,
    #[display("link silent")]
    LinkSilent,
    #[display("link slow")]
    LinkSlow,
    #[display("message repeated")]
    MessageRepeated,
    #[display("message crossed")]
    MessageCrossed,
    #[display("store down")]
    StoreDown,
    #[display("store slow")]
    StoreSlow,
    #[display("store answer lost")]
    StoreAnswerLost,
    #[display("endpoint crash")]
    EndpointCrash,
    #[display("endpoint cold")]
    EndpointCold,
    #[display("endpoint leaving")]
    EndpointLeaving,
    #[display("caller gone")]
    CallerGone,
    #[display("caller resends")]
    CallerResends,
    #[display("link cut twice")]
    CutTwice,
    #[display("crash and answer lost")]
    CrashAndAnswerLost,
}

pub(crate) const FAULTS: [Fault; 17] = [
    Fault::InstanceKilled,
    Fault::InstancePaused,
    Fault::LinkCut,
    Fault::LinkSilent,
    Fault::LinkSlow,
    Fault::MessageRepeated,
    Fault::MessageCrossed,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreAnswerLost,
    Fault::EndpointCrash,
    Fault::EndpointCold,
    Fault::EndpointLeaving,
    Fault::CallerGone,
    Fault::CallerResends,
    Fault::CutTwice,
    Fault::CrashAndAnswerLost,
];

/// Why a cell is not run, if it is not.
pub(crate) fn gap(call: Call, step: Step, fault: Fault) -> Option<&'static str> {
    if call == Call::Idempotent && step.link() == Link::Store {
        return Some("nothing is claimed");
    }
    match (fault, step.link()) {
        (Fault::MessageRepeated, Link::Caller | Link::Endpoint) => Some("TCP repeats no byte"),
        (Fault::MessageCrossed, Link::Caller | Link::Store) => Some("one exchange a connection"),
        (Fault::MessageCrossed, Link::Dispatcher) if step != Step::Granted => {
            Some("only a grant can be crossed")
        }
        (Fault::MessageCrossed, Link::Endpoint)
            if !matches!(step, Step::Sent | Step::FirstByte) =>
        {
            Some("only the head of an answer has an identity")
        }
        _ => None,
    }
}

/// Kind of the request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Call {
    /// It may not be repeated.
    #[display("once")]
    Once,
    /// It may not be repeated, and its answer is longer than is held or kept.
    #[display("once, long answer")]
    Long,
    /// It may be repeated.
    #[display("idempotent")]
    Idempotent,
}

pub(crate) const CALLS: [Call; 3] = [Call::Once, Call::Long, Call::Idempotent];

impl Call {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Once => "/app/orders/short",
            Self::Long => "/app/orders/long",
            Self::Idempotent => "/app/stock",
        }
    }
}
