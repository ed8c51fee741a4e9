package loftflow.admin;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import loftflow.deadletter.DeadLetter;
import loftflow.deadletter.DeadLetterService;
import loftflow.deadletter.DeadLetterStore;
import loftflow.deadletter.DeadLetterStoreQueue;
import loftflow.deadletter.ExecutionCertainty;
import loftflow.deadletter.RedrivePolicy;
import loftflow.engine.Clock;

/**
 * The operators' commands on dead letters: list, show, redrive, confirm, discard, pause. A confirmation, a redrive and
 * a discard are in the audit trail before they take effect.
 */
public final class DeadLetterCommands implements AdminServer.Commands {
    private static final int PAGE_SIZE = 500;
    private static final int TIMEOUT_SECONDS = 10;
    /** Actions in the audit trail. */
    private static final String AUDIT_PAUSE = "pause";

    private static final String AUDIT_RESUME = "go on";
    private static final String AUDIT_CANCEL = "cancel";
    private static final String AUDIT_REDRIVE = "resend";
    private static final String AUDIT_CONFIRM = "confirm not posted";
    private static final String AUDIT_DISCARD = "discard";
    /** The id under which the audit trail has what concerns no single dead letter. */
    private static final long NO_ID = 0;

    private final DeadLetterService service;
    private final DeadLetterStoreQueue storeQueue;
    private final Clock clock;
    private final Executor eventLoop;

    /** Commands on a service and its store; the service runs on the event loop. */
    public DeadLetterCommands(
            DeadLetterService service, DeadLetterStoreQueue storeQueue, Clock clock, Executor eventLoop) {
        this.service = service;
        this.storeQueue = storeQueue;
        this.clock = clock;
        this.eventLoop = eventLoop;
    }

    @Override
    public void execute(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        String command = request.get(AdminProtocol.COMMAND);
        switch (command) {
            case AdminProtocol.COMMAND_LIST -> list(request, out);
            case AdminProtocol.COMMAND_SHOW -> show(request, out);
            case AdminProtocol.COMMAND_STATS -> out.accept(stats());
            case AdminProtocol.COMMAND_REDRIVE -> redrive(request, out);
            case AdminProtocol.COMMAND_CONFIRM -> confirm(request, out);
            case AdminProtocol.COMMAND_DISCARD -> discard(request, out);
            case AdminProtocol.COMMAND_PAUSE -> setPaused(true, request, out);
            case AdminProtocol.COMMAND_RESUME -> setPaused(false, request, out);
            default -> throw new IllegalArgumentException("unknown command " + command);
        }
    }

    private <T> T await(CompletableFuture<T> result) throws InterruptedException {
        try {
            return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalArgumentException("the store does not answer; see the relay's log", e);
        }
    }

    private <T> T inStore(Function<DeadLetterStore, T> task) throws InterruptedException {
        CompletableFuture<T> result = new CompletableFuture<>();
        Runnable failed = () -> result.completeExceptionally(new IllegalStateException("the store task failed"));
        if (!storeQueue.submit(task, result::complete, failed)) {
            throw new IllegalArgumentException("the store is busy; try again");
        }
        return await(result);
    }

    private <T> T onEventLoop(Supplier<T> task) throws InterruptedException {
        CompletableFuture<T> result = new CompletableFuture<>();
        eventLoop.execute(() -> result.complete(task.get()));
        return await(result);
    }

    private interface Action {
        void accept(DeadLetter deadLetter) throws InterruptedException;
    }

    /** Runs an action for each selected dead letter, in pages: a large store is not read into memory as a whole. */
    private void forEach(DeadLetterSelection selection, Action action) throws InterruptedException {
        // A single dead letter is the first from its id on, if the filter selects it at all.
        boolean isSingle = selection.id() != 0;
        long fromId = selection.id();
        long remaining = isSingle ? Math.min(1, selection.maxEntries()) : selection.maxEntries();
        while (remaining > 0) {
            long pageStart = fromId;
            int pageSize = (int) Math.min(PAGE_SIZE, remaining);
            List<DeadLetter> page =
                    inStore(store -> store.list(selection.filter(), pageStart, pageSize, selection.withBodies()));
            for (DeadLetter deadLetter : page) {
                if (!isSingle || deadLetter.id() == selection.id()) {
                    action.accept(deadLetter);
                }
                fromId = deadLetter.id() + 1;
            }
            remaining = page.size() < pageSize ? 0 : remaining - pageSize;
        }
    }

    private DeadLetter find(Map<String, String> request) throws InterruptedException {
        long id = DeadLetterSelection.id(request);
        Optional<DeadLetter> deadLetter = inStore(store -> store.get(id));
        return deadLetter.orElseThrow(() -> new IllegalArgumentException("there is no entry " + id));
    }

    private RedrivePolicy.Decision decide(DeadLetter deadLetter) throws InterruptedException {
        return onEventLoop(() -> service.decide(deadLetter));
    }

    private static String describe(RedrivePolicy.Decision decision) {
        if (decision instanceof RedrivePolicy.SendLater later) {
            return "later: " + later.reason();
        }
        if (decision instanceof RedrivePolicy.NeedsConfirmation needsConfirmation) {
            return "after a person's word: " + needsConfirmation.reason();
        }
        if (decision instanceof RedrivePolicy.Settled settled) {
            return "over: " + settled.reason();
        }
        return "may be sent";
    }

    private void list(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        DeadLetterSelection selection = DeadLetterSelection.of(request);
        forEach(
                selection,
                deadLetter -> out.accept(JsonLines.deadLetter(
                        deadLetter, selection.withBodies(), describe(decide(deadLetter)), List.of())));
    }

    private void show(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        DeadLetter deadLetter = find(request);
        List<String> audits = inStore(store -> store.auditTrail(deadLetter.id()));
        boolean withBody = request.containsKey(AdminProtocol.BODY);
        out.accept(JsonLines.deadLetter(deadLetter, withBody, describe(decide(deadLetter)), audits));
    }

    private String stats() throws InterruptedException {
        DeadLetterStore.Size size = inStore(DeadLetterStore::size);
        long lostCount = onEventLoop(service::lostCount);
        boolean isPaused = onEventLoop(service::isPaused);
        return JsonLines.object(Map.of(
                AdminProtocol.ENTRIES,
                size.entries(),
                AdminProtocol.BYTES,
                size.bytes(),
                AdminProtocol.LOST,
                lostCount,
                AdminProtocol.PAUSED,
                isPaused));
    }

    private static String operator(Map<String, String> request) {
        String operator = request.getOrDefault(AdminProtocol.OPERATOR, "").strip();
        if (operator.isEmpty()) {
            throw new IllegalArgumentException("by whom? --by NAME is needed");
        }
        return operator;
    }

    private static String operatorReason(Map<String, String> request) {
        String reason = request.getOrDefault(AdminProtocol.OPERATOR_REASON, "").strip();
        if (reason.isEmpty()) {
            throw new IllegalArgumentException("why? --reason TEXT is needed");
        }
        return reason;
    }

    private void audit(Map<String, String> request, String action, long id) throws InterruptedException {
        String operator = operator(request);
        String detail = request.getOrDefault(AdminProtocol.OPERATOR_REASON, "");
        long nowMicros = clock.micros();
        inStore(store -> {
            store.appendAudit(nowMicros, operator, action, id, detail);
            return null;
        });
    }

    /** Makes dead letters due, so that their destinations' pace applies to them too; or not due any more. */
    private void redrive(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        operator(request);
        boolean isDryRun = request.containsKey(AdminProtocol.DRY_RUN);
        boolean isCancel = request.containsKey(AdminProtocol.CANCEL);
        forEach(DeadLetterSelection.of(request), deadLetter -> {
            if (deadLetter.state() != DeadLetter.State.STORED) {
                return;
            }
            RedrivePolicy.Decision decision = decide(deadLetter);
            boolean isAllowed = isCancel
                    || decision instanceof RedrivePolicy.SendNow
                    || decision instanceof RedrivePolicy.SendLater;
            boolean isDone = !isDryRun && isAllowed && setDue(deadLetter.id(), isCancel, request);
            out.accept(JsonLines.object(Map.of(
                    AdminProtocol.ID,
                    deadLetter.id(),
                    AdminProtocol.MESSAGE_ID,
                    deadLetter.content().messageId(),
                    AdminProtocol.DECISION,
                    describe(decision),
                    AdminProtocol.DONE,
                    isDone)));
        });
    }

    private boolean setDue(long id, boolean isCancel, Map<String, String> request) throws InterruptedException {
        audit(request, isCancel ? AUDIT_CANCEL : AUDIT_REDRIVE, id);
        long dueMicros = isCancel ? DeadLetter.NEVER_DUE : clock.micros();
        return inStore(store -> store.transition(id, DeadLetter.State.STORED, DeadLetter.State.STORED, dueMicros));
    }

    private void confirm(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        String operator = operator(request);
        String reason = operatorReason(request);
        DeadLetter deadLetter = find(request);
        boolean isExecuted = deadLetter.certainty() == ExecutionCertainty.EXECUTED;
        if (isExecuted || deadLetter.state() != DeadLetter.State.STORED) {
            String state = isExecuted
                    ? "proven to be delivered"
                    : AdminProtocol.nameOf(deadLetter.state().code());
            throw new IllegalArgumentException("entry " + deadLetter.id() + " is " + state);
        }
        audit(request, AUDIT_CONFIRM, deadLetter.id());
        long nowMicros = clock.micros();
        DeadLetter.Confirmation confirmation = new DeadLetter.Confirmation(
                operator, reason, deadLetter.attempts().size(), nowMicros);
        boolean isDone = inStore(store -> store.recordConfirmation(deadLetter.id(), confirmation, nowMicros));
        out.accept(done(deadLetter.id(), isDone));
    }

    private void discard(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        operator(request);
        operatorReason(request);
        DeadLetter deadLetter = find(request);
        audit(request, AUDIT_DISCARD, deadLetter.id());
        boolean isDone = inStore(store -> store.transition(
                deadLetter.id(), DeadLetter.State.STORED, DeadLetter.State.DISCARDED, DeadLetter.NEVER_DUE));
        out.accept(done(deadLetter.id(), isDone));
    }

    private static String done(long id, boolean isDone) {
        return JsonLines.object(Map.of(AdminProtocol.ID, id, AdminProtocol.DONE, isDone));
    }

    private void setPaused(boolean isPaused, Map<String, String> request, Consumer<String> out)
            throws InterruptedException {
        audit(request, isPaused ? AUDIT_PAUSE : AUDIT_RESUME, NO_ID);
        onEventLoop(() -> {
            service.setPaused(isPaused);
            return null;
        });
        out.accept(JsonLines.object(Map.of(AdminProtocol.PAUSED, isPaused)));
    }
}
