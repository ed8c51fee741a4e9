package loftflow.policy.api;

/** An event since the last round; a relay passes the events of a round to the policy in order of arrival. */
public sealed interface PolicyEvent
        permits AttemptCompleted,
                AttemptOutcomeDisproved,
                CompletionAcknowledged,
                CompletionPending,
                EndpointListPending,
                EndpointListReceived,
                MessageAccepted,
                MessageResumed,
                MessageWithdrawn,
                PeerMessage,
                ProbeCompleted,
                ResponseStarted,
                RetryAfterReceived,
                RouteRestored,
                TimerFired {}
