package loftflow.policy;

/**
 * Subscribes to changes of the endpoint list, where the settings require it, and again some time after a subscription
 * failed.
 */
final class DiscoverySubscription {
    /** The name of the timer after which a failed subscription is repeated. */
    static final long TIMER_ID = 2;

    /** Well within the time in which the service rules require a renewal. */
    private static final long RETRY_MICROS = 3_000_000;

    private final RoundContext context;
    private boolean subscribed;

    DiscoverySubscription(RoundContext context) {
        this.context = context;
    }

    /** Subscribes, once. */
    void ensureSubscribed() {
        if (context.settings().mustSubscribe() && !subscribed) {
            subscribed = true;
            context.actions().subscribe(true);
        }
    }

    /** A subscription or a request for the list failed. */
    void onFailed() {
        context.actions().setTimer(TIMER_ID, context.withJitter(RETRY_MICROS));
    }

    /** The timer fired: subscribes again. */
    void onTimer() {
        subscribed = !context.settings().mustSubscribe();
        ensureSubscribed();
    }
}
