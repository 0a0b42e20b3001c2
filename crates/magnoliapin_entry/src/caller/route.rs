//! Finds what a request asks for from its method and path.

use hyper::Method;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::QueueId;
use magnoliapin_wire::CallerBody;

use crate::caller::fault::RequestFault;

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerRoute {
    /// Something that needs no body.
    Ask(CallerBody),
    /// Work of the body, whose output is waited for.
    Run(QueueId),
    /// A job of the body.
    Submit(QueueId),
    /// A change of the configuration in the body.
    Apply,
    /// A request of an operator to the fleet, in the body.
    Fleet,
    /// A request of an operator to the fleet.
    Operate(OperatorRequest),
    /// Whether the process lives.
    Health,
    /// Whether the entry takes new work.
    Ready,
    /// Metrics.
    Metrics,
    /// The latest events.
    Timeline,
}

impl CallerRoute {
    /// Finds the route of a method and a path.
    ///
    /// # Errors
    ///
    /// Returns a fault if there is no such path or the method does not fit it.
    pub(crate) fn find(method: &Method, path: &str) -> Result<Self, RequestFault> {
        let mut segments = [""; MAX_SEGMENTS];
        let Some(segments) = split_path(path, &mut segments) else {
            return Err(not_found(path));
        };
        let routes = find_path(segments).ok_or_else(|| not_found(path))?;
        let found = routes.into_iter().flatten().find(|route| route.method() == *method);
        found.ok_or_else(|| {
            let message = format!("the path does not take the method {method}");
            RequestFault::new(ErrorKind::MethodNotAllowed, message)
        })
    }

    fn method(&self) -> Method {
        match self {
            Self::Run(_) | Self::Submit(_) | Self::Apply | Self::Fleet | Self::Operate(_) => {
                Method::POST
            }
            Self::Ask(CallerBody::CancelJob(_)) => Method::DELETE,
            Self::Ask(_) | Self::Health | Self::Ready | Self::Metrics | Self::Timeline => {
                Method::GET
            }
        }
    }
}

/// Segments of the longest path.
const MAX_SEGMENTS: usize = 4;

/// The routes of one path, at most one for each method.
type PathRoutes = [Option<CallerRoute>; 2];

fn split_path<'a, 'b>(
    path: &'a str,
    segments: &'b mut [&'a str; MAX_SEGMENTS],
) -> Option<&'b [&'a str]> {
    let mut count = 0;
    for segment in path.strip_prefix('/')?.split('/') {
        *segments.get_mut(count)? = segment;
        count += 1;
    }
    Some(&segments[..count])
}

fn find_path(segments: &[&str]) -> Option<PathRoutes> {
    let route = match segments {
        ["healthz"] => CallerRoute::Health,
        ["readyz"] => CallerRoute::Ready,
        ["metrics"] => CallerRoute::Metrics,
        ["v1", "timeline"] => CallerRoute::Timeline,
        ["v1", "status"] => CallerRoute::Ask(CallerBody::ShowStatus),
        ["v1", "instances"] => CallerRoute::Ask(CallerBody::ShowInstances),
        ["v1", "pools"] => CallerRoute::Ask(CallerBody::ShowPools),
        ["v1", "queues", queue, "requests"] => CallerRoute::Run(queue.parse().ok()?),
        ["v1", "queues", queue, "jobs"] => CallerRoute::Submit(queue.parse().ok()?),
        ["v1", "fleet"] => CallerRoute::Fleet,
        ["v1", "instances", instance, "drain"] => {
            let instance = instance.parse().ok()?;
            CallerRoute::Operate(OperatorRequest::Drain { instance, force: false })
        }
        ["v1", "instances", instance, "undrain"] => {
            let instance = instance.parse().ok()?;
            CallerRoute::Operate(OperatorRequest::Undrain { instance })
        }
        ["v1", "config"] => {
            let show = CallerRoute::Ask(CallerBody::ShowConfig);
            return Some([Some(CallerRoute::Apply), Some(show)]);
        }
        ["v1", "jobs", job] => {
            let job = job.parse().ok()?;
            let cancel = CallerRoute::Ask(CallerBody::CancelJob(job));
            return Some([Some(CallerRoute::Ask(CallerBody::ReadJob(job))), Some(cancel)]);
        }
        _ => return None,
    };
    Some([Some(route), None])
}

fn not_found(path: &str) -> RequestFault {
    // Paths of callers may be long; only their start helps.
    let shown: String = path.chars().take(80).collect();
    RequestFault::new(ErrorKind::NotFound, format!("there is no path {shown:?}"))
}
