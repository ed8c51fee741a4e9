package loftflow.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import loftflow.admin.AdminClient;
import loftflow.admin.AdminProtocol;
import loftflow.admin.DeadLetterSelection;
import loftflow.admin.JsonLines;
import loftflow.deadletter.DeadLetter;
import loftflow.deadletter.DeadLetterStore;
import loftflow.deadletter.DeadLetterStoreException;
import loftflow.deadletter.store.SqliteDeadLetterStore;
import loftflow.json.JsonFields;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * What could not be delivered: seen, sent again, confirmed, discarded. Asks a running relay, or reads a stopped one's
 * file.
 */
@Command(
        name = "undeliverable",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = {
            "Messages that a relay has kept since they could not be delivered.",
            "Asks the relay over admin.sock in its folder; list, show, export and stats read the file of a stopped one."
        },
        subcommands = {
            DeadLetterCommand.ListEntries.class,
            DeadLetterCommand.Show.class,
            DeadLetterCommand.Export.class,
            DeadLetterCommand.Resend.class,
            DeadLetterCommand.Confirm.class,
            DeadLetterCommand.Discard.class,
            DeadLetterCommand.Stats.class,
            DeadLetterCommand.Pause.class,
            DeadLetterCommand.GoOn.class
        })
final class DeadLetterCommand implements Runnable {
    private static final int PAGE = 500;
    private static final String WIDE = "%-7s %-24s %-14s %5s %-9s %-6s %-20s %s%n";

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "a command is needed: list, show, export, resend, confirm, discard, stats, pause or go-on");
    }

    /** A command that asks the relay of a folder. */
    abstract static class Asking implements Callable<Integer> {
        @Option(names = "--folder", required = true, paramLabel = "DIR", description = "The relay's folder that lasts.")
        private Path folder;

        @Spec
        private CommandSpec spec;

        private boolean failed;

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        CommandSpec spec() {
            return spec;
        }

        /** Prints what a line says, or the error that it holds. */
        private void take(String line, Consumer<String> lines) {
            if (line.startsWith("{\"" + AdminProtocol.ERROR + "\":")) {
                failed = true;
                spec.commandLine().getErr().println("loftflow: " + member(line, AdminProtocol.ERROR));
            } else {
                lines.accept(line);
            }
        }

        /** Asks a running relay; without one {@code stopped} is done, or an error told where that is null. */
        int ask(Map<String, String> request, Consumer<String> lines, Runnable stopped) throws IOException {
            boolean runs = AdminClient.request(folder, request, line -> take(line, lines));
            if (!runs && stopped == null) {
                throw new IOException("no relay listens on " + folder.resolve("admin.sock"));
            }
            if (!runs) {
                try {
                    stopped.run();
                } catch (IllegalArgumentException | DeadLetterStoreException e) {
                    throw new IOException(e.getMessage(), e);
                }
            }
            out().flush();
            spec.commandLine().getErr().flush();
            return failed ? 1 : 0;
        }

        DeadLetterStore file() {
            return SqliteDeadLetterStore.openReadOnly(folder);
        }

        /** Hands on the entries that a request means, from the file of a stopped relay. */
        void fromFile(Map<String, String> request, Consumer<String> lines) {
            DeadLetterSelection filters = DeadLetterSelection.of(request);
            try (DeadLetterStore shelf = file()) {
                long from = 0;
                long left = filters.maxEntries();
                while (left > 0) {
                    int page = (int) Math.min(PAGE, left);
                    List<DeadLetter> entries = shelf.list(filters.filter(), from, page, filters.withBodies());
                    for (DeadLetter entry : entries) {
                        lines.accept(JsonLines.deadLetter(entry, filters.withBodies(), null, List.of()));
                        from = entry.id() + 1;
                    }
                    left = entries.size() < page ? 0 : left - page;
                }
            }
        }
    }

    /** The request that records an operator's decision on one entry. */
    private static Map<String, String> decision(String command, String id, String by, String reason) {
        return Map.of(
                AdminProtocol.COMMAND,
                command,
                AdminProtocol.ID,
                id,
                AdminProtocol.OPERATOR,
                by,
                AdminProtocol.OPERATOR_REASON,
                reason);
    }

    static String member(String line, String name) {
        try (JsonParser parser = new JsonFactory().createParser(line)) {
            parser.nextToken();
            Object value = JsonFields.ofObject("line", JsonFields.read(parser)).value(name);
            return value == null ? "-" : String.valueOf(value);
        } catch (IOException e) {
            return "-";
        }
    }

    /** Which entries are meant. */
    static final class Which {
        @Option(names = "--destination", paramLabel = "N", description = "The number of the destination.")
        private String destination;

        @Option(names = "--class", paramLabel = "NAME", description = "The class.")
        private String type;

        @Option(names = "--tenant", paramLabel = "NAME", description = "The tenant.")
        private String tenant;

        @Option(names = "--state", paramLabel = "STATE", description = "kept, resending, delivered or discarded.")
        private String state;

        @Option(names = "--ran", paramLabel = "RAN", description = "never, maybe or did.")
        private String ran;

        @Option(names = "--since", paramLabel = "TIME", description = "Kept at or after, such as 2026-12-01T08:00:00Z.")
        private String since;

        @Option(names = "--until", paramLabel = "TIME", description = "Kept before.")
        private String until;

        @Option(names = "--most", paramLabel = "N", description = "So many at the most.")
        private String most;

        Map<String, String> request(String command) {
            Map<String, String> request = new LinkedHashMap<>();
            request.put(AdminProtocol.COMMAND, command);
            put(request, AdminProtocol.DESTINATION, destination);
            put(request, AdminProtocol.REQUEST_CLASS, type);
            put(request, AdminProtocol.TENANT, tenant);
            put(request, AdminProtocol.STATE, state);
            put(request, AdminProtocol.CERTAINTY, ran);
            put(request, AdminProtocol.SINCE, since);
            put(request, AdminProtocol.UNTIL, until);
            put(request, AdminProtocol.MAX_ENTRIES, most);
            return request;
        }
    }

    private static void put(Map<String, String> request, String name, String value) {
        if (value != null) {
            request.put(name, value);
        }
    }

    /** Lists entries. */
    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists entries, without their bodies.")
    static final class ListEntries extends Asking {
        @Mixin
        private Which which;

        @Option(names = "--json", description = "Lines of JSON instead of a table.")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            List<String> rows = new ArrayList<>();
            Map<String, String> request = which.request(AdminProtocol.COMMAND_LIST);
            Consumer<String> take = json ? out()::println : rows::add;
            int code = ask(request, take, () -> fromFile(request, take));
            if (!json) {
                out().printf(WIDE, "id", "kept", "class", "dest", "state", "ran", "ref", "verdict");
                rows.forEach(r -> out().printf(
                                WIDE,
                                member(r, AdminProtocol.ID),
                                member(r, AdminProtocol.STORED_AT),
                                member(r, AdminProtocol.REQUEST_CLASS),
                                member(r, AdminProtocol.DESTINATION),
                                member(r, AdminProtocol.STATE),
                                member(r, AdminProtocol.CERTAINTY),
                                member(r, AdminProtocol.MESSAGE_ID),
                                member(r, AdminProtocol.DECISION).equals("-")
                                        ? member(r, AdminProtocol.REASON)
                                        : member(r, AdminProtocol.DECISION)));
                out().println(rows.size() + " entries");
                out().flush();
            }
            return code;
        }
    }

    /** Shows one. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Shows an entry with its attempts and audit.")
    static final class Show extends Asking {
        @Parameters(paramLabel = "ID")
        private String id;

        @Option(names = "--body", description = "With its body, in Base64.")
        private boolean body;

        @Override
        public Integer call() throws IOException {
            Map<String, String> request = new LinkedHashMap<>(
                    Map.of(AdminProtocol.COMMAND, AdminProtocol.COMMAND_SHOW, AdminProtocol.ID, id));
            if (body) {
                request.put(AdminProtocol.BODY, "yes");
            }
            return ask(request, out()::println, () -> {
                try (DeadLetterStore shelf = file()) {
                    DeadLetter entry = shelf.get(DeadLetterSelection.of(request).id())
                            .orElseThrow(() -> new IllegalArgumentException("there is no entry " + id));
                    out().println(JsonLines.deadLetter(entry, body, null, shelf.auditTrail(entry.id())));
                }
            });
        }
    }

    /** Exports entries whole. */
    @Command(name = "export", mixinStandardHelpOptions = true, description = "Prints entries whole, as lines of JSON.")
    static final class Export extends Asking {
        @Mixin
        private Which which;

        @Option(names = "--body", description = "With their bodies, in Base64.")
        private boolean body;

        @Override
        public Integer call() throws IOException {
            Map<String, String> request = which.request(AdminProtocol.COMMAND_LIST);
            if (body) {
                request.put(AdminProtocol.BODY, "yes");
            }
            return ask(request, out()::println, () -> fromFile(request, out()::println));
        }
    }

    /** Sends again. */
    @Command(
            name = "resend",
            mixinStandardHelpOptions = true,
            description = {
                "Makes entries due now, one by its number or all that are meant; each goes out at its destination's"
                        + " pace.",
                "One that may have run and needs a person's word is left as it is, and said so."
            })
    static final class Resend extends Asking {
        @Parameters(paramLabel = "ID", arity = "0..1")
        private String id;

        @Mixin
        private Which which;

        @Option(names = "--all", description = "Without a number or a filter: all of them.")
        private boolean all;

        @Option(names = "--dry-run", description = "Says what would be done.")
        private boolean dryRun;

        @Option(names = "--cancel", description = "Makes them not due any more instead.")
        private boolean cancel;

        @Option(names = "--by", paramLabel = "NAME", required = true, description = "Who asks for it.")
        private String by;

        @Override
        public Integer call() throws IOException {
            Map<String, String> request = which.request(AdminProtocol.COMMAND_REDRIVE);
            // Guards against a slip that would send everything again.
            if (id == null && request.size() == 1 && !all) {
                throw new CommandLine.ParameterException(spec().commandLine(), "an ID, a filter or --all is needed");
            }
            put(request, AdminProtocol.ID, id);
            put(request, AdminProtocol.OPERATOR, by);
            put(request, AdminProtocol.DRY_RUN, dryRun ? "yes" : null);
            put(request, AdminProtocol.CANCEL, cancel ? "yes" : null);
            return ask(request, out()::println, null);
        }
    }

    /** Takes a person's word. */
    @Command(
            name = "confirm",
            mixinStandardHelpOptions = true,
            description = {
                "Records, with name and reason, that the partner did not post the message, so that it may be sent"
                        + " again.",
                "It speaks of the attempts made until now, not of later ones."
            })
    static final class Confirm extends Asking {
        @Parameters(paramLabel = "ID")
        private String id;

        @Option(names = "--by", paramLabel = "NAME", required = true, description = "Whose word it is.")
        private String by;

        @Option(names = "--reason", paramLabel = "TEXT", required = true, description = "How they know.")
        private String reason;

        @Override
        public Integer call() throws IOException {
            return ask(decision(AdminProtocol.COMMAND_CONFIRM, id, by, reason), out()::println, null);
        }
    }

    /** Lets an entry be. */
    @Command(
            name = "discard",
            mixinStandardHelpOptions = true,
            description = "Records that an entry is not sent again.")
    static final class Discard extends Asking {
        @Parameters(paramLabel = "ID")
        private String id;

        @Option(names = "--by", paramLabel = "NAME", required = true, description = "Who decides it.")
        private String by;

        @Option(names = "--reason", paramLabel = "TEXT", required = true, description = "Why.")
        private String reason;

        @Override
        public Integer call() throws IOException {
            return ask(decision(AdminProtocol.COMMAND_DISCARD, id, by, reason), out()::println, null);
        }
    }

    /** How much there is. */
    @Command(name = "stats", mixinStandardHelpOptions = true, description = "Says how much is kept.")
    static final class Stats extends Asking {
        @Override
        public Integer call() throws IOException {
            return ask(Map.of(AdminProtocol.COMMAND, AdminProtocol.COMMAND_STATS), out()::println, () -> {
                try (DeadLetterStore shelf = file()) {
                    DeadLetterStore.Size size = shelf.size();
                    out().println(JsonLines.object(
                            Map.of(AdminProtocol.ENTRIES, size.entries(), AdminProtocol.BYTES, size.bytes())));
                }
            });
        }
    }

    /** What is asked under a command's own name, by someone. */
    abstract static class Holding extends Asking {
        @Option(names = "--by", paramLabel = "NAME", required = true, description = "Who asks for it.")
        private String by;

        @Override
        public Integer call() throws IOException {
            return ask(Map.of(AdminProtocol.COMMAND, spec().name(), AdminProtocol.OPERATOR, by), out()::println, null);
        }
    }

    /** Holds resending. */
    @Command(name = "pause", mixinStandardHelpOptions = true, description = "Sends nothing again until go-on.")
    static final class Pause extends Holding {}

    /** Ends a pause. */
    @Command(name = "go-on", mixinStandardHelpOptions = true, description = "Ends a pause.")
    static final class GoOn extends Holding {}
}
