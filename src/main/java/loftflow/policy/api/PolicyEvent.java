package loftflow.policy.api;

/** Something that happened since the last round; a relay hands a policy the events of one round in order of arrival. */
public sealed interface PolicyEvent
        permits AttemptCompleted,
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
