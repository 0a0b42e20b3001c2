//! Routes requests by method and path.

use hyper::Method;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::QueueId;
use magnoliapin_wire::CallerBody;

use crate::caller::request_error::RequestError;

/// Route of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerRoute {
    /// A caller request without a body.
    Request(CallerBody),
    /// Runs the work in the body and waits for its output.
    Run(QueueId),
    /// Submits the work in the body as a job.
    Submit(QueueId),
    /// Applies the configuration change in the body.
    ApplyConfig,
    /// An operator's request to the fleet, in the body.
    Fleet,
    /// An operator's request to the fleet, without a body.
    Operator(OperatorRequest),
    /// Liveness check.
    Health,
    /// Readiness check: whether the entry accepts new work.
    Ready,
    /// Metrics in the OpenMetrics text format.
    Metrics,
    /// The latest events of the timeline.
    Timeline,
}

impl CallerRoute {
    /// Returns the route of a method and a path.
    ///
    /// # Errors
    ///
    /// Returns an error if the path does not exist or does not support the method.
    pub(crate) fn find(method: &Method, path: &str) -> Result<Self, RequestError> {
        let mut segments = [""; MAX_SEGMENTS];
        let Some(segments) = split_path(path, &mut segments) else {
            return Err(not_found(path));
        };
        let routes = find_path(segments).ok_or_else(|| not_found(path))?;
        let found = routes.into_iter().flatten().find(|route| route.method() == *method);
        found.ok_or_else(|| {
            let message = format!("the path does not support the method {method}");
            RequestError::new(ErrorKind::MethodNotAllowed, message)
        })
    }

    fn method(&self) -> Method {
        match self {
            Self::Run(_)
            | Self::Submit(_)
            | Self::ApplyConfig
            | Self::Fleet
            | Self::Operator(_) => Method::POST,
            Self::Request(CallerBody::CancelJob(_)) => Method::DELETE,
            Self::Request(_) | Self::Health | Self::Ready | Self::Metrics | Self::Timeline => {
                Method::GET
            }
        }
    }
}

/// Number of segments of the longest path.
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
        ["v1", "status"] => CallerRoute::Request(CallerBody::ShowStatus),
        ["v1", "instances"] => CallerRoute::Request(CallerBody::ShowInstances),
        ["v1", "pools"] => CallerRoute::Request(CallerBody::ShowPools),
        ["v1", "queues", queue, "requests"] => CallerRoute::Run(queue.parse().ok()?),
        ["v1", "queues", queue, "jobs"] => CallerRoute::Submit(queue.parse().ok()?),
        ["v1", "fleet"] => CallerRoute::Fleet,
        ["v1", "instances", instance, "drain"] => {
            let instance = instance.parse().ok()?;
            CallerRoute::Operator(OperatorRequest::Drain { instance, force: false })
        }
        ["v1", "instances", instance, "undrain"] => {
            let instance = instance.parse().ok()?;
            CallerRoute::Operator(OperatorRequest::Undrain { instance })
        }
        ["v1", "config"] => {
            let show = CallerRoute::Request(CallerBody::ShowConfig);
            return Some([Some(CallerRoute::ApplyConfig), Some(show)]);
        }
        ["v1", "jobs", job] => {
            let job = job.parse().ok()?;
            let cancel = CallerRoute::Request(CallerBody::CancelJob(job));
            return Some([Some(CallerRoute::Request(CallerBody::ReadJob(job))), Some(cancel)]);
        }
        _ => return None,
    };
    Some([Some(route), None])
}

fn not_found(path: &str) -> RequestError {
    // A requested path may be long, so the message contains only its start.
    let shown: String = path.chars().take(80).collect();
    RequestError::new(ErrorKind::NotFound, format!("the path {shown:?} does not exist"))
}
