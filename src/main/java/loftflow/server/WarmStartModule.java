package loftflow.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.Inet6Address;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loftflow.clock.ClockReading;
import loftflow.clock.DowntimeEstimate;
import loftflow.clock.SystemClocks;
import loftflow.config.Config;
import loftflow.engine.Clock;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Endpoint;
import loftflow.engine.EndpointListListener;
import loftflow.log.Log;
import loftflow.policy.api.EndpointListKind;
import loftflow.warmstart.EndpointHistory;
import loftflow.warmstart.EndpointListReconciler;
import loftflow.warmstart.HistoryUpdate;
import loftflow.warmstart.ListUpdate;
import loftflow.warmstart.ListedEndpoint;
import loftflow.warmstart.RestoredState;
import loftflow.warmstart.TrustPolicy;
import loftflow.warmstart.WarmStartOptions;
import loftflow.warmstart.store.LoadedSnapshot;
import loftflow.warmstart.store.SnapshotWriter;

/**
 * Assembles the warm start: restores the endpoints from the snapshot of an earlier process, reconciles the lists from
 * discovery with it before the engine receives them, and saves new snapshots. The class is not loaded if warm start is
 * off. All methods except the constructor must be called on the event loop.
 */
final class WarmStartModule implements EndpointListListener {
    /** Interval between checks for endpoint releases, list requests and snapshots that are due. */
    private static final long POLL_INTERVAL_MILLIS = 1_000;

    private static final long MICROS_PER_SECOND = 1_000_000;
    /** A larger difference between the wall clock and the relay time is logged. */
    private static final long CLOCK_DIFFERENCE_LOG_THRESHOLD_MICROS = MICROS_PER_SECOND;
    /**
     * Interval between snapshots if only the rates of routes have changed. A change of the endpoint list is saved at
     * the next poll.
     */
    private static final long SAVE_INTERVAL_MICROS = 30 * MICROS_PER_SECOND;

    private final EventLoop eventLoop;
    private final Config config;
    private final SnapshotWriter snapshotWriter;
    private final EndpointHistory history;
    /** The snapshot and deltas that the earlier process saved. */
    private final LoadedSnapshot saved;

    private final ClockReading startedAt;
    /** True if the clocks do not show how long the relay was down. */
    private final boolean isDowntimeUnknown;

    private final RelayClock relayClock;
    private final Clock clock;
    private DeliveryEngine engine;
    private Runnable requestFullList = () -> {};
    private long fullListDueMicros = EndpointListReconciler.NEVER;
    private long lastSaveMicros = Long.MIN_VALUE / 2;

    WarmStartModule(EventLoop eventLoop, Config config) throws IOException {
        this.eventLoop = eventLoop;
        this.config = config;
        Config.WarmStartConfig options = config.warmStart();
        snapshotWriter = new SnapshotWriter(
                new SnapshotWriter.Options(
                        config.stateDirectory(),
                        options.limitBytes(),
                        options.writeBytesPerSecond(),
                        options.isSyncedToDisk()),
                eventLoop);
        saved = snapshotWriter.load(options.owner());
        startedAt = SystemClocks.now();
        relayClock = openClock(config, saved, startedAt);
        clock = relayClock.clock();
        long relayTimeMicros = clock.micros();
        logClockDifference(startedAt.wallMicros() - relayTimeMicros);
        snapshotWriter.start(saved.snapshot(), startedAt, relayTimeMicros);
        isDowntimeUnknown = saved.snapshot() != null
                && DowntimeEstimate.between(saved.snapshot().clocks(), startedAt)
                        .isUncertain();
        history = new EndpointHistory(historyRules(config), options.owner());
    }

    /** Returns a clock that continues the time of the snapshot or, without one, the stored clock. */
    private static RelayClock openClock(Config config, LoadedSnapshot saved, ClockReading now) {
        ClockReading monotonicNow = SystemClocks.nowByMonotonicClock();
        if (saved.snapshot() == null) {
            return RelayClock.open(config.stateDirectory(), monotonicNow);
        }
        long relayTimeMicros = DowntimeEstimate.continueRelayTime(
                saved.snapshot().relayTimeMicros(), saved.snapshot().clocks(), now);
        return RelayClock.setTo(config.stateDirectory(), monotonicNow, relayTimeMicros);
    }

    private static void logClockDifference(long differenceMicros) {
        if (Math.abs(differenceMicros) > CLOCK_DIFFERENCE_LOG_THRESHOLD_MICROS) {
            Log.line("warmstart: wall clock differs from relay time seconds=" + differenceMicros / MICROS_PER_SECOND);
        }
    }

    private static WarmStartOptions historyRules(Config config) {
        Config.WarmStartConfig options = config.warmStart();
        boolean isListFixed = config.discoveryAddress() == null;
        return new WarmStartOptions(
                new TrustPolicy(options.trustHalfLifeMicros()),
                options.listConfirmationMicros(),
                options.waitMarginMicros(),
                config.settings().rules().warmUpMicros(),
                isListFixed);
    }

    /** Returns the relay clock, which continues over a restart even if the wall clock has been set. */
    RelayClock relayClock() {
        return relayClock;
    }

    /**
     * Starts the engine with the restored endpoints.
     *
     * @param fullListRequest requests the full endpoint list from discovery
     */
    void start(DeliveryEngine deliveryEngine, Runnable fullListRequest) {
        engine = deliveryEngine;
        requestFullList = fullListRequest;
        ListUpdate configuredList = config.knownEndpoints().isEmpty()
                ? null
                : listUpdate(config.knownListKind(), config.knownListVersion(), config.knownEndpoints());
        RestoredState restored = history.restore(
                saved.snapshot(), saved.deltas(), saved.isComplete(), configuredList, startedAt, clock.micros());
        restored.logLines().forEach(Log::line);
        if (isDowntimeUnknown) {
            engine.treatKeyWindowsAsExpired();
        }
        engine.setEventObserver(event -> apply(history.onPolicyEvent(event, clock.micros())));
        engine.start(
                config.knownListKind(),
                restored.revision(),
                endpoints(restored.endpoints()),
                restored.restoredRoutes());
        poll();
    }

    /** Called when the address of the discovery agent has changed. */
    void onDiscoveryMoved() {
        history.onDiscoveryReplaced();
    }

    @Override
    public void onEndpointList(EndpointListKind kind, long version, List<Endpoint> endpoints) {
        apply(history.onListUpdate(listUpdate(kind, version, endpoints), clock.micros()));
    }

    private void apply(HistoryUpdate result) {
        result.logLines().forEach(Log::line);
        snapshotWriter.writeDeltas(result.deltas(), clock.micros());
        fullListDueMicros = Math.min(fullListDueMicros, result.refreshAtMicros());
        if (result.listUpdate() != null) {
            // The engine may be processing an event in a caller of this method; it receives the list afterwards.
            eventLoop.execute(() -> {
                ListUpdate update = result.listUpdate();
                engine.onEndpointList(update.kind(), update.revision(), endpoints(update.entries()));
                engine.restoreRoutes(result.restoredRoutes());
            });
        }
    }

    private void poll() {
        long nowMicros = clock.micros();
        snapshotWriter.recordLostDeltas(nowMicros);
        if (history.nextReleaseMicros() <= nowMicros) {
            apply(history.releaseDue(nowMicros));
        }
        if (fullListDueMicros <= nowMicros) {
            fullListDueMicros = EndpointListReconciler.NEVER;
            requestFullList.run();
        }
        if (isSaveDue(nowMicros) && snapshotWriter.canWriteSnapshot(nowMicros)) {
            save(nowMicros);
        }
        eventLoop.schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean isSaveDue(long nowMicros) {
        return history.hasUnsavedChanges()
                || snapshotWriter.needsSnapshot()
                || nowMicros - lastSaveMicros >= SAVE_INTERVAL_MICROS;
    }

    private void save(long nowMicros) {
        if (snapshotWriter.writeSnapshot(
                history.takeSnapshot(SystemClocks.now(), nowMicros, engine.routeSnapshots()),
                nowMicros,
                history::onSnapshotFailed)) {
            history.onSnapshotStarted();
            lastSaveMicros = nowMicros;
        }
    }

    /** Saves a last snapshot and closes the writer, at a graceful shutdown. */
    void close() {
        save(clock.micros());
        snapshotWriter.close();
    }

    private static ListUpdate listUpdate(EndpointListKind kind, long version, List<Endpoint> endpoints) {
        return new ListUpdate(
                kind,
                version,
                endpoints.stream()
                        .map(endpoint -> new ListedEndpoint(endpoint.entry(), addressText(endpoint.address())))
                        .toList());
    }

    private static String addressText(InetSocketAddress address) {
        String host = address.getHostString();
        return (address.getAddress() instanceof Inet6Address ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private static List<Endpoint> endpoints(List<ListedEndpoint> entries) {
        return entries.stream()
                .map(entry -> new Endpoint(entry.entry(), Endpoint.address(entry.address())))
                .toList();
    }
}
