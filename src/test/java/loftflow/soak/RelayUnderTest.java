package loftflow.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import loftflow.fake.FakeClient;
import loftflow.fake.ServedRelay;

/** The relay process of a run, which is signalled and started again on the same folder. */
final class RelayUnderTest {
    /** Where the relay's listeners are. */
    record Ports(int http, int http2, int amqp) {}

    /** From SIGTERM to SIGKILL, at the earliest (PROTOCOL, Figures). */
    private static final long KILL_AFTER_MILLIS = 3_700;
    /** From SIGKILL until the folder is there again. */
    private static final long FOLDER_AWAY_MILLIS = 600;

    private static final long READY_TIMEOUT_MILLIS = 30_000;
    private static final int EXIT_BY_TERM = 143;
    /** A JVM that is ended before its signal handlers are installed dies of the signal itself. */
    private static final int EXIT_BY_HANG_UP = 129;

    private static final Pattern EXCEPTION = Pattern.compile("(?m)^.*(Exception|Error:|round failed|^\\s+at ).*$");

    private final ServedRelay.Program program;
    private final Path relayFile;
    private final Path logFolder;
    private final SoakHistory history;
    private ServedRelay relay;
    private int starts;

    RelayUnderTest(ServedRelay.Program program, Path relayFile, Path logFolder, SoakHistory history) {
        this.program = program;
        this.relayFile = relayFile;
        this.logFolder = logFolder;
        this.history = history;
    }

    /** Starts a process, which may not serve yet. */
    void start() throws IOException {
        relay = ServedRelay.start(
                program,
                List.of("-Xmx64m"),
                ServedRelay.serving(relayFile),
                logFolder.resolve("relay-" + starts++ + ".log"));
        history.stalls.watch(relay.process().pid());
    }

    /** Waits until the process is ready. */
    Ports awaitReady() throws IOException, InterruptedException {
        relay.awaitServing();
        // The lines of the other listeners follow.
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
        while (System.nanoTime() < end) {
            try (FakeClient client = relay.client()) {
                if (relay.log().contains("serving AMQP") && client.isReady()) {
                    return new Ports(relay.port(), relay.http2Port(), relay.amqpPort());
                }
            } catch (IOException e) {
                if (!relay.process().isAlive()) {
                    throw new IOException("the relay has ended: " + relay.log(), e);
                }
            }
            ClientContext.pause(10);
        }
        throw new IOException("the relay is not ready: " + relay.log());
    }

    void terminate() {
        relay.process().destroy();
    }

    void hangUp() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(relay.process().pid()))
                .start()
                .waitFor();
    }

    /** Waits until the process has ended after SIGTERM, and kills it where it takes too long; returns true then. */
    boolean awaitEnd(long signalNanos) throws InterruptedException {
        long remaining = signalNanos + TimeUnit.MILLISECONDS.toNanos(KILL_AFTER_MILLIS) - System.nanoTime();
        return !relay.process().waitFor(remaining, TimeUnit.NANOSECONDS);
    }

    void kill() {
        relay.process().destroyForcibly().onExit().join();
    }

    boolean isAlive() {
        return relay.process().isAlive();
    }

    /** Checks how the process ended and what it logged; then waits until its folder is there again. */
    int finish(boolean wasKilled) throws IOException {
        int exitCode = relay.process().exitValue();
        if (!wasKilled && exitCode != 0 && exitCode != EXIT_BY_TERM && exitCode != EXIT_BY_HANG_UP) {
            history.incidents.add("exit code " + exitCode + ": " + relay.log());
        }
        EXCEPTION
                .matcher(relay.log())
                .results()
                .map(line -> "log: " + line.group())
                .distinct()
                .limit(3)
                .forEach(history.incidents::add);
        return exitCode;
    }

    void awaitFolder() {
        ClientContext.pause(FOLDER_AWAY_MILLIS);
    }

    /** Writes a part of the relay file, or all of it. */
    void writeFile(String text) throws IOException {
        Files.writeString(relayFile, text);
    }

    String readFile() throws IOException {
        return Files.readString(relayFile);
    }
}
