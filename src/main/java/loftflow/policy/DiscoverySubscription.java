package loftflow.policy;

/**
 * Subscribes to changes of the endpoint list if the settings require it, and again some time after a subscription
 * failed.
 */
final class DiscoverySubscription {
    /** Id of the timer that triggers a new subscription after a failure. */
    static final long TIMER_ID = 2;

    /** Delay before a new subscription; well within the renewal period that the service rules require. */
    private static final long RETRY_MICROS = 3_000_000;

    private final RoundContext context;
    private boolean subscribed;

    DiscoverySubscription(RoundContext context) {
        this.context = context;
    }

    /** Subscribes if the settings require it and no subscription was made yet. */
    void ensureSubscribed() {
        if (context.settings().mustSubscribe() && !subscribed) {
            subscribed = true;
            context.actions().subscribe(true);
        }
    }

    /** Handles a failed subscription or list request: schedules a new subscription. */
    void onFailed() {
        context.actions().setTimer(TIMER_ID, context.withJitter(RETRY_MICROS));
    }

    /** Handles the timer: subscribes again. */
    void onTimer() {
        subscribed = !context.settings().mustSubscribe();
        ensureSubscribed();
    }
}
