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
 * Executes the operators' commands on dead letters: list, show, stats, redrive, confirm, discard, pause and resume.
 * Every command that changes something is written to the audit trail before it takes effect.
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
    /** Id in the audit trail of actions that do not concern a single dead letter. */
    private static final long NO_DEAD_LETTER_ID = 0;

    private final DeadLetterService service;
    private final DeadLetterStoreQueue storeQueue;
    private final Clock clock;
    private final Executor eventLoop;

    /** Creates the commands for a service, which runs on the event loop, and its store. */
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

    private <T> T awaitResult(CompletableFuture<T> result) throws InterruptedException {
        try {
            return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalArgumentException(
                    "the command failed or timed out after " + TIMEOUT_SECONDS + " s; see the relay's log", e);
        }
    }

    private <T> T runInStore(Function<DeadLetterStore, T> task) throws InterruptedException {
        CompletableFuture<T> result = new CompletableFuture<>();
        Runnable onFailure =
                () -> result.completeExceptionally(new IllegalStateException("dead-letter store task failed"));
        if (!storeQueue.submit(task, result::complete, onFailure)) {
            throw new IllegalArgumentException("the queue of the dead-letter store is full; try again later");
        }
        return awaitResult(result);
    }

    private <T> T runOnEventLoop(Supplier<T> task) throws InterruptedException {
        CompletableFuture<T> result = new CompletableFuture<>();
        eventLoop.execute(() -> result.complete(task.get()));
        return awaitResult(result);
    }

    private interface DeadLetterAction {
        void accept(DeadLetter deadLetter) throws InterruptedException;
    }

    /** Runs an action on each selected dead letter. Reads the store in pages, since it may not fit into memory. */
    private void forEachSelected(DeadLetterSelection selection, DeadLetterAction action) throws InterruptedException {
        // A dead letter that is selected by id is the first result from that id on, unless the filter excludes it.
        boolean isSingle = selection.id() != 0;
        long fromId = selection.id();
        long remaining = isSingle ? Math.min(1, selection.maxEntries()) : selection.maxEntries();
        while (remaining > 0) {
            long pageStart = fromId;
            int pageSize = (int) Math.min(PAGE_SIZE, remaining);
            List<DeadLetter> page =
                    runInStore(store -> store.list(selection.filter(), pageStart, pageSize, selection.withBodies()));
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
        Optional<DeadLetter> deadLetter = runInStore(store -> store.get(id));
        return deadLetter.orElseThrow(() -> new IllegalArgumentException("there is no entry " + id));
    }

    private RedrivePolicy.Decision decide(DeadLetter deadLetter) throws InterruptedException {
        return runOnEventLoop(() -> service.decide(deadLetter));
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
        forEachSelected(
                selection,
                deadLetter -> out.accept(JsonLines.deadLetter(
                        deadLetter, selection.withBodies(), describe(decide(deadLetter)), List.of())));
    }

    private void show(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        DeadLetter deadLetter = find(request);
        List<String> auditTrail = runInStore(store -> store.auditTrail(deadLetter.id()));
        boolean withBody = request.containsKey(AdminProtocol.BODY);
        out.accept(JsonLines.deadLetter(deadLetter, withBody, describe(decide(deadLetter)), auditTrail));
    }

    private String stats() throws InterruptedException {
        DeadLetterStore.Size size = runInStore(DeadLetterStore::size);
        long lostCount = runOnEventLoop(service::lostCount);
        boolean isPaused = runOnEventLoop(service::isPaused);
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
            throw new IllegalArgumentException("the operator's name is needed: --by NAME");
        }
        return operator;
    }

    private static String operatorReason(Map<String, String> request) {
        String reason = request.getOrDefault(AdminProtocol.OPERATOR_REASON, "").strip();
        if (reason.isEmpty()) {
            throw new IllegalArgumentException("a reason is needed: --reason TEXT");
        }
        return reason;
    }

    private void audit(Map<String, String> request, String action, long id) throws InterruptedException {
        String operator = operator(request);
        String detail = request.getOrDefault(AdminProtocol.OPERATOR_REASON, "");
        long nowMicros = clock.micros();
        runInStore(store -> {
            store.appendAudit(nowMicros, operator, action, id, detail);
            return null;
        });
    }

    /**
     * Makes the selected dead letters due, or cancels that. They are not sent here, so that the redrive rate of their
     * destinations applies to them too.
     */
    private void redrive(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        operator(request);
        boolean isDryRun = request.containsKey(AdminProtocol.DRY_RUN);
        boolean isCancel = request.containsKey(AdminProtocol.CANCEL);
        forEachSelected(DeadLetterSelection.of(request), deadLetter -> {
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
        return runInStore(store -> store.transition(id, DeadLetter.State.STORED, DeadLetter.State.STORED, dueMicros));
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
        boolean isDone = runInStore(store -> store.recordConfirmation(deadLetter.id(), confirmation, nowMicros));
        out.accept(resultLine(deadLetter.id(), isDone));
    }

    private void discard(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        operator(request);
        operatorReason(request);
        DeadLetter deadLetter = find(request);
        audit(request, AUDIT_DISCARD, deadLetter.id());
        boolean isDone = runInStore(store -> store.transition(
                deadLetter.id(), DeadLetter.State.STORED, DeadLetter.State.DISCARDED, DeadLetter.NEVER_DUE));
        out.accept(resultLine(deadLetter.id(), isDone));
    }

    private static String resultLine(long id, boolean isDone) {
        return JsonLines.object(Map.of(AdminProtocol.ID, id, AdminProtocol.DONE, isDone));
    }

    private void setPaused(boolean isPaused, Map<String, String> request, Consumer<String> out)
            throws InterruptedException {
        audit(request, isPaused ? AUDIT_PAUSE : AUDIT_RESUME, NO_DEAD_LETTER_ID);
        runOnEventLoop(() -> {
            service.setPaused(isPaused);
            return null;
        });
        out.accept(JsonLines.object(Map.of(AdminProtocol.PAUSED, isPaused)));
    }
}
