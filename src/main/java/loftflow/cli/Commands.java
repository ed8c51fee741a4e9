package loftflow.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.github.difflib.DiffUtils;
import com.github.difflib.UnifiedDiffUtils;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import loftflow.config.file.Finding;
import loftflow.config.file.SourceFile;
import loftflow.config.schema.Catalog;
import loftflow.config.schema.Schema;
import loftflow.config.schema.Setting;
import loftflow.config.tool.ConfigTool;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command line beside {@code serve} and {@code simhost}. Exit codes: 0 clean, 1 findings, 2 unreadable or misuse.
 */
@Command(
        name = "loftflow",
        version = "loftflow 0.1.0",
        mixinStandardHelpOptions = true,
        description = "An outbound message relay.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Commands.ServeHelp.class,
            Commands.SimhostHelp.class,
            Commands.ConfigCommand.class,
            TraceCommand.class,
            ExperimentCommand.class,
            ReplayCommand.class,
            DeadLetterCommand.class,
            DemoCommand.class,
            AutoComplete.GenerateCompletion.class,
            CommandLine.HelpCommand.class
        })
final class Commands implements Runnable {
    private static final int CLEAN = 0;
    private static final int FINDINGS = 1;
    private static final int MISUSE = 2;

    @Spec
    private CommandSpec spec;

    /** Runs a command on the standard streams and returns its exit code. */
    static int run(String... args) {
        return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
    }

    /** Runs a command and returns its exit code. */
    static int run(PrintWriter out, PrintWriter err, String... args) {
        CommandLine line = new CommandLine(new Commands()).setOut(out).setErr(err);
        line.setParameterExceptionHandler((e, given) -> {
            err.println("loftflow: " + e.getMessage().replaceAll("\\s+", " ") + "; see "
                    + e.getCommandLine().getCommandSpec().qualifiedName() + " --help");
            err.flush();
            return MISUSE;
        });
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            err.println("loftflow: " + why(e));
            err.flush();
            return MISUSE;
        });
        return line.execute(args);
    }

    /** Why something could not be done, in a line for staff. */
    static String why(Exception e) {
        if (e instanceof NoSuchFileException) {
            // The system says no more than its name.
            return e.getMessage() + ": does not exist";
        }
        return e instanceof SourceFile.UnreadableException || e instanceof IOException ? e.getMessage() : e.toString();
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "a command is needed: serve, simhost, config, trace, lab, replay, undeliverable,"
                        + " demo or generate-completion");
    }

    /** Stands in the help; {@link Main} carries it out before this class is loaded. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = {
                "Serves until a signal ends it.",
                "Without options by the platform's variables (EDGE_CONFIG, EDGE_STATE); with --config by a relay file"
                        + " alone.",
                "With --memory by the platform's variables, remembering endpoints over a restart as the file says."
            })
    static final class ServeHelp implements Callable<Integer> {
        @Option(names = "--config", paramLabel = "RELAY.toml", description = "A file by config write.")
        private Path config;

        @Option(names = "--memory", paramLabel = "MEMORY.json", description = "Such as deploy/memory.json.")
        private Path memory;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "write serve, serve --config RELAY.toml or serve --memory MEMORY.json, and nothing else");
        }
    }

    /** Stands in the help, as above. */
    @Command(
            name = "simhost",
            mixinStandardHelpOptions = true,
            description = "Runs the decision module on the simulator's wire, on standard input and output.")
    static final class SimhostHelp implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "write simhost and nothing else");
        }
    }

    /** Everything about files. */
    @Command(
            name = "config",
            mixinStandardHelpOptions = true,
            description = "Writes, checks and explains files.",
            synopsisSubcommandLabel = "COMMAND",
            subcommands = {Write.class, Check.class, Explain.class, Reference.class})
    static final class ConfigCommand implements Runnable {
        @Spec
        private CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "a command is needed: write, check, explain or reference");
        }
    }

    private static void print(CommandSpec spec, List<Finding> findings) {
        findings.forEach(finding -> spec.commandLine().getErr().println(finding));
        spec.commandLine().getErr().flush();
    }

    /** Writes a relay file. */
    @Command(
            name = "write",
            mixinStandardHelpOptions = true,
            description = "Writes the relay file of an application file, and prints the start line.")
    static final class Write implements Callable<Integer> {
        @Parameters(paramLabel = "APP.toml", description = "The application file.")
        private Path application;

        @Option(
                names = {"-o", "--output"},
                paramLabel = "DIR",
                required = true,
                description = "Where to write it.")
        private Path folder;

        @Option(names = "--force", description = "Write over a relay file that was changed by hand.")
        private boolean force;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws SourceFile.UnreadableException, IOException {
            PrintWriter out = spec.commandLine().getOut();
            ConfigTool.Outcome outcome = ConfigTool.write(application, folder, force);
            print(spec, outcome.findings());
            switch (outcome.written()) {
                case NEW -> out.println("wrote " + outcome.file() + "\nstart it by:\n  " + outcome.startLine());
                case UNCHANGED -> out.println("unchanged " + outcome.file());
                case TOUCHED -> {
                    difference(outcome).forEach(out::println);
                    out.println(outcome.file() + " was changed by hand and is left as it is; --force writes over it");
                }
                case REFUSED -> spec.commandLine().getErr().println("nothing is written");
                default -> throw new IllegalStateException();
            }
            out.flush();
            spec.commandLine().getErr().flush();
            boolean done =
                    outcome.written() == ConfigTool.Written.NEW || outcome.written() == ConfigTool.Written.UNCHANGED;
            return done ? CLEAN : FINDINGS;
        }

        private static List<String> difference(ConfigTool.Outcome outcome) {
            List<String> before = outcome.before().lines().toList();
            return UnifiedDiffUtils.generateUnifiedDiff(
                    "there",
                    "to be written",
                    before,
                    DiffUtils.diff(before, outcome.after().lines().toList()),
                    1);
        }
    }

    /** Checks files. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = {
                "Checks application files, relay files and a platform's JSON, with no relay started.",
                "Exits with 0 where no error was found (warnings don't count unless --strict), 1 where one was, 2 where"
                        + " a file can't be read."
            })
    static final class Check implements Callable<Integer> {
        /** How findings are printed. */
        enum Format {
            text,
            json
        }

        @Parameters(paramLabel = "FILE", arity = "1..*", description = "Files to check.")
        private List<Path> files;

        @Option(
                names = "--format",
                description = "text, a line for each finding, or json, one array.",
                defaultValue = "text")
        private Format format;

        @Option(names = "--strict", description = "Warnings count as findings.")
        private boolean strict;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            List<Finding> findings = new ArrayList<>();
            boolean unreadable = false;
            for (Path file : files) {
                try {
                    findings.addAll(ConfigTool.check(file));
                } catch (SourceFile.UnreadableException e) {
                    unreadable = true;
                    spec.commandLine().getErr().println("loftflow: " + e.getMessage());
                }
            }
            PrintWriter out = spec.commandLine().getOut();
            if (format == Format.json) {
                out.println(json(findings));
            } else {
                findings.forEach(out::println);
                out.println(summary(findings));
            }
            out.flush();
            spec.commandLine().getErr().flush();
            return unreadable ? MISUSE : findings.stream().anyMatch(f -> strict || f.isError()) ? FINDINGS : CLEAN;
        }

        private String summary(List<Finding> findings) {
            long errors = findings.stream().filter(Finding::isError).count();
            return files.size() + (files.size() == 1 ? " file: " : " files: ") + errors + " errors, "
                    + (findings.size() - errors) + " warnings";
        }

        private static String json(List<Finding> findings) throws IOException {
            StringWriter text = new StringWriter();
            try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
                out.useDefaultPrettyPrinter().writeStartArray();
                for (Finding finding : findings) {
                    out.writeStartObject();
                    out.writeStringField("severity", finding.isError() ? "error" : "warning");
                    out.writeStringField("file", finding.file());
                    out.writeNumberField("line", finding.line());
                    out.writeNumberField("column", finding.column());
                    out.writeStringField("key", finding.key());
                    out.writeStringField("reason", finding.reason());
                    out.writeEndObject();
                }
                out.writeEndArray();
            }
            return text.toString();
        }
    }

    /** Explains a setting. */
    @Command(name = "explain", mixinStandardHelpOptions = true, description = "Says what a setting is for.")
    static final class Explain implements Callable<Integer> {
        @Parameters(paramLabel = "KEY", description = "Such as class.deadline or calls.slots.")
        private String key;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            Optional<Setting> setting = Schema.RELAY.of(key).or(() -> Schema.RELAY.loose(key));
            if (setting.isEmpty()) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "there is no setting " + key
                                + Schema.RELAY
                                        .nearest(key, true)
                                        .map(near -> "; did you mean " + near + "?")
                                        .orElse(""));
            }
            spec.commandLine().getOut().println(Catalog.explanation(setting.get()));
            spec.commandLine().getOut().flush();
            return CLEAN;
        }
    }

    /** Prints the reference. */
    @Command(name = "reference", mixinStandardHelpOptions = true, description = "Prints all settings as Markdown.")
    static final class Reference implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine().getOut().print(Schema.RELAY.reference());
            spec.commandLine().getOut().flush();
            return CLEAN;
        }
    }
}
