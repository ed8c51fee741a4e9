package loftflow.config.tool;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import loftflow.config.file.Finding;
import loftflow.config.file.SourceFile;
import loftflow.config.plan.DerivedSettingsWriter;
import loftflow.config.plan.Planner;

/** What {@code loftflow config} does with files. */
public final class ConfigTool {
    private ConfigTool() {}

    /** Checks a file of any of the three kinds. A file in JSON is a platform's. */
    public static List<Finding> check(Path file) throws SourceFile.UnreadableException {
        String text = SourceFile.readText(file);
        if (text.stripLeading().startsWith("{")) {
            return PlatformFile.check(file.toString(), text);
        }
        return CheckedFile.of(file.toString(), text, LocalMachineInspector.of(System.getenv()))
                .findings();
    }

    /** What a write did. */
    public enum Written {
        /** A file was written where there was none, or one that nobody had touched. */
        NEW,
        /** The file is there already, alike to the letter. */
        UNCHANGED,
        /** The file there was changed by hand and is left alone. */
        TOUCHED,
        /** The application file has errors; nothing was written. */
        REFUSED
    }

    /**
     * What came of a write.
     *
     * @param findings about the application file
     * @param before the text that was there, or null
     * @param after the text that is to be there, or null where the application file has errors
     */
    public record Outcome(
            Written written, Path file, List<Finding> findings, String before, String after, String startLine) {}

    /** Writes the relay file of an application file into a folder; over one that was changed by hand only by force. */
    public static Outcome write(Path application, Path folder, boolean force)
            throws SourceFile.UnreadableException, IOException {
        CheckedFile checked = CheckedFile.of(
                application.toString(), SourceFile.readText(application), LocalMachineInspector.of(Map.of()));
        if (!checked.isClean()) {
            return new Outcome(Written.REFUSED, null, checked.findings(), null, null, null);
        }
        if (checked.kind() != CheckedFile.Kind.APPLICATION) {
            Finding finding = new Finding(
                    Finding.Severity.ERROR,
                    application.toString(),
                    1,
                    1,
                    "",
                    "is a relay file already; config write takes an application file");
            return new Outcome(Written.REFUSED, null, List.of(finding), null, null, null);
        }
        String name = checked.declared().name() + ".relay.toml";
        Planner.Plan plan = Planner.plan(checked.declared());
        String text = RelayFileText.of(checked.node(), name, plan);
        Path file = folder.resolve(name);
        String before = Files.exists(file) ? SourceFile.readText(file) : null;
        Written written = Written.NEW;
        if (text.equals(before)) {
            written = Written.UNCHANGED;
        } else if (before != null && !RelayFileText.isUntouched(before) && !force) {
            written = Written.TOUCHED;
        } else {
            replace(file, text);
        }
        return new Outcome(
                written,
                file,
                checked.findings(),
                before,
                text,
                DerivedSettingsWriter.startLine(plan.figures(), file.toString()));
    }

    /**
     * Guards against a file that is cut short by a full disk or a kill: the old one stays until the new one is whole.
     */
    private static void replace(Path file, String text) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        Path unfinished = file.resolveSibling(file.getFileName() + ".new");
        try {
            Files.write(unfinished, text.getBytes(StandardCharsets.UTF_8));
            Files.move(unfinished, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } finally {
            Files.deleteIfExists(unfinished);
        }
    }
}
