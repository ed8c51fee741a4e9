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
 * What persons ask of the store: to see, to send again, to give their word, to discard. Each word and each resend that
 * is
 * asked for is in the audit before anything else happens.
 */
public final class DeadLetterCommands implements AdminServer.Commands {
    private static final int PAGE = 500;
    private static final int PATIENCE_S = 10;

    private final DeadLetterService desk;
    private final DeadLetterStoreQueue shelf;
    private final Clock clock;
    private final Executor loop;

    /** Asks a desk and its shelf; {@code loop} is the event loop that the desk lives on. */
    public DeadLetterCommands(DeadLetterService desk, DeadLetterStoreQueue shelf, Clock clock, Executor loop) {
        this.desk = desk;
        this.shelf = shelf;
        this.clock = clock;
        this.loop = loop;
    }

    @Override
    public void carryOut(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        switch (request.get("command")) {
            case "list" -> each(
                    DeadLetterFilterReader.of(request),
                    entry -> out.accept(
                            JsonLines.entry(entry, request.containsKey("body"), word(verdict(entry)), List.of())));
            case "show" -> show(request, out);
            case "stats" -> out.accept(stats());
            case "resend" -> resend(request, out);
            case "confirm" -> confirm(request, out);
            case "discard" -> discard(request, out);
            case "pause", "go-on" -> {
                boolean pauses = request.get("command").equals("pause");
                audit(request, pauses ? "pause" : "go on", 0);
                onLoop(() -> {
                    desk.pause(pauses);
                    return null;
                });
                out.accept(JsonLines.object(Map.of("paused", pauses)));
            }
            default -> throw new IllegalArgumentException("unknown command " + request.get("command"));
        }
    }

    private <T> T wait(CompletableFuture<T> answer) throws InterruptedException {
        try {
            return answer.get(PATIENCE_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalArgumentException("the store does not answer; see the relay's log", e);
        }
    }

    private <T> T ask(Function<DeadLetterStore, T> task) throws InterruptedException {
        CompletableFuture<T> answer = new CompletableFuture<>();
        if (!shelf.submit(task, answer::complete, () -> answer.completeExceptionally(new IllegalStateException()))) {
            throw new IllegalArgumentException("the store is busy; try again");
        }
        return wait(answer);
    }

    private <T> T onLoop(Supplier<T> task) throws InterruptedException {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.execute(() -> answer.complete(task.get()));
        return wait(answer);
    }

    private interface PerEntry {
        void accept(DeadLetter entry) throws InterruptedException;
    }

    /** In pages, so that a large store is neither held whole nor keeps others waiting. */
    private void each(DeadLetterFilterReader filters, PerEntry action) throws InterruptedException {
        // One that is named is the first from its number on, if it is meant at all.
        long from = filters.id();
        long left = filters.id() == 0 ? filters.most() : Math.min(1, filters.most());
        while (left > 0) {
            long start = from;
            int page = (int) Math.min(PAGE, left);
            List<DeadLetter> entries = ask(s -> s.list(filters.filter(), start, page, filters.bodies()));
            for (DeadLetter entry : entries) {
                if (filters.id() == 0 || filters.id() == entry.id()) {
                    action.accept(entry);
                }
                from = entry.id() + 1;
            }
            left = entries.size() < page ? 0 : left - page;
        }
    }

    private DeadLetter one(Map<String, String> request) throws InterruptedException {
        long id = DeadLetterFilterReader.id(request);
        Optional<DeadLetter> entry = ask(s -> s.get(id));
        return entry.orElseThrow(() -> new IllegalArgumentException("there is no entry " + id));
    }

    private RedrivePolicy.Verdict verdict(DeadLetter entry) throws InterruptedException {
        return onLoop(() -> desk.decide(entry));
    }

    private static String word(RedrivePolicy.Verdict verdict) {
        if (verdict instanceof RedrivePolicy.Later later) {
            return "later: " + later.why();
        } else if (verdict instanceof RedrivePolicy.AfterWord after) {
            return "after a person's word: " + after.why();
        } else if (verdict instanceof RedrivePolicy.Over over) {
            return "over: " + over.why();
        }
        return "may be sent";
    }

    private void show(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        DeadLetter entry = one(request);
        List<String> audits = ask(s -> s.audits(entry.id()));
        out.accept(JsonLines.entry(entry, request.containsKey("body"), word(verdict(entry)), audits));
    }

    private String stats() throws InterruptedException {
        DeadLetterStore.Size size = ask(DeadLetterStore::size);
        long lost = onLoop(desk::lost);
        boolean paused = onLoop(desk::isPaused);
        return JsonLines.object(
                Map.of("entries", size.entries(), "bytes", size.bytes(), "lost", lost, "paused", paused));
    }

    private static String by(Map<String, String> request) {
        String by = request.getOrDefault("by", "").strip();
        if (by.isEmpty()) {
            throw new IllegalArgumentException("by whom? --by NAME is needed");
        }
        return by;
    }

    private static String reason(Map<String, String> request) {
        String reason = request.getOrDefault("reason", "").strip();
        if (reason.isEmpty()) {
            throw new IllegalArgumentException("why? --reason TEXT is needed");
        }
        return reason;
    }

    private void audit(Map<String, String> request, String what, long id) throws InterruptedException {
        String by = by(request);
        long at = clock.micros();
        ask(s -> {
            s.audit(at, by, what, id, request.getOrDefault("reason", ""));
            return null;
        });
    }

    /** Makes entries due, so that their destinations' pace holds for them too; or not due any more. */
    private void resend(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        boolean dry = request.containsKey("dry-run");
        boolean cancels = request.containsKey("cancel");
        by(request);
        each(DeadLetterFilterReader.of(request), entry -> {
            if (entry.state() != DeadLetter.State.KEPT) {
                return;
            }
            RedrivePolicy.Verdict verdict = verdict(entry);
            boolean may = verdict instanceof RedrivePolicy.Now || verdict instanceof RedrivePolicy.Later;
            boolean done = false;
            if (!dry && (may || cancels)) {
                audit(request, cancels ? "cancel" : "resend", entry.id());
                long due = cancels ? DeadLetter.NEVER_DUE : clock.micros();
                done = ask(s -> s.move(entry.id(), DeadLetter.State.KEPT, DeadLetter.State.KEPT, due));
            }
            out.accept(JsonLines.object(Map.of(
                    "id", entry.id(), "ref", entry.content().messageId(), "verdict", word(verdict), "done", done)));
        });
    }

    private void confirm(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        String by = by(request);
        String reason = reason(request);
        DeadLetter entry = one(request);
        if (entry.ran() == ExecutionCertainty.DID || entry.state() != DeadLetter.State.KEPT) {
            throw new IllegalArgumentException("entry " + entry.id() + " is "
                    + (entry.ran() == ExecutionCertainty.DID
                            ? "proven to be delivered"
                            : entry.state().name().toLowerCase(java.util.Locale.ROOT)));
        }
        audit(request, "confirm not posted", entry.id());
        long now = clock.micros();
        DeadLetter.Word word = new DeadLetter.Word(by, reason, entry.tries().size(), now);
        boolean done = ask(s -> s.word(entry.id(), word, now));
        out.accept(JsonLines.object(Map.of("id", entry.id(), "done", done)));
    }

    private void discard(Map<String, String> request, Consumer<String> out) throws InterruptedException {
        by(request);
        reason(request);
        DeadLetter entry = one(request);
        audit(request, "discard", entry.id());
        boolean done =
                ask(s -> s.move(entry.id(), DeadLetter.State.KEPT, DeadLetter.State.DISCARDED, DeadLetter.NEVER_DUE));
        out.accept(JsonLines.object(Map.of("id", entry.id(), "done", done)));
    }
}
